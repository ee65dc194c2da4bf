//! What workers report, and what follows from it.

use crate::prelude::*;

use super::job::{FAILED_WORKERS_MAX, Job, JobOutcome, Life, Run, StopReason};
use super::records::JobRecord;
use super::resources::Resources;
use super::{PlacementAction, Planner};

/// Measured usage lowers a reservation only after this time, when start-up is over.
const SETTLE_MS: u64 = 60_000;
/// Measured usage is raised by a quarter, since it lags.
const MARGIN_DIVISOR: u64 = 4;
/// At most this part of the workers is in quarantine: beyond it, jobs are the likelier cause.
const QUARANTINE_DIVISOR: usize = 10;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// The worker could not start it; it certainly did not run.
    NotStarted,
    /// The worker was short of memory and ended it.
    OutOfMemory {
        /// What the task used then.
        used_mb: u64,
    },
    /// It was checkpointed and can go on elsewhere.
    Checkpointed,
    /// It was stopped without a checkpoint.
    Stopped,
}

/// A task of a report.
#[derive(Clone, Debug)]
pub struct TaskReport {
    /// Name of its job.
    pub name: Arc<str>,
    /// Fencing token.
    pub token: u64,
    /// Measured usage.
    pub usage: Resources,
}

/// What a worker says of itself at one moment.
#[derive(Clone, Debug)]
pub struct Report {
    /// Process of the worker; later ones are higher.
    pub incarnation: u64,
    /// Counts the reports of the process.
    pub sequence: u64,
    /// Highest token that it has accepted or refused; it starts no lower one any more.
    pub fence: u64,
    /// All tasks that run.
    pub tasks: Vec<TaskReport>,
    /// Runs that ended and were not acknowledged.
    pub ended: Vec<(u64, RunEnd)>,
}

impl Planner {
    /// A worker reports. Lost, repeated and late reports do no harm.
    pub fn report(&mut self, key: WorkerKey, report: &Report, now: Millis) {
        self.now = self.now.max(now);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let position = (report.incarnation, report.sequence);
        if worker.heard.is_some() && position <= (worker.incarnation, worker.sequence) {
            return;
        }
        worker.heard = Some(now);
        (worker.incarnation, worker.sequence) = position;
        for (token, end) in &report.ended {
            self.ended(key, *token, *end, now);
        }
        let mut strays = false;
        for task in &report.tasks {
            strays |= !self.task_reported(key, report.incarnation, task);
        }
        self.find_lost_runs(key, report);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.unsure = strays;
        }
        self.relieve(key);
        self.refresh(key);
    }

    /// Returns false if the planner does not know the task.
    fn task_reported(&mut self, key: WorkerKey, incarnation: u64, task: &TaskReport) -> bool {
        if self
            .ended_tokens
            .iter()
            .any(|set| set.contains(&task.token))
        {
            return true;
        }
        let known = self.tokens.get(&task.token).copied();
        let known = known.or_else(|| self.adopt(key, incarnation, task));
        let Some(job) = known else {
            let worker = key;
            let token = task.token;
            self.actions.push(PlacementAction::Stop { worker, token });
            return false;
        };
        self.started(key, task.token, self.now);
        self.correct(job, task.usage);
        true
    }

    /// Takes over a repeatable job that a former controller started.
    fn adopt(&mut self, worker: WorkerKey, incarnation: u64, task: &TaskReport) -> Option<JobKey> {
        self.recovering?;
        let job = *self.names.get(&task.name)?;
        let Life::Waiting(waiting) = self.jobs.get(job)?.life else {
            return None;
        };
        let run = Run {
            worker,
            token: task.token,
            incarnation,
            borrowed: !self.is_within_quota(&waiting),
            reserved: waiting.need.max(task.usage),
            peak: task.usage,
        };
        self.change(job, Life::Running(waiting.adopt(run, self.now)));
        Some(job)
    }

    /// A worker says that it runs a task.
    pub fn started(&mut self, worker: WorkerKey, token: u64, now: Millis) {
        self.now = self.now.max(now);
        let Some(job) = self.tokens.get(&token).copied() else {
            return;
        };
        let Some(Life::Starting(starting)) = self.job(job).copied() else {
            return;
        };
        if starting.state.run.worker == worker {
            self.change(job, Life::Running(starting.run(now)));
        }
    }

    /// Corrects a reservation: upwards at once, downwards once the task has settled. Accelerators
    /// are exclusive devices and are never lowered.
    fn correct(&mut self, job: JobKey, usage: Resources) {
        let Some(Life::Running(running)) = self.job(job).copied() else {
            return;
        };
        let run = running.state.run;
        let peak = run.peak.max(usage);
        let settled = self.now.ms_since(running.state.since) >= SETTLE_MS;
        let need = running.need;
        // The margin never takes a reservation above both the declared and the measured size.
        let corrected = |peak: u64, need: u64| {
            let margin = peak + peak / MARGIN_DIVISOR;
            if settled {
                margin.min(need.max(peak))
            } else {
                need.max(peak)
            }
        };
        let reserved = Resources {
            processors_milli: corrected(peak.processors_milli, need.processors_milli),
            memory_mb: corrected(peak.memory_mb, need.memory_mb),
            accelerators: need.accelerators,
        };
        let mut next = running;
        next.state.run.peak = peak;
        next.state.run.reserved = reserved;
        self.change(job, Life::Running(next));
    }

    /// Ends the runs that the report proves to be over.
    fn find_lost_runs(&mut self, key: WorkerKey, report: &Report) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let listed: FastSet<u64> = report.tasks.iter().map(|task| task.token).collect();
        let tasks: Vec<JobKey> = worker.tasks.iter().copied().collect();
        let mut vanished = None;
        for job in tasks {
            let Some(life) = self.job(job).copied() else {
                continue;
            };
            let Some(run) = life.run() else { continue };
            if run.incarnation < report.incarnation {
                self.worker_restarted(job, &life);
                vanished = Some(job);
            } else if run.token <= report.fence && !listed.contains(&run.token) {
                match life {
                    Life::Starting(_) => {
                        self.forget_run(&life);
                        self.again(job, life.stateless());
                    }
                    _ => self.run_lost(job, &life),
                }
            }
        }
        // One failure for a restart, however many tasks ran: one of them may be the cause.
        if let Some(job) = vanished {
            self.worker_failed(key, job);
        }
    }

    /// The platform says that a worker is gone for good, so its tasks are over.
    pub fn worker_gone(&mut self, key: WorkerKey, now: Millis) {
        self.now = self.now.max(now);
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<JobKey> = worker.tasks.iter().copied().collect();
        for job in tasks {
            if let Some(life) = self.job(job).copied() {
                self.worker_restarted(job, &life);
            }
        }
        let promised: Vec<JobKey> = self.promised.iter().copied().collect();
        for job in promised {
            if let Some(Life::Waiting(waiting)) = self.job(job).copied()
                && waiting
                    .state
                    .promised
                    .is_some_and(|(worker, _)| worker == key)
            {
                self.change(
                    job,
                    Life::Waiting(waiting.with_none().wait(waiting.state.since)),
                );
            }
        }
        self.holds.retain(|_, worker| *worker != key);
        self.free.set(key, None);
        self.after_checkpoints.set(key, None);
        self.after_returns.set(key, None);
        if let Some(worker) = self.workers.remove(key) {
            self.quarantined -= usize::from(worker.is_quarantined());
        }
    }

    /// The worker vanished under the job. The job may be the cause, so it is isolated from other
    /// suspects and counted.
    fn worker_restarted(&mut self, job: JobKey, life: &Life) {
        let mut stateless = life.stateless();
        stateless.history.suspect = true;
        let worker = life.run().map(|run| run.worker).unwrap_or_default();
        let unsent = matches!(life, Life::Starting(starting) if !starting.state.sent);
        let failures = stateless.history.fail(worker);
        self.forget_run(life);
        if unsent {
            self.again(job, life.stateless());
        } else if !stateless.info.repeatable {
            self.finish(job, stateless, JobOutcome::Unknown);
        } else if failures >= FAILED_WORKERS_MAX {
            self.finish(job, stateless, JobOutcome::FailsEverywhere);
        } else {
            self.again(job, stateless);
        }
    }

    /// The run is over and its result is not known.
    pub(super) fn run_lost(&mut self, job: JobKey, life: &Life) {
        self.forget_run(life);
        let stateless = life.stateless();
        match life {
            Life::Stopping(stopping) if stopping.state.reason == StopReason::Cancel => {
                self.finish(job, stateless, JobOutcome::Cancelled);
            }
            _ if stateless.info.repeatable => self.again(job, stateless),
            _ => self.finish(job, stateless, JobOutcome::Unknown),
        }
    }

    fn forget_run(&mut self, life: &Life) {
        if let Some(run) = life.run() {
            self.ended_tokens[0].insert(run.token);
        }
    }

    /// Puts a job whose run is over back to waiting.
    pub(super) fn again(&mut self, job: JobKey, stateless: Job<()>) {
        let cancelled = matches!(
            self.job(job),
            Some(Life::Stopping(stopping)) if stopping.state.reason == StopReason::Cancel
        );
        if cancelled {
            return self.finish(job, stateless, JobOutcome::Cancelled);
        }
        self.change(job, Life::Waiting(stateless.wait(self.now)));
        if !stateless.info.repeatable {
            self.records.put(job, JobRecord::Accepted);
        }
    }

    /// A worker says how a run ended. Sent again until it is acknowledged.
    pub fn ended(&mut self, worker: WorkerKey, token: u64, end: RunEnd, now: Millis) {
        self.now = self.now.max(now);
        let job = self.tokens.get(&token).copied();
        let life = job.and_then(|job| self.job(job).copied());
        let run = life.and_then(|life| life.run());
        let (Some(job), Some(life), Some(run)) = (job, life, run) else {
            self.acknowledge_unknown(worker, token);
            return;
        };
        if run.worker != worker {
            return;
        }
        self.forget_run(&life);
        let stateless = life.stateless();
        let cancelled = matches!(
            life,
            Life::Stopping(stopping) if stopping.state.reason == StopReason::Cancel
        );
        match end {
            RunEnd::Done => {
                self.worker_succeeded(worker);
                self.finish(job, stateless, JobOutcome::Done);
            }
            _ if cancelled => self.finish(job, stateless, JobOutcome::Cancelled),
            RunEnd::Checkpointed => self.again(job, stateless),
            RunEnd::Stopped if stateless.info.repeatable => self.again(job, stateless),
            RunEnd::Stopped => self.finish(job, stateless, JobOutcome::Unknown),
            RunEnd::OutOfMemory { used_mb } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.unsure = true;
                }
                self.outgrown(job, stateless, used_mb);
            }
            RunEnd::Failed | RunEnd::NotStarted => self.failed(job, stateless, worker, end),
        }
        self.acknowledge_after_write(job, worker, token);
        self.refresh(worker);
    }

    fn acknowledge_unknown(&mut self, worker: WorkerKey, token: u64) {
        if !self.unacknowledged.contains(&token) {
            let acknowledge = PlacementAction::Acknowledge { worker, token };
            self.actions.push(acknowledge);
        }
    }

    /// A worker must not forget an end before the record that follows from it is stored.
    fn acknowledge_after_write(&mut self, job: JobKey, worker: WorkerKey, token: u64) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let ended = matches!(entry.life, Life::Finished(_));
        if ended || !entry.life.info().repeatable {
            entry.acknowledge = Some((worker, token));
            self.unacknowledged.insert(token);
        } else {
            let acknowledge = PlacementAction::Acknowledge { worker, token };
            self.actions.push(acknowledge);
        }
    }

    /// The next run gets what the task used and the margin. A task that was within its size ended
    /// for another's sake and keeps it.
    fn outgrown(&mut self, job: JobKey, mut stateless: Job<()>, used_mb: u64) {
        if used_mb > stateless.need.memory_mb {
            stateless.need.memory_mb = used_mb + used_mb / MARGIN_DIVISOR;
        }
        let need = stateless.need;
        let quota = self.teams.get(stateless.info.team).map(|team| team.quota);
        let fits = self.shapes.iter().any(|shape| need.fits(*shape))
            && quota.is_some_and(|quota| need.fits(quota));
        if !stateless.info.repeatable {
            self.finish(job, stateless, JobOutcome::Failed);
        } else if fits {
            self.again(job, stateless);
        } else {
            self.finish(job, stateless, JobOutcome::Outgrown);
        }
    }

    /// Attributes a failure: to the worker at first, and to the job from its second worker on.
    fn failed(&mut self, job: JobKey, mut stateless: Job<()>, worker: WorkerKey, end: RunEnd) {
        for entry in &mut stateless.history.failed_on {
            let known = entry.and_then(|failed| self.workers.get(failed));
            if known.is_none_or(|failed| failed.is_quarantined()) {
                *entry = None;
            }
        }
        let failures = stateless.history.fail(worker);
        if failures == 1 {
            self.worker_failed(worker, job);
        } else {
            for blamed in stateless.history.failed_on.into_iter().flatten() {
                self.excuse(blamed, job);
            }
        }
        if end == RunEnd::Failed && !stateless.info.repeatable {
            self.finish(job, stateless, JobOutcome::Failed);
        } else if failures >= FAILED_WORKERS_MAX {
            self.finish(job, stateless, JobOutcome::FailsEverywhere);
        } else {
            self.again(job, stateless);
        }
    }

    fn worker_failed(&mut self, key: WorkerKey, job: JobKey) {
        let may_quarantine = self.quarantined * QUARANTINE_DIVISOR < self.workers.len();
        let now = self.now;
        self.change_health(key, |worker| worker.fail(job, now, may_quarantine));
    }

    fn worker_succeeded(&mut self, key: WorkerKey) {
        self.change_health(key, super::worker::Worker::succeed);
    }

    fn excuse(&mut self, key: WorkerKey, job: JobKey) {
        self.change_health(key, |worker| worker.excuse(job));
    }

    fn change_health(&mut self, key: WorkerKey, change: impl FnOnce(&mut super::worker::Worker)) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let before = worker.is_quarantined();
        change(worker);
        let after = worker.is_quarantined();
        self.quarantined = self.quarantined + usize::from(after) - usize::from(before);
        self.refresh(key);
    }
}
