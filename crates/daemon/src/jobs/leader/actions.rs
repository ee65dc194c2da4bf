//! Sends the scheduler's actions to workers, instances and the advisor, and logs its events.

use std::fmt::Write;
use std::sync::Arc;

use rosemaryscale_domain::job::{JobState, TaskPosition};
use rosemaryscale_domain::schedule::order::{
    Action, AdviceOrder, AdviceResult, CopyOutcome, RunEndKind, SchedulerEvent, StartOrder,
};
use rosemaryscale_domain::schedule::{Batch, PoolUse};
use rosemaryscale_ports::instance_order::InstanceOrderCall;
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::worker::WorkerCall;
use slog::{info, warn};

use super::{Leader, LeaderOptions};

/// Maximum number of awaited workers that a log line names.
const MAX_AWAITED_NAMES: usize = 5;

/// Runs of one job that were started in one cycle, for the log. A line for each run would take a tenth of
/// the leader's processor time while thousands of tasks start a second.
pub(super) struct StartedRuns {
    job: Option<Arc<str>>,
    runs: String,
    count: i64,
    /// Time since the lease was confirmed when the cycle began to send.
    lease_age_ms: u64,
}

impl StartedRuns {
    pub(super) fn new(lease_age_ms: u64) -> Self {
        Self {
            job: None,
            runs: String::new(),
            count: 0,
            lease_age_ms,
        }
    }

    fn add(&mut self, leader: &Leader, worker: WorkerKey, order: &StartOrder) {
        if self.job.as_ref() != Some(&order.task.job) {
            self.flush(&leader.options);
            self.job = Some(Arc::clone(&order.task.job));
        }
        let worker = leader.scheduler.worker(worker);
        append_run(
            &mut self.runs,
            order.task.position,
            order.number,
            worker.map_or("", |report| &report.id),
        );
        self.count += 1;
    }

    pub(super) fn flush(&mut self, options: &LeaderOptions) {
        if let Some(job) = self.job.take() {
            options.metrics.count("runs.started", self.count);
            info!(options.log, "start"; "job" => &*job, "runs" => &self.runs,
                "lease_age_ms" => self.lease_age_ms);
        }
        self.runs.clear();
        self.count = 0;
    }
}

impl Leader {
    pub(super) fn log_scheduler_events(&mut self) {
        let (mut done, mut done_count) = (String::new(), 0);
        for event in self.scheduler.take_events() {
            match event {
                SchedulerEvent::RunEnded {
                    task,
                    number,
                    worker,
                    kind: RunEndKind::Done,
                    ..
                } => {
                    if !done.is_empty() {
                        done.push(' ');
                    }
                    done.push_str(&task.job);
                    done.push('.');
                    append_run(&mut done, task.position, number, &worker);
                    done_count += 1;
                }
                SchedulerEvent::RunEnded {
                    task,
                    number,
                    worker,
                    kind,
                    failed_runs,
                } => {
                    self.options.metrics.count(run_end_metric(kind), 1);
                    info!(self.options.log, "run ended"; "job" => &*task.job,
                        "at" => %position(task.position), "run" => number, "worker" => &*worker,
                        "how" => %kind, "failed_runs" => failed_runs);
                }
                SchedulerEvent::WorkerLost {
                    worker,
                    runs,
                    unresponsive,
                    evidence,
                    answer_age_ms,
                } => {
                    self.options.metrics.count("workers.lost", 1);
                    warn!(self.options.log, "worker lost"; "worker" => &*worker, "runs" => runs,
                        "silent" => unresponsive, "evidence" => %evidence,
                        "answer_age_ms" => answer_age_ms, "list_age_ms" => self.list_age_ms(),
                        "lease_age_ms" => self.lease_age_ms());
                }
                SchedulerEvent::AwaitedWorkerGivenUp { worker, waited_ms } => {
                    self.options.metrics.count("workers.given_up", 1);
                    warn!(self.options.log, "awaited worker given up"; "worker" => &*worker,
                        "waited_ms" => waited_ms, "reason" => "the leases of its runs have ended",
                        "lease_age_ms" => self.lease_age_ms());
                }
                SchedulerEvent::WorkerRefusesConnects { worker, runs } => {
                    self.options.metrics.count("workers.refusing", 1);
                    warn!(self.options.log, "worker refuses connects"; "worker" => &*worker,
                        "runs" => runs, "list_age_ms" => self.list_age_ms(),
                        "lease_age_ms" => self.lease_age_ms());
                }
                SchedulerEvent::WorkerHeld { worker, held_ms } => {
                    self.options.metrics.count("workers.held", 1);
                    warn!(self.options.log, "worker held"; "worker" => &*worker, "held_ms" => held_ms,
                        "reason" => "it may carry out a poll with a cursor of its former process",
                        "lease_age_ms" => self.lease_age_ms());
                }
                SchedulerEvent::WorkerRowsUnreadable {
                    worker,
                    runs,
                    ends,
                    reason,
                } => {
                    warn!(self.options.log, "worker rows unreadable"; "worker" => &*worker,
                        "runs" => runs, "ends" => ends, "reason" => &*reason);
                }
                SchedulerEvent::WorkerEndsCut {
                    worker,
                    ends,
                    unlisted_runs,
                } => {
                    self.options.metrics.count("workers.ends_cut", 1);
                    warn!(self.options.log, "worker ends cut"; "worker" => &*worker,
                        "ends" => ends, "unlisted_runs" => unlisted_runs,
                        "lease_age_ms" => self.lease_age_ms());
                }
                SchedulerEvent::WorkerEndsComplete { worker, cut_ms } => {
                    info!(self.options.log, "worker ends complete"; "worker" => &*worker,
                        "cut_ms" => cut_ms);
                }
                SchedulerEvent::JobRefused { job, reason } => {
                    warn!(self.options.log, "job beyond the limits"; "job" => &*job,
                        "reason" => reason);
                }
                SchedulerEvent::JobHeld { job } => {
                    warn!(self.options.log, "job held"; "job" => &*job,
                        "reason" => "its stored progress cannot be decoded, and done tasks must not run again",
                        "remedy" => "restore or delete the record and restart the leader, or cancel the job");
                }
                SchedulerEvent::CheckpointDropped {
                    task,
                    bytes,
                    is_first_of_job,
                } => {
                    self.options.metrics.count("checkpoints.dropped", 1);
                    if is_first_of_job {
                        warn!(self.options.log, "checkpoint dropped"; "job" => &*task.job,
                            "at" => %position(task.position), "bytes" => bytes,
                            "reason" => "it or all checkpoints of the job exceed their limit");
                    }
                }
                SchedulerEvent::TaskGivenUp { task, crashes } => {
                    self.options.metrics.count("tasks.given_up", 1);
                    warn!(self.options.log, "task given up"; "job" => &*task.job,
                        "at" => %position(task.position), "crashed_workers" => crashes);
                }
                SchedulerEvent::CopyStarted {
                    task,
                    number,
                    worker,
                    age_ms,
                    remaining_ms,
                    new_run_ms,
                    confidence_percent,
                } => {
                    self.options.metrics.count("copies.started", 1);
                    info!(self.options.log, "copy started"; "job" => &*task.job,
                        "at" => %position(task.position), "run" => number, "worker" => &*worker,
                        "first_age_ms" => age_ms, "first_remaining_ms" => remaining_ms,
                        "new_run_ms" => new_run_ms, "confidence_percent" => confidence_percent);
                }
                SchedulerEvent::CopySettled {
                    task,
                    number,
                    outcome,
                    age_ms,
                } => {
                    self.options.metrics.count(copy_metric(outcome), 1);
                    info!(self.options.log, "copy settled"; "job" => &*task.job,
                        "at" => %position(task.position), "run" => number,
                        "outcome" => %outcome, "copy_age_ms" => age_ms);
                }
                SchedulerEvent::PlacementWaitBegan {
                    task,
                    rack,
                    expected_ms,
                    loss_ms,
                    load_percent,
                    until_ms,
                    counts,
                } => {
                    info!(self.options.log, "placement wait"; "job" => &*task.job,
                        "at" => %position(task.position), "rack" => &*rack, "expected_ms" => expected_ms,
                        "loss_ms" => loss_ms, "load_percent" => load_percent, "until_ms" => until_ms, "begun" => counts.begun,
                        "paid" => counts.paid, "expired" => counts.expired);
                }
                SchedulerEvent::InstanceChanged {
                    instance,
                    state,
                    worker,
                } => {
                    info!(self.options.log, "instance changed"; "instance" => &*instance,
                        "state" => %state, "worker" => worker.as_deref());
                }
                SchedulerEvent::InstanceUnlisted { instance } => {
                    info!(self.options.log, "instance unlisted"; "instance" => &*instance);
                }
            }
        }
        if done_count > 0 {
            let metric = run_end_metric(RunEndKind::Done);
            self.options.metrics.count(metric, done_count);
            info!(self.options.log, "runs done"; "runs" => done);
        }
    }

    /// Logs the states that a batch makes visible to callers. A job that ends as failed gets a line with
    /// its cause as a warning, for which the log keeps room while it drops other lines.
    pub(super) fn log_job_states(&self, batch: &Batch) {
        let lease_age_ms = self.lease_age_ms();
        for job in batch.jobs.iter().filter(|job| job.state.is_some()) {
            info!(self.options.log, "job state"; "job" => &*job.id, "state" => %job.progress.state,
                "lease_age_ms" => lease_age_ms);
            if job.progress.state != JobState::Failed {
                continue;
            }
            let Some(failure) = self.scheduler.job_failure(&job.id) else {
                continue;
            };
            let reason = if failure.failed_runs.len() >= failure.attempts_max {
                "a task failed in as many runs as its queue allows"
            } else if failure.crashes > 0 {
                "worker after worker crashed after starting a task"
            } else {
                "it was given up before a task had failed in as many runs as its queue allows"
            };
            warn!(self.options.log, "job failed"; "job" => &*job.id, "queue" => &*job.queue,
                "at" => failure.position.map(position), "runs" => run_numbers(&failure.failed_runs),
                "failed_runs" => failure.failed_runs.len(), "attempts_max" => failure.attempts_max,
                "crashed_workers" => failure.crashes,
                "reason" => reason, "lease_age_ms" => lease_age_ms);
        }
    }

    /// Time since the platform's list of instances was read; `None` if it has not been.
    fn list_age_ms(&self) -> Option<u64> {
        let now = self.options.clock.now();
        self.instances_listed_at.map(|at| now.ms_since(at))
    }

    pub(super) fn log_status(&self) {
        let waits = self.scheduler.placement_wait_counts();
        let metrics = &self.options.metrics;
        metrics.gauge("placement.waits_begun", waits.begun);
        metrics.gauge("placement.waits_paid", waits.paid);
        metrics.gauge("placement.waits_expired", waits.expired);
        let awaited: Vec<&str> = self.scheduler.awaited_workers().map(|id| &**id).collect();
        let unknown_workers = self.scheduler.awaits_unknown_workers();
        if !awaited.is_empty() || unknown_workers {
            let first = &awaited[..awaited.len().min(MAX_AWAITED_NAMES)];
            info!(self.options.log, "recovery waits"; "workers" => awaited.len(),
                "first" => first.join(" "), "unknown_workers" => unknown_workers,
                "lease_age_ms" => self.lease_age_ms());
        }
        let now = self.options.clock.now();
        let status = self.scheduler.status(now);
        metrics.gauge("scheduler.batch_age_ms", status.batch_age_ms);
        metrics.gauge("scheduler.overdue_starts", status.overdue_starts as u64);
        metrics.gauge(
            "scheduler.tasks_awaiting_recovery",
            status.tasks_awaiting_recovery as u64,
        );
        metrics.gauge(
            "scheduler.worker_processors_milli",
            status.worker_capacity.processors_milli,
        );
        metrics.gauge(
            "scheduler.worker_memory_mb",
            status.worker_capacity.memory_mb,
        );
        let is_active = |pool: &PoolUse| pool.workers > 0 || pool.tasks_waiting > 0;
        for pool in self.scheduler.pool_uses(now).filter(is_active) {
            let excluded: Vec<String> = pool
                .excluded
                .iter()
                .map(|(reason, workers)| format!("{workers} {reason}"))
                .collect();
            info!(self.options.log, "pool"; "service" => &*pool.service, "workers" => pool.workers,
                "processors_used_milli" => pool.used.processors_milli,
                "processors_milli" => pool.capacity.processors_milli,
                "memory_used_mb" => pool.used.memory_mb, "memory_mb" => pool.capacity.memory_mb,
                "tasks_waiting" => pool.tasks_waiting, "excluded" => excluded.join(", "));
        }
        self.log_shares();
        self.set_held_job_gauge(self.scheduler.held_jobs().cloned().collect());
    }

    pub(super) async fn send(
        &mut self,
        action: Action,
        started: &mut StartedRuns,
    ) -> Result<(), &'static str> {
        let call = match action {
            Action::Connect(worker) => {
                let Some(report) = self.scheduler.worker(worker) else {
                    return Ok(());
                };
                WorkerCall::Open {
                    worker,
                    id: Arc::clone(&report.id),
                    address: Arc::clone(&report.address),
                    availability_zone: Arc::clone(&report.availability_zone),
                    fencing_token: self.lease.fencing_token,
                }
            }
            Action::Disconnect(worker) => WorkerCall::Close(worker),
            Action::Start(worker, order) => {
                started.add(self, worker, &order);
                WorkerCall::Start(worker, order)
            }
            Action::Stop(worker, order, cause) => {
                // Stops are sent again twice a second while a worker does not answer, for each of
                // its runs.
                if cause.attempt.is_power_of_two() {
                    info!(self.options.log, "stop"; "job" => &*order.task.job,
                        "at" => %position(order.task.position), "run" => order.number,
                        "reason" => %cause.reason, "attempt" => cause.attempt,
                        "lease_age_ms" => self.lease_age_ms());
                }
                WorkerCall::Stop(worker, order)
            }
            Action::Pace(worker, order) => WorkerCall::Pace(worker, order),
            Action::Poll(worker, order) => {
                self.options.metrics.count("looks", 1);
                WorkerCall::Poll(worker, order)
            }
            Action::Advise(order) => return self.send_advice_call(order).await,
            Action::ListInstances => return self.send_instance_call(InstanceOrderCall::List).await,
            Action::Move(instance, pool) => {
                let Some(name) = self.scheduler.instance_name(instance).cloned() else {
                    return Ok(());
                };
                info!(self.options.log, "move"; "instance" => &*name, "pool" => &*pool,
                    "list_age_ms" => self.list_age_ms(), "lease_age_ms" => self.lease_age_ms());
                let fencing_token = self.lease.fencing_token;
                let call = InstanceOrderCall::Move {
                    instance,
                    name,
                    pool,
                    fencing_token,
                };
                return self.send_instance_call(call).await;
            }
            Action::Maintain(instance, wave) => {
                let Some(name) = self.scheduler.instance_name(instance).cloned() else {
                    return Ok(());
                };
                info!(self.options.log, "maintain"; "instance" => &*name, "wave" => wave,
                    "list_age_ms" => self.list_age_ms(), "lease_age_ms" => self.lease_age_ms());
                let fencing_token = self.lease.fencing_token;
                let call = InstanceOrderCall::Maintain {
                    instance,
                    name,
                    wave,
                    fencing_token,
                };
                return self.send_instance_call(call).await;
            }
        };
        self.calls
            .links
            .send(call)
            .await
            .map_err(|_| "the client of the workers has stopped")
    }

    async fn send_advice_call(&mut self, order: AdviceOrder) -> Result<(), &'static str> {
        let Some(advisor) = &self.calls.advisor else {
            warn!(self.options.log, "no advice"; "job" => &*order.job,
                "reason" => "no advisor is configured; set advisor_address");
            self.scheduler
                .advised(AdviceResult::Unanswered, self.options.clock.now());
            return Ok(());
        };
        info!(self.options.log, "ask the advisor"; "job" => &*order.job, "step" => order.step.step,
            "occurrence" => order.step.occurrence, "workers" => order.workers.len());
        let sent = advisor.send(order).await;
        sent.map_err(|_| "the client of the advisor has stopped")
    }

    pub(super) async fn send_instance_call(
        &mut self,
        call: InstanceOrderCall,
    ) -> Result<(), &'static str> {
        let sent = self.calls.instances.send(call).await;
        sent.map_err(|_| "the client of the instance list has stopped")
    }
}

/// Appends a run as `occurrence.step.index#run@worker`.
fn append_run(runs: &mut String, at: TaskPosition, number: u32, worker: &str) {
    if !runs.is_empty() && !runs.ends_with('.') {
        runs.push(' ');
    }
    // Writing to a string cannot fail.
    let _ = write!(
        runs,
        "{}.{}.{}#{number}@{worker}",
        at.occurrence, at.step, at.index
    );
}

/// Formats a task's position as `occurrence.step.index`.
fn position(at: TaskPosition) -> String {
    format!("{}.{}.{}", at.occurrence, at.step, at.index)
}

/// Formats numbers of runs as a list.
fn run_numbers(numbers: &[u32]) -> String {
    let numbers: Vec<String> = numbers.iter().map(|number| format!("#{number}")).collect();
    numbers.join(" ")
}

/// Metric of the copies with an outcome.
const fn copy_metric(outcome: CopyOutcome) -> &'static str {
    match outcome {
        CopyOutcome::Won | CopyOutcome::TookOver => "copies.won",
        CopyOutcome::Lost | CopyOutcome::Ended => "copies.thrown_away",
    }
}

fn run_end_metric(kind: RunEndKind) -> &'static str {
    match kind {
        RunEndKind::Done => "runs.done",
        RunEndKind::Failed => "runs.failed",
        RunEndKind::Stopped => "runs.stopped",
        RunEndKind::Lapsed => "runs.lapsed",
        RunEndKind::Broken | RunEndKind::Alone => "runs.gang_broken",
    }
}
