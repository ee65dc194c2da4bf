//! Compares maintenance waves with a baseline that maintains instances in order of their due time.
//!
//! `cargo run --release -p rosemaryscale-domain --example waves [seed]`

#![allow(clippy::expect_used, reason = "the model's keys are live")]

mod baseline;
mod model;

use baseline::DueOrder;
use model::{BadReboot, DAY_MS, Fleet, HOUR_MS, Model, Policy, STEP_MS};
use rosemaryscale_domain::document::MaintenanceFields;
use rosemaryscale_domain::maintenance::{
    MaintenanceAction, MaintenancePlanner, MaintenanceSnapshot, MaintenanceState, PauseReason,
};
use rosemaryscale_domain::prelude::*;

const DEFAULT_SEED: u64 = 20_261_204;
const PERIODS: u64 = 3;
const BAD_FROM_DAY: u64 = 40;
const BUDGET_PPM: u32 = 1_000;
/// Time after which the simulated operator resumes a stopped wave.
const OPERATOR_RESPONSE_MS: u64 = 12 * HOUR_MS;

/// The planner together with a simulated operator.
struct OperatedPlanner {
    planner: MaintenancePlanner,
    operator_resumes: bool,
    stopped_at: Option<Millis>,
    stops: u32,
    pauses: FastMap<PauseReason, u64>,
    fields: MaintenanceFields,
    /// The controller changes once a day, and its successor knows only the stored state.
    restored_at: Millis,
}

impl Policy for OperatedPlanner {
    fn advance(
        &mut self,
        snapshot: &MaintenanceSnapshot<'_>,
        now: Millis,
    ) -> Vec<MaintenanceAction> {
        if now.ms_since(self.restored_at) >= DAY_MS {
            self.restored_at = now;
            let state = self.planner.state().clone();
            self.planner = MaintenancePlanner::restore(self.fields, state);
        }
        let actions = self.planner.advance(snapshot, now);
        if let Some(reason) = self.planner.pause() {
            *self.pauses.entry(reason).or_default() += STEP_MS;
        }
        if self.planner.state().wave.stopped.is_none() {
            self.stopped_at = None;
            return actions;
        }
        if self.stopped_at.is_none() {
            self.stops += 1;
        }
        let since = *self.stopped_at.get_or_insert(now);
        if self.operator_resumes && now.ms_since(since) >= OPERATOR_RESPONSE_MS {
            self.planner.resume();
        }
        actions
    }
}

fn operated_planner(fields: MaintenanceFields, operator_resumes: bool) -> OperatedPlanner {
    OperatedPlanner {
        planner: MaintenancePlanner::restore(fields, MaintenanceState::default()),
        operator_resumes,
        stopped_at: None,
        stops: 0,
        pauses: FastMap::default(),
        fields,
        restored_at: Millis::ZERO,
    }
}

fn fleets() -> [Fleet; 3] {
    let small = |name, pools: [(u32, u32); 5]| {
        let instances: u32 = pools.iter().map(|(size, _)| size).sum();
        let share = f64::from(instances) / 970.0;
        Fleet {
            name,
            pools: pools.to_vec(),
            zones: 3,
            failures_per_day: 19.0 * share,
            restarts_per_day: 89.0 * share,
            rack_failures_per_day: 1.0 / 45.0,
            zone_failures_per_day: 1.0 / 90.0,
        }
    };
    let sizes = [(9, 6), (9, 6), (11, 8), (12, 8), (8, 2)];
    let target = Fleet {
        name: "target",
        pools: (0..71)
            .map(|pool| if pool < 47 { (14, 9) } else { (13, 8) })
            .collect(),
        zones: 7,
        failures_per_day: 19.0,
        restarts_per_day: 89.0,
        rack_failures_per_day: 1.0 / 45.0,
        zone_failures_per_day: 1.0 / 90.0,
    };
    [small("Kalahari", sizes), small("Karamanlis", sizes), target]
}

fn run(model: &mut Model, policy: &mut dyn Policy, days: u64) {
    for _ in 0..days * DAY_MS / STEP_MS {
        model.step(policy);
    }
}

fn print_normal(fleet: &str, strategy: &str, model: &Model, stops: u32) {
    let seen = &model.seen;
    println!(
        "| {fleet} | {strategy} | {} | {} | {} | {:.1} | {} | {} | {} | {} | {} | {} | {:.1} | {stops} |",
        seen.maintained,
        seen.in_time,
        seen.overdue,
        seen.longest_gap_ms as f64 / DAY_MS as f64,
        seen.max_starts_in_day,
        seen.max_down,
        seen.max_down_in_pool,
        seen.max_down_in_rack,
        seen.max_down_in_zone,
        seen.shortage_steps,
        seen.budget_used_percent,
    );
}

fn compare_normal(fleet: &Fleet, seed: u64) {
    let fields = MaintenanceFields::default();
    let mut planned = operated_planner(fields, true);
    let mut model = Model::new(fleet, BUDGET_PPM, seed);
    run(&mut model, &mut planned, PERIODS * 28);
    print_normal(fleet.name, "waves", &model, planned.stops);
    let mut model = Model::new(fleet, BUDGET_PPM, seed);
    let mut in_order = DueOrder::new(fields.parallel_instances as usize);
    run(&mut model, &mut in_order, PERIODS * 28);
    print_normal(fleet.name, "in order", &model, 0);
    let mut pauses: Vec<_> = planned.pauses.into_iter().collect();
    pauses.sort_by_key(|(_, ms)| std::cmp::Reverse(*ms));
    for (reason, ms) in pauses {
        eprintln!(
            "{}: {reason:?} {:.1} h",
            fleet.name,
            ms as f64 / HOUR_MS as f64
        );
    }
}

fn compare_bad_wave(fleet: &Fleet, bad: BadReboot, seed: u64) {
    let fields = MaintenanceFields::default();
    let from = Millis::from_ms((BAD_FROM_DAY + 1) * DAY_MS);
    let mut planned = operated_planner(fields, false);
    let mut in_order = DueOrder::new(fields.parallel_instances as usize);
    let policies: [(&str, &mut dyn Policy); 2] =
        [("waves", &mut planned), ("in order", &mut in_order)];
    for (strategy, policy) in policies {
        let mut model = Model::new(fleet, BUDGET_PPM, seed);
        model.bad = Some((from, bad));
        run(&mut model, policy, BAD_FROM_DAY + 14);
        let Model { seen, .. } = &model;
        println!(
            "| {} | {bad:?} | {strategy} | {} | {} | {:.1} |",
            fleet.name, seen.bad_reboots_first_day, seen.bad_reboots, seen.budget_used_percent
        );
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}, {PERIODS} periods of 28 days");
    println!(
        "| fleet | strategy | maintained | in 28 days | overdue | longest gap (days) | max starts in a day \
         | max down | in a pool | in a rack | in a zone | shortage steps | budget used (%) | stops |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (fleet, seed) in fleets().iter().zip(seed..) {
        compare_normal(fleet, seed);
    }
    println!("| fleet | bad wave | strategy | reboots in 1 day | in 14 days | budget used (%) |");
    println!("|---|---|---|---|---|---|");
    for (fleet, seed) in fleets().iter().zip(seed..) {
        compare_bad_wave(fleet, BadReboot::NoReturn, seed);
        compare_bad_wave(fleet, BadReboot::FailLater, seed);
    }
}
