//! What clients, runners and the platform have seen, with the time of each event.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::locked;

/// A run of a work unit at a runner.
#[derive(Clone, Debug)]
pub struct RunSeen {
    pub task: String,
    pub run: u64,
    /// The runner's process.
    pub process: String,
    pub started_ms: u64,
    /// When and how it ended.
    pub ended: Option<(u64, &'static str)>,
    /// When `ack_cursor` reached its end.
    pub acknowledged_ms: Option<u64>,
}

#[derive(Default)]
struct Seen {
    lines: Vec<(u64, String)>,
    runs: Vec<RunSeen>,
    by_name: BTreeMap<(String, u64, String), usize>,
}

/// The record of a case.
pub struct Recorder {
    began: Instant,
    seen: Mutex<Seen>,
}

impl Recorder {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            began: Instant::now(),
            seen: Mutex::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl Into<String>) {
        let at_ms = self.now_ms();
        locked(&self.seen).lines.push((at_ms, line.into()));
    }

    pub fn run_started(&self, task: &str, run: u64, process: &str) {
        let started_ms = self.now_ms();
        let mut seen = locked(&self.seen);
        let index = seen.runs.len();
        seen.runs.push(RunSeen {
            task: task.to_owned(),
            run,
            process: process.to_owned(),
            started_ms,
            ended: None,
            acknowledged_ms: None,
        });
        seen.by_name
            .insert((task.to_owned(), run, process.to_owned()), index);
    }

    pub fn run_ended(&self, task: &str, run: u64, process: &str, how: &'static str) {
        let at_ms = self.now_ms();
        self.with_run(task, run, process, |seen| {
            seen.ended.get_or_insert((at_ms, how));
        });
    }

    pub fn run_acknowledged(&self, task: &str, run: u64, process: &str) {
        let at_ms = self.now_ms();
        self.with_run(task, run, process, |seen| {
            seen.acknowledged_ms.get_or_insert(at_ms);
        });
    }

    fn with_run(&self, task: &str, run: u64, process: &str, change: impl FnOnce(&mut RunSeen)) {
        let mut seen = locked(&self.seen);
        let name = (task.to_owned(), run, process.to_owned());
        if let Some(index) = seen.by_name.get(&name).copied() {
            change(&mut seen.runs[index]);
        }
    }

    pub fn runs(&self) -> Vec<RunSeen> {
        locked(&self.seen).runs.clone()
    }

    /// The record as text: the notes, then a line for each run.
    pub fn text(&self) -> String {
        let seen = locked(&self.seen);
        let mut text = String::new();
        for (at_ms, line) in &seen.lines {
            let _ = writeln!(text, "{at_ms:>7} ms  {line}");
        }
        for run in &seen.runs {
            let end = match run.ended {
                Some((at_ms, how)) => format!("{how} at {at_ms} ms"),
                None => "not ended".to_owned(),
            };
            let acknowledged = match run.acknowledged_ms {
                Some(at_ms) => format!(", acknowledged at {at_ms} ms"),
                None => String::new(),
            };
            let _ = writeln!(
                text,
                "run {} #{} on {}: started at {} ms, {end}{acknowledged}",
                run.task, run.run, run.process, run.started_ms
            );
        }
        text
    }
}

/// Violations of TWICE: two runs of one work unit at the same time, or a start after an end `done` that was
/// acknowledged then or later.
pub fn run_twice(runs: &[RunSeen]) -> Vec<String> {
    let mut by_task: BTreeMap<&str, Vec<&RunSeen>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut found = Vec::new();
    for (task, runs) in by_task {
        for (index, first) in runs.iter().enumerate() {
            for second in &runs[index + 1..] {
                let text = match first.ended {
                    Some((ended_ms, "done")) if ended_ms <= second.started_ms => {
                        let Some(acknowledged_ms) = first.acknowledged_ms else {
                            continue;
                        };
                        format!(
                            "{task}: run {} on {} ended done at {ended_ms} ms, which was acknowledged at \
                             {acknowledged_ms} ms, and run {} started on {} at {} ms",
                            first.run, first.process, second.run, second.process, second.started_ms
                        )
                    }
                    Some((ended_ms, _)) if ended_ms <= second.started_ms => continue,
                    _ => format!(
                        "{task}: run {} on {} was under way when run {} started on {} at {} ms",
                        first.run, first.process, second.run, second.process, second.started_ms
                    ),
                };
                found.push(text);
            }
        }
    }
    found
}
