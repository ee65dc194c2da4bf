//! Slots shared by daemon processes, with upstream stand-ins that refuse requests beyond their slots.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{Method, StatusCode};
use rosemaryscale_standins::document;
use rosemaryscale_standins::harness::{
    Harness, HarnessOptions, ProcessSignal, UpstreamSpec, wait_until,
};
use tokio::task::JoinSet;

const DAEMONS: usize = 3;
const UPSTREAMS: usize = 3;
/// Concurrent requests of one flood. The slots that remain while others are withheld must serve them
/// well before their deadline: an exchange that ends at its deadline would continue at the upstream and
/// be counted there.
const FLOOD_REQUESTS: usize = 10;

async fn start() -> Arc<Harness> {
    let options = HarnessOptions {
        daemon_binary: env!("CARGO_BIN_EXE_rosemaryscaled").into(),
        daemons: DAEMONS,
        environment: "production".into(),
        upstreams: (0..UPSTREAMS)
            .map(|number| UpstreamSpec::numbered("quotes", number))
            .collect(),
    };
    let harness = Harness::start(options).await;
    // With one class, a burst can use every slot; with several, the floors of the other classes stay
    // free while long requests run. The short request limit lets withheld slots be released within
    // the test.
    let document = document::with_one_class(8)
        .replace("\"request_limit_ms\":15000", "\"request_limit_ms\":4000")
        .replace(
            "\"default_deadline_ms\":5000",
            "\"default_deadline_ms\":4000",
        );
    assert!(document.contains("\"request_limit_ms\":4000"));
    assert!(document.contains("\"default_deadline_ms\":4000"));
    harness.apply(&document).await;
    Arc::new(harness)
}

async fn request(harness: Arc<Harness>, daemon: usize, run_ms: u64) -> Option<StatusCode> {
    let run = run_ms.to_string();
    let headers = [("x-standin-delay-ms", run.as_str())];
    let path = "/v1/services/quotes/cowls";
    let reply = harness
        .call_caller_api(daemon, Method::POST, path, &headers, "")
        .await;
    reply.map(|reply| reply.status)
}

async fn peak_busy_slots(harness: &Harness) -> u32 {
    let mut sum = 0;
    for upstream in &harness.upstreams {
        sum += upstream.report().await.busy_max;
    }
    sum
}

async fn executed_requests(harness: &Harness) -> u64 {
    let mut sum = 0;
    for upstream in &harness.upstreams {
        sum += upstream.report().await.executed;
    }
    sum
}

async fn assert_nothing_was_refused(harness: &Harness) {
    for upstream in &harness.upstreams {
        let report = upstream.report().await;
        assert_eq!(
            report.refused, 0,
            "at most {} slots were busy",
            report.busy_max
        );
        assert!(report.busy_max <= 8);
    }
}

/// Keeps [`FLOOD_REQUESTS`] concurrent requests at a daemon until the flag is set.
fn flood(harness: &Arc<Harness>, daemon: usize, stop: &Arc<AtomicBool>, tasks: &mut JoinSet<()>) {
    for _ in 0..FLOOD_REQUESTS {
        let (harness, stop) = (Arc::clone(harness), Arc::clone(stop));
        tasks.spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                let status = request(Arc::clone(&harness), daemon, 150).await;
                if status.is_none() {
                    return;
                }
            }
        });
    }
}

/// Waits until at least one survivor has withheld slots after daemon 1 lost its heartbeat, and every
/// survivor that did so has released them all.
async fn wait_until_withheld_slots_are_released(harness: &Harness) {
    let has_released = |index| {
        let log = harness.log(index);
        let after_loss = log.find("lost its heartbeat").map_or("", |at| &log[at..]);
        let mut lines = after_loss.lines().filter(|line| line.contains("withheld"));
        lines.next_back().map(|line| line.contains("\"0 slots"))
    };
    wait_until("withheld slots are released", || async {
        let states = [has_released(0), has_released(2)];
        states.contains(&Some(true)) && !states.contains(&Some(false))
    })
    .await;
}

async fn join_all(tasks: &mut JoinSet<()>) {
    while let Some(result) = tasks.join_next().await {
        assert!(result.is_ok(), "a load task failed: {result:?}");
    }
}

async fn stop(harness: Arc<Harness>) {
    let harness = Arc::into_inner(harness);
    assert!(harness.is_some(), "a task still uses the harness");
    if let Some(harness) = harness {
        harness.stop().await;
    }
}

/// Guards against fixed shares of the slots: a burst at one daemon gets the slots of all owners, and
/// no upstream gets more requests than it has slots.
#[tokio::test]
async fn a_burst_at_one_daemon_gets_most_slots() {
    let harness = start().await;
    let mut tasks = JoinSet::new();
    for _ in 0..72 {
        let harness = Arc::clone(&harness);
        tasks.spawn(async move {
            let status = request(harness, 0, 400).await;
            assert_eq!(status, Some(StatusCode::OK));
        });
    }
    join_all(&mut tasks).await;
    let busy = peak_busy_slots(&harness).await;
    assert!(
        busy >= 20,
        "{busy} of 24 slots were in use at the same time"
    );
    assert_nothing_was_refused(&harness).await;
    stop(harness).await;
}

/// Guards against slots of a killed daemon that are granted again while its requests still run, and
/// against slots that are never released.
#[tokio::test]
async fn the_limit_holds_after_a_daemon_is_killed() {
    let harness = start().await;
    let stop_flag = Arc::new(AtomicBool::new(false));
    let mut tasks = JoinSet::new();
    let mut cut_off = JoinSet::new();
    // The eight slots whose ledger the daemon owns, and as many borrowed from the other owners.
    for _ in 0..16 {
        let harness = Arc::clone(&harness);
        cut_off.spawn(async move {
            let _ = request(harness, 1, 3_700).await;
        });
    }
    wait_until("the daemon has requests in flight", || async {
        executed_requests(&harness).await >= 16
    })
    .await;
    flood(&harness, 0, &stop_flag, &mut tasks);
    flood(&harness, 2, &stop_flag, &mut tasks);
    wait_until("the others use the remaining slots", || async {
        executed_requests(&harness).await >= 36
    })
    .await;
    harness.signal(1, ProcessSignal::Kill);
    join_all(&mut cut_off).await;
    wait_until("the daemon's heartbeat has ended", || async {
        harness.log(0).contains("lost its heartbeat")
    })
    .await;
    wait_until_withheld_slots_are_released(&harness).await;
    let before = executed_requests(&harness).await;
    wait_until("the survivors serve requests", || async {
        executed_requests(&harness).await > before + 200
    })
    .await;
    stop_flag.store(true, Ordering::Relaxed);
    join_all(&mut tasks).await;
    assert_nothing_was_refused(&harness).await;
    let mut harness = Arc::try_unwrap(harness).expect("every task has ended");
    let _ = harness.wait_for_exit(1).await;
    harness.stop().await;
}

/// Guards against a resumed daemon that sends requests on grants that expired while it was frozen.
#[tokio::test]
async fn the_limit_holds_after_a_daemon_was_frozen() {
    let harness = start().await;
    let stop_flag = Arc::new(AtomicBool::new(false));
    let mut tasks = JoinSet::new();
    flood(&harness, 1, &stop_flag, &mut tasks);
    wait_until("the daemon uses slots", || async {
        executed_requests(&harness).await >= 40
    })
    .await;
    harness.signal(1, ProcessSignal::Freeze);
    for daemon in [0, 2, 0, 2] {
        flood(&harness, daemon, &stop_flag, &mut tasks);
    }
    wait_until("the daemon's heartbeat has ended", || async {
        harness.log(0).contains("lost its heartbeat")
    })
    .await;
    wait_until_withheld_slots_are_released(&harness).await;
    // These requests wait in the daemon's socket buffer until it resumes.
    flood(&harness, 1, &stop_flag, &mut tasks);
    harness.signal(1, ProcessSignal::Resume);
    wait_until("the daemon is a member again", || async {
        harness.log(0).matches("joined").count() >= 4
    })
    .await;
    let before = executed_requests(&harness).await;
    wait_until("all daemons serve requests", || async {
        executed_requests(&harness).await > before + 300
    })
    .await;
    stop_flag.store(true, Ordering::Relaxed);
    join_all(&mut tasks).await;
    assert_nothing_was_refused(&harness).await;
    stop(harness).await;
}
