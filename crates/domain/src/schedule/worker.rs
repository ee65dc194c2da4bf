//! A worker as the scheduler knows it.

use std::collections::VecDeque;

use super::order::{ListedRun, WorkerReport};
use crate::placement::Resources;
use crate::prelude::*;

/// First failures of tasks in a row, with no task done between, that make a worker suspect.
const FAILURES_IN_ROW_MAX: u32 = 3;
/// First quarantine of a worker; doubled by each further one.
const QUARANTINE_MS: u64 = 4_000;
/// Longest quarantine: a day of work lasts well over ten of them.
const QUARANTINE_MAX_MS: u64 = 30_000;
/// Looks in a row without an answer that make a worker silent: one answer may be lost.
const LOST_LOOKS_MAX: u32 = 2;
/// Pause after a worker refused or did not answer an order.
const UNHEALTHY_PAUSE_MS: u64 = 500;

/// A worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub report: WorkerReport,
    /// Whether the platform's list has it.
    pub listed: bool,
    /// Whether it has answered a look of this holder, so that all it runs is known.
    pub known: bool,
    /// Whether a written batch names it.
    pub recorded: bool,
    /// Sum of what its runs need.
    pub used: Resources,
    /// Its runs.
    pub runs: Vec<RunKey>,
    /// Runs that it lists and whose job this holder does not know.
    pub unknown_runs: Vec<ListedRun>,
    /// Since when it lists such runs.
    pub unknown_since: Option<Millis>,
    /// Its clock, and when it said so.
    pub clock: Option<(u64, Millis)>,
    /// After this time no run of it is alive, if nothing prolongs its lease.
    pub lease_end: Millis,
    /// Newest end that was applied.
    pub last_end: u64,
    /// Ends that may be acknowledged once a batch is written: last end and batch.
    pub unwritten_ends: VecDeque<(u64, u64)>,
    /// Newest end that may be acknowledged.
    pub acknowledged: u64,
    /// Newest end that the worker was told to forget.
    pub told: u64,
    /// Whether a look is on its way.
    pub looking: bool,
    /// When the look was sent.
    pub look_sent_at: Millis,
    /// When the next look is due.
    pub next_look: Millis,
    /// When it last answered a look.
    pub heard_at: Millis,
    /// Looks in a row that got no answer.
    pub lost_looks: u32,
    /// Whether it does not answer looks.
    pub silent: bool,
    /// Since when looks get no answer.
    pub silent_since: Millis,
    /// Since when the list of instances lacks its instance while it is silent.
    pub lacked_since: Option<Millis>,
    /// No starts before this time.
    pub paused_until: Millis,
    /// Share at which its filling tasks work.
    pub fill_percent: u32,
    /// When that share changed.
    pub paced_at: Millis,
    /// Whether it takes no new work because it is to be emptied.
    pub cordoned: bool,
    failures_in_row: u32,
    quarantines: u32,
}

impl Worker {
    pub(super) fn new(report: WorkerReport, lease_end: Millis) -> Self {
        Self {
            report,
            listed: true,
            known: false,
            recorded: false,
            used: Resources::default(),
            runs: Vec::new(),
            unknown_runs: Vec::new(),
            unknown_since: None,
            clock: None,
            lease_end,
            last_end: 0,
            unwritten_ends: VecDeque::new(),
            acknowledged: 0,
            told: 0,
            looking: false,
            look_sent_at: Millis::ZERO,
            next_look: Millis::ZERO,
            heard_at: Millis::ZERO,
            lost_looks: 0,
            silent: false,
            silent_since: Millis::ZERO,
            lacked_since: None,
            paused_until: Millis::ZERO,
            fill_percent: 100,
            paced_at: Millis::ZERO,
            cordoned: false,
            failures_in_row: 0,
            quarantines: 0,
        }
    }

    pub(super) fn free(&self) -> Resources {
        self.report.capacity.minus(self.used)
    }

    pub(super) fn takes_work(&self, now: Millis) -> bool {
        self.listed
            && self.known
            && self.recorded
            && !self.silent
            && !self.report.draining
            && !self.cordoned
            && self.unknown_runs.is_empty()
            && self.paused_until <= now
    }

    /// Estimate of the worker's clock.
    pub(super) fn clock_at(&self, now: Millis) -> Option<u64> {
        self.clock.map(|(clock_ms, at)| clock_ms + now.ms_since(at))
    }

    pub(super) fn saw_clock(&mut self, clock_ms: u64, now: Millis) {
        if self
            .clock_at(now)
            .is_none_or(|estimate| clock_ms != estimate)
        {
            self.clock = Some((clock_ms, now));
        }
    }

    /// Counts a look without an answer. Returns whether the worker has fallen silent by that.
    pub(super) fn count_lost_look(&mut self, now: Millis) -> bool {
        self.lost_looks += 1;
        if self.silent || (self.known && self.lost_looks < LOST_LOOKS_MAX) {
            return false;
        }
        self.silent = true;
        self.silent_since = now;
        true
    }

    pub(super) fn pause(&mut self, now: Millis) {
        self.paused_until = self.paused_until.max(now.after_ms(UNHEALTHY_PAUSE_MS));
    }

    /// Counts a task's first failure; several in a row speak against the worker.
    pub(super) fn count_failure(&mut self, now: Millis) {
        self.failures_in_row += 1;
        if self.failures_in_row < FAILURES_IN_ROW_MAX {
            return;
        }
        let pause_ms = (QUARANTINE_MS << self.quarantines.min(8)).min(QUARANTINE_MAX_MS);
        self.paused_until = self.paused_until.max(now.after_ms(pause_ms));
        self.quarantines += 1;
        // One more failure after the quarantine renews it.
        self.failures_in_row = FAILURES_IN_ROW_MAX - 1;
    }

    pub(super) fn count_success(&mut self) {
        self.failures_in_row = 0;
    }

    /// Forgets what only held for an earlier life.
    pub(super) fn begin_life(&mut self, report: WorkerReport) {
        let listed = self.listed;
        *self = Self {
            listed,
            // Runs whose start is on its way.
            runs: std::mem::take(&mut self.runs),
            used: self.used,
            looking: self.looking,
            look_sent_at: self.look_sent_at,
            cordoned: self.cordoned,
            ..Self::new(report, Millis::ZERO)
        };
    }

    pub(super) fn rack(&self) -> Option<&Arc<str>> {
        self.report.labels.last()
    }
}
