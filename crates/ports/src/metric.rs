//! The metrics port.

use std::sync::Arc;

/// Receives counters, gauges and durations.
pub trait MetricSink: Send + Sync + 'static {
    /// Adds to a counter.
    fn count(&self, name: &'static str, value: i64);

    /// Sets a gauge.
    fn gauge(&self, name: &'static str, value: u64);

    /// Records a duration.
    fn time_ms(&self, name: &'static str, value_ms: u64);
}

/// Handle of the metrics port.
pub type Metrics = Arc<dyn MetricSink>;
