//! Time that the leader spends on each part of its work, for the log and the metrics.

use std::time::{Duration, Instant};

use rosemaryscale_domain::schedule::PlacementEffort;
use rosemaryscale_ports::prelude::*;
use slog::{Logger, info};

/// A part of the leader's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaderWork {
    /// No event is there, or other tasks of the daemon run.
    Waiting,
    /// Changes of watched records, lists of instances, results of background tasks.
    Changes,
    /// Results of orders to workers.
    WorkerEvents,
    /// Decisions of the scheduler, and the lines about them.
    Scheduling,
    /// Handing orders to the clients of workers and instances, which may have to catch up first.
    Orders,
    /// Collecting batches and pressure.
    Batches,
}

const PARTS: usize = 6;

/// Accumulates the time since the last report by part of the work.
#[derive(Debug)]
pub(super) struct LeaderLoad {
    current: LeaderWork,
    since: Instant,
    spent: [Duration; PARTS],
    cycles: u64,
    worker_events: u64,
    cycle_began_at: Instant,
    longest_cycle: Duration,
    /// Effort of placement as of the last report.
    reported_effort: PlacementEffort,
}

impl LeaderLoad {
    pub(super) fn new() -> Self {
        let now = Instant::now();
        Self {
            current: LeaderWork::Waiting,
            since: now,
            spent: [Duration::ZERO; PARTS],
            cycles: 0,
            worker_events: 0,
            cycle_began_at: now,
            longest_cycle: Duration::ZERO,
            reported_effort: PlacementEffort::default(),
        }
    }

    /// Ends the current part of the work and begins another one.
    pub(super) fn enter(&mut self, work: LeaderWork) {
        let now = Instant::now();
        self.spent[self.current as usize] += now.duration_since(self.since);
        if self.current == LeaderWork::Waiting {
            self.cycle_began_at = now;
        }
        if work == LeaderWork::Waiting {
            self.cycles += 1;
            let cycle = now.duration_since(self.cycle_began_at);
            self.longest_cycle = self.longest_cycle.max(cycle);
        }
        (self.current, self.since) = (work, now);
    }

    pub(super) const fn count_worker_event(&mut self) {
        self.worker_events += 1;
    }

    /// Logs the load since the last report and begins the next one.
    pub(super) fn report(&mut self, effort: PlacementEffort, metrics: &Metrics, log: &Logger) {
        let spent_us = |work: LeaderWork| {
            let spent = self.spent[work as usize];
            u64::try_from(spent.as_micros()).unwrap_or(u64::MAX)
        };
        let longest_cycle_us = u64::try_from(self.longest_cycle.as_micros()).unwrap_or(u64::MAX);
        metrics.gauge("leader.longest_cycle_us", longest_cycle_us);
        metrics.gauge("leader.scheduling_us", spent_us(LeaderWork::Scheduling));
        metrics.gauge(
            "leader.worker_events_us",
            spent_us(LeaderWork::WorkerEvents),
        );
        info!(log, "leader load"; "cycles" => self.cycles, "worker_events" => self.worker_events,
            "waiting_us" => spent_us(LeaderWork::Waiting),
            "changes_us" => spent_us(LeaderWork::Changes),
            "worker_events_us" => spent_us(LeaderWork::WorkerEvents),
            "scheduling_us" => spent_us(LeaderWork::Scheduling),
            "orders_us" => spent_us(LeaderWork::Orders),
            "batches_us" => spent_us(LeaderWork::Batches),
            "longest_cycle_us" => longest_cycle_us,
            "searches" => effort.searches - self.reported_effort.searches,
            "failed_searches" => effort.failed_searches - self.reported_effort.failed_searches);
        self.reported_effort = effort;
        self.spent = [Duration::ZERO; PARTS];
        (self.cycles, self.worker_events) = (0, 0);
        self.longest_cycle = Duration::ZERO;
    }
}
