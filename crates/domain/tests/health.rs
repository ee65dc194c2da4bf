//! Health of instances, seen through a dispatcher with simulated instances.

use quickcheck::{Gen, QuickCheck};
use rosemaryscale_domain::health::{HealthChange, Observation, PoolHealth};
use rosemaryscale_domain::prelude::*;

mod simulation;

use simulation::{Behaviour, Simulation, domain};

fn check(seed: u64) -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, seed))
        .tests(60)
}

/// Guards against an ejection of more than half of a pool, work for ejected instances, a second run
/// of work that must not be repeated, a false "not run" and work sent after its deadline, under any
/// sequence of faults. The simulation asserts each of these at every step.
#[test]
fn any_sequence_of_faults_keeps_the_bounds() {
    fn property(size: u8, schedule: Vec<(u8, Behaviour, bool)>) {
        let mut simulation = Simulation::new(usize::from(size % 9) + 1, u64::from(size));
        for (target, behaviour, repeatable) in schedule {
            let index = usize::from(target) % simulation.instances.len();
            let instance = simulation.instances[index];
            simulation.behaviour.insert(instance, behaviour);
            simulation.load(300, 3, repeatable);
        }
        simulation.run(2_100);
        assert!(simulation.dispatcher.is_empty(), "a request never ended");
    }
    check(1).quickcheck(property as fn(u8, Vec<(u8, Behaviour, bool)>));
}

/// Guards against a fault of the whole service that ejects instances: all of them fail the same
/// share of their requests.
#[test]
fn a_fault_of_the_whole_service_ejects_nothing() {
    fn property(size: u8, percent: u8, seed: u64) {
        let mut simulation = Simulation::new(usize::from(size % 8) + 2, seed);
        let percent = percent % 101;
        for instance in simulation.instances.clone() {
            let errors = Behaviour::Errors(percent);
            simulation.behaviour.insert(instance, errors);
        }
        simulation.load(3_000, 1, false);
        assert_eq!(simulation.ejections(), 0, "at {percent} percent");
    }
    check(2).quickcheck(property as fn(u8, u8, u64));
}

/// Guards against an instance that fails everything at once, is therefore the least loaded, and
/// draws the whole load to itself.
#[test]
fn an_instance_that_fails_everything_is_ejected_after_few_requests() {
    fn property(size: u8, others_percent: u8, seed: u64) {
        let mut simulation = Simulation::new(usize::from(size % 8) + 2, seed);
        let bad = simulation.instances[0];
        for instance in simulation.instances.clone() {
            let errors = Behaviour::Errors(others_percent % 31);
            simulation.behaviour.insert(instance, errors);
        }
        simulation.behaviour.insert(bad, Behaviour::Errors(100));
        for _ in 0..30_000 {
            simulation.submit(false);
            simulation.run(1);
            if simulation.is_ejected(bad) {
                break;
            }
        }
        assert!(simulation.is_ejected(bad), "it was never ejected");
        let sent = simulation.sent[&bad];
        assert!(sent <= 40, "{sent} requests were lost to it");
    }
    check(3).quickcheck(property as fn(u8, u8, u64));
}

/// Guards against an instance that answers its probe and fails everything else: it must not come
/// back for more than one request at a time, and its pauses must grow.
#[test]
fn pauses_grow_while_trials_fail() {
    let mut simulation = Simulation::new(6, 7);
    simulation.probe_lies = true;
    let bad = simulation.instances[0];
    simulation.behaviour.insert(bad, Behaviour::Errors(100));
    simulation.load(200_000, 5, true);
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
    assert!(simulation.sent[&bad] < 60, "{}", simulation.sent[&bad]);
}

/// Guards against a lost availability zone that stays in use or never comes back.
#[test]
fn a_lost_zone_is_ejected_and_returns() {
    let mut simulation = Simulation::new(9, 7);
    let zone: Vec<InstanceKey> = (0..9)
        .filter(|number| domain(*number).zone == domain(0).zone)
        .map(|number| simulation.instances[number])
        .collect();
    for instance in &zone {
        let lost = Behaviour::RefusesConnections;
        simulation.behaviour.insert(*instance, lost);
    }
    simulation.load(1_000, 2, false);
    assert_eq!(simulation.ejected(), zone.len());
    assert_eq!(simulation.refused, 0, "work was refused with capacity left");
    for instance in &zone {
        simulation.behaviour.insert(*instance, Behaviour::Good);
    }
    simulation.load(9_000, 2, false);
    let returned = |instance: &InstanceKey| {
        simulation
            .changes
            .iter()
            .any(|(_, other, change)| other == instance && *change == HealthChange::Returned)
    };
    assert!(zone.iter().all(returned), "{:?}", simulation.changes);
}

/// Guards against the loss of more than half of a pool: the rest is ejected no further, and the
/// lost instances beyond the limit cost few requests.
#[test]
fn beyond_the_ejection_limit_lost_instances_get_little_work() {
    let mut simulation = Simulation::new(9, 7);
    for instance in &simulation.instances[2..] {
        let lost = Behaviour::RefusesConnections;
        simulation.behaviour.insert(*instance, lost);
    }
    simulation.load(10_000, 5, false);
    assert_eq!(simulation.ejected(), 4);
    let lost_sends: u64 = simulation.instances[2..]
        .iter()
        .map(|instance| simulation.sent[instance])
        .sum();
    assert!(lost_sends <= 60, "{lost_sends} of 2000 were sent to them");
    // A request ends after four attempts, which can all meet lost instances before they are
    // noticed.
    assert!(simulation.refused <= 5, "{} refused", simulation.refused);
}

/// Guards against overload that is taken for illness, and against work for an instance that keeps
/// refusing it.
#[test]
fn refusals_as_not_run_eject_nothing() {
    let mut simulation = Simulation::new(4, 7);
    let busy = simulation.instances[0];
    simulation.behaviour.insert(busy, Behaviour::Overloaded);
    simulation.load(5_000, 5, false);
    assert_eq!(simulation.ejections(), 0);
    assert!(simulation.sent[&busy] <= 40, "{}", simulation.sent[&busy]);
    assert_eq!(simulation.refused, 0, "work was refused with capacity left");
}

/// Guards against results that arrive late: failures of exchanges that were sent before a trial
/// must not end it.
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
        health.observe(instances[0], Observation::ConnectFailed, start, start);
    }
    health.eject_ill(start);
    assert!(health.is_ejected(instances[0]));
    let later = start.after_ms(1_000);
    assert_eq!(health.due_probes(later), [instances[0]]);
    health.probed(instances[0], true, later);
    let end = later.after_ms(10);
    health.observe(instances[0], Observation::TimedOut, start, end);
    assert!(!health.is_ejected(instances[0]));
    health.observe(instances[0], Observation::TimedOut, end, end);
    assert!(health.is_ejected(instances[0]));
}

/// Guards against slow notice of an instance that is gone: the lack in the platform's list, failed
/// connects and peers' observations count together, but none of them without a failed connect.
#[test]
fn the_signs_of_an_instance_that_is_gone_count_together() {
    let now = Millis::from_ms(1_000);
    // Failed connects, absent from the list, peers that report it, and whether it is ejected.
    let cases = [
        (0, true, 3, false),
        (1, false, 0, false),
        (1, false, 1, false),
        (1, false, 2, true),
        (2, false, 1, true),
        (1, true, 0, true),
        (3, false, 0, true),
    ];
    for (connects, absent, peers, ejected) in cases {
        let mut keys: SlotMap<InstanceKey, ()> = SlotMap::with_key();
        let instances: Vec<InstanceKey> = (0..4).map(|_| keys.insert(())).collect();
        let mut health = PoolHealth::default();
        for (number, instance) in instances.iter().enumerate() {
            health.insert(*instance, domain(number), Millis::ZERO);
        }
        health.set_absent(instances[0], absent);
        for peer in 0..peers {
            let name: Arc<str> = format!("entry-{peer}").into();
            health.peer_refused(instances[0], Arc::clone(&name), now);
            health.peer_refused(instances[0], name, now);
        }
        for _ in 0..connects {
            health.observe(instances[0], Observation::ConnectFailed, now, now);
        }
        health.eject_ill(now);
        let case = (connects, absent, peers);
        assert_eq!(health.is_ejected(instances[0]), ejected, "{case:?}");
    }
}

/// Guards against a failed connect to each instance of a lost zone for each of three times: when
/// two of its three instances are ejected, one failed connect ejects the third.
#[test]
fn the_rest_of_a_lost_zone_is_ejected_sooner() {
    let mut keys: SlotMap<InstanceKey, ()> = SlotMap::with_key();
    let instances: Vec<InstanceKey> = (0..9).map(|_| keys.insert(())).collect();
    let mut health = PoolHealth::default();
    let now = Millis::from_ms(1_000);
    for (number, instance) in instances.iter().enumerate() {
        health.insert(*instance, domain(number), Millis::ZERO);
    }
    for (number, connects) in [(0, 3), (3, 3), (6, 1), (1, 1)] {
        for _ in 0..connects {
            health.observe(instances[number], Observation::ConnectFailed, now, now);
        }
        health.eject_ill(now);
    }
    let ejected = [0, 3, 6, 1].map(|number| health.is_ejected(instances[number]));
    assert_eq!(ejected, [true, true, true, false]);
}
