//! The life cycle of a run: sent, confirmed by its worker, stopping.

use std::marker::PhantomData;

use crate::placement::Resources;
use crate::prelude::*;

/// The start was sent; whether it took effect is not known yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent;
/// The worker has said that it runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Confirmed;
/// It is to end; its room is free once the worker lists its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stopping;

/// What holds for a run in every phase.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunFacts {
    pub task: TaskKey,
    pub number: u32,
    pub worker: WorkerKey,
    pub need: Resources,
    pub fills: bool,
    pub sent_at: Millis,
}

/// A run in one phase of its life.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run<P> {
    pub facts: RunFacts,
    /// When the phase began.
    pub since: Millis,
    phase: PhantomData<P>,
}

impl Run<Sent> {
    pub(super) fn new(facts: RunFacts) -> Self {
        Self {
            since: facts.sent_at,
            facts,
            phase: PhantomData,
        }
    }

    fn confirm(self, now: Millis) -> Run<Confirmed> {
        self.enter(now)
    }
}

impl Run<Confirmed> {
    /// A run that the worker lists and that this holder did not start.
    pub(super) fn adopted(facts: RunFacts, now: Millis) -> Self {
        Self {
            facts,
            since: now,
            phase: PhantomData,
        }
    }
}

impl<P> Run<P> {
    fn enter<Q>(self, now: Millis) -> Run<Q> {
        Run {
            facts: self.facts,
            since: now,
            phase: PhantomData,
        }
    }
}

/// Newest progress that a worker reported of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reported {
    pub percent: u32,
    /// When the percentage last changed.
    pub moved_at: Millis,
    /// Tail latency in milliseconds, or processors in use.
    pub gauge: u64,
}

/// A run in whichever phase it is.
#[derive(Clone, Copy, Debug)]
pub(super) enum Phase {
    Sent(Run<Sent>),
    Confirmed(Run<Confirmed>),
    Stopping(Run<Stopping>),
}

/// A run in the arena.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacedRun {
    pub phase: Phase,
    pub reported: Reported,
    /// Share at which a filling task may work.
    pub pace_percent: u32,
    /// How often its start was sent.
    pub start_tries: u32,
    /// Whether a start is on its way.
    pub start_in_flight: bool,
    /// Whether a stop is on its way.
    pub stop_in_flight: bool,
    /// When the worker accepted the stop.
    pub stop_accepted_at: Option<Millis>,
    /// When the stop is sent again.
    pub stop_again_at: Millis,
}

impl PlacedRun {
    pub(super) fn new(phase: Phase) -> Self {
        Self {
            phase,
            reported: Reported::default(),
            pace_percent: 100,
            start_tries: 0,
            start_in_flight: false,
            stop_in_flight: false,
            stop_accepted_at: None,
            stop_again_at: Millis::ZERO,
        }
    }

    pub(super) fn facts(&self) -> &RunFacts {
        match &self.phase {
            Phase::Sent(run) => &run.facts,
            Phase::Confirmed(run) => &run.facts,
            Phase::Stopping(run) => &run.facts,
        }
    }

    /// Since when the worker has confirmed it, if it runs and is not stopping.
    pub(super) fn confirmed_since(&self) -> Option<Millis> {
        match &self.phase {
            Phase::Confirmed(run) => Some(run.since),
            _ => None,
        }
    }

    pub(super) fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping(_))
    }

    pub(super) fn confirm(&mut self, now: Millis) {
        if let Phase::Sent(run) = self.phase {
            self.phase = Phase::Confirmed(run.confirm(now));
            self.reported.moved_at = now;
        }
    }

    pub(super) fn stop(&mut self, now: Millis) {
        self.phase = match self.phase {
            Phase::Sent(run) => Phase::Stopping(run.enter(now)),
            Phase::Confirmed(run) => Phase::Stopping(run.enter(now)),
            Phase::Stopping(run) => Phase::Stopping(run),
        };
    }
}
