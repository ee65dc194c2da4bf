//! Sums and indexes that follow from the states of the jobs.

use crate::prelude::*;

use super::Planner;
use super::job::{Job, Life, Run, Urgency, Waiting};
use super::resources::Resources;

impl Planner {
    /// Puts a job into its next state and keeps all sums and indexes in step.
    pub(super) fn change(&mut self, job: JobKey, next: Life) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let old = std::mem::replace(&mut entry.life, next);
        self.account(job, &old, false);
        self.account(job, &next, true);
        for life in [&old, &next] {
            if let Some(worker) = life.run().map(|run| run.worker) {
                self.refresh(worker);
            }
        }
        if !matches!(next, Life::Waiting(_)) {
            self.release_hold(job);
            if let Some(team) = self.teams.get_mut(next.info().team)
                && team.quota_held_for == Some(job)
            {
                team.quota_held_for = None;
            }
        }
    }

    /// Opens the worker that was held for a job.
    pub(super) fn release_hold(&mut self, job: JobKey) {
        let Some(key) = self.holds.remove(&job) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(key) {
            worker.held_for = None;
        }
        self.refresh(key);
    }

    /// Adds or removes what a job in this state holds.
    pub(super) fn account(&mut self, job: JobKey, life: &Life, add: bool) {
        match life {
            Life::Waiting(waiting) => self.account_waiting(job, waiting, add),
            Life::Finished(_) => {}
            Life::Starting(_) | Life::Running(_) | Life::Stopping(_) => {
                if let Some(run) = life.run() {
                    self.account_run(job, life, run, add);
                }
            }
        }
    }

    fn account_waiting(&mut self, job: JobKey, waiting: &Job<Waiting>, add: bool) {
        if let Some((worker, _)) = waiting.state.promised {
            if let Some(worker) = self.workers.get_mut(worker) {
                apply(&mut worker.promised, waiting.need, add);
            }
            if let Some(team) = self.teams.get_mut(waiting.info.team) {
                apply(&mut team.promised, waiting.need, add);
            }
            if add {
                self.promised.insert(job);
            } else {
                self.promised.remove(&job);
            }
            self.refresh(worker);
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
            queue.remove(&(entry.order_ms, job));
        } else if entry.recorded {
            queue.insert((entry.order_ms, job));
        }
    }

    fn account_run(&mut self, job: JobKey, life: &Life, run: Run, add: bool) {
        let info = life.info();
        let Job { need, history, .. } = life.stateless();
        if let Some(team) = self.teams.get_mut(info.team) {
            apply(&mut team.used, need, add);
            if !run.borrowed {
                apply(&mut team.owned, need, add);
            }
            if !run.borrowed && info.urgency == Urgency::Urgent {
                apply(&mut team.urgent_owned, need, add);
            }
            if is_lendable(life) {
                let entry = (info.urgency, job);
                if add {
                    team.lendable.insert(entry);
                } else {
                    team.lendable.remove(&entry);
                }
            }
        }
        apply(&mut self.total_used, need, add);
        if add {
            self.tokens.insert(run.token, job);
        } else {
            self.tokens.remove(&run.token);
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
            let count = worker.suspects;
            worker.suspects = if add {
                count + 1
            } else {
                count.saturating_sub(1)
            };
        }
        if is_victim_of_urgent(life) {
            apply(&mut worker.less_urgent, run.reserved, add);
        }
        if is_victim_of_owner(life) {
            apply(&mut worker.borrowed, run.reserved, add);
        }
    }
}

/// Whether urgent work may checkpoint it.
pub(super) fn is_victim_of_urgent(life: &Life) -> bool {
    let Life::Running(job) = life else {
        return false;
    };
    job.info.checkpointable && (job.info.urgency < Urgency::Urgent || job.state.run.borrowed)
}

/// Whether a team may checkpoint it to get its quota back.
pub(super) fn is_victim_of_owner(life: &Life) -> bool {
    let Life::Running(job) = life else {
        return false;
    };
    job.info.checkpointable && job.info.urgency < Urgency::Urgent && job.state.run.borrowed
}

fn apply(sum: &mut Resources, part: Resources, add: bool) {
    *sum = if add { sum.plus(part) } else { sum.minus(part) };
}

/// Whether it may change to borrowed quota.
fn is_lendable(life: &Life) -> bool {
    let Life::Running(job) = life else {
        return false;
    };
    job.info.checkpointable && job.info.urgency < Urgency::Urgent && !job.state.run.borrowed
}
