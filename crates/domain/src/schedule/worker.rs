//! State of a worker.

use std::collections::VecDeque;

use super::entry::Entry;
use super::order::{ListedEnd, ListedRun, UnreadableRows, WorkerReport};
use super::quarantine::Quarantine;
use super::run_table::Bookings;
use super::{CLOCK_DRIFT_PERCENT, CLOCK_READING_AGE_MAX_MS};
use crate::placement::Resources;
use crate::prelude::*;

/// Consecutive polls without an answer after which a worker is unresponsive; a single answer may be
/// lost.
const FAILED_POLLS_MAX: u32 = 2;
/// Time without new starts after a worker refused or did not answer an order.
const UNHEALTHY_PAUSE_MS: u64 = 500;

/// Why all runs of a worker have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IncarnationEnd {
    /// Its process has ended unexpectedly.
    Crashed,
    /// Its process has ended after a drain, or for a move or maintenance of its instance.
    Planned,
    /// It was unresponsive until its lease expired.
    LeaseExpired,
}

/// An entry that names another incarnation, or another address, than the worker has answered with. It may be of
/// another writer, so it ends nothing until an answer or an order shows which of the two is right.
#[derive(Debug)]
pub(super) struct Claim {
    pub report: WorkerReport,
    /// Whether the link leads to the claimed address.
    pub is_connected: bool,
    /// When the link was last opened. What orders before that met says nothing.
    pub connected_at: Millis,
    /// Whether the process that the worker is known as has answered this leader and has not ended. If not, its
    /// current one may listen at either address.
    pub is_known_alive: bool,
}

/// A worker: one process of an instance.
#[derive(Debug)]
pub(super) struct Worker {
    /// What is in force of its entries.
    pub report: WorkerReport,
    /// Its newest entry that is not a claim.
    pub entry: Entry,
    /// An entry that contradicts its answers.
    pub claim: Option<Claim>,
    /// When a link to an address that only a claim names was last closed.
    pub claim_link_until: Option<Millis>,
    /// Largest capacity that it has reported.
    pub full_capacity: Resources,
    /// Since when this leader knows of the current incarnation.
    pub incarnation_since: Millis,
    /// Latest time at which the process that this leader knows of can have begun.
    pub began_by: Millis,
    /// Key of its service.
    pub service: Option<ServiceKey>,
    /// Whether the platform lists the worker.
    pub listed: bool,
    /// Whether it has answered a poll of this leader, so that all its runs are known.
    pub synced: bool,
    /// Whether a stored batch names it.
    pub recorded: bool,
    /// Its active runs and their room.
    pub bookings: Bookings,
    /// End of the time in which it runs a task that may crash it.
    pub suspected_until: Millis,
    /// End of the time in which it takes no other task, because it runs one that probably crashes it.
    pub isolated_until: Millis,
    /// Runs that it lists for jobs that this leader does not know.
    pub unknown_runs: Vec<ListedRun>,
    /// When it began to list such runs.
    pub unknown_runs_since: Option<Millis>,
    /// Ends in its last answer for jobs that this leader does not know, and that are kept for them.
    pub unknown_ends: Vec<ListedEnd>,
    /// Since when it lists such ends.
    pub unknown_ends_since: Option<Millis>,
    /// Rows of its last answer that could not be read.
    pub unreadable_rows: Option<UnreadableRows>,
    /// Since when its answers hold only the first of its ends; `None` if the last one held all.
    pub ends_cut_since: Option<Millis>,
    /// Last reading of its clock, and the time of the reading.
    pub clock: Option<(u64, Millis)>,
    /// End of its lease: no run survives this time unless the lease is renewed.
    pub lease_end: Millis,
    /// Sequence number of the newest end up to which all were applied.
    pub last_end_sequence: u64,
    /// Later ends that were applied while one before them could not be read.
    pub ends_applied_early: FastSet<u64>,
    /// Ends that may be acknowledged once a batch is stored, as pairs of end and batch sequence.
    pub unwritten_ends: VecDeque<(u64, u64)>,
    /// Sequence number of the newest end that may be acknowledged.
    pub ack_ready: u64,
    /// Sequence number of the newest end whose acknowledgement the worker has answered.
    pub acknowledged: u64,
    /// Sequence number of the newest end that the last poll acknowledged.
    pub poll_cursor: u64,
    /// Whether an order was answered with a clock reading of another process, and no poll since.
    pub has_clock_gone_back: bool,
    /// End of the time in which it may carry out a poll with a cursor of its former process.
    pub late_poll_until: Millis,
    /// Whether a poll is in flight.
    pub poll_in_flight: bool,
    /// When the last poll was sent.
    pub poll_sent_at: Millis,
    /// When the next poll is due.
    pub next_poll_at: Millis,
    /// When it last answered a poll.
    pub last_answer_at: Millis,
    /// When that poll was sent; the answer may be as old as this.
    pub answer_asked_at: Millis,
    /// Consecutive polls without an answer.
    pub failed_polls: u32,
    /// Whether it is unresponsive.
    pub unresponsive: bool,
    /// When it became unresponsive.
    pub unresponsive_since: Millis,
    /// While it is unresponsive: when the last order was sent whose connect was refused.
    pub refused_at: Option<Millis>,
    /// While it is unresponsive: since when its instance is missing from the list of instances.
    pub unlisted_since: Option<Millis>,
    /// While it answers: when a list was requested that shows another worker on its instance, or none.
    pub contradicted_at: Option<Millis>,
    /// Earliest time of the next start on this worker.
    pub paused_until: Millis,
    /// CPU share of its backfill tasks.
    pub backfill_percent: u32,
    /// When that share last changed.
    pub paced_at: Millis,
    /// Whether it accepts no new runs because its instance is being drained.
    pub cordoned: bool,
    /// Failures of tasks, and the quarantine that follows them.
    pub quarantine: Quarantine,
}

impl Worker {
    pub(super) fn new(report: WorkerReport, lease_end: Millis) -> Self {
        Self {
            full_capacity: report.capacity,
            entry: Entry::new(report.clone()),
            report,
            claim: None,
            claim_link_until: None,
            incarnation_since: Millis::ZERO,
            began_by: Millis::ZERO,
            service: None,
            listed: true,
            synced: false,
            recorded: false,
            bookings: Bookings::default(),
            suspected_until: Millis::ZERO,
            isolated_until: Millis::ZERO,
            unknown_runs: Vec::new(),
            unknown_runs_since: None,
            unknown_ends: Vec::new(),
            unknown_ends_since: None,
            unreadable_rows: None,
            ends_cut_since: None,
            clock: None,
            lease_end,
            last_end_sequence: 0,
            ends_applied_early: FastSet::default(),
            unwritten_ends: VecDeque::new(),
            ack_ready: 0,
            acknowledged: 0,
            poll_cursor: 0,
            has_clock_gone_back: false,
            late_poll_until: Millis::ZERO,
            poll_in_flight: false,
            poll_sent_at: Millis::ZERO,
            next_poll_at: Millis::ZERO,
            last_answer_at: Millis::ZERO,
            answer_asked_at: Millis::ZERO,
            failed_polls: 0,
            unresponsive: false,
            unresponsive_since: Millis::ZERO,
            refused_at: None,
            unlisted_since: None,
            contradicted_at: None,
            paused_until: Millis::ZERO,
            backfill_percent: 100,
            paced_at: Millis::ZERO,
            cordoned: false,
            quarantine: Quarantine::default(),
        }
    }

    pub(super) fn runs(&self) -> &[RunKey] {
        self.bookings.runs()
    }

    /// The data with which its link is opened.
    pub(super) fn link_report(&self) -> &WorkerReport {
        let claim = self.claim.as_ref().filter(|claim| claim.is_connected);
        claim.map_or(&self.report, |claim| &claim.report)
    }

    /// Whether its link leads to an address that only a claim names, where another server may listen.
    pub(super) fn is_linked_to_claim(&self) -> bool {
        self.claim
            .as_ref()
            .is_some_and(|claim| claim.is_connected && claim.report.address != self.report.address)
    }

    /// Removes the claim, which kept the worker from counting as synced.
    pub(super) fn take_claim(&mut self) -> Option<Claim> {
        let claim = self.claim.take()?;
        self.synced = claim.is_known_alive;
        Some(claim)
    }

    /// Drops a claim that an answer or a later entry has refuted. Orders that were sent before may have met
    /// nobody at the claimed address.
    pub(super) fn refute_claim(&mut self, now: Millis) -> Option<Claim> {
        self.claim_link_closed(now);
        let claim = self.claim.take()?;
        self.incarnation_since = now;
        Some(claim)
    }

    /// Notes that the link is about to lead elsewhere.
    pub(super) fn claim_link_closed(&mut self, now: Millis) {
        if self.is_linked_to_claim() {
            self.claim_link_until = Some(now);
        }
    }

    /// Whether an order that was sent at this time may have gone to an address that only a claim names.
    pub(super) fn may_have_missed(&self, sent_at: Millis) -> bool {
        let may_have_missed_claim = self.claim.as_ref().is_some_and(|claim| {
            claim.report.address != self.report.address
                && (claim.is_connected || sent_at <= claim.connected_at)
        });
        may_have_missed_claim || self.claim_link_until.is_some_and(|until| sent_at <= until)
    }

    pub(super) fn free(&self) -> Resources {
        self.report.capacity.minus(self.bookings.used())
    }

    /// Room that it has lost since its capacity has shrunk. The list of instances bounds what it had: an entry of
    /// another writer may have named any capacity.
    pub(super) fn lost_room(&self, of_instance: Resources) -> Resources {
        let full = self.full_capacity.min(of_instance);
        full.minus(self.report.capacity)
    }

    pub(super) fn takes_work(&self, now: Millis) -> bool {
        self.exclusion(now).is_none()
    }

    /// Earliest reading that the worker's clock may have. A deadline on a later one would outlast the lease that this
    /// leader reckons with.
    pub(super) fn estimated_clock_at(&self, now: Millis) -> Option<u64> {
        self.clock.map(|(clock_ms, at)| {
            let elapsed_ms = now.ms_since(at);
            let drift_ms = (elapsed_ms * CLOCK_DRIFT_PERCENT).div_ceil(100);
            clock_ms + elapsed_ms.saturating_sub(drift_ms)
        })
    }

    /// Whether the last reading of its clock is too old for deadlines.
    pub(super) fn has_old_clock_reading(&self, now: Millis) -> bool {
        self.clock
            .is_some_and(|(_, at)| now.ms_since(at) >= CLOCK_READING_AGE_MAX_MS)
    }

    /// Reckons with runs that last until this time although no answer comes.
    pub(super) fn keep_lease_until(&mut self, until: Millis) {
        self.lease_end = self.lease_end.max(until);
    }

    pub(super) fn update_clock(&mut self, clock_ms: u64, now: Millis) {
        if self
            .estimated_clock_at(now)
            .is_none_or(|estimate| clock_ms != estimate)
        {
            self.clock = Some((clock_ms, now));
        }
    }

    /// Counts a poll without an answer. Returns whether the worker has just become unresponsive.
    pub(super) fn count_failed_poll(&mut self, now: Millis) -> bool {
        self.failed_polls += 1;
        if self.unresponsive || (self.synced && self.failed_polls < FAILED_POLLS_MAX) {
            return false;
        }
        self.begin_unresponsive(now);
        true
    }

    pub(super) const fn begin_unresponsive(&mut self, now: Millis) {
        if !self.unresponsive {
            self.unresponsive = true;
            self.unresponsive_since = now;
        }
    }

    pub(super) fn pause(&mut self, now: Millis) {
        self.paused_until = self.paused_until.max(now.after_ms(UNHEALTHY_PAUSE_MS));
    }

    /// What the end of its process means now.
    pub(super) const fn process_end(&self) -> IncarnationEnd {
        if self.report.draining || self.cordoned {
            IncarnationEnd::Planned
        } else {
            IncarnationEnd::Crashed
        }
    }

    /// Resets the state that belongs to the previous process of the worker.
    pub(super) fn begin_incarnation(&mut self, report: WorkerReport, now: Millis) {
        let (listed, service) = (self.listed, self.service);
        *self = Self {
            listed,
            service,
            // Only runs that may have reached this incarnation are left.
            bookings: std::mem::take(&mut self.bookings),
            entry: Entry {
                instance: self.entry.instance.take(),
                was_shown: self.entry.was_shown,
                ..Entry::new(report.clone())
            },
            poll_in_flight: self.poll_in_flight,
            poll_sent_at: self.poll_sent_at,
            poll_cursor: self.poll_cursor,
            cordoned: self.cordoned,
            claim_link_until: self.claim_link_until,
            // The answer that has shown the incarnation may be the unreadable one.
            unreadable_rows: self.unreadable_rows.take(),
            incarnation_since: now,
            began_by: now,
            ..Self::new(report, Millis::ZERO)
        };
    }
}
