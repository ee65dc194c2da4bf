//! A worker process that keeps the rules of fences, runs and leases, and reports what breaks them.

use rosemaryscale_domain::job::TaskName;
use rosemaryscale_domain::placement::Resources;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{
    ListedEnd, ListedRun, Listing, LookOrder, LookResult, MachineReport, MachineState, OrderResult,
    Refusal, RunEndKind, StartOrder, StopOrder, WorkerReport,
};

/// Tasks that a worker has room for.
pub(super) const ROOM: usize = 4;

/// A run.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) task: TaskName,
    number: u32,
    ends_at: Millis,
    end: RunEndKind,
}

/// A worker process, in one of its lives.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) id: Arc<str>,
    pub(super) up: bool,
    /// Start of the life; changes with each one.
    pub(super) born: u64,
    /// Share of real time that its clock counts.
    clock_percent: u64,
    fence: u64,
    pub(super) running: Vec<Run>,
    ended: Vec<ListedEnd>,
    sequence: u64,
    closed: FastMap<TaskName, u32>,
    lease_end_ms: u64,
    /// When its lease last ended: ends from before that do not count as noted.
    pub(super) lapsed_at: Millis,
}

impl Runner {
    pub(super) fn new(index: usize) -> Self {
        Self {
            id: format!("w{index}").into(),
            up: true,
            born: 1,
            clock_percent: if index.is_multiple_of(2) { 98 } else { 100 },
            fence: 0,
            running: Vec::new(),
            ended: Vec::new(),
            sequence: 0,
            closed: FastMap::default(),
            lease_end_ms: 0,
            lapsed_at: Millis::ZERO,
        }
    }

    fn clock_ms(&self, now: Millis) -> u64 {
        now.as_ms() * self.clock_percent / 100
    }

    /// Ends the life; nothing of it is left.
    pub(super) fn crash(&mut self) {
        self.up = false;
        self.running.clear();
        self.ended.clear();
        self.closed.clear();
        self.fence = 0;
        self.sequence = 0;
        self.lease_end_ms = 0;
    }

    pub(super) fn begin_life(&mut self) {
        self.up = true;
        self.born += 1;
    }

    /// Ends runs whose work or lease is over; returns the ends.
    pub(super) fn pass(&mut self, now: Millis) -> Vec<ListedEnd> {
        let lapsed = self.lease_end_ms < self.clock_ms(now);
        if lapsed {
            self.lapsed_at = now;
        }
        let (over, running): (Vec<Run>, Vec<Run>) = self
            .running
            .drain(..)
            .partition(|run| lapsed || run.ends_at <= now);
        self.running = running;
        let ends = over.into_iter().map(|run| {
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
        self.close(&run.task, run.number);
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

    fn close(&mut self, task: &TaskName, number: u32) {
        let closed = self.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(number);
    }

    fn is_fenced(&mut self, fence: u64) -> bool {
        let lower = fence < self.fence;
        self.fence = self.fence.max(fence);
        lower
    }

    /// Starts a run; returns whether it has begun by this order.
    pub(super) fn start(
        &mut self,
        order: &StartOrder,
        fence: u64,
        (work_ms, end): (u64, RunEndKind),
        now: Millis,
    ) -> (OrderResult, bool) {
        if self.is_fenced(fence) {
            return (OrderResult::Refused(Refusal::Fenced), false);
        }
        let clock_ms = self.clock_ms(now);
        let accepted = OrderResult::Accepted { clock_ms };
        let same = |run: &Run| run.task == order.task && run.number == order.number;
        if self.running.iter().any(same) {
            return (accepted, false);
        }
        if self
            .closed
            .get(&order.task)
            .is_some_and(|closed| *closed >= order.number)
        {
            self.lease_end_ms = self.lease_end_ms.max(order.deadline_ms);
            return (OrderResult::Refused(Refusal::OldRun), false);
        }
        if order.deadline_ms <= clock_ms {
            return (OrderResult::Refused(Refusal::Late), false);
        }
        self.lease_end_ms = self.lease_end_ms.max(order.deadline_ms);
        self.running.push(Run {
            task: order.task.clone(),
            number: order.number,
            ends_at: now.after_ms(work_ms),
            end,
        });
        (accepted, true)
    }

    pub(super) fn stop(&mut self, order: &StopOrder, fence: u64, now: Millis) -> OrderResult {
        if self.is_fenced(fence) {
            return OrderResult::Refused(Refusal::Fenced);
        }
        self.close(&order.task, order.number);
        let stopped = |run: &Run| run.task == order.task && run.number == order.number;
        if let Some(at) = self.running.iter().position(stopped) {
            let run = self.running.remove(at);
            self.list_end(&run, RunEndKind::Stopped);
        }
        OrderResult::Accepted {
            clock_ms: self.clock_ms(now),
        }
    }

    /// Answers a look; returns the ends that are acknowledged by it.
    pub(super) fn look(
        &mut self,
        order: LookOrder,
        fence: u64,
        now: Millis,
    ) -> (LookResult, Vec<ListedEnd>) {
        if self.is_fenced(fence) {
            return (LookResult::Refused(Refusal::Fenced), Vec::new());
        }
        let acknowledged = order.acknowledged;
        let (noted, ended) = self
            .ended
            .drain(..)
            .partition(|end| end.sequence <= acknowledged);
        self.ended = ended;
        if let Some(deadline_ms) = order.deadline_ms {
            self.lease_end_ms = self.lease_end_ms.max(deadline_ms);
        }
        let listed = self.running.iter().map(|run| ListedRun {
            task: run.task.clone(),
            number: run.number,
            checkpoint: "".into(),
            // Progress is not what these schedules are about.
            percent: 100,
            gauge: 0,
        });
        let listing = Listing {
            clock_ms: self.clock_ms(now),
            started_wall_ms: self.born,
            running: listed.collect(),
            ended: self.ended.clone(),
        };
        (LookResult::Listed(listing), noted)
    }
}

fn capacity() -> Resources {
    Resources {
        processors_milli: 1_000 * ROOM as u64,
        memory_mb: 4_000,
        accelerators: 0,
    }
}

pub(super) fn report(worker: &Runner) -> WorkerReport {
    WorkerReport {
        id: Arc::clone(&worker.id),
        service: "service".into(),
        address: Arc::clone(&worker.id),
        availability_zone: "zone".into(),
        labels: Vec::new(),
        capacity: capacity(),
        machine: format!("machine-{}", worker.id).into(),
        started_wall_ms: worker.born,
        draining: false,
    }
}

pub(super) fn machine(worker: &Runner) -> MachineReport {
    MachineReport {
        name: format!("machine-{}", worker.id).into(),
        pool: "service".into(),
        state: if worker.up {
            MachineState::Up
        } else {
            MachineState::Down
        },
        capacity: capacity(),
        worker: worker.up.then(|| Arc::clone(&worker.id)),
    }
}
