//! Tests of maintenance waves on a model of a fleet, with faults and changes of the controller.

#![allow(clippy::expect_used, reason = "test code fails loudly")]

use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rosemaryscale_domain::document::MaintenanceFields;
use rosemaryscale_domain::maintenance::{InstancePhase, PauseReason, Stage, StopReason};

#[path = "../examples/waves/model.rs"]
#[allow(dead_code, reason = "the example uses the rest")]
mod model;

#[path = "common/checked.rs"]
mod checked;

use checked::{CheckedPlanner, NextActions};
use model::{BadReboot, DAY_MS, Fleet, HOUR_MS, Model, STEP_MS};

const SEED: u64 = 0x5eed;
const BUDGET_PPM: u32 = 1_000;

/// Returns a fleet without random faults.
fn fleet(pools: &[(u32, u32)]) -> Fleet {
    Fleet {
        name: "test",
        pools: pools.to_vec(),
        zones: 3,
        failures_per_day: 0.0,
        restarts_per_day: 0.0,
        rack_failures_per_day: 0.0,
        zone_failures_per_day: 0.0,
    }
}

fn small_fleet() -> Fleet {
    fleet(&[(12, 4), (8, 4), (6, 5)])
}

/// Returns settings with a short period, so that schedules contain many drains.
fn short_period_fields() -> MaintenanceFields {
    MaintenanceFields {
        period_days: 1,
        parallel_instances: 3,
        parallel_per_pool: 3,
        ..MaintenanceFields::default()
    }
}

/// One event of a schedule.
#[derive(Clone, Copy, Debug)]
enum Event {
    Wait,
    Fail(usize),
    Restart(usize),
    RackLost(usize),
    StoreRefused,
    Crash(usize),
    ChangeController,
    Budget(u32),
    BadReboots(bool),
    DrainTime(u64),
    Resume,
}

impl Arbitrary for Event {
    fn arbitrary(source: &mut Gen) -> Self {
        let index = usize::arbitrary(source) % 26;
        match u8::arbitrary(source) % 24 {
            0..=1 => Self::Fail(index),
            2..=3 => Self::Restart(index),
            4 => Self::RackLost(index),
            5..=6 => Self::StoreRefused,
            7..=9 => Self::Crash(index % 4),
            10..=11 => Self::ChangeController,
            12 => Self::Budget(600),
            13 => Self::Budget(100),
            14 => Self::BadReboots(index % 3 == 0),
            15..=16 => Self::Resume,
            17 => Self::DrainTime(STEP_MS * (1 + index as u64)),
            _ => Self::Wait,
        }
    }
}

fn apply(event: Event, checked: &mut CheckedPlanner, model: &mut Model) {
    let key = |index: usize| model.instances.keys().nth(index);
    match event {
        Event::Wait => {}
        Event::Fail(index) => {
            let key = key(index).expect("an instance");
            model.fail(key, 3 * HOUR_MS);
        }
        Event::Restart(index) => {
            let key = key(index).expect("an instance");
            model.fail(key, 600_000);
        }
        Event::RackLost(index) => {
            let rack = model.instances[key(index).expect("an instance")].rack;
            let keys: Vec<_> = model.instances.keys().collect();
            for key in keys {
                if model.instances[key].rack == rack {
                    model.fail(key, HOUR_MS);
                }
            }
        }
        Event::StoreRefused => checked.next = NextActions::StoreRefused,
        Event::Crash(count) => checked.next = NextActions::CrashAfter(count),
        Event::ChangeController => checked.change_controller(),
        Event::Budget(failed_ppm) => model.failed_ppm_override = Some(failed_ppm),
        Event::BadReboots(on) => model.bad = on.then_some((model.now, BadReboot::FailLater)),
        Event::DrainTime(ms) => model.drain_ms = ms,
        Event::Resume => {
            checked.planner.resume();
            checked.stopped = false;
        }
    }
}

/// Guards against a drain that exceeds a limit, and a reboot that interrupts requests, is repeated
/// after a change of the controller or happens after a stop.
#[test]
fn no_schedule_exceeds_a_limit() {
    fn holds(events: Vec<Event>) -> Result<(), String> {
        let fields = MaintenanceFields {
            parallel_per_pool: 1 + events.len() as u32 % 3,
            ..short_period_fields()
        };
        let mut checked = CheckedPlanner::new(fields);
        let mut model = Model::new(&small_fleet(), BUDGET_PPM, SEED);
        model.drain_ms = HOUR_MS / 2;
        for event in &events {
            apply(*event, &mut checked, &mut model);
            checked.run_for(&mut model, 20 * 60_000);
        }
        match checked.violations.first() {
            None => Ok(()),
            Some(mistake) => Err(mistake.clone()),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, SEED))
        .tests(100)
        .quickcheck(holds as fn(Vec<Event>) -> Result<(), String>);
}

/// Guards against instances that are never maintained, and against many reboots at once at the end of
/// the period. The failure rate per instance is that of the target fleet.
#[test]
fn each_instance_is_maintained_in_28_days_at_an_even_pace() {
    fn holds(seed: u64) -> Result<(), String> {
        let mut fleet = fleet(&[(9, 6), (9, 6), (11, 8), (12, 8), (8, 2)]);
        fleet.failures_per_day = 1.0;
        fleet.restarts_per_day = 4.0;
        let mut checked = CheckedPlanner::new(MaintenanceFields::default());
        let mut model = Model::new(&fleet, BUDGET_PPM, seed);
        let mut stopped_ms = 0;
        while model.now.as_ms() < 57 * DAY_MS {
            checked.step(&mut model);
            stopped_ms += if checked.stopped { STEP_MS } else { 0 };
        }
        let seen = &model.seen;
        if seen.overdue > 0 && stopped_ms < DAY_MS {
            return Err(format!("{seen:?}"));
        }
        // Evenly spread, there are two starts a day; catching up after a pause may triple that.
        if seen.max_starts_in_day > 7 || !checked.violations.is_empty() {
            return Err(format!("{seen:?} {:?}", checked.violations));
        }
        Ok(())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(2)
        .quickcheck(holds as fn(u64) -> Result<(), String>);
}

/// Guards against many reboots at once after a pause. The period has 3.5 days of slack, a backlog is
/// caught up at a bounded rate, and the planner reports the reason for a pause.
#[test]
fn a_pause_has_a_reason_and_is_caught_up_at_a_bounded_rate() {
    let mut checked = CheckedPlanner::new(MaintenanceFields::default());
    let mut model = Model::new(&small_fleet(), BUDGET_PPM, SEED);
    checked.run_for(&mut model, 10 * DAY_MS);
    model.failed_ppm_override = Some(500);
    checked.run_for(&mut model, HOUR_MS);
    let before = checked.start_times.len();
    checked.run_for(&mut model, 12 * DAY_MS);
    assert_eq!(checked.planner.pause(), Some(PauseReason::Budget));
    assert_eq!(checked.start_times.len(), before, "paused");
    model.failed_ppm_override = Some(0);
    checked.run_for(&mut model, 15 * DAY_MS);
    assert!(model.seen.max_starts_in_day <= 4, "{:?}", model.seen);
    assert_eq!(model.seen.overdue, 0, "{:?}", model.seen);
    assert_eq!(checked.violations, Vec::<String>::new());
}

/// Guards against a wave with faulty reboots that continues through the fleet.
#[test]
fn a_bad_wave_stops_after_three_instances_and_reboots_nothing_more() {
    for bad in [BadReboot::NoReturn, BadReboot::FailLater] {
        let mut checked = CheckedPlanner::new(short_period_fields());
        let mut model = Model::new(&small_fleet(), BUDGET_PPM, SEED);
        checked.run_for(&mut model, 6 * HOUR_MS);
        model.bad = Some((model.now, bad));
        checked.run_for(&mut model, 20 * HOUR_MS);
        assert!(checked.stopped, "{bad:?}");
        assert!(model.seen.bad_reboots <= 4, "{bad:?} {:?}", model.seen);
        let reboots = model.seen.reboots;
        checked.change_controller();
        checked.run_for(&mut model, 3 * DAY_MS);
        assert_eq!(model.seen.reboots, reboots, "{bad:?}");
        assert_eq!(checked.violations, Vec::<String>::new());
        let reason = checked.stored.wave.stopped.expect("stopped");
        assert_eq!(checked.planner.pause(), Some(PauseReason::Stopped(reason)));
        model.bad = None;
        checked.planner.resume();
        checked.stopped = false;
        checked.run_for(&mut model, DAY_MS);
        let stored = checked.stored.wave.stopped;
        assert_eq!(stored, None, "the next controller continues as well");
        assert!(model.seen.reboots > reboots, "an operator resumes the wave");
    }
}

/// Guards against failures that expire before the next reboot, as could happen in a small fleet with
/// few reboots a day.
#[test]
fn failures_count_until_an_instance_completes_observation() {
    let mut checked = CheckedPlanner::new(MaintenanceFields::default());
    // Each instance is in a rack of its own, so that only the number of failures matters.
    let mut separate_racks = fleet(&[(6, 2), (6, 2), (6, 2), (6, 2)]);
    separate_racks.zones = 24;
    let mut model = Model::new(&separate_racks, BUDGET_PPM, SEED);
    model.bad = Some((model.now, BadReboot::FailLater));
    checked.run_for(&mut model, 14 * DAY_MS);
    assert_eq!(checked.stored.wave.stopped, Some(StopReason::Failures));
    assert!(model.seen.bad_reboots <= 3, "{:?}", model.seen);
}

/// Guards against two failures in one rack that are treated as unrelated.
#[test]
fn two_failures_in_one_rack_stop_the_wave() {
    let mut one_rack = fleet(&[(4, 1)]);
    one_rack.zones = 1;
    let fields = MaintenanceFields {
        stop_failures: 10,
        ..short_period_fields()
    };
    let mut checked = CheckedPlanner::new(fields);
    let mut model = Model::new(&one_rack, BUDGET_PPM, SEED);
    model.bad = Some((model.now, BadReboot::NoReturn));
    checked.run_for(&mut model, DAY_MS);
    assert_eq!(checked.stored.wave.stopped, Some(StopReason::SameRack));
    assert_eq!(model.seen.bad_reboots, 2);
}

/// Guards against a rack outage that stops a wave whose reboots succeeded.
#[test]
fn a_rack_outage_pauses_the_wave_and_does_not_stop_it() {
    let mut checked = CheckedPlanner::new(short_period_fields());
    let mut model = Model::new(&small_fleet(), BUDGET_PPM, SEED);
    checked.step_until(&mut model, |checked, _| {
        let records = checked.stored.instances.values();
        let stages = records.filter_map(|record| record.running);
        stages
            .filter(|(stage, _)| *stage == Stage::Verified)
            .count()
            > 0
    });
    let observed = model.instances.iter().find(|(_, instance)| {
        let running = checked.stored.instances[&instance.name].running;
        matches!(running, Some((Stage::Verified, _)))
    });
    let rack = observed.expect("an instance under observation").1.rack;
    let keys: Vec<_> = model.instances.keys().collect();
    for key in keys {
        if model.instances[key].rack == rack {
            model.fail(key, 2 * HOUR_MS);
        }
    }
    checked.run_for(&mut model, HOUR_MS);
    assert_eq!(checked.planner.pause(), Some(PauseReason::RackLost));
    assert!(checked.stored.wave.failures.is_empty());
}

/// Guards against a lost reboot request that counts as completed maintenance, and against an instance
/// that stays drained after it.
#[test]
fn a_lost_reboot_request_is_neither_repeated_nor_counted() {
    let mut checked = CheckedPlanner::new(short_period_fields());
    let mut model = Model::new(&small_fleet(), BUDGET_PPM, SEED);
    let rebooting = |checked: &CheckedPlanner| {
        let mut records = checked.stored.instances.iter();
        let found = records
            .find(|(_, record)| matches!(record.running, Some((Stage::Rebooting { .. }, _))));
        found.map(|(name, _)| Arc::clone(name))
    };
    while rebooting(&checked).is_none() && model.now.as_ms() < 3 * DAY_MS {
        // The controller ends after it has stored the state and before it sends the request.
        checked.next = NextActions::CrashAfter(1);
        checked.step(&mut model);
    }
    let name = rebooting(&checked).expect("a stored reboot");
    assert_eq!(model.seen.reboots, 0, "the request was lost");
    let last = checked.stored.instances[&name].last_wall_ms;
    checked.run_for(&mut model, 4 * HOUR_MS);
    assert!(!model.reboots_by_name.contains_key(&name), "not repeated");
    let instance = model
        .instances
        .values()
        .find(|instance| instance.name == name);
    let phase = instance.expect("the instance").phase;
    assert_eq!(phase, InstancePhase::Serving);
    let record = checked.stored.instances[&name];
    assert_eq!(record.last_wall_ms, last, "not counted as maintained");
    assert!(!record.maintained);
}

/// Guards against a drain that waits forever for an unresponsive member.
#[test]
fn a_drain_that_does_not_end_is_abandoned() {
    let mut checked = CheckedPlanner::new(short_period_fields());
    let mut model = Model::new(&small_fleet(), BUDGET_PPM, SEED);
    model.drain_ms = 10 * HOUR_MS;
    checked.run_for(&mut model, HOUR_MS);
    let first = model
        .instances
        .iter()
        .find(|(_, instance)| instance.phase == InstancePhase::Leaving);
    let key = first.expect("a leaving instance").0;
    checked.run_for(&mut model, 90 * 60_000);
    assert_eq!(model.instances[key].phase, InstancePhase::Serving);
    assert_eq!(model.seen.reboots, 0);
    assert_eq!(checked.violations, Vec::<String>::new());
}

/// Guards against drains outside the configured window, also when it spans midnight.
#[test]
fn drains_start_only_in_the_window() {
    let fields = MaintenanceFields {
        window_start_hour: 22,
        window_hours: 6,
        ..short_period_fields()
    };
    let mut checked = CheckedPlanner::new(fields);
    let mut model = Model::new(&small_fleet(), BUDGET_PPM, SEED);
    checked.run_for(&mut model, 3 * DAY_MS);
    assert!(checked.start_times.len() > 20, "{:?}", checked.start_times);
    for at in checked.start_times {
        let hour = at.as_ms() % DAY_MS / HOUR_MS;
        assert!(!(4..22).contains(&hour), "hour {hour}");
    }
}
