//! Frees resources for a job: preemption of less urgent runs, reclaim of lent quota, workers held
//! for starving jobs, and relief of overloaded workers.

use crate::prelude::*;

use super::accounting::{is_preemptible, is_reclaimable};
use super::job::{Job, Lifecycle, Run, StopReason, Urgency, Waiting};
use super::planning::REPORT_MAX_AGE_MS;
use super::resources::Resources;
use super::{PlacementAction, Planner};

/// A team reclaims lent quota for a job that has waited this long.
const RECLAIM_AFTER_MS: u64 = 20_000;
/// Limit on the number of workers held at a time.
const HELD_WORKERS_MAX: usize = 8;

impl Planner {
    /// Preempts runs on a worker for a job and nominates the worker for it. Returns false if no
    /// worker qualifies.
    pub(super) fn preempt_for(&mut self, job: JobKey, waiting: &Job<Waiting>) -> bool {
        let urgent = waiting.info.urgency == Urgency::Urgent;
        let waited_ms = self.now.ms_since(waiting.state.since);
        if !urgent && waited_ms < RECLAIM_AFTER_MS {
            return false;
        }
        let index = if urgent {
            &self.preemption_index
        } else {
            &self.reclaim_index
        };
        let Some(key) = index.find(waiting.need, |key| self.allows(key, waiting)) else {
            return false;
        };
        self.preempt(key, waiting.need, urgent);
        let mut nominated = *waiting;
        nominated.state.nominated_worker = Some((key, self.now));
        self.transition(job, Lifecycle::Waiting(nominated));
        true
    }

    /// Moves less urgent runs of the job's team to borrowed quota until an urgent job is within the
    /// team's own quota. Returns whether it is.
    pub(super) fn move_runs_to_borrowed(&mut self, waiting: &Job<Waiting>) -> bool {
        let team = waiting.info.team;
        let entitled = self.teams.get(team).is_some_and(|team| {
            let urgent = team.urgent_own_used.plus(team.nominated);
            urgent.plus(waiting.need).fits(team.quota)
        });
        if waiting.info.urgency < Urgency::Urgent || !entitled {
            return false;
        }
        while !self.is_within_quota(waiting) {
            let candidate = self
                .teams
                .get(team)
                .and_then(|team| team.movable_to_borrowed.first());
            let Some((_, job)) = candidate.copied() else {
                return false;
            };
            let Some(Lifecycle::Running(mut running)) = self.job(job).copied() else {
                return false;
            };
            running.state.run.borrowed = true;
            self.transition(job, Lifecycle::Running(running));
        }
        true
    }

    fn preempt(&mut self, key: WorkerKey, need: Resources, urgent: bool) {
        let victims = self.victims(key, urgent);
        for victim in victims {
            let Some(worker) = self.workers.get(key) else {
                return;
            };
            let stopping_resources = self.stopping_resources(key);
            let committed = worker
                .reserved
                .plus(worker.nominated)
                .plus(need)
                .minus(stopping_resources);
            if committed.fits(worker.capacity) {
                return;
            }
            self.stop(victim, StopReason::Checkpoint);
        }
    }

    /// Resources that tasks being stopped will free.
    fn stopping_resources(&self, key: WorkerKey) -> Resources {
        let tasks = self
            .workers
            .get(key)
            .into_iter()
            .flat_map(|worker| &worker.tasks);
        let lifecycles = tasks.filter_map(|job| self.job(*job));
        lifecycles
            .filter_map(|lifecycle| match lifecycle {
                Lifecycle::Stopping(stopping) => Some(stopping.state.run.reserved),
                _ => None,
            })
            .fold(Resources::default(), Resources::plus)
    }

    /// Jobs whose runs may be preempted: least urgent first, then borrowed quota, then shortest run
    /// time.
    fn victims(&self, key: WorkerKey, urgent: bool) -> Vec<JobKey> {
        let tasks = self
            .workers
            .get(key)
            .into_iter()
            .flat_map(|worker| &worker.tasks);
        let mut victims: Vec<(Urgency, bool, u64, JobKey)> = tasks
            .filter_map(|job| {
                let lifecycle = self.job(*job)?;
                let allowed = if urgent {
                    is_preemptible(lifecycle)
                } else {
                    is_reclaimable(lifecycle)
                };
                let Lifecycle::Running(running) = lifecycle else {
                    return None;
                };
                let ran_ms = self.now.ms_since(running.state.since);
                let on_own_quota = !running.state.run.borrowed;
                allowed.then_some((running.info.urgency, on_own_quota, ran_ms, *job))
            })
            .collect();
        victims.sort_unstable();
        victims.into_iter().map(|(.., job)| job).collect()
    }

    pub(super) fn stop(&mut self, job: JobKey, reason: StopReason) {
        let next = match self.job(job).copied() {
            Some(Lifecycle::Running(mut running)) => {
                // A preempted run must not occupy its team's quota while its worker is
                // unresponsive.
                running.state.run.borrowed |= reason == StopReason::Checkpoint;
                running.stop(reason, self.now)
            }
            Some(Lifecycle::Starting(starting)) => starting.stop(reason, self.now),
            Some(Lifecycle::Stopping(mut stopping)) => {
                stopping.state.reason = reason;
                stopping
            }
            _ => return,
        };
        self.transition(job, Lifecycle::Stopping(next));
        self.send_stop(job);
    }

    /// Holds the least loaded worker that is large enough for a starving job.
    pub(super) fn hold_worker(&mut self, job: JobKey, waiting: &Job<Waiting>) {
        if self.held_workers.len() >= HELD_WORKERS_MAX {
            return;
        }
        let candidates = self.workers.iter().filter(|(key, worker)| {
            worker.held_for.is_none()
                && worker.has_recent_report(self.now, REPORT_MAX_AGE_MS)
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
        self.held_workers.insert(job, key);
        self.update_indexes(key);
    }

    /// Relieves a worker whose tasks use more than its capacity: preempts one task per report if
    /// memory is short, and otherwise throttles one.
    pub(super) fn relieve_overload(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let committed = worker.reserved.minus(self.stopping_resources(key));
        if committed.fits(worker.capacity) {
            return;
        }
        let short_of_memory = committed.memory_mb > worker.capacity.memory_mb;
        let running = worker.tasks.iter().filter_map(|job| match self.job(*job)? {
            Lifecycle::Running(running) => Some((running.info.urgency, *job, *running)),
            _ => None,
        });
        let mut running: Vec<_> = running.collect();
        running.sort_unstable_by_key(|(urgency, job, _)| (*urgency, *job));
        let victim = running.iter().find(|(_, _, task)| task.info.checkpointable);
        if short_of_memory && let Some((_, job, _)) = victim {
            self.stop(*job, StopReason::Checkpoint);
        } else if let Some((_, _, task)) = running.first() {
            let Run { worker, token, .. } = task.state.run;
            self.actions
                .push(PlacementAction::Throttle { worker, token });
        }
    }
}
