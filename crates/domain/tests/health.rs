//! Tests of instance health with a dispatcher and simulated instances.

use quickcheck::{Gen, QuickCheck};
use rosemaryscale_domain::health::{EjectionEvidence, HealthChange, Observation, PoolHealth};
use rosemaryscale_domain::prelude::*;

mod simulation;

use simulation::{Behaviour, Simulation, domain};

fn check(seed: u64) -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, seed))
        .tests(60)
}

/// Checks random fault sequences against these errors: more than half of a pool ejected, requests
/// sent to ejected instances or after their deadline, a second run of a request that must not be
/// repeated, and a wrong "not run" refusal. The simulation asserts each of them in every step.
#[test]
fn invariants_hold_under_any_fault_sequence() {
    fn property(size: u8, schedule: Vec<(u8, Behaviour, bool)>) {
        let mut simulation = Simulation::new(usize::from(size % 9) + 1, u64::from(size));
        for (target, behaviour, repeatable) in schedule {
            let index = usize::from(target) % simulation.instances.len();
            let instance = simulation.instances[index];
            simulation.behaviour.insert(instance, behaviour);
            simulation.submit_load(300, 3, repeatable);
        }
        simulation.run(2_100);
        assert!(simulation.dispatcher.is_empty(), "a request never ended");
    }
    check(1).quickcheck(property as fn(u8, Vec<(u8, Behaviour, bool)>));
}

/// A fault of the whole service, in which all instances fail the same share of their requests, must
/// not eject instances.
#[test]
fn a_fault_of_the_whole_service_ejects_nothing() {
    fn property(size: u8, percent: u8, seed: u64) {
        let mut simulation = Simulation::new(usize::from(size % 8) + 2, seed);
        let percent = percent % 101;
        for instance in simulation.instances.clone() {
            let errors = Behaviour::Errors(percent);
            simulation.behaviour.insert(instance, errors);
        }
        simulation.submit_load(3_000, 1, false);
        assert_eq!(simulation.ejections(), 0, "at {percent} percent");
    }
    check(2).quickcheck(property as fn(u8, u8, u64));
}

/// An instance that fails requests immediately is always the least loaded one, so without an
/// ejection it would attract the whole load.
#[test]
fn an_instance_that_fails_all_requests_is_ejected_quickly() {
    fn property(size: u8, others_percent: u8, seed: u64) {
        let mut simulation = Simulation::new(usize::from(size % 8) + 2, seed);
        let failing = simulation.instances[0];
        for instance in simulation.instances.clone() {
            let errors = Behaviour::Errors(others_percent % 31);
            simulation.behaviour.insert(instance, errors);
        }
        simulation.behaviour.insert(failing, Behaviour::Errors(100));
        for _ in 0..30_000 {
            simulation.submit(false);
            simulation.run(1);
            if simulation.is_ejected(failing) {
                break;
            }
        }
        assert!(
            simulation.is_ejected(failing),
            "the failing instance was never ejected"
        );
        let sent = simulation.sent[&failing];
        assert!(sent <= 40, "{sent} requests were sent to it");
    }
    check(3).quickcheck(property as fn(u8, u8, u64));
}

/// An instance that answers its probe but fails all requests must not get more than one request at
/// a time on trial, and its probe pauses must grow.
#[test]
fn probe_pauses_grow_while_trials_fail() {
    let mut simulation = Simulation::new(6, 7);
    simulation.probe_always_succeeds = true;
    let failing = simulation.instances[0];
    simulation.behaviour.insert(failing, Behaviour::Errors(100));
    simulation.submit_load(200_000, 5, true);
    let pauses: Vec<u64> = simulation
        .changes
        .iter()
        .filter_map(|(_, _, change)| match change {
            HealthChange::Ejected { pause_ms, .. } => Some(*pause_ms),
            _ => None,
        })
        .collect();
    let expected = [1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 60_000];
    assert_eq!(pauses[..expected.len()], expected);
    assert!(
        simulation.sent[&failing] < 60,
        "{}",
        simulation.sent[&failing]
    );
}

/// The instances of an unavailable zone must be ejected, and must return when the zone recovers.
#[test]
fn an_unavailable_zone_is_ejected_and_returns() {
    let mut simulation = Simulation::new(9, 7);
    let zone: Vec<InstanceKey> = (0..9)
        .filter(|number| domain(*number).zone == domain(0).zone)
        .map(|number| simulation.instances[number])
        .collect();
    for instance in &zone {
        let down = Behaviour::RefusesConnections;
        simulation.behaviour.insert(*instance, down);
    }
    simulation.submit_load(1_000, 2, false);
    assert_eq!(simulation.ejected(), zone.len());
    assert_eq!(
        simulation.refused, 0,
        "requests were refused despite free capacity"
    );
    for instance in &zone {
        simulation.behaviour.insert(*instance, Behaviour::Healthy);
    }
    simulation.submit_load(9_000, 2, false);
    let returned = |instance: &InstanceKey| {
        simulation
            .changes
            .iter()
            .any(|(_, other, change)| other == instance && *change == HealthChange::Returned)
    };
    assert!(zone.iter().all(returned), "{:?}", simulation.changes);
}

/// If more than half of a pool is unreachable, the ejection limit holds, and the unreachable
/// instances beyond the limit must cost few requests.
#[test]
fn unreachable_instances_beyond_the_ejection_limit_get_few_requests() {
    let mut simulation = Simulation::new(9, 7);
    for instance in &simulation.instances[2..] {
        let down = Behaviour::RefusesConnections;
        simulation.behaviour.insert(*instance, down);
    }
    simulation.submit_load(10_000, 5, false);
    assert_eq!(simulation.ejected(), 4);
    let sent_to_down: u64 = simulation.instances[2..]
        .iter()
        .map(|instance| simulation.sent[instance])
        .sum();
    assert!(
        sent_to_down <= 60,
        "{sent_to_down} of 2000 requests were sent to unreachable instances"
    );
    // A request ends after four attempts, all of which can go to unreachable instances before they are
    // detected.
    assert!(simulation.refused <= 5, "{} refused", simulation.refused);
}

/// Overload must not be treated as a fault, and an instance that keeps refusing requests must get
/// few of them.
#[test]
fn overload_refusals_eject_nothing() {
    let mut simulation = Simulation::new(4, 7);
    let overloaded = simulation.instances[0];
    simulation
        .behaviour
        .insert(overloaded, Behaviour::Overloaded);
    simulation.submit_load(5_000, 5, false);
    assert_eq!(simulation.ejections(), 0);
    assert!(
        simulation.sent[&overloaded] <= 40,
        "{}",
        simulation.sent[&overloaded]
    );
    assert_eq!(
        simulation.refused, 0,
        "requests were refused despite free capacity"
    );
}

/// Late failures of exchanges that were sent before a trial must not end the trial.
#[test]
fn failures_from_before_a_trial_do_not_count_in_it() {
    let mut keys: SlotMap<InstanceKey, ()> = SlotMap::with_key();
    let instances: Vec<InstanceKey> = (0..4).map(|_| keys.insert(())).collect();
    let mut health = PoolHealth::default();
    let start = Millis::from_ms(1_000);
    for (number, instance) in instances.iter().enumerate() {
        health.insert(*instance, domain(number), Millis::ZERO);
    }
    for _ in 0..3 {
        health.record_exchange(instances[0], Observation::ConnectFailed, start, start);
    }
    health.eject_unhealthy(start);
    assert!(health.is_ejected(instances[0]));
    let later = start.after_ms(1_000);
    assert_eq!(health.due_probes(later), [instances[0]]);
    health.record_probe(instances[0], true, later);
    let end = later.after_ms(10);
    health.record_exchange(instances[0], Observation::TimedOut, start, end);
    assert!(!health.is_ejected(instances[0]));
    health.record_exchange(instances[0], Observation::TimedOut, end, end);
    assert!(health.is_ejected(instances[0]));
}

/// An unreachable instance must be detected quickly: connect failures, a missing entry in the
/// platform's list and reports of peers add up, but eject nothing without a connect failure.
#[test]
fn unreachability_signals_add_up() {
    let now = Millis::from_ms(1_000);
    // Connect failures, missing from the list, reporting peers, and whether it is ejected.
    let cases = [
        (0, true, 3, false),
        (1, false, 0, false),
        (1, false, 1, false),
        (1, false, 2, true),
        (2, false, 1, true),
        (1, true, 0, true),
        (3, false, 0, true),
    ];
    for (connect_failures, unlisted, peers, ejected) in cases {
        let mut keys: SlotMap<InstanceKey, ()> = SlotMap::with_key();
        let instances: Vec<InstanceKey> = (0..4).map(|_| keys.insert(())).collect();
        let mut health = PoolHealth::default();
        for (number, instance) in instances.iter().enumerate() {
            health.insert(*instance, domain(number), Millis::ZERO);
        }
        health.set_unlisted(instances[0], unlisted);
        for peer in 0..peers {
            let name: Arc<str> = format!("entry-{peer}").into();
            health.record_peer_refusal(instances[0], Arc::clone(&name), now);
            health.record_peer_refusal(instances[0], name, now);
        }
        for _ in 0..connect_failures {
            health.record_exchange(instances[0], Observation::ConnectFailed, now, now);
        }
        health.eject_unhealthy(now);
        let case = (connect_failures, unlisted, peers);
        assert_eq!(health.is_ejected(instances[0]), ejected, "{case:?}");
    }
}

/// Guards against an ejection that cannot be explained afterwards, and against evidence that includes
/// a report that no longer counts.
#[test]
fn an_ejection_states_its_evidence() {
    let mut keys: SlotMap<InstanceKey, ()> = SlotMap::with_key();
    let instances: Vec<InstanceKey> = (0..4).map(|_| keys.insert(())).collect();
    let mut health = PoolHealth::default();
    for (number, instance) in instances.iter().enumerate() {
        health.insert(*instance, domain(number), Millis::ZERO);
    }
    let now = Millis::from_ms(20_000);
    for (peer, at_ms) in [
        ("entry-1", 10_000),
        ("entry-2", 10_001),
        ("entry-3", 15_000),
    ] {
        health.record_peer_refusal(instances[0], peer.into(), Millis::from_ms(at_ms));
    }
    health.record_exchange(instances[0], Observation::TimedOut, now, now);
    health.record_exchange(instances[0], Observation::ConnectFailed, now, now);
    health.eject_unhealthy(now);
    let evidence = EjectionEvidence {
        failures: 2,
        connect_failures: 1,
        peer_reports: 2,
    };
    let change = HealthChange::Ejected {
        pause_ms: 1_000,
        evidence,
    };
    assert_eq!(health.take_changes(), [(instances[0], change)]);
}

/// When two of the three instances of a zone are ejected, one connect failure must eject the third
/// one instead of the usual three.
#[test]
fn remaining_instances_of_an_unavailable_zone_are_ejected_sooner() {
    let mut keys: SlotMap<InstanceKey, ()> = SlotMap::with_key();
    let instances: Vec<InstanceKey> = (0..9).map(|_| keys.insert(())).collect();
    let mut health = PoolHealth::default();
    let now = Millis::from_ms(1_000);
    for (number, instance) in instances.iter().enumerate() {
        health.insert(*instance, domain(number), Millis::ZERO);
    }
    for (number, connect_failures) in [(0, 3), (3, 3), (6, 1), (1, 1)] {
        for _ in 0..connect_failures {
            health.record_exchange(instances[number], Observation::ConnectFailed, now, now);
        }
        health.eject_unhealthy(now);
    }
    let ejected = [0, 3, 6, 1].map(|number| health.is_ejected(instances[number]));
    assert_eq!(ejected, [true, true, true, false]);
}
