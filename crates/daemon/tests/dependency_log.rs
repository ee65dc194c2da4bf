//! Log lines from which the reaction of a daemon to the platform can be explained afterwards.

#![allow(clippy::expect_used, clippy::panic, reason = "tests panic on failure")]

use std::time::Duration;

use rosemaryscale_standins::Faults;
use rosemaryscale_standins::harness::{Harness, ProcessSignal, wait_until};
use serde_json::{Value, json};

mod load;

use load::start;

/// Longer than the time to live of a heartbeat, 5 s.
const FREEZE_TIME: Duration = Duration::from_secs(6);

/// Whether the daemon has logged a message that starts with `message` about `subject`.
fn has_logged(harness: &Harness, subject: &str, message: &str) -> bool {
    let log = harness.log(0);
    let mut lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.any(|line| {
        let text = line["msg"].as_str().unwrap_or_default();
        line["subject"] == subject && text.starts_with(message)
    })
}

async fn wait_until_logged(harness: &Harness, subject: &str, message: &str) {
    let description = format!("{subject}: {message}");
    wait_until(&description, || async {
        has_logged(harness, subject, message)
    })
    .await;
}

/// Guards against a change of the instance list that a daemon takes, or fails to take, without a
/// trace.
#[tokio::test]
async fn changes_of_the_instance_list_are_logged() {
    let harness = start(2).await;
    let live = harness.instances();
    let mut leaving = live.clone();
    leaving[0]["state"] = json!("leaving");
    assert!(!has_logged(&harness, "quotes-0", "listed"));
    harness.platform.set_instances(leaving).await;
    wait_until_logged(&harness, "quotes-0", "listed as leaving").await;
    harness.platform.set_instances(live.clone()).await;
    wait_until_logged(&harness, "quotes-0", "listed as live").await;
    harness.platform.set_instances(json!([live[0]])).await;
    wait_until_logged(&harness, "quotes-1", "no longer listed").await;
    assert!(!has_logged(&harness, "quotes-1", "listed"));
    harness.stop().await;
}

/// Guards against failed polls and renewals that only a counter shows.
#[tokio::test]
async fn a_lost_and_regained_platform_is_logged() {
    let harness = start(1).await;
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    harness.platform.set_faults(down).await;
    wait_until_logged(&harness, "platform", "the instance list cannot be read: ").await;
    wait_until_logged(&harness, "entry-1", "cannot renew its heartbeat: ").await;
    harness.platform.set_faults(Faults::default()).await;
    wait_until_logged(&harness, "platform", "the instance list can be read again").await;
    wait_until_logged(&harness, "entry-1", "renewed its heartbeat again").await;
    let log = harness.log(0);
    assert_eq!(log.matches("cannot be read").count(), 1);
    assert_eq!(log.matches("cannot renew").count(), 1);
    harness.stop().await;
}

/// Guards against a resumed process whose log does not tell that it runs again.
#[tokio::test]
async fn a_resumed_daemon_logs_the_gap_in_its_heartbeat() {
    let harness = start(1).await;
    harness.signal(0, ProcessSignal::Freeze);
    tokio::time::sleep(FREEZE_TIME).await;
    harness.signal(0, ProcessSignal::Resume);
    wait_until_logged(&harness, "entry-1", "renewed its heartbeat again").await;
    harness.stop().await;
}
