//! The planning step: timers, placement, checkpoints that make room, stops and writes.

use crate::prelude::*;

use super::job::{Job, Life, Run, StopReason, Urgency, Waiting};
use super::records::{JobRecord, JobWrite};
use super::resources::Resources;
use super::{LOW_RANK_MS, PlacementAction, Planner};

/// A worker whose last report is older gets no task: its usage is not known well enough.
pub(super) const REPORT_FRESH_MS: u64 = 30_000;
/// A worker that is silent for this time has lost its leases; repeatable work runs elsewhere.
const LEASE_LAPSE_MS: u64 = 45_000;
/// Starts and stops are sent again after this time.
const RESEND_MS: u64 = 1_000;
/// A repeatable job whose start is not confirmed by then goes to another worker.
const START_CONFIRM_MS: u64 = 2_500;
/// A repeatable task whose checkpoint takes longer is stopped without one.
const CHECKPOINT_LIMIT_MS: u64 = 1_800;
/// A promised worker that has no room by then is given up.
const PROMISE_LIMIT_MS: u64 = 3_000;
/// A job that waits this long for room gets a worker held for it, so that smaller jobs do not
/// pass it for ever.
const HOLD_AFTER_MS: u64 = 120_000;
/// Part of a worker's memory that is kept free beside other tasks, since their growth is reported
/// late.
const HEADROOM_DIVISOR: u64 = 8;
/// Jobs looked at in a step, for urgent and for other work.
const ATTEMPTS_PER_STEP: usize = 512;
/// Jobs of a team that may be passed over in a step, so that smaller ones fill the gaps.
const BACKFILL_JOBS: usize = 16;
/// Stops of cancelled tasks in a step, so that a wave of them does not fill the workers' queues.
const STOPS_PER_STEP: usize = 20;
/// Workers are checked for silence at this interval.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Ended runs are remembered for one to two of these, longer than a report lags.
const ENDED_MEMORY_MS: u64 = 60_000;

/// Result of one attempt to place a job.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Attempt {
    Placed,
    NoRoom,
    NoQuota,
}

/// Position in the queue of a team during a step.
struct Cursor {
    team: TeamKey,
    next: Option<(u64, JobKey)>,
    passed: usize,
}

impl Planner {
    /// Decides what to do now. Called at a short interval and after urgent submissions.
    pub fn step(&mut self, now: Millis) -> Vec<PlacementAction> {
        self.now = self.now.max(now);
        self.check_workers();
        self.check_recovery();
        self.resend();
        if self.recovering.is_none() {
            self.start_promised();
            self.place(true);
            self.place(false);
        }
        self.stop_cancelled();
        self.write();
        std::mem::take(&mut self.actions)
    }

    fn check_recovery(&mut self) {
        let Some(until) = self.recovering else { return };
        if self.now >= until || self.workers.values().all(|worker| worker.heard.is_some()) {
            self.recovering = None;
        }
    }

    fn check_workers(&mut self) {
        if self.now.ms_since(self.rotated_at) >= ENDED_MEMORY_MS {
            self.rotated_at = self.now;
            self.ended_tokens.swap(0, 1);
            self.ended_tokens[0].clear();
        }
        if self.now.ms_since(self.checked_at) < CHECK_INTERVAL_MS {
            return;
        }
        self.checked_at = self.now;
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.refresh(key);
            let lapsed = self.workers.get(key).and_then(|worker| worker.heard);
            if lapsed.is_some_and(|heard| self.now.ms_since(heard) > LEASE_LAPSE_MS) {
                self.lapse(key);
            }
        }
    }

    /// Runs repeatable tasks of a silent worker elsewhere. Others stay until their end is known.
    fn lapse(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<JobKey> = worker.tasks.iter().copied().collect();
        for job in tasks {
            if let Some(life) = self.job(job).copied()
                && life.info().repeatable
            {
                self.again(job, life.stateless());
            }
        }
    }

    /// Updates the indexes after a change of a worker.
    pub(super) fn refresh(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let fresh = worker.is_fresh(self.now, REPORT_FRESH_MS) && !worker.unsure;
        let usable = fresh && worker.allows_task(self.now);
        let open = usable && worker.held_for.is_none();
        let mut taken = worker.reserved.plus(worker.promised);
        if !worker.tasks.is_empty() {
            taken.memory_mb += worker.capacity.memory_mb / HEADROOM_DIVISOR;
        }
        let room = |extra: Resources| worker.capacity.plus(extra).minus(taken);
        let free = open.then(|| room(Resources::default()));
        let checkpoints = usable.then(|| room(worker.less_urgent));
        let returns = open.then(|| room(worker.borrowed));
        self.free.set(key, free);
        self.after_checkpoints.set(key, checkpoints);
        self.after_returns.set(key, returns);
    }

    fn resend(&mut self) {
        while let Some((at, job)) = self.timers.first().copied() {
            if at > self.now {
                return;
            }
            self.timers.pop_first();
            match self.job(job).copied() {
                Some(Life::Starting(starting)) if starting.state.sent => {
                    let waited_ms = self.now.ms_since(starting.state.at);
                    if starting.info.repeatable && waited_ms >= START_CONFIRM_MS {
                        self.give_up_start(job, starting.state.run, starting.with_none());
                    } else {
                        self.send_start(job, starting.state.run);
                    }
                }
                Some(Life::Stopping(_)) => self.send_stop(job),
                _ => {}
            }
        }
    }

    /// Moves a repeatable job away from a worker that does not answer. The worker gets no task
    /// before its next report.
    fn give_up_start(&mut self, job: JobKey, run: Run, stateless: Job<()>) {
        let Run { worker, token, .. } = run;
        self.actions.push(PlacementAction::Stop { worker, token });
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.unsure = true;
        }
        self.again(job, stateless);
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
        let Some(Life::Stopping(stopping)) = self.job(job).copied() else {
            return;
        };
        let Run { worker, token, .. } = stopping.state.run;
        let waited_ms = self.now.ms_since(stopping.state.at);
        let late = stopping.info.repeatable && waited_ms >= CHECKPOINT_LIMIT_MS;
        let action = match stopping.state.reason {
            StopReason::Checkpoint if !late => PlacementAction::Checkpoint { worker, token },
            StopReason::Checkpoint | StopReason::Cancel => PlacementAction::Stop { worker, token },
        };
        self.actions.push(action);
        self.timers.insert((self.now.after_ms(RESEND_MS), job));
    }

    fn start_promised(&mut self) {
        let promised: Vec<JobKey> = self.promised.iter().copied().collect();
        for job in promised {
            let Some(Life::Waiting(waiting)) = self.job(job).copied() else {
                continue;
            };
            let Some((key, at)) = waiting.state.promised else {
                continue;
            };
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let room = worker.capacity.minus(worker.reserved);
            let team = self.teams.get(waiting.info.team);
            let within = team.is_some_and(|team| team.owned.plus(waiting.need).fits(team.quota));
            if within && waiting.need.fits(room) {
                self.begin(job, waiting, key, false);
            } else if !within || self.now.ms_since(at) >= PROMISE_LIMIT_MS {
                let since = waiting.state.since;
                if within && let Some(worker) = self.workers.get_mut(key) {
                    worker.unsure = true;
                }
                self.change(job, Life::Waiting(waiting.with_none().wait(since)));
            }
        }
    }

    /// Like [`Self::is_within_quota`], and holds the quota for a job that has waited long for it.
    fn may_use_quota(&mut self, job: JobKey, waiting: &Job<Waiting>) -> bool {
        let within = self.is_within_quota(waiting);
        let waited_ms = self.now.ms_since(waiting.state.since);
        let Some(team) = self.teams.get_mut(waiting.info.team) else {
            return false;
        };
        if !within && waited_ms >= HOLD_AFTER_MS {
            team.quota_held_for.get_or_insert(job);
        }
        let urgent = waiting.info.urgency == Urgency::Urgent;
        within && (urgent || team.quota_held_for.is_none_or(|held| held == job))
    }

    pub(super) fn is_within_quota(&self, waiting: &Job<Waiting>) -> bool {
        let team = self.teams.get(waiting.info.team);
        team.is_some_and(|team| {
            let taken = team.owned.plus(team.promised);
            taken.plus(waiting.need).fits(team.quota)
        })
    }

    /// Goes through the queues of the teams: urgent or other work, lowest rank first. The rank of a
    /// team's work grows with the share of its quota in use, by at most the rank of low work.
    fn place(&mut self, urgent: bool) {
        let teams: Vec<TeamKey> = self.teams.keys().collect();
        let mut cursors: Vec<Cursor> = Vec::new();
        for team in teams {
            let next = self.next_job(team, urgent, None);
            let passed = 0;
            cursors.push(Cursor { team, next, passed });
        }
        let mut full: Vec<Resources> = Vec::new();
        for _ in 0..ATTEMPTS_PER_STEP {
            let ranked = cursors.iter_mut().filter_map(|cursor| {
                let (order_ms, job) = cursor.next?;
                Some((self.rank(cursor.team, order_ms), job, cursor))
            });
            let Some((_, job, cursor)) = ranked.min_by_key(|(rank, job, _)| (*rank, *job)) else {
                return;
            };
            let position = cursor.next;
            if self.try_place(job, &mut full) != Attempt::Placed {
                cursor.passed += 1;
            }
            cursor.next = if cursor.passed < BACKFILL_JOBS {
                self.next_job(cursor.team, urgent, position)
            } else {
                None
            };
        }
    }

    fn rank(&self, team: TeamKey, order_ms: u64) -> u64 {
        let Some(team) = self.teams.get(team) else {
            return order_ms;
        };
        let share_ppm = team.used.dominant_share_ppm(team.quota).min(1_000_000);
        order_ms + share_ppm * LOW_RANK_MS / 1_000_000
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

    fn try_place(&mut self, job: JobKey, full: &mut Vec<Resources>) -> Attempt {
        let Some(Life::Waiting(waiting)) = self.job(job).copied() else {
            return Attempt::NoRoom;
        };
        let need = waiting.need;
        let within = self.may_use_quota(job, &waiting) || self.lend_to_urgent(&waiting);
        let lent = self.total_used.plus(need).fits(self.total_quota);
        let may_start = within || (lent && waiting.info.checkpointable);
        if !may_start {
            self.release_hold(job);
            return Attempt::NoQuota;
        }
        if let Some(held) = self.holds.get(&job).copied() {
            return self.try_held(job, &waiting, held, within);
        }
        let known_full = full.iter().any(|shape| shape.fits(need));
        if !known_full {
            if let Some(key) = self.free.find(need, |key| self.allows(key, &waiting)) {
                self.begin(job, waiting, key, !within);
                return Attempt::Placed;
            }
            if waiting.history.failed_on.iter().all(Option::is_none) && !waiting.history.suspect {
                full.push(need);
            }
        }
        if within && self.promise(job, &waiting) {
            return Attempt::Placed;
        }
        if within && self.now.ms_since(waiting.state.since) >= HOLD_AFTER_MS {
            self.hold(job, &waiting);
        }
        Attempt::NoRoom
    }

    fn try_held(
        &mut self,
        job: JobKey,
        waiting: &Job<Waiting>,
        key: WorkerKey,
        within: bool,
    ) -> Attempt {
        let Some(worker) = self.workers.get(key) else {
            return Attempt::NoRoom;
        };
        let taken = worker.reserved.plus(worker.promised);
        let usable = worker.is_fresh(self.now, REPORT_FRESH_MS) && worker.allows_task(self.now);
        if usable && !worker.unsure && waiting.need.plus(taken).fits(worker.capacity) {
            self.begin(job, *waiting, key, !within);
            return Attempt::Placed;
        }
        Attempt::NoRoom
    }

    /// Whether a job may go to a worker that has room.
    pub(super) fn allows(&self, key: WorkerKey, waiting: &Job<Waiting>) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let failed = waiting.history.failed_on.contains(&Some(key));
        let two_suspects = waiting.history.suspect && worker.suspects > 0;
        let probe = worker.is_quarantined() && !waiting.info.repeatable;
        !failed && !two_suspects && !probe
    }

    fn begin(&mut self, job: JobKey, waiting: Job<Waiting>, key: WorkerKey, borrowed: bool) {
        self.tokens_given += 1;
        let token = u64::from(self.epoch) << 32 | u64::from(self.tokens_given);
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
        self.change(job, Life::Starting(waiting.start(run, self.now, sent)));
        if sent {
            self.send_start(job, run);
        } else {
            let record = JobRecord::MayRun {
                worker: key,
                token,
                incarnation,
            };
            self.records.put(job, record);
        }
    }

    fn stop_cancelled(&mut self) {
        for _ in 0..STOPS_PER_STEP {
            let Some(job) = self.stops.pop_front() else {
                return;
            };
            if let Some(Life::Waiting(waiting)) = self.job(job).copied() {
                self.finish(job, waiting.with_none(), super::JobOutcome::Cancelled);
            } else {
                self.stop(job, StopReason::Cancel);
            }
        }
    }

    fn write(&mut self) {
        let Some(batch) = self.records.next(self.now) else {
            return;
        };
        let writes = batch.iter().filter_map(|(job, record)| {
            let entry = self.jobs.get(*job)?;
            Some(JobWrite {
                job: *job,
                name: entry.name.clone(),
                info: entry.life.info(),
                record: *record,
            })
        });
        let writes = writes.collect();
        self.actions.push(PlacementAction::Write(writes));
    }
}
