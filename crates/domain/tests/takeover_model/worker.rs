//! A model of a worker process that enforces fencing tokens, run numbers and leases.

use rosemaryscale_domain::job::TaskName;
use rosemaryscale_domain::placement::Resources;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{
    InstanceReport, InstanceState, ListedEnd, ListedRun, Listing, OrderResult, PollOrder,
    PollResult, Refusal, RunEndKind, StartOrder, StopOrder, WorkerReport,
};

/// Number of tasks that fit on a worker.
pub(super) const TASK_CAPACITY: usize = 4;

/// A run in progress.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) task: TaskName,
    number: u32,
    pub(super) started_at: Millis,
    ends_at: Millis,
    end: RunEndKind,
}

/// A worker process in its current incarnation.
#[derive(Debug)]
pub(super) struct ModelWorker {
    pub(super) id: Arc<str>,
    pub(super) up: bool,
    /// When the incarnation began; 0 for the first one.
    pub(super) restarted_at: Millis,
    /// Number of the incarnation, reported as its start time.
    pub(super) incarnation: u64,
    /// Reading of the schedule's clock at which its own one was 0.
    clock_origin: Millis,
    /// Speed of its clock relative to real time, in percent.
    clock_percent: u64,
    fencing_token: u64,
    pub(super) running: Vec<Run>,
    ended: Vec<ListedEnd>,
    sequence: u64,
    closed: FastMap<TaskName, u32>,
    lease_end_ms: u64,
    /// Longest lease that it gives to its runs.
    lease_max_ms: u64,
    /// When its lease last expired. Acknowledged ends from before then do not count.
    pub(super) lease_expired_at: Millis,
    report: WorkerReport,
}

impl ModelWorker {
    pub(super) fn new(index: usize, lease_max_ms: u64) -> Self {
        let id: Arc<str> = format!("w{index}").into();
        Self {
            report: first_report(&id),
            id,
            up: true,
            restarted_at: Millis::ZERO,
            incarnation: 1,
            clock_origin: Millis::ZERO,
            clock_percent: if index.is_multiple_of(2) { 98 } else { 100 },
            fencing_token: 0,
            running: Vec::new(),
            ended: Vec::new(),
            sequence: 0,
            closed: FastMap::default(),
            lease_end_ms: 0,
            lease_max_ms,
            lease_expired_at: Millis::ZERO,
        }
    }

    fn clock_ms(&self, now: Millis) -> u64 {
        now.ms_since(self.clock_origin) * self.clock_percent / 100
    }

    /// Ends the incarnation and loses its state.
    pub(super) fn crash(&mut self) {
        self.up = false;
        self.running.clear();
        self.ended.clear();
        self.closed.clear();
        self.fencing_token = 0;
        self.sequence = 0;
        self.lease_end_ms = 0;
    }

    pub(super) fn restart(&mut self, now: Millis) {
        self.up = true;
        self.restarted_at = now;
        self.incarnation += 1;
        self.report.started_wall_ms = self.incarnation;
    }

    pub(super) fn reset_clock(&mut self, now: Millis) {
        self.clock_origin = now;
    }

    /// Gives the incarnation an id of its own.
    pub(super) fn rename(&mut self) {
        self.id = format!("{}-{}", self.report.instance, self.incarnation).into();
        self.report.id = Arc::clone(&self.id);
    }

    fn prolong_lease(&mut self, deadline_ms: u64, now: Millis) {
        let longest_ms = self.clock_ms(now) + self.lease_max_ms;
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms.min(longest_ms));
    }

    pub(super) const fn address(&self) -> &Arc<str> {
        &self.report.address
    }

    pub(super) fn report(&self) -> WorkerReport {
        self.report.clone()
    }

    /// Ends runs that have finished or whose lease has expired, and returns these ends.
    pub(super) fn advance(&mut self, now: Millis) -> Vec<ListedEnd> {
        let lease_expired = self.lease_end_ms < self.clock_ms(now);
        if lease_expired {
            self.lease_expired_at = now;
        }
        let (finished, running): (Vec<Run>, Vec<Run>) = self
            .running
            .drain(..)
            .partition(|run| lease_expired || run.ends_at <= now);
        self.running = running;
        let ends = finished.into_iter().map(|run| {
            let kind = if run.ends_at <= now {
                run.end
            } else {
                RunEndKind::Lapsed
            };
            (run, kind)
        });
        ends.collect::<Vec<_>>()
            .into_iter()
            .map(|(run, kind)| self.list_end(&run, kind))
            .collect()
    }

    fn list_end(&mut self, run: &Run, kind: RunEndKind) -> ListedEnd {
        self.sequence += 1;
        self.mark_closed(&run.task, run.number);
        let end = ListedEnd {
            sequence: self.sequence,
            task: run.task.clone(),
            number: run.number,
            kind,
            checkpoint: "".into(),
        };
        self.ended.push(end.clone());
        end
    }

    fn mark_closed(&mut self, task: &TaskName, number: u32) {
        let closed = self.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(number);
    }

    fn refuses_fencing_token(&mut self, fencing_token: u64) -> bool {
        let is_outdated = fencing_token < self.fencing_token;
        self.fencing_token = self.fencing_token.max(fencing_token);
        is_outdated
    }

    /// Handles a start order; also returns whether it started a new run.
    pub(super) fn start(
        &mut self,
        order: &StartOrder,
        fencing_token: u64,
        (work_ms, end): (u64, RunEndKind),
        now: Millis,
    ) -> (OrderResult, bool) {
        if self.refuses_fencing_token(fencing_token) {
            return (OrderResult::Refused(Refusal::Fenced), false);
        }
        let clock_ms = self.clock_ms(now);
        let accepted = OrderResult::Accepted { clock_ms };
        let is_ordered_run = |run: &Run| run.task == order.task && run.number == order.number;
        if self.running.iter().any(is_ordered_run) {
            return (accepted, false);
        }
        if self
            .closed
            .get(&order.task)
            .is_some_and(|closed| *closed >= order.number)
        {
            self.prolong_lease(order.deadline_ms, now);
            return (OrderResult::Refused(Refusal::OldRun), false);
        }
        if order.deadline_ms <= clock_ms {
            return (OrderResult::Refused(Refusal::Late), false);
        }
        self.prolong_lease(order.deadline_ms, now);
        self.running.push(Run {
            task: order.task.clone(),
            number: order.number,
            started_at: now,
            ends_at: now.after_ms(work_ms),
            end,
        });
        (accepted, true)
    }

    pub(super) fn stop(
        &mut self,
        order: &StopOrder,
        fencing_token: u64,
        now: Millis,
    ) -> OrderResult {
        if self.refuses_fencing_token(fencing_token) {
            return OrderResult::Refused(Refusal::Fenced);
        }
        self.mark_closed(&order.task, order.number);
        let is_ordered_run = |run: &Run| run.task == order.task && run.number == order.number;
        if let Some(index) = self.running.iter().position(is_ordered_run) {
            let run = self.running.remove(index);
            self.list_end(&run, RunEndKind::Stopped);
        }
        OrderResult::Accepted {
            clock_ms: self.clock_ms(now),
        }
    }

    /// Handles a poll; also returns the ends that it acknowledges. The answer holds so many of the others at most.
    pub(super) fn poll(
        &mut self,
        order: PollOrder,
        fencing_token: u64,
        ends_per_answer: usize,
        now: Millis,
    ) -> (PollResult, Vec<ListedEnd>) {
        if self.refuses_fencing_token(fencing_token) {
            return (PollResult::Refused(Refusal::Fenced), Vec::new());
        }
        let acknowledged = order.acknowledged;
        let (acknowledged, ended) = self
            .ended
            .drain(..)
            .partition(|end| end.sequence <= acknowledged);
        self.ended = ended;
        if let Some(deadline_ms) = order.deadline_ms {
            self.prolong_lease(deadline_ms, now);
        }
        let listed = self.running.iter().map(|run| ListedRun {
            task: run.task.clone(),
            number: run.number,
            checkpoint: "".into(),
            // The schedules do not cover progress reports.
            percent: 100,
            gauge: 0,
        });
        let ended: Vec<ListedEnd> = self.ended.iter().take(ends_per_answer).cloned().collect();
        let listing = Listing {
            clock_ms: self.clock_ms(now),
            started_wall_ms: self.incarnation,
            running: listed.collect(),
            has_more_ends: ended.len() == ends_per_answer,
            ended,
        };
        (PollResult::Listed(listing), acknowledged)
    }
}

fn capacity() -> Resources {
    Resources {
        processors_milli: 1_000 * TASK_CAPACITY as u64,
        memory_mb: 4_000,
        accelerators: 0,
    }
}

fn first_report(id: &Arc<str>) -> WorkerReport {
    WorkerReport {
        id: Arc::clone(id),
        service: "service".into(),
        address: Arc::clone(id),
        availability_zone: "zone".into(),
        labels: Vec::new(),
        capacity: capacity(),
        instance: format!("machine-{id}").into(),
        started_wall_ms: 1,
        draining: false,
    }
}

pub(super) fn instance_report(worker: &ModelWorker) -> InstanceReport {
    InstanceReport {
        name: Arc::clone(&worker.report.instance),
        pool: "service".into(),
        state: if worker.up {
            InstanceState::Up
        } else {
            InstanceState::Down
        },
        capacity: capacity(),
        worker: worker.up.then(|| Arc::clone(&worker.id)),
    }
}
