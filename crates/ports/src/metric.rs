//! The metrics port.

use std::sync::Arc;

/// Receives counters, gauges and durations.
pub trait MetricSink: Send + Sync + 'static {
    /// Adds to a counter.
    fn count(&self, name: &'static str, value: i64);

    /// Sets a gauge.
    fn gauge(&self, name: &'static str, value: u64);

    /// Adds to the counter of a workspace. Sinks bound the number of workspaces.
    fn count_of(&self, name: &'static str, workspace: &Arc<str>, value: i64);

    /// Sets the gauge of a workspace. Sinks bound the number of workspaces.
    fn gauge_of(&self, name: &'static str, workspace: &Arc<str>, value: u64);

    /// Records a duration.
    fn time_ms(&self, name: &'static str, value_ms: u64);
}

/// Handle of the metrics port.
pub type Metrics = Arc<dyn MetricSink>;
