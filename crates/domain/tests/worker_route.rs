//! The choice of the daemon that holds the link to each worker.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::worker_route::{GatewayOffer, Route, RoutePlan};

fn offer(name: &str, zone: &str, processor_milli: u64) -> GatewayOffer {
    GatewayOffer {
        name: name.into(),
        address: "10.0.0.1:7060".into(),
        availability_zone: zone.into(),
        processor_milli,
    }
}

/// A plan with one connected gateway for each offer.
fn connected(offers: Vec<GatewayOffer>) -> (RoutePlan, Vec<GatewayKey>) {
    let mut plan = RoutePlan::default();
    let added = plan.offered(offers).added;
    for key in &added {
        plan.connected(*key);
    }
    (plan, added)
}

fn open(plan: &mut RoutePlan, count: usize, zone: &str) -> Vec<WorkerKey> {
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let workers: Vec<WorkerKey> = (0..count).map(|_| keys.insert(())).collect();
    for worker in &workers {
        plan.open(*worker, "10.0.1.1:80".into(), zone.into());
    }
    workers
}

fn loads(plan: &RoutePlan) -> Vec<usize> {
    let mut loads: Vec<usize> = plan.loads().map(|(_, workers)| workers).collect();
    loads.sort_unstable();
    loads
}

/// Guards against a leader that keeps or loses links while no gateway can hold them.
#[test]
fn the_leader_holds_links_that_no_gateway_takes() {
    let mut plan = RoutePlan::default();
    let workers = open(&mut plan, 3, "a");
    let key = plan.offered(vec![offer("g", "a", 500)]).added[0];
    assert!(
        workers.iter().all(|w| plan.route(*w) == Some(Route::Local)),
        "a gateway that is not connected holds no link"
    );
    assert!(!plan.should_reroute(workers[0]));
    plan.connected(key);
    assert!(plan.should_reroute(workers[0]));
    assert_eq!(plan.reroute(workers[0]), Some(Route::Gateway(key)));
}

/// Guards against one gateway that gets most links, or more than its share of a processor can serve.
#[test]
fn links_are_spread_by_processor_share_up_to_a_limit() {
    let offers = vec![offer("g1", "a", 500), offer("g2", "a", 250)];
    let (mut plan, _) = connected(offers);
    open(&mut plan, 90, "a");
    assert_eq!(loads(&plan), [30, 60]);
    let (mut plan, _) = connected(vec![offer("g", "a", 300)]);
    let workers = open(&mut plan, 150, "a");
    assert_eq!(loads(&plan), [100]);
    let local = workers
        .iter()
        .filter(|w| plan.route(**w) == Some(Route::Local));
    assert_eq!(local.count(), 50);
}

/// Guards against traffic between zones where a gateway of the worker's zone has room.
#[test]
fn a_gateway_in_the_zone_of_the_worker_is_preferred() {
    let (mut plan, keys) = connected(vec![offer("g1", "a", 500), offer("g2", "b", 500)]);
    let workers = open(&mut plan, 1, "b");
    assert_eq!(plan.route(workers[0]), Some(Route::Gateway(keys[1])));
    let mut plan = connected(vec![offer("g1", "a", 500), offer("g2", "b", 500)]).0;
    open(&mut plan, 50, "b");
    assert_eq!(
        loads(&plan),
        [20, 30],
        "the other zone takes part of a large load"
    );
}

/// Guards against gateways on instances that are too small beside large ones, and against too many.
#[test]
fn only_the_largest_instances_become_gateways() {
    let mut plan = RoutePlan::default();
    let offers = vec![offer("small", "a", 120), offer("large", "a", 500)];
    let added = plan.offered(offers).added;
    assert_eq!(added.len(), 1);
    assert_eq!(plan.offer(added[0]).map(|o| &*o.name), Some("large"));
    let many = (0..147)
        .map(|i| offer(&format!("g{i:03}"), "a", 120))
        .collect();
    assert_eq!(RoutePlan::default().offered(many).added.len(), 24);
}

/// Guards against workers that keep the route of a lost gateway.
#[test]
fn the_links_of_a_lost_gateway_move() {
    let (mut plan, keys) = connected(vec![offer("g1", "a", 500), offer("g2", "a", 500)]);
    open(&mut plan, 40, "a");
    let moved = plan.lost(keys[0]);
    assert_eq!(moved.len(), 20);
    assert!(
        moved
            .iter()
            .all(|(_, route)| *route == Route::Gateway(keys[1]))
    );
    assert_eq!(loads(&plan), [40]);
    let moved = plan.lost(keys[1]);
    assert!(moved.iter().all(|(_, route)| *route == Route::Local));
    assert_eq!(moved.len(), 40);
}

/// Guards against an expired offer that ends a working connection, and against connections to daemons
/// that are gone.
#[test]
fn a_connected_gateway_stays_without_its_offer() {
    let offers = vec![offer("g1", "a", 500), offer("g2", "a", 500)];
    let mut plan = RoutePlan::default();
    let added = plan.offered(offers).added;
    plan.connected(added[0]);
    let changes = plan.offered(Vec::new());
    assert_eq!(changes.removed, [added[1]]);
    plan.lost(added[0]);
    assert_eq!(plan.offered(Vec::new()).removed, [added[0]]);
}

/// Guards against a stopping gateway that cuts the calls in flight: its workers must move first.
#[test]
fn a_leaving_gateway_hands_over_its_workers() {
    let (mut plan, keys) = connected(vec![offer("g1", "a", 500), offer("g2", "a", 500)]);
    let workers = open(&mut plan, 2, "a");
    let of_first = workers
        .iter()
        .find(|w| plan.route(**w) == Some(Route::Gateway(keys[0])));
    let worker = *of_first.expect("one worker on each gateway");
    assert!(!plan.should_reroute(worker));
    plan.leaving(keys[0]);
    assert!(plan.should_reroute(worker));
    assert_eq!(plan.reroute(worker), Some(Route::Gateway(keys[1])));
}

/// Polls without an answer until the worker's route changes, and returns the new route.
fn next_route(plan: &mut RoutePlan, worker: WorkerKey) -> Option<Route> {
    plan.polled(worker, false);
    assert!(!plan.should_reroute(worker), "a single answer may be lost");
    plan.polled(worker, false);
    assert!(plan.should_reroute(worker));
    plan.reroute(worker)
}

/// Guards against a worker that stays with a gateway that does not reach it, that returns there while another
/// daemon reaches it, and that is not tried again after a cut from all daemons.
#[test]
fn a_worker_that_does_not_answer_is_tried_on_all_routes_in_turn() {
    let (mut plan, keys) = connected(vec![offer("g1", "a", 500), offer("g2", "b", 500)]);
    let worker = open(&mut plan, 1, "a")[0];
    let [first, second] = [keys[0], keys[1]].map(Route::Gateway);
    assert_eq!(plan.route(worker), Some(first));
    assert_eq!(next_route(&mut plan, worker), Some(second));
    assert_eq!(next_route(&mut plan, worker), Some(Route::Local));
    plan.polled(worker, true);
    assert!(!plan.should_reroute(worker), "the leader reaches it");
    assert_eq!(next_route(&mut plan, worker), Some(first));
    assert_eq!(next_route(&mut plan, worker), Some(second));
    assert_eq!(loads(&plan), [0, 1]);
}

/// Guards against a leader that opens its own link again and again while it has no gateway, and against one
/// that never returns a link to a gateway that has connected again.
#[test]
fn a_route_is_left_only_for_another_one() {
    let mut plan = RoutePlan::default();
    let worker = open(&mut plan, 1, "a")[0];
    for _ in 0..5 {
        plan.polled(worker, false);
        assert!(!plan.should_reroute(worker));
    }
    let (mut plan, keys) = connected(vec![offer("g1", "a", 500)]);
    let worker = open(&mut plan, 1, "a")[0];
    assert_eq!(next_route(&mut plan, worker), Some(Route::Local));
    plan.polled(worker, true);
    assert!(!plan.should_reroute(worker));
    plan.lost(keys[0]);
    plan.connected(keys[0]);
    assert!(plan.should_reroute(worker));
    assert_eq!(plan.reroute(worker), Some(Route::Gateway(keys[0])));
}

/// Opens the link to another address, as after an entry that contradicts the answers, and polls once without an
/// answer. Returns the route of the poll.
fn poll_at(plan: &mut RoutePlan, worker: WorkerKey, address: &str) -> Option<Route> {
    plan.close(worker);
    plan.open(worker, address.into(), "a".into());
    if plan.should_reroute(worker) {
        plan.reroute(worker);
    }
    plan.polled(worker, false);
    plan.route(worker)
}

/// Guards against a worker that is tried over one gateway only, for as long as two addresses of it are polled in
/// turn: each change of the address began the count of unanswered polls again.
#[test]
fn two_addresses_in_turn_are_tried_on_all_routes() {
    let offers = vec![offer("g1", "a", 500), offer("g2", "b", 500)];
    let (mut plan, keys) = connected(offers);
    let worker = open(&mut plan, 1, "a")[0];
    let [first, second] = [keys[0], keys[1]].map(Route::Gateway);
    let mut tried = [Vec::new(), Vec::new()];
    for _ in 0..6 {
        for (address, routes) in ["10.0.1.1:80", "10.0.1.2:80"].iter().zip(&mut tried) {
            routes.extend(poll_at(&mut plan, worker, address));
        }
    }
    let in_turn = [first, first, second, second, Route::Local, Route::Local];
    assert_eq!(tried, [in_turn, in_turn]);
    assert_eq!(loads(&plan).iter().sum::<usize>(), 0, "the leader holds it");
}

/// Guards against a new address that is not tried where a former one failed, against a known one that returns to
/// a route on which it did not answer, and against failures that outlive a new connection of the gateway.
#[test]
fn only_a_new_address_gets_new_tries() {
    let (mut plan, keys) = connected(vec![offer("g1", "a", 500), offer("g2", "b", 500)]);
    let worker = open(&mut plan, 1, "a")[0];
    let [first, second] = [keys[0], keys[1]].map(Route::Gateway);
    let reopen = |plan: &mut RoutePlan, address: &str| {
        plan.close(worker);
        plan.open(worker, address.into(), "a".into())
    };
    assert_eq!(next_route(&mut plan, worker), Some(second));
    plan.polled(worker, true);
    assert_eq!(reopen(&mut plan, "10.0.1.1:80"), second, "known");
    assert_eq!(reopen(&mut plan, "10.0.1.2:80"), first, "new");
    assert_eq!(reopen(&mut plan, "10.0.1.1:80"), second, "known");
    plan.close(worker);
    plan.lost(keys[0]);
    plan.connected(keys[0]);
    assert_eq!(reopen(&mut plan, "10.0.1.1:80"), first, "connected again");
}

/// Guards against memory that grows with each worker that ever was: the tries of closed links are bounded.
#[test]
fn the_tries_of_links_closed_long_ago_are_forgotten() {
    let (mut plan, keys) = connected(vec![offer("g1", "a", 500), offer("g2", "b", 500)]);
    let mut workers = SlotMap::<WorkerKey, ()>::with_key();
    let mut open_new = |plan: &mut RoutePlan| {
        let worker = workers.insert(());
        plan.open(worker, "10.0.1.1:80".into(), "a".into());
        worker
    };
    let worker = open_new(&mut plan);
    assert_eq!(next_route(&mut plan, worker), Some(Route::Gateway(keys[1])));
    plan.close(worker);
    for _ in 0..2_000 {
        let other = open_new(&mut plan);
        plan.close(other);
    }
    let route = plan.open(worker, "10.0.1.1:80".into(), "a".into());
    assert_eq!(route, Route::Gateway(keys[0]));
}
