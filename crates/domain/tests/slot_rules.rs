//! Properties of slot leasing that need no simulation: owners, fair allocation and connection
//! limits.

use quickcheck::{Gen, QuickCheck};
use rosemaryscale_domain::Dispatcher;
use rosemaryscale_domain::dispatch::DispatchPolicy;
use rosemaryscale_domain::health::FaultDomain;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::{ClassIndex, RequestInfo};
use rosemaryscale_domain::slots::{SlotCapacity, fair_targets, owner_of, view_id};

const SEED: u64 = 0x40;
/// Computed independently of this code, with SHA-256 over each part, prefixed by its length as 8
/// bytes.
const EXPECTED_OWNERS: [&str; 4] = ["entry-9", "entry-2", "entry-9", "entry-8"];
const EXPECTED_VIEW: u64 = 1268969292875055805;

fn members(count: usize) -> Vec<Arc<str>> {
    (1..=count)
        .map(|number| format!("entry-{number}").into())
        .collect()
}

fn check_property<A: quickcheck::Testable>(property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(300)
        .quickcheck(property);
}

/// Guards against a hash that differs between versions, which would give an instance two owners
/// during a rolling upgrade.
#[test]
fn owners_are_stable_across_versions() {
    let members = members(9);
    let owners: Vec<&str> = ["quotes-1", "quotes-2", "stores-1", "stores-2"]
        .iter()
        .filter_map(|instance| owner_of(instance, &members).map(|owner| &**owner))
        .collect();
    assert_eq!(owners, EXPECTED_OWNERS);
    let view = view_id([("entry-1", "a"), ("entry-2", "b")].into_iter());
    assert_eq!(view.0, EXPECTED_VIEW);
}

/// Guards against a leaving member that changes the owner of instances it was not the owner of.
#[test]
fn only_the_instances_of_a_leaving_member_change_their_owner() {
    let all = members(9);
    for leaving in &all {
        let others: Vec<Arc<str>> = all.iter().filter(|m| *m != leaving).cloned().collect();
        for number in 0..200 {
            let instance = format!("instance-{number}");
            let before = owner_of(&instance, &all);
            if before != Some(leaving) {
                assert_eq!(owner_of(&instance, &others), before);
            }
        }
    }
    assert_eq!(owner_of("instance-1", &[]), None);
}

/// Guards against an allocation that exceeds the total, leaves a wanted slot unused, or gives one
/// holder at least two slots more than another whose demand is unmet.
#[test]
fn allocation_is_fair_and_complete() {
    fn holds(demands: Vec<u8>, total: u8, first: u8) -> bool {
        let demands: Vec<u32> = demands.into_iter().map(u32::from).collect();
        let total = u32::from(total);
        let targets = fair_targets(&demands, total, usize::from(first));
        let sum: u32 = targets.iter().sum();
        let complete = sum == total.min(demands.iter().sum());
        let pairs = || targets.iter().zip(&demands);
        let within = pairs().all(|(target, demand)| target <= demand);
        let unmet = pairs().filter(|(target, demand)| target < demand);
        let min_unmet = unmet.map(|(target, _)| *target).min();
        let max_target = targets.iter().copied().max().unwrap_or_default();
        complete && within && min_unmet.is_none_or(|min_unmet| max_target <= min_unmet + 1)
    }
    check_property(holds as fn(Vec<u8>, u8, u8) -> bool);
}

/// Guards against holders that together exceed the connection limit of the instance or use the
/// connections reserved for those of a replaced daemon.
#[test]
fn connections_of_all_holders_leave_the_reserve_free() {
    fn holds(split: Vec<u8>, slots: u8, connections: u8) -> bool {
        let slots = u32::from(slots % 32) + 1;
        let connections = slots + u32::from(connections);
        let capacity = SlotCapacity {
            slots,
            connections,
            request_limit_ms: 1_000,
        };
        let demands: Vec<u32> = split.into_iter().map(u32::from).collect();
        let grants = fair_targets(&demands, slots, 0);
        let open_connections = grants.iter().map(|grant| capacity.connections_for(*grant));
        let reserve = 8.min(connections - slots);
        let usable = grants
            .iter()
            .all(|grant| capacity.connections_for(*grant) >= *grant);
        open_connections.sum::<u32>() <= connections - reserve && usable
    }
    check_property(holds as fn(Vec<u8>, u8, u8) -> bool);
}

/// Guards against a daemon that resumes after the end of its lease and sends queued requests before
/// its slot task has run.
#[test]
fn a_dispatcher_sends_nothing_after_the_end_of_its_lease() {
    let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
    let mut callers: SlotMap<CallerKey, ()> = SlotMap::with_key();
    let instance = instances.insert(());
    let mut dispatcher = Dispatcher::new(DispatchPolicy::with_single_class(10, 4, 100_000));
    let domain = FaultDomain {
        rack: "rack".into(),
        zone: "zone".into(),
    };
    dispatcher.add_instance(instance, domain, false, Millis::ZERO);
    dispatcher.set_usable_slots(instance, 8, Millis::from_ms(100));
    for _ in 0..2 {
        let info = RequestInfo {
            caller: callers.insert(()),
            class: ClassIndex(0),
            arrived: Millis::ZERO,
            deadline: Millis::from_ms(10_000),
            repeatable: false,
            keyed: false,
        };
        assert!(dispatcher.submit(info).is_ok());
    }
    assert!(dispatcher.advance(Millis::from_ms(100)).is_empty());
    assert!(!dispatcher.is_usable(instance, Millis::from_ms(100)));
    assert_eq!(dispatcher.advance(Millis::from_ms(99)).len(), 2);
    assert!(dispatcher.is_usable(instance, Millis::from_ms(99)));
}
