//! Test harness of the maintenance planner that checks every action against the limits.

use std::sync::Arc;

use rosemaryscale_domain::document::MaintenanceFields;
use rosemaryscale_domain::maintenance::{
    InstancePhase, MaintenanceAction, MaintenancePlanner, MaintenanceSnapshot, MaintenanceState,
    Stage,
};
use rosemaryscale_domain::prelude::*;

use crate::model::{DAY_MS, Model, STEP_MS};

/// How the actions of the next planner step are executed.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum NextActions {
    Executed,
    /// The store rejects the state because another controller has taken over.
    StoreRefused,
    /// The controller crashes after this many actions.
    CrashAfter(usize),
}

/// A planner and its stored state. Violations of the limits are collected in `violations`.
pub(crate) struct CheckedPlanner {
    pub(crate) planner: MaintenancePlanner,
    pub(crate) fields: MaintenanceFields,
    pub(crate) stored: MaintenanceState,
    pub(crate) next: NextActions,
    pub(crate) violations: Vec<String>,
    pub(crate) last_reboot: FastMap<Arc<str>, Millis>,
    pub(crate) stopped: bool,
    pub(crate) start_times: Vec<Millis>,
}

impl CheckedPlanner {
    pub(crate) fn new(fields: MaintenanceFields) -> Self {
        let stored = MaintenanceState::default();
        Self {
            planner: MaintenancePlanner::restore(fields, stored.clone()),
            fields,
            stored,
            next: NextActions::Executed,
            violations: Vec::new(),
            last_reboot: FastMap::default(),
            stopped: false,
            start_times: Vec::new(),
        }
    }

    pub(crate) fn change_controller(&mut self) {
        self.planner = MaintenancePlanner::restore(self.fields, self.stored.clone());
    }

    fn require(&mut self, holds: bool, rule: &str) {
        if !holds {
            self.violations.push(rule.into());
        }
    }

    fn check(
        &mut self,
        action: MaintenanceAction,
        snapshot: &MaintenanceSnapshot<'_>,
        now: Millis,
    ) {
        match action {
            MaintenanceAction::Drain(key) => self.check_drain(key, snapshot, now),
            MaintenanceAction::Reboot(key) => {
                let instance = &snapshot.instances[key];
                let drained = instance.phase == InstancePhase::Drained;
                self.require(drained, "reboot of an instance with requests in flight");
                self.require(!self.stopped, "reboot after the stop");
                let before = self.last_reboot.insert(Arc::clone(&instance.name), now);
                let is_spaced = before.is_none_or(|at| now.ms_since(at) >= DAY_MS / 2);
                let rule = format!("{} rebooted at {before:?} and {now:?}", instance.name);
                self.require(is_spaced, &rule);
            }
            MaintenanceAction::Store | MaintenanceAction::Undrain(_) => {}
        }
    }

    fn check_drain(&mut self, key: InstanceKey, snapshot: &MaintenanceSnapshot<'_>, now: Millis) {
        let instance = &snapshot.instances[key];
        let pool = &snapshot.pools[instance.pool];
        let is_down = |phase| phase != InstancePhase::Serving;
        let others: Vec<_> = snapshot
            .instances
            .iter()
            .filter(|(other, _)| *other != key)
            .map(|(_, other)| other)
            .collect();
        let down_count = others.iter().filter(|other| is_down(other.phase)).count();
        self.require(!self.stopped, "drain after the stop");
        let limit = self.fields.parallel_instances as usize;
        self.require(
            down_count < limit,
            "more instances in maintenance than the limit",
        );
        let pool_members: Vec<_> = others
            .iter()
            .filter(|other| other.pool == instance.pool)
            .collect();
        let serving = pool_members
            .iter()
            .filter(|member| !is_down(member.phase) && member.healthy);
        let serving: Vec<_> = serving.collect();
        let needed = pool.min_instances.max(pool.demand_instances) as usize;
        self.require(serving.len() >= needed, "the pool cannot serve its demand");
        let is_budget_used = pool.failed_ppm > 0 && pool.failed_ppm * 2 >= pool.budget_ppm;
        self.require(
            !is_budget_used,
            "failures have used half of the availability budget",
        );
        let in_maintenance: Vec<_> = pool_members
            .iter()
            .filter(|member| is_down(member.phase))
            .collect();
        let limit = self.fields.parallel_per_pool as usize;
        self.require(
            in_maintenance.len() < limit,
            "more instances in maintenance than the limit of the pool",
        );
        let mut zones: Vec<ZoneKey> = in_maintenance.iter().map(|member| member.zone).collect();
        zones.push(instance.zone);
        zones.sort();
        zones.dedup();
        self.require(zones.len() <= 2, "instances of a third zone in maintenance");
        let running_stage = self.planner.state().instances[&instance.name].running;
        let is_new = running_stage == Some((Stage::Draining, now));
        if is_new
            && in_maintenance
                .iter()
                .any(|member| member.rack != instance.rack)
        {
            let of_rack = |rack| serving.iter().filter(|member| member.rack == rack).count();
            let largest_rack = serving.iter().map(|member| of_rack(member.rack)).max();
            let has_reserve = serving.len() >= needed + largest_rack.unwrap_or(0);
            self.require(
                has_reserve,
                "a second rack in maintenance without reserve capacity",
            );
        }
        if is_new {
            self.start_times.push(now);
            self.check_one_at_a_time(&instance.name);
        }
    }

    /// After a failure, instances must be maintained one at a time until one has succeeded.
    fn check_one_at_a_time(&mut self, name: &Arc<str>) {
        let state = self.planner.state();
        if state.wave.failures.is_empty() || state.wave.passed_since_failure {
            return;
        }
        let others = state.instances.iter().filter(|(other, _)| *other != name);
        let stages = others.filter_map(|(_, record)| record.running);
        let is_alone = stages.filter(|(stage, _)| *stage != Stage::Failed).count() == 0;
        self.require(is_alone, "a second instance in maintenance after a failure");
    }

    /// Advances the fleet and the planner by one step.
    pub(crate) fn step(&mut self, model: &mut Model) {
        model.advance_fleet();
        let now = model.now;
        let actions = self.planner.advance(&model.snapshot(), now);
        let next = std::mem::replace(&mut self.next, NextActions::Executed);
        if next == NextActions::StoreRefused {
            self.change_controller();
        } else {
            let count = match next {
                NextActions::CrashAfter(count) => count,
                _ => usize::MAX,
            };
            for action in actions.into_iter().take(count) {
                if action == MaintenanceAction::Store {
                    self.stored = self.planner.state().clone();
                    self.stopped = self.stored.wave.stopped.is_some();
                }
                self.check(action, &model.snapshot(), now);
                model.carry_out(action);
            }
            if count != usize::MAX {
                self.change_controller();
            }
        }
        model.observe();
    }

    pub(crate) fn run_for(&mut self, model: &mut Model, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step(model);
        }
    }

    pub(crate) fn step_until(&mut self, model: &mut Model, holds: impl Fn(&Self, &Model) -> bool) {
        for _ in 0..2_000 {
            if holds(self, model) {
                return;
            }
            self.step(model);
        }
        self.violations
            .push("the condition was not met within 2000 steps".into());
    }
}
