//! Metrics by workspace on the metrics page.

use rosemaryscale_adapters::log::DroppedLines;
use rosemaryscale_adapters::metrics_registry;
use rosemaryscale_ports::prelude::*;

/// Guards against a page that grows with the number of workspaces, and against names that break its format.
#[tokio::test]
async fn the_page_names_a_bounded_number_of_workspaces() {
    let (metrics, reader, registry) = metrics_registry::start(DroppedLines::default());
    metrics.count_of("submit.refused_rate", &"quote\"d".into(), 3);
    for number in 0..100 {
        let name = format!("workspace{number:03}").into();
        metrics.count_of("submit.refused_rate", &name, 2);
    }
    // A read may come before the records of the same moment.
    let text = loop {
        let (reply, text) = oneshot::channel();
        reader.send(reply).await.expect("the registry runs");
        let text = text.await.expect("the registry answers");
        if text.contains("{workspace=\"other\"} 74") {
            break text;
        }
        tokio::task::yield_now().await;
    };
    let lines = text.lines().filter(|line| line.contains("workspace="));
    assert_eq!(lines.count(), 65, "{text}");
    assert!(text.contains("rosemaryscale_submit_refused_rate{workspace=\"quote\\\"d\"} 3"));
    drop(metrics);
    registry.await.expect("the registry ends");
}
