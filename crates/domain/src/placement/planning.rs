//! The planning step: retries, placement, preemption, stops and writes.

use crate::prelude::*;

use super::job::{Job, Lifecycle, Run, StopReason, Urgency, Waiting};
use super::records::{JobWrite, PlacementRecord};
use super::resources::Resources;
use super::{LOW_RANK_DELAY_MS, PlacementAction, Planner};

/// A worker whose last report is older gets no task, since its usage is too uncertain.
pub(super) const REPORT_MAX_AGE_MS: u64 = 30_000;
/// A worker that is unresponsive for this long has lost its lease; its repeatable jobs run
/// elsewhere.
const LEASE_EXPIRY_MS: u64 = 45_000;
/// Interval at which unconfirmed starts and stops are sent again.
const RESEND_MS: u64 = 1_000;
/// A repeatable job whose start is unconfirmed for this long goes to another worker.
const START_CONFIRM_MS: u64 = 2_500;
/// A repeatable task whose checkpoint takes longer is stopped without a checkpoint.
const CHECKPOINT_LIMIT_MS: u64 = 1_800;
/// A nomination is dropped if the worker still lacks free resources after this time.
const NOMINATION_LIMIT_MS: u64 = 3_000;
/// A job that has waited this long counts as starving: a worker, or the quota of its team, is held
/// for it, so that smaller jobs cannot overtake it forever.
const STARVATION_MS: u64 = 120_000;
/// On a worker with tasks, this fraction of the memory stays free, since growth of the tasks is
/// reported late.
const HEADROOM_DIVISOR: u64 = 8;
/// Placement attempts per step, separately for urgent and for other jobs.
const ATTEMPTS_PER_STEP: usize = 512;
/// Backfill depth: jobs of a team that may be skipped in a step in favour of later ones.
const BACKFILL_JOBS: usize = 16;
/// Stops of cancelled tasks per step. The limit keeps a mass cancellation from flooding the queues
/// of the workers.
const STOPS_PER_STEP: usize = 20;
/// Interval at which workers are checked for expired leases.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Tokens of ended runs are kept for one to two of these periods, which is longer than a report can
/// be delayed.
const ENDED_TOKEN_RETENTION_MS: u64 = 60_000;

/// Result of an attempt to place a job.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Attempt {
    Placed,
    NoCapacity,
    NoQuota,
}

/// Position in the queue of a team during a step.
struct Cursor {
    team: TeamKey,
    next: Option<(u64, JobKey)>,
    skipped: usize,
}

impl Planner {
    /// Runs a planning step and returns its actions. To be called periodically at a short interval,
    /// and after urgent submissions.
    pub fn step(&mut self, now: Millis) -> Vec<PlacementAction> {
        self.now = self.now.max(now);
        self.check_workers();
        self.check_recovery();
        self.resend();
        if self.recovery_end.is_none() {
            self.start_nominated();
            self.place(true);
            self.place(false);
        }
        self.stop_cancelled();
        self.write();
        std::mem::take(&mut self.actions)
    }

    fn check_recovery(&mut self) {
        let Some(end) = self.recovery_end else { return };
        if self.now >= end
            || self
                .workers
                .values()
                .all(|worker| worker.last_report_at.is_some())
        {
            self.recovery_end = None;
        }
    }

    fn check_workers(&mut self) {
        if self.now.ms_since(self.tokens_rotated_at) >= ENDED_TOKEN_RETENTION_MS {
            self.tokens_rotated_at = self.now;
            self.recently_ended_tokens.swap(0, 1);
            self.recently_ended_tokens[0].clear();
        }
        if self.now.ms_since(self.checked_at) < CHECK_INTERVAL_MS {
            return;
        }
        self.checked_at = self.now;
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.update_indexes(key);
            let last_report_at = self
                .workers
                .get(key)
                .and_then(|worker| worker.last_report_at);
            if last_report_at
                .is_some_and(|last_report_at| self.now.ms_since(last_report_at) > LEASE_EXPIRY_MS)
            {
                self.expire_lease(key);
            }
        }
    }

    /// Requeues the repeatable jobs of an unresponsive worker. The others stay assigned until their
    /// end is known.
    fn expire_lease(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<JobKey> = worker.tasks.iter().copied().collect();
        for job in tasks {
            if let Some(lifecycle) = self.job(job).copied()
                && lifecycle.info().repeatable
            {
                self.requeue(job, lifecycle.without_state());
            }
        }
    }

    /// Updates the indexes after a change to a worker.
    pub(super) fn update_indexes(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let fresh = worker.has_recent_report(self.now, REPORT_MAX_AGE_MS) && !worker.needs_report;
        let usable = fresh && worker.allows_task(self.now);
        let accepts_any_job = usable && worker.held_for.is_none();
        let mut committed = worker.reserved.plus(worker.nominated);
        if !worker.tasks.is_empty() {
            committed.memory_mb += worker.capacity.memory_mb / HEADROOM_DIVISOR;
        }
        let available = |extra: Resources| worker.capacity.plus(extra).minus(committed);
        let free = accepts_any_job.then(|| available(Resources::default()));
        let after_preemption = usable.then(|| available(worker.preemptible));
        let after_reclaim = accepts_any_job.then(|| available(worker.reclaimable));
        self.free_index.set(key, free);
        self.preemption_index.set(key, after_preemption);
        self.reclaim_index.set(key, after_reclaim);
    }

    fn resend(&mut self) {
        while let Some((at, job)) = self.timers.first().copied() {
            if at > self.now {
                return;
            }
            self.timers.pop_first();
            match self.job(job).copied() {
                Some(Lifecycle::Starting(starting)) if starting.state.sent => {
                    let waited_ms = self.now.ms_since(starting.state.assigned_at);
                    if starting.info.repeatable && waited_ms >= START_CONFIRM_MS {
                        self.abandon_start(job, starting.state.run, starting.without_state());
                    } else {
                        self.send_start(job, starting.state.run);
                    }
                }
                Some(Lifecycle::Stopping(_)) => self.send_stop(job),
                _ => {}
            }
        }
    }

    /// Requeues a repeatable job whose worker did not confirm the start. The worker gets no task
    /// before its next report.
    fn abandon_start(&mut self, job: JobKey, run: Run, stateless: Job<()>) {
        let Run { worker, token, .. } = run;
        self.actions.push(PlacementAction::Stop { worker, token });
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.needs_report = true;
        }
        self.requeue(job, stateless);
    }

    pub(super) fn send_start(&mut self, job: JobKey, run: Run) {
        self.actions.push(PlacementAction::Start {
            worker: run.worker,
            job,
            token: run.token,
            incarnation: run.incarnation,
        });
        self.timers.insert((self.now.after_ms(RESEND_MS), job));
    }

    pub(super) fn send_stop(&mut self, job: JobKey) {
        let Some(Lifecycle::Stopping(stopping)) = self.job(job).copied() else {
            return;
        };
        let Run { worker, token, .. } = stopping.state.run;
        let waited_ms = self.now.ms_since(stopping.state.requested_at);
        let checkpoint_overdue = stopping.info.repeatable && waited_ms >= CHECKPOINT_LIMIT_MS;
        let action = match stopping.state.reason {
            StopReason::Checkpoint if !checkpoint_overdue => {
                PlacementAction::Checkpoint { worker, token }
            }
            StopReason::Checkpoint | StopReason::Cancel => PlacementAction::Stop { worker, token },
        };
        self.actions.push(action);
        self.timers.insert((self.now.after_ms(RESEND_MS), job));
    }

    fn start_nominated(&mut self) {
        let nominated: Vec<JobKey> = self.nominated_jobs.iter().copied().collect();
        for job in nominated {
            let Some(Lifecycle::Waiting(waiting)) = self.job(job).copied() else {
                continue;
            };
            let Some((key, at)) = waiting.state.nominated_worker else {
                continue;
            };
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let available = worker.capacity.minus(worker.reserved);
            let team = self.teams.get(waiting.info.team);
            let within_quota =
                team.is_some_and(|team| team.own_used.plus(waiting.need).fits(team.quota));
            if within_quota && waiting.need.fits(available) {
                self.assign(job, waiting, key, false);
            } else if !within_quota || self.now.ms_since(at) >= NOMINATION_LIMIT_MS {
                let since = waiting.state.since;
                if within_quota && let Some(worker) = self.workers.get_mut(key) {
                    worker.needs_report = true;
                }
                self.transition(
                    job,
                    Lifecycle::Waiting(waiting.without_state().requeue(since)),
                );
            }
        }
    }

    /// Like [`Self::is_within_quota`], but also holds the quota for a starving job and respects
    /// such a hold.
    fn check_quota(&mut self, job: JobKey, waiting: &Job<Waiting>) -> bool {
        let within_quota = self.is_within_quota(waiting);
        let waited_ms = self.now.ms_since(waiting.state.since);
        let Some(team) = self.teams.get_mut(waiting.info.team) else {
            return false;
        };
        if !within_quota && waited_ms >= STARVATION_MS {
            team.quota_held_for.get_or_insert(job);
        }
        let urgent = waiting.info.urgency == Urgency::Urgent;
        within_quota && (urgent || team.quota_held_for.is_none_or(|held| held == job))
    }

    pub(super) fn is_within_quota(&self, waiting: &Job<Waiting>) -> bool {
        let team = self.teams.get(waiting.info.team);
        team.is_some_and(|team| {
            let committed = team.own_used.plus(team.nominated);
            committed.plus(waiting.need).fits(team.quota)
        })
    }

    /// Places the urgent or the other jobs of all teams in the order of their rank, lowest first.
    /// The rank of a job grows with the share of its team's quota in use, by at most
    /// `LOW_RANK_DELAY_MS`.
    fn place(&mut self, urgent: bool) {
        let teams: Vec<TeamKey> = self.teams.keys().collect();
        let mut cursors: Vec<Cursor> = Vec::new();
        for team in teams {
            let next = self.next_job(team, urgent, None);
            let skipped = 0;
            cursors.push(Cursor {
                team,
                next,
                skipped,
            });
        }
        let mut unplaceable: Vec<Resources> = Vec::new();
        for _ in 0..ATTEMPTS_PER_STEP {
            let ranked = cursors.iter_mut().filter_map(|cursor| {
                let (rank_ms, job) = cursor.next?;
                Some((self.rank(cursor.team, rank_ms), job, cursor))
            });
            let Some((_, job, cursor)) = ranked.min_by_key(|(rank, job, _)| (*rank, *job)) else {
                return;
            };
            let position = cursor.next;
            if self.try_place(job, &mut unplaceable) != Attempt::Placed {
                cursor.skipped += 1;
            }
            cursor.next = if cursor.skipped < BACKFILL_JOBS {
                self.next_job(cursor.team, urgent, position)
            } else {
                None
            };
        }
    }

    fn rank(&self, team: TeamKey, rank_ms: u64) -> u64 {
        let Some(team) = self.teams.get(team) else {
            return rank_ms;
        };
        let share_ppm = team.used.dominant_share_ppm(team.quota).min(1_000_000);
        rank_ms + share_ppm * LOW_RANK_DELAY_MS / 1_000_000
    }

    fn next_job(
        &self,
        team: TeamKey,
        urgent: bool,
        after: Option<(u64, JobKey)>,
    ) -> Option<(u64, JobKey)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let team = self.teams.get(team)?;
        let queue = if urgent { &team.urgent } else { &team.other };
        let from = after.map_or(Unbounded, Excluded);
        queue.range((from, Unbounded)).next().copied()
    }

    fn try_place(&mut self, job: JobKey, unplaceable: &mut Vec<Resources>) -> Attempt {
        let Some(Lifecycle::Waiting(waiting)) = self.job(job).copied() else {
            return Attempt::NoCapacity;
        };
        let need = waiting.need;
        let within_quota = self.check_quota(job, &waiting) || self.move_runs_to_borrowed(&waiting);
        let can_borrow = self.total_used.plus(need).fits(self.total_quota);
        let may_start = within_quota || (can_borrow && waiting.info.checkpointable);
        if !may_start {
            self.release_hold(job);
            return Attempt::NoQuota;
        }
        if let Some(held) = self.held_workers.get(&job).copied() {
            return self.try_held_worker(job, &waiting, held, within_quota);
        }
        let known_unplaceable = unplaceable.iter().any(|shape| shape.fits(need));
        if !known_unplaceable {
            if let Some(key) = self.free_index.find(need, |key| self.allows(key, &waiting)) {
                self.assign(job, waiting, key, !within_quota);
                return Attempt::Placed;
            }
            if waiting.history.failed_on.iter().all(Option::is_none) && !waiting.history.suspect {
                unplaceable.push(need);
            }
        }
        if within_quota && self.preempt_for(job, &waiting) {
            return Attempt::Placed;
        }
        if within_quota && self.now.ms_since(waiting.state.since) >= STARVATION_MS {
            self.hold_worker(job, &waiting);
        }
        Attempt::NoCapacity
    }

    fn try_held_worker(
        &mut self,
        job: JobKey,
        waiting: &Job<Waiting>,
        key: WorkerKey,
        within_quota: bool,
    ) -> Attempt {
        let Some(worker) = self.workers.get(key) else {
            return Attempt::NoCapacity;
        };
        let committed = worker.reserved.plus(worker.nominated);
        let usable =
            worker.has_recent_report(self.now, REPORT_MAX_AGE_MS) && worker.allows_task(self.now);
        if usable && !worker.needs_report && waiting.need.plus(committed).fits(worker.capacity) {
            self.assign(job, *waiting, key, !within_quota);
            return Attempt::Placed;
        }
        Attempt::NoCapacity
    }

    /// Whether a job may run on a worker, apart from free resources.
    pub(super) fn allows(&self, key: WorkerKey, waiting: &Job<Waiting>) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let failed = waiting.history.failed_on.contains(&Some(key));
        let would_pair_suspects = waiting.history.suspect && worker.suspect_tasks > 0;
        let unsafe_probe = worker.is_quarantined() && !waiting.info.repeatable;
        !failed && !would_pair_suspects && !unsafe_probe
    }

    fn assign(&mut self, job: JobKey, waiting: Job<Waiting>, key: WorkerKey, borrowed: bool) {
        self.tokens_issued += 1;
        let token = u64::from(self.epoch) << 32 | u64::from(self.tokens_issued);
        let incarnation = self.workers.get(key).map_or(0, |worker| worker.incarnation);
        let run = Run {
            worker: key,
            token,
            incarnation,
            borrowed,
            reserved: waiting.need,
            peak: Resources::default(),
        };
        let sent = waiting.info.repeatable;
        self.transition(job, Lifecycle::Starting(waiting.start(run, self.now, sent)));
        if sent {
            self.send_start(job, run);
        } else {
            let record = PlacementRecord::MayRun {
                worker: key,
                token,
                incarnation,
            };
            self.records.put(job, record);
        }
    }

    fn stop_cancelled(&mut self) {
        for _ in 0..STOPS_PER_STEP {
            let Some(job) = self.pending_stops.pop_front() else {
                return;
            };
            if let Some(Lifecycle::Waiting(waiting)) = self.job(job).copied() {
                self.finish(job, waiting.without_state(), super::JobOutcome::Cancelled);
            } else {
                self.stop(job, StopReason::Cancel);
            }
        }
    }

    fn write(&mut self) {
        let Some(batch) = self.records.next_batch(self.now) else {
            return;
        };
        let writes = batch.iter().filter_map(|(job, record)| {
            let entry = self.jobs.get(*job)?;
            Some(JobWrite {
                job: *job,
                name: entry.name.clone(),
                info: entry.lifecycle.info(),
                record: *record,
            })
        });
        let writes = writes.collect();
        self.actions.push(PlacementAction::Write(writes));
    }
}
