//! The metrics port.

use std::sync::Arc;

/// Values of a gauge by the value of a label. The caller bounds their number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GaugeFamily {
    /// Name of the gauge.
    pub name: &'static str,
    /// Name of the label.
    pub label: &'static str,
    /// Values of the label and of the gauge.
    pub values: Vec<(Arc<str>, u64)>,
}

/// Receives counters, gauges and durations.
pub trait MetricSink: Send + Sync + 'static {
    /// Adds to a counter.
    fn count(&self, name: &'static str, value: i64);

    /// Sets a gauge.
    fn gauge(&self, name: &'static str, value: u64);

    /// Adds to the counter of a workspace. Sinks bound the number of workspaces.
    fn count_of(&self, name: &'static str, workspace: &Arc<str>, value: i64);

    /// Sets a gauge for each value of a label, and removes its former values.
    fn gauge_family(&self, family: GaugeFamily);

    /// Records a duration.
    fn time_ms(&self, name: &'static str, value_ms: u64);
}

/// Handle of the metrics port.
pub type Metrics = Arc<dyn MetricSink>;
