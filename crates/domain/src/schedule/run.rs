//! Life cycle of a run: sent, confirmed by its worker, stopping.

use std::marker::PhantomData;

use super::stop_reason::StopReason;
use crate::placement::Resources;
use crate::prelude::*;

/// The start order was sent, but not yet confirmed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent;
/// The worker has confirmed that the task runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Confirmed;
/// The run is being stopped; its resources are released once the worker reports its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stopping;

/// Data of a run that does not depend on its phase.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunInfo {
    pub task: TaskKey,
    pub number: u32,
    pub worker: WorkerKey,
    pub need: Resources,
    /// Workspace of its job.
    pub workspace: Option<WorkspaceKey>,
    /// Service of its worker, if its task ends by itself.
    pub finite_in: Option<ServiceKey>,
    pub fills: bool,
    pub sent_at: Millis,
}

/// A run in one phase of its life cycle.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run<P> {
    pub info: RunInfo,
    /// When the phase began.
    pub since: Millis,
    phase: PhantomData<P>,
}

impl Run<Sent> {
    pub(super) fn new(info: RunInfo) -> Self {
        Self {
            since: info.sent_at,
            info,
            phase: PhantomData,
        }
    }

    fn confirm(self, now: Millis) -> Run<Confirmed> {
        self.into_phase(now)
    }
}

impl Run<Confirmed> {
    /// Creates a run that the worker lists but this leader did not start.
    pub(super) fn adopted(info: RunInfo, now: Millis) -> Self {
        Self {
            info,
            since: now,
            phase: PhantomData,
        }
    }
}

impl<P> Run<P> {
    fn into_phase<Q>(self, now: Millis) -> Run<Q> {
        Run {
            info: self.info,
            since: now,
            phase: PhantomData,
        }
    }
}

/// What shows that an incarnation of a worker has ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum EndEvidence {
    /// An order sent at this time found no process, or another one.
    Order { sent_at: Millis },
    /// The platform or the next incarnation names another incarnation.
    Listing,
    /// The lease of its known process has expired.
    Lease,
}

/// Latest progress that a worker reported for a run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunProgress {
    pub percent: u32,
    /// First reported percentage, and the time of that report.
    pub first: Option<(u32, Millis)>,
    /// When the percentage last changed.
    pub percent_changed_at: Millis,
    /// Tail latency in milliseconds, or processors in use.
    pub gauge: u64,
}

/// A run in any phase.
#[derive(Clone, Copy, Debug)]
pub(super) enum Phase {
    Sent(Run<Sent>),
    Confirmed(Run<Confirmed>),
    Stopping(Run<Stopping>),
}

/// A run as stored in the arena of the scheduler.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacedRun {
    pub phase: Phase,
    pub progress: RunProgress,
    /// CPU share granted to a backfill task.
    pub pace_percent: u32,
    /// Whether the worker has confirmed the run.
    pub is_answered: bool,
    /// Number of times that the start was sent.
    pub start_attempts: u32,
    /// Whether a start is in flight.
    pub start_in_flight: bool,
    /// Whether the last start got no answer, and the worker has not listed the run since. The process that has begun it
    /// may be another one than the leader knows.
    pub has_unanswered_start: bool,
    /// When the last start was sent.
    pub start_sent_at: Millis,
    /// Deadline of the last start, on the clock of the worker.
    pub start_deadline_ms: u64,
    /// When the last start got its result; until then, when the run was created.
    pub settled_at: Millis,
    /// Whether the current incarnation of its worker has listed it.
    pub is_listed: bool,
    /// Whether a stop is in flight.
    pub stop_in_flight: bool,
    /// Why it is stopped; `None` while it is not.
    pub stop_reason: Option<StopReason>,
    /// Number of times that the stop was sent.
    pub stop_attempts: u32,
    /// When the last stop was sent.
    pub stop_sent_at: Millis,
    /// When the worker accepted the stop.
    pub stop_accepted_at: Option<Millis>,
    /// When the stop is to be sent again.
    pub resend_stop_at: Millis,
}

impl PlacedRun {
    pub(super) fn new(phase: Phase) -> Self {
        let since = match &phase {
            Phase::Sent(run) => run.since,
            Phase::Confirmed(run) => run.since,
            Phase::Stopping(run) => run.since,
        };
        Self {
            phase,
            progress: RunProgress::default(),
            pace_percent: 100,
            is_answered: false,
            start_attempts: 0,
            start_in_flight: false,
            has_unanswered_start: false,
            start_sent_at: since,
            start_deadline_ms: 0,
            settled_at: since,
            is_listed: false,
            stop_in_flight: false,
            stop_reason: None,
            stop_attempts: 0,
            stop_sent_at: Millis::ZERO,
            stop_accepted_at: None,
            resend_stop_at: Millis::ZERO,
        }
    }

    pub(super) fn info(&self) -> &RunInfo {
        match &self.phase {
            Phase::Sent(run) => &run.info,
            Phase::Confirmed(run) => &run.info,
            Phase::Stopping(run) => &run.info,
        }
    }

    /// When the worker confirmed the run; `None` while it is only sent or is stopping.
    pub(super) fn confirmed_since(&self) -> Option<Millis> {
        match &self.phase {
            Phase::Confirmed(run) => Some(run.since),
            _ => None,
        }
    }

    pub(super) fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping(_))
    }

    /// Whether a process that the leader does not know may have begun it.
    pub(super) const fn may_be_of_unknown_process(&self) -> bool {
        self.start_in_flight || self.has_unanswered_start
    }

    /// Whether it can only be a run of the incarnation that has ended, and not of the next one.
    pub(super) fn has_ended_with(&self, evidence: EndEvidence) -> bool {
        if self.start_in_flight {
            return false;
        }
        match evidence {
            EndEvidence::Lease => !self.has_unanswered_start,
            EndEvidence::Order { sent_at } => self.is_listed || self.settled_at < sent_at,
            EndEvidence::Listing => self.is_listed,
        }
    }

    pub(super) fn confirm(&mut self, now: Millis) {
        self.is_answered = true;
        if let Phase::Sent(run) = self.phase {
            self.phase = Phase::Confirmed(run.confirm(now));
            self.progress.percent_changed_at = now;
        }
    }

    pub(super) fn stop(&mut self, reason: StopReason, now: Millis) {
        self.stop_reason = self.stop_reason.or(Some(reason));
        self.phase = match self.phase {
            Phase::Sent(run) => Phase::Stopping(run.into_phase(now)),
            Phase::Confirmed(run) => Phase::Stopping(run.into_phase(now)),
            Phase::Stopping(run) => Phase::Stopping(run),
        };
    }
}
