//! Room for a job: checkpoints of less urgent work, returned quota, held workers, relief of workers
//! that are short of memory.

use crate::prelude::*;

use super::accounting::{is_victim_of_owner, is_victim_of_urgent};
use super::job::{Job, Life, Run, StopReason, Urgency, Waiting};
use super::planning::REPORT_FRESH_MS;
use super::resources::Resources;
use super::{PlacementAction, Planner};

/// A team that waits this long within its quota gets it back from those that borrowed it.
const RETURN_AFTER_MS: u64 = 20_000;
/// Workers held at a time.
const HOLDS_MAX: usize = 8;

impl Planner {
    /// Makes room for a job by checkpoints and promises the room to it.
    pub(super) fn promise(&mut self, job: JobKey, waiting: &Job<Waiting>) -> bool {
        let urgent = waiting.info.urgency == Urgency::Urgent;
        let waited_ms = self.now.ms_since(waiting.state.since);
        if !urgent && waited_ms < RETURN_AFTER_MS {
            return false;
        }
        let index = if urgent {
            &self.after_checkpoints
        } else {
            &self.after_returns
        };
        let Some(key) = index.find(waiting.need, |key| self.allows(key, waiting)) else {
            return false;
        };
        self.make_room(key, waiting.need, urgent);
        let mut promised = *waiting;
        promised.state.promised = Some((key, self.now));
        self.change(job, Life::Waiting(promised));
        true
    }

    /// Moves less urgent runs of an urgent job's team to borrowed quota until the job is within the
    /// team's own. Returns whether it is.
    pub(super) fn lend_to_urgent(&mut self, waiting: &Job<Waiting>) -> bool {
        let team = waiting.info.team;
        let entitled = self.teams.get(team).is_some_and(|team| {
            let urgent = team.urgent_owned.plus(team.promised);
            urgent.plus(waiting.need).fits(team.quota)
        });
        if waiting.info.urgency < Urgency::Urgent || !entitled {
            return false;
        }
        while !self.is_within_quota(waiting) {
            let lendable = self.teams.get(team).and_then(|team| team.lendable.first());
            let Some((_, job)) = lendable.copied() else {
                return false;
            };
            let Some(Life::Running(mut running)) = self.job(job).copied() else {
                return false;
            };
            running.state.run.borrowed = true;
            self.change(job, Life::Running(running));
        }
        true
    }

    fn make_room(&mut self, key: WorkerKey, need: Resources, urgent: bool) {
        let victims = self.victims(key, urgent);
        for victim in victims {
            let Some(worker) = self.workers.get(key) else {
                return;
            };
            let leaving = self.leaving(key);
            let taken = worker
                .reserved
                .plus(worker.promised)
                .plus(need)
                .minus(leaving);
            if taken.fits(worker.capacity) {
                return;
            }
            self.stop(victim, StopReason::Checkpoint);
        }
    }

    /// What the tasks that were asked to stop will free.
    fn leaving(&self, key: WorkerKey) -> Resources {
        let tasks = self
            .workers
            .get(key)
            .into_iter()
            .flat_map(|worker| &worker.tasks);
        let lives = tasks.filter_map(|job| self.job(*job));
        lives
            .filter_map(|life| match life {
                Life::Stopping(stopping) => Some(stopping.state.run.reserved),
                _ => None,
            })
            .fold(Resources::default(), Resources::plus)
    }

    /// Tasks that may be checkpointed, least urgent and shortest run first.
    fn victims(&self, key: WorkerKey, urgent: bool) -> Vec<JobKey> {
        let tasks = self
            .workers
            .get(key)
            .into_iter()
            .flat_map(|worker| &worker.tasks);
        let mut victims: Vec<(Urgency, bool, u64, JobKey)> = tasks
            .filter_map(|job| {
                let life = self.job(*job)?;
                let allowed = if urgent {
                    is_victim_of_urgent(life)
                } else {
                    is_victim_of_owner(life)
                };
                let Life::Running(running) = life else {
                    return None;
                };
                let ran_ms = self.now.ms_since(running.state.since);
                let owned = !running.state.run.borrowed;
                allowed.then_some((running.info.urgency, owned, ran_ms, *job))
            })
            .collect();
        victims.sort_unstable();
        victims.into_iter().map(|(.., job)| job).collect()
    }

    pub(super) fn stop(&mut self, job: JobKey, reason: StopReason) {
        let next = match self.job(job).copied() {
            Some(Life::Running(mut running)) => {
                // A task that makes room must not keep its team's quota while its worker is silent.
                running.state.run.borrowed |= reason == StopReason::Checkpoint;
                running.stop(reason, self.now)
            }
            Some(Life::Starting(starting)) => starting.stop(reason, self.now),
            Some(Life::Stopping(mut stopping)) => {
                stopping.state.reason = reason;
                stopping
            }
            _ => return,
        };
        self.change(job, Life::Stopping(next));
        self.send_stop(job);
    }

    /// Holds the least used worker that is large enough for a job.
    pub(super) fn hold(&mut self, job: JobKey, waiting: &Job<Waiting>) {
        if self.holds.len() >= HOLDS_MAX {
            return;
        }
        let candidates = self.workers.iter().filter(|(key, worker)| {
            worker.held_for.is_none()
                && worker.is_fresh(self.now, REPORT_FRESH_MS)
                && waiting.need.fits(worker.capacity)
                && self.allows(*key, waiting)
        });
        let usage = |worker: &super::Worker| worker.reserved.dominant_share_ppm(worker.capacity);
        let least = candidates.min_by_key(|(key, worker)| (usage(worker), *key));
        let Some(key) = least.map(|(key, _)| key) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(key) {
            worker.held_for = Some(job);
        }
        self.holds.insert(job, key);
        self.refresh(key);
    }

    /// Reacts to tasks that use more than the worker has: one checkpoint for each report if memory
    /// runs short, else a slower task.
    pub(super) fn relieve(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let taken = worker.reserved.minus(self.leaving(key));
        if taken.fits(worker.capacity) {
            return;
        }
        let short_of_memory = taken.memory_mb > worker.capacity.memory_mb;
        let running = worker.tasks.iter().filter_map(|job| match self.job(*job)? {
            Life::Running(running) => Some((running.info.urgency, *job, *running)),
            _ => None,
        });
        let mut running: Vec<_> = running.collect();
        running.sort_unstable_by_key(|(urgency, job, _)| (*urgency, *job));
        let movable = running.iter().find(|(_, _, task)| task.info.checkpointable);
        if short_of_memory && let Some((_, job, _)) = movable {
            self.stop(*job, StopReason::Checkpoint);
        } else if let Some((_, _, task)) = running.first() {
            let Run { worker, token, .. } = task.state.run;
            self.actions
                .push(PlacementAction::Throttle { worker, token });
        }
    }
}
