//! Baseline strategy: maintains instances in order of their due time, with only a parallel limit.

use rosemaryscale_domain::maintenance::{InstancePhase, MaintenanceAction, MaintenanceSnapshot};
use rosemaryscale_domain::prelude::*;

use crate::model::{DAY_MS, Policy};

/// Time from the last maintenance until an instance is due, the same as the planner's target.
const DUE_MS: u64 = 28 * DAY_MS * 7 / 8;
const RETURN_LIMIT_MS: u64 = 1_800_000;

#[derive(Clone, Copy)]
enum Stage {
    Idle,
    Draining,
    Rebooting(Millis),
    Failed,
}

/// Maintains instances in order of their due time.
pub(crate) struct DueOrder {
    parallel: usize,
    /// Time of the last maintenance of each instance; the flag is not used.
    instances: FastMap<InstanceKey, (Millis, bool)>,
    stages: SecondaryMap<InstanceKey, Stage>,
}

impl DueOrder {
    pub(crate) fn new(parallel: usize) -> Self {
        Self {
            parallel,
            instances: FastMap::default(),
            stages: SecondaryMap::new(),
        }
    }
}

impl Policy for DueOrder {
    fn advance(
        &mut self,
        snapshot: &MaintenanceSnapshot<'_>,
        now: Millis,
    ) -> Vec<MaintenanceAction> {
        let mut actions = Vec::new();
        self.instances
            .retain(|key, _| snapshot.instances.contains_key(*key));
        let mut due = Vec::new();
        let mut in_progress = 0;
        for (key, instance) in snapshot.instances {
            let record = self.instances.entry(key).or_insert((now, false));
            let stage = self.stages.get(key).copied().unwrap_or(Stage::Idle);
            let next = match stage {
                Stage::Draining if instance.phase == InstancePhase::Drained => {
                    actions.push(MaintenanceAction::Reboot(key));
                    Stage::Rebooting(now)
                }
                Stage::Rebooting(since) if instance.healthy && since < now => {
                    actions.push(MaintenanceAction::Undrain(key));
                    *record = (now, false);
                    Stage::Idle
                }
                Stage::Rebooting(since) if now.ms_since(since) >= RETURN_LIMIT_MS => Stage::Failed,
                Stage::Failed if instance.healthy => {
                    actions.push(MaintenanceAction::Undrain(key));
                    *record = (now, false);
                    Stage::Idle
                }
                unchanged => unchanged,
            };
            in_progress += usize::from(matches!(next, Stage::Draining | Stage::Rebooting(_)));
            let idle = matches!(next, Stage::Idle);
            if idle && instance.healthy && now.ms_since(record.0) >= DUE_MS {
                due.push((record.0, key));
            }
            self.stages.insert(key, next);
        }
        due.sort();
        for (_, key) in due
            .into_iter()
            .take(self.parallel.saturating_sub(in_progress))
        {
            self.stages.insert(key, Stage::Draining);
            actions.push(MaintenanceAction::Drain(key));
        }
        actions
    }
}
