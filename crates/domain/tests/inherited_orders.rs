//! Orders to instances that a former leader has sent, and that may be carried out under its successor.

mod scheduler_harness;

use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{InstanceState, WaveRequest};
use scheduler_harness::{SchedulerHarness, job, step};

/// Time after which an order without an answer is not carried out any more.
const LATE_ORDER_MS: u64 = 12_500;

fn wave() -> WaveRequest {
    WaveRequest {
        number: 1,
        instances: vec!["machine-w0".into(), "machine-w1".into()],
        duration_ms: 60_000,
        down_max: 1,
    }
}

/// Two idle workers on instances, an order of maintenance for the first one on its way, and a planned stop of the leader that
/// sent it.
fn with_order_on_its_way() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(2);
    for worker in ["w0", "w1"] {
        harness.add_instance(&format!("machine-{worker}"), "service", Some(worker));
    }
    harness.run_for(1_100);
    harness.complete_orders = false;
    harness.scheduler.wave_requested(wave(), harness.now);
    harness.run_for(200);
    assert_eq!(ordered(&harness), ["machine-w0"]);
    harness.release();
    harness.change_leader();
    harness
}

fn ordered(harness: &SchedulerHarness) -> Vec<&str> {
    let orders = harness.instance_orders.iter();
    orders.map(|(name, _)| &**name).collect()
}

/// Guards against work that an order of the former leader ends: it reaches the platform after the successor has used the
/// instance (AVAIL, and work thrown away).
#[test]
fn an_instance_with_an_order_on_its_way_gets_no_work() {
    let mut harness = with_order_on_its_way();
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(1_000);
    assert!(harness.workers[0].running.is_empty());
    assert_eq!(harness.workers[1].running.len(), 4);
}

/// Guards against the same over a second planned stop, of a leader that has ordered nothing itself.
#[test]
fn an_order_on_its_way_is_handed_over_again() {
    let mut harness = with_order_on_its_way();
    harness.run_for(300);
    harness.release();
    harness.change_leader();
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(1_000);
    assert!(harness.workers[0].running.is_empty());
}

/// Guards against more instances in maintenance than the wave allows: that of the former leader begins beside one of its
/// successor (LIMIT). The successor may only repeat the order.
#[test]
fn an_order_on_its_way_counts_towards_the_limit_of_its_wave() {
    let mut harness = with_order_on_its_way();
    // The successor knows the other instance first.
    harness.instances.reverse();
    harness.scheduler.wave_requested(wave(), harness.now);
    harness.run_for(2_000);
    assert_eq!(ordered(&harness), ["machine-w0", "machine-w0"]);
}

/// Guards against an instance that stays unused, or a wave that stands still, since the order never arrives.
#[test]
fn an_order_that_never_arrives_holds_its_instance_for_a_time_only() {
    let mut harness = with_order_on_its_way();
    harness.run_for(LATE_ORDER_MS + 1_500);
    harness.submit("a", job(vec![step(8)], 3));
    harness.run_for(300);
    assert_eq!(harness.running().len(), 8);
}

/// Guards against an instance that stays unused although the list shows that the order has been carried out.
#[test]
fn an_order_that_was_carried_out_holds_its_instance_no_longer() {
    let mut harness = with_order_on_its_way();
    harness.crash(0);
    harness.scheduler.worker_unlisted("w0");
    harness.instances[0].worker = None;
    harness.instances[0].state = InstanceState::Maintenance;
    harness.run_for(2_000);
    harness.instances[0].worker = Some("w2".into());
    harness.instances[0].state = InstanceState::Up;
    harness.add_worker("w2", "service");
    harness.workers[2].report.instance = Arc::from("machine-w0");
    let report = harness.workers[2].report.clone();
    harness.scheduler.worker_listed(report, harness.now);
    harness.run_for(1_500);
    harness.submit("a", job(vec![step(8)], 3));
    harness.run_for(300);
    assert_eq!(harness.running().len(), 8);
}
