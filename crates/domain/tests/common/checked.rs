//! A planner with its store, which checks every action against the limits.

use std::sync::Arc;

use rosemaryscale_domain::document::MaintenanceFields;
use rosemaryscale_domain::maintenance::{
    InstancePhase, MaintenanceAction, MaintenancePlanner, MaintenanceSnapshot, MaintenanceState,
    Stage,
};
use rosemaryscale_domain::prelude::*;

use crate::model::{DAY_MS, Model, STEP_MS};

/// What happens to the actions of the next look.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Next {
    CarriedOut,
    /// The store refuses the state: another controller has taken over.
    StoreRefused,
    /// The controller ends after this many actions.
    CrashAfter(usize),
}

/// A planner with its store, which checks every action.
pub(crate) struct Checked {
    pub(crate) planner: MaintenancePlanner,
    pub(crate) fields: MaintenanceFields,
    pub(crate) stored: MaintenanceState,
    pub(crate) next: Next,
    pub(crate) mistakes: Vec<String>,
    pub(crate) last_reboot: FastMap<Arc<str>, Millis>,
    pub(crate) stopped: bool,
    pub(crate) start_times: Vec<Millis>,
}

impl Checked {
    pub(crate) fn new(fields: MaintenanceFields) -> Self {
        let stored = MaintenanceState::default();
        Self {
            planner: MaintenancePlanner::restore(fields, stored.clone()),
            fields,
            stored,
            next: Next::CarriedOut,
            mistakes: Vec::new(),
            last_reboot: FastMap::default(),
            stopped: false,
            start_times: Vec::new(),
        }
    }

    pub(crate) fn change_controller(&mut self) {
        self.planner = MaintenancePlanner::restore(self.fields, self.stored.clone());
    }

    fn mistake(&mut self, holds: bool, rule: &str) {
        if !holds {
            self.mistakes.push(rule.into());
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
                self.mistake(drained, "reboot of an instance with requests in flight");
                self.mistake(!self.stopped, "reboot after the stop");
                let before = self.last_reboot.insert(Arc::clone(&instance.name), now);
                let apart = before.is_none_or(|at| now.ms_since(at) >= DAY_MS / 2);
                let rule = format!("{} rebooted at {before:?} and {now:?}", instance.name);
                self.mistake(apart, &rule);
            }
            MaintenanceAction::Store | MaintenanceAction::Undrain(_) => {}
        }
    }

    fn check_drain(&mut self, key: InstanceKey, snapshot: &MaintenanceSnapshot<'_>, now: Millis) {
        let instance = &snapshot.instances[key];
        let pool = &snapshot.pools[instance.pool];
        let down = |phase| phase != InstancePhase::Serving;
        let others: Vec<_> = snapshot
            .instances
            .iter()
            .filter(|(other, _)| *other != key)
            .map(|(_, other)| other)
            .collect();
        let all = others.iter().filter(|other| down(other.phase)).count();
        self.mistake(!self.stopped, "drain after the stop");
        let limit = self.fields.parallel_instances as usize;
        self.mistake(all < limit, "more than the parallel limit");
        let pool_members: Vec<_> = others
            .iter()
            .filter(|other| other.pool == instance.pool)
            .collect();
        let left = pool_members
            .iter()
            .filter(|member| !down(member.phase) && member.healthy);
        let left: Vec<_> = left.collect();
        let needed = pool.min_instances.max(pool.demand_instances) as usize;
        self.mistake(
            left.len() >= needed,
            "the pool no longer carries its demand",
        );
        let over = pool.failed_ppm > 0 && pool.failed_ppm * 2 >= pool.budget_ppm;
        self.mistake(!over, "failures have used the budget");
        let maintained: Vec<_> = pool_members
            .iter()
            .filter(|member| down(member.phase))
            .collect();
        let limit = self.fields.parallel_per_pool as usize;
        self.mistake(maintained.len() < limit, "more than the limit of the pool");
        let mut zones: Vec<ZoneKey> = maintained.iter().map(|member| member.zone).collect();
        zones.push(instance.zone);
        zones.sort();
        zones.dedup();
        self.mistake(zones.len() <= 2, "a third zone of the pool");
        let first = self.planner.state().instances[&instance.name].running;
        let is_new = first == Some((Stage::Draining, now));
        if is_new && maintained.iter().any(|member| member.rack != instance.rack) {
            let of_rack = |rack| left.iter().filter(|member| member.rack == rack).count();
            let largest = left.iter().map(|member| of_rack(member.rack)).max();
            let bearable = left.len() >= needed + largest.unwrap_or(0);
            self.mistake(bearable, "a second rack without reserve");
        }
        if is_new {
            self.start_times.push(now);
            self.check_probation(&instance.name);
        }
    }

    /// After a failure, one instance goes at a time until one has passed.
    fn check_probation(&mut self, name: &Arc<str>) {
        let state = self.planner.state();
        if state.wave.failures.is_empty() || state.wave.passed_since_failure {
            return;
        }
        let others = state.instances.iter().filter(|(other, _)| *other != name);
        let stages = others.filter_map(|(_, record)| record.running);
        let alone = stages.filter(|(stage, _)| *stage != Stage::Failed).count() == 0;
        self.mistake(alone, "a second instance during probation");
    }

    /// One step of the fleet and the planner.
    pub(crate) fn step(&mut self, model: &mut Model) {
        model.advance_fleet();
        let now = model.now;
        let actions = self.planner.advance(&model.snapshot(), now);
        let next = std::mem::replace(&mut self.next, Next::CarriedOut);
        if next == Next::StoreRefused {
            self.change_controller();
        } else {
            let count = match next {
                Next::CrashAfter(count) => count,
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

    pub(crate) fn steps(&mut self, model: &mut Model, ms: u64) {
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
        self.mistakes.push("the condition was never met".into());
    }
}
