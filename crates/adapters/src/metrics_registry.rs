//! Implements the metrics port in memory; the metrics are exported as text.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::sync::Arc;

use hdrhistogram::Histogram;
use rosemaryscale_ports::metric::{GaugeFamily, MetricSink, Metrics};
use rosemaryscale_ports::prelude::*;
use tokio::task::JoinHandle;

use crate::log::DroppedLines;

/// Capacity of the queue of records. If it is full, records are dropped, so recording never blocks.
const RECORD_QUEUE_CAPACITY: usize = 4_096;
/// Capacity of the queue of reads.
const READ_QUEUE_CAPACITY: usize = 16;
/// Quantiles that are exported for each histogram.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];
/// Maximum duration that a histogram records; longer durations are recorded as this value.
const TIME_MAX_MS: u64 = 600_000;
/// Workspaces with values of their own; those of all others are added up as `other`.
const WORKSPACES_MAX: usize = 64;
const OTHER_WORKSPACES: &str = "other";
/// Significant digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Name of the counter of dropped log lines.
const DROPPED_LINES: &str = "log.dropped_lines";

/// Handle that reads all metrics as text.
pub type MetricsReader = mpsc::Sender<oneshot::Sender<String>>;

enum Record {
    Count(&'static str, i64),
    Gauge(&'static str, u64),
    Family(GaugeFamily),
    TimeMs(&'static str, u64),
    CountOf(&'static str, Arc<str>, i64),
}

struct RegistrySink {
    records: mpsc::Sender<Record>,
}

impl MetricSink for RegistrySink {
    fn count(&self, name: &'static str, value: i64) {
        let _ = self.records.try_send(Record::Count(name, value));
    }

    fn gauge(&self, name: &'static str, value: u64) {
        let _ = self.records.try_send(Record::Gauge(name, value));
    }

    fn count_of(&self, name: &'static str, workspace: &Arc<str>, value: i64) {
        let record = Record::CountOf(name, Arc::clone(workspace), value);
        let _ = self.records.try_send(record);
    }

    fn gauge_family(&self, family: GaugeFamily) {
        let _ = self.records.try_send(Record::Family(family));
    }

    fn time_ms(&self, name: &'static str, value_ms: u64) {
        let _ = self.records.try_send(Record::TimeMs(name, value_ms));
    }
}

/// Starts the task that holds the metrics. It ends when every handle is dropped.
#[must_use]
pub fn start(dropped_lines: DroppedLines) -> (Metrics, MetricsReader, JoinHandle<()>) {
    let (records, receiver) = mpsc::channel(RECORD_QUEUE_CAPACITY);
    let (reads, read_receiver) = mpsc::channel(READ_QUEUE_CAPACITY);
    let registry = MetricsRegistry {
        dropped_lines,
        ..MetricsRegistry::default()
    };
    let task = tokio::spawn(registry.run(receiver, read_receiver));
    (Arc::new(RegistrySink { records }), reads, task)
}

/// All metrics of the process, by name.
#[derive(Default)]
struct MetricsRegistry {
    counters: BTreeMap<&'static str, i64>,
    gauges: BTreeMap<&'static str, u64>,
    families: BTreeMap<&'static str, GaugeFamily>,
    times_ms: BTreeMap<&'static str, Histogram<u64>>,
    /// Names of the workspaces that have values of their own.
    workspaces: BTreeSet<Arc<str>>,
    workspace_counters: BTreeMap<(&'static str, Arc<str>), i64>,
    dropped_lines: DroppedLines,
}

impl MetricsRegistry {
    async fn run(
        mut self,
        mut records: mpsc::Receiver<Record>,
        mut reads: mpsc::Receiver<oneshot::Sender<String>>,
    ) {
        loop {
            tokio::select! {
                record = records.recv() => match record {
                    Some(record) => self.apply(record),
                    None => return,
                },
                Some(reply) = reads.recv() => {
                    let _ = reply.send(self.render());
                }
            }
        }
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Count(name, value) => *self.counters.entry(name).or_default() += value,
            Record::Gauge(name, value) => {
                self.gauges.insert(name, value);
            }
            Record::CountOf(name, workspace, value) => {
                let key = (name, self.listed(workspace));
                *self.workspace_counters.entry(key).or_default() += value;
            }
            Record::Family(family) => {
                self.families.insert(family.name, family);
            }
            Record::TimeMs(name, value_ms) => {
                if !self.times_ms.contains_key(name)
                    && let Ok(histogram) = Histogram::new_with_max(TIME_MAX_MS, SIGNIFICANT_DIGITS)
                {
                    self.times_ms.insert(name, histogram);
                }
                if let Some(histogram) = self.times_ms.get_mut(name) {
                    histogram.saturating_record(value_ms);
                }
            }
        }
    }

    /// The workspace, or the name under which further ones are added up.
    fn listed(&mut self, workspace: Arc<str>) -> Arc<str> {
        if self.workspaces.len() >= WORKSPACES_MAX && !self.workspaces.contains(&workspace) {
            return OTHER_WORKSPACES.into();
        }
        self.workspaces.insert(Arc::clone(&workspace));
        workspace
    }

    /// Renders one line per value; dots in names are replaced by underscores.
    fn render(&self) -> String {
        let mut text = String::new();
        let dropped_lines = self.dropped_lines.total();
        let _ = writeln!(text, "{} {dropped_lines}", metric_name(DROPPED_LINES));
        for (name, value) in &self.counters {
            let _ = writeln!(text, "{} {value}", metric_name(name));
        }
        for (name, value) in &self.gauges {
            let _ = writeln!(text, "{} {value}", metric_name(name));
        }
        for ((name, workspace), value) in &self.workspace_counters {
            let _ = writeln!(text, "{} {value}", labelled(name, "workspace", workspace));
        }
        for family in self.families.values() {
            for (label_value, value) in &family.values {
                let name = labelled(family.name, family.label, label_value);
                let _ = writeln!(text, "{name} {value}");
            }
        }
        for (name, histogram) in &self.times_ms {
            let name = metric_name(name);
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "{name}_count {}", histogram.len());
        }
        text
    }
}

fn metric_name(name: &str) -> String {
    format!("rosemaryscale_{}", name.replace('.', "_"))
}

fn labelled(name: &str, label: &str, value: &str) -> String {
    format!("{}{{{label}=\"{}\"}}", metric_name(name), escaped(value))
}

/// Escapes the value of a label: it is text from a configuration and must not end the line.
fn escaped(label_value: &str) -> String {
    let mut text = String::with_capacity(label_value.len());
    for character in label_value.chars() {
        match character {
            '\\' => text.push_str("\\\\"),
            '"' => text.push_str("\\\""),
            '\n' => text.push_str("\\n"),
            other => text.push(other),
        }
    }
    text
}
