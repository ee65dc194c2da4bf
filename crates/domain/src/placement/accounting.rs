//! Keeps the sums and indexes that are derived from the states of the jobs.

use crate::prelude::*;

use super::Planner;
use super::job::{Job, Lifecycle, Run, Urgency, Waiting};
use super::resources::Resources;

impl Planner {
    /// Moves a job to its next state and updates all derived sums and indexes.
    pub(super) fn transition(&mut self, job: JobKey, next: Lifecycle) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let old = std::mem::replace(&mut entry.lifecycle, next);
        self.account(job, &old, false);
        self.account(job, &next, true);
        for lifecycle in [&old, &next] {
            if let Some(worker) = lifecycle.run().map(|run| run.worker) {
                self.update_indexes(worker);
            }
        }
        if !matches!(next, Lifecycle::Waiting(_)) {
            self.release_hold(job);
            if let Some(team) = self.teams.get_mut(next.info().team)
                && team.quota_held_for == Some(job)
            {
                team.quota_held_for = None;
            }
        }
    }

    /// Releases the worker that is held for a job.
    pub(super) fn release_hold(&mut self, job: JobKey) {
        let Some(key) = self.held_workers.remove(&job) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(key) {
            worker.held_for = None;
        }
        self.update_indexes(key);
    }

    /// Adds or removes the contribution of a job in the given state.
    pub(super) fn account(&mut self, job: JobKey, lifecycle: &Lifecycle, add: bool) {
        match lifecycle {
            Lifecycle::Waiting(waiting) => self.account_waiting(job, waiting, add),
            Lifecycle::Finished(_) => {}
            Lifecycle::Starting(_) | Lifecycle::Running(_) | Lifecycle::Stopping(_) => {
                if let Some(run) = lifecycle.run() {
                    self.account_run(job, lifecycle, run, add);
                }
            }
        }
    }

    fn account_waiting(&mut self, job: JobKey, waiting: &Job<Waiting>, add: bool) {
        if let Some((worker, _)) = waiting.state.nominated_worker {
            if let Some(worker) = self.workers.get_mut(worker) {
                apply(&mut worker.nominated, waiting.need, add);
            }
            if let Some(team) = self.teams.get_mut(waiting.info.team) {
                apply(&mut team.nominated, waiting.need, add);
            }
            if add {
                self.nominated_jobs.insert(job);
            } else {
                self.nominated_jobs.remove(&job);
            }
            self.update_indexes(worker);
            return;
        }
        let Some(entry) = self.jobs.get(job) else {
            return;
        };
        let Some(team) = self.teams.get_mut(waiting.info.team) else {
            return;
        };
        let queue = match waiting.info.urgency {
            Urgency::Urgent => &mut team.urgent,
            Urgency::Low | Urgency::Normal => &mut team.other,
        };
        if !add {
            queue.remove(&(entry.rank_ms, job));
        } else if entry.recorded {
            queue.insert((entry.rank_ms, job));
        }
    }

    fn account_run(&mut self, job: JobKey, lifecycle: &Lifecycle, run: Run, add: bool) {
        let info = lifecycle.info();
        let Job { need, history, .. } = lifecycle.without_state();
        if let Some(team) = self.teams.get_mut(info.team) {
            apply(&mut team.used, need, add);
            if !run.borrowed {
                apply(&mut team.own_used, need, add);
            }
            if !run.borrowed && info.urgency == Urgency::Urgent {
                apply(&mut team.urgent_own_used, need, add);
            }
            if can_move_to_borrowed(lifecycle) {
                let entry = (info.urgency, job);
                if add {
                    team.movable_to_borrowed.insert(entry);
                } else {
                    team.movable_to_borrowed.remove(&entry);
                }
            }
        }
        apply(&mut self.total_used, need, add);
        if add {
            self.jobs_by_token.insert(run.token, job);
        } else {
            self.jobs_by_token.remove(&run.token);
        }
        let Some(worker) = self.workers.get_mut(run.worker) else {
            return;
        };
        apply(&mut worker.reserved, run.reserved, add);
        if add {
            worker.tasks.insert(job);
        } else {
            worker.tasks.remove(&job);
        }
        if history.suspect {
            let count = worker.suspect_tasks;
            worker.suspect_tasks = if add {
                count + 1
            } else {
                count.saturating_sub(1)
            };
        }
        if is_preemptible(lifecycle) {
            apply(&mut worker.preemptible, run.reserved, add);
        }
        if is_reclaimable(lifecycle) {
            apply(&mut worker.reclaimable, run.reserved, add);
        }
    }
}

/// Whether an urgent job may preempt the run by a checkpoint.
pub(super) fn is_preemptible(lifecycle: &Lifecycle) -> bool {
    let Lifecycle::Running(job) = lifecycle else {
        return false;
    };
    job.info.checkpointable && (job.info.urgency < Urgency::Urgent || job.state.run.borrowed)
}

/// Whether a team may preempt the run by a checkpoint to reclaim its lent quota.
pub(super) fn is_reclaimable(lifecycle: &Lifecycle) -> bool {
    let Lifecycle::Running(job) = lifecycle else {
        return false;
    };
    job.info.checkpointable && job.info.urgency < Urgency::Urgent && job.state.run.borrowed
}

fn apply(sum: &mut Resources, part: Resources, add: bool) {
    *sum = if add { sum.plus(part) } else { sum.minus(part) };
}

/// Whether the run may move from its team's own quota to borrowed quota.
fn can_move_to_borrowed(lifecycle: &Lifecycle) -> bool {
    let Lifecycle::Running(job) = lifecycle else {
        return false;
    };
    job.info.checkpointable && job.info.urgency < Urgency::Urgent && !job.state.run.borrowed
}
