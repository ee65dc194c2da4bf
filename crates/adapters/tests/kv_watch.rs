//! Watches of the product's own store client over thin links.

#![allow(clippy::expect_used, clippy::panic, reason = "tests panic on failure")]

use std::time::Duration;

use rosemaryscale_adapters::log::DroppedLines;
use rosemaryscale_adapters::{kv_client, metrics_registry};
use rosemaryscale_ports::kv::{KeyRange, Update, WatchEvent};
use rosemaryscale_standins::{Platform, ThinLink};

/// Guards against a large value that a watch never delivers, since it is reopened at a fixed interval although the value
/// is still arriving, and begins again.
#[tokio::test]
async fn a_watch_is_not_reopened_while_a_large_value_arrives() {
    const VALUE_BYTES: usize = 900_000;
    // The value needs 9.6 s, longer than the interval of 6 s.
    const KBIT_PER_S: u64 = 1_000;
    let address = "127.0.0.1:0".parse().expect("an address");
    let platform = Platform::start(address).await.expect("a free port");
    let link = ThinLink::start(platform.address(), KBIT_PER_S).await;
    let link = link.expect("a free port");
    let (metrics, _, _) = metrics_registry::start(DroppedLines::default());
    let (kv, _task) = kv_client::start(link.address(), metrics);
    let key = KeyRange::Key("document".into());
    let mut events = kv.watch(key).await.expect("the client runs");
    let first = events.recv().await;
    assert!(matches!(first, Some(WatchEvent::Snapshot { .. })));
    let value = "x".repeat(VALUE_BYTES);
    // The watch opens after the snapshot.
    tokio::time::sleep(Duration::from_millis(300)).await;
    platform.write("document", Some(&value)).await;
    let delivered = async {
        loop {
            match events.recv().await {
                Some(WatchEvent::Changed { updates, .. }) => return updates,
                Some(_) => {}
                None => panic!("the client has stopped"),
            }
        }
    };
    let updates = tokio::time::timeout(Duration::from_secs(14), delivered).await;
    let updates = updates.expect("the value is delivered in time");
    let [Update::Put(entry)] = updates.as_slice() else {
        panic!("unexpected {} updates", updates.len());
    };
    assert!(entry.value == value);
    link.stop().await;
    platform.stop().await;
}
