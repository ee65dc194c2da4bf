//! Tests of the metrics as they are exported.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

use std::sync::Arc;

use rosemaryscale_adapters::log::DroppedLines;
use rosemaryscale_adapters::metrics_registry;
use rosemaryscale_ports::metric::GaugeFamily;
use rosemaryscale_ports::prelude::*;

/// Guards against values of workspaces that are gone, and against a name in a configuration that adds lines to
/// the page.
#[tokio::test]
async fn a_gauge_by_label_replaces_its_former_values() {
    let (metrics, reader, registry) = metrics_registry::start(DroppedLines::default());
    let page = async || {
        let (reply, text) = oneshot::channel();
        // The values are recorded before the read: both queues are served by one task.
        tokio::task::yield_now().await;
        reader.send(reply).await.expect("the registry runs");
        text.await.expect("the registry answers")
    };
    let set = |values: &[(&str, u64)]| {
        let values = values
            .iter()
            .map(|(name, value)| (Arc::from(*name), *value));
        metrics.gauge_family(GaugeFamily {
            name: "workspace.tasks_waiting",
            label: "workspace",
            values: values.collect(),
        });
    };
    set(&[("alpha", 3), ("be\"ta\nx 1", 4)]);
    let first = page().await;
    assert!(first.contains("rosemaryscale_workspace_tasks_waiting{workspace=\"alpha\"} 3\n"));
    assert!(
        first.contains("{workspace=\"be\\\"ta\\nx 1\"} 4\n"),
        "{first}"
    );
    set(&[("alpha", 5)]);
    let second = page().await;
    assert!(second.contains("{workspace=\"alpha\"} 5\n"), "{second}");
    assert!(!second.contains("be"), "{second}");
    drop(metrics);
    registry.await.expect("the registry ends");
}
