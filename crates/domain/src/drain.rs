//! Typestate for a drain or a move of an instance: `Draining`, `Drained`, `Assigned`.
//!
//! An instance is drained once every member has reported that it acts on the leaving record and has
//! no requests in flight on the instance. An expired heartbeat is no proof: a frozen or partitioned
//! member may still have requests in flight, so the drain waits for its report.

use crate::member::MemberId;
use crate::prelude::*;

/// A member's report on an instance in the leaving phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// Epoch of the assignment record that the member acts on.
    pub epoch: u64,
    /// Number of requests that the member has in flight on the instance.
    pub in_flight: u32,
}

/// State of a move whose instance still has requests in flight.
#[derive(Clone, Debug)]
pub struct Draining {
    reported: FastSet<MemberId>,
}

/// State of a move whose instance has no requests in flight.
#[derive(Clone, Copy, Debug)]
pub struct Drained;

/// State of a move whose final record was written.
#[derive(Clone, Copy, Debug)]
pub struct Assigned {
    /// Epoch of the final record.
    pub epoch: u64,
}

/// A drain of an instance, or its move to another pool; `S` is its state.
#[derive(Clone, Debug)]
pub struct Move<S> {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Availability zone of the instance.
    pub zone: Arc<str>,
    /// Epoch of the leaving record.
    pub epoch: u64,
    /// Data of the current state.
    pub state: S,
}

impl Move<Draining> {
    /// Creates the move for a record in the leaving phase.
    #[must_use]
    pub fn start(instance: Arc<str>, zone: Arc<str>, epoch: u64) -> Self {
        Self {
            instance,
            zone,
            epoch,
            state: Draining {
                reported: FastSet::default(),
            },
        }
    }

    /// Records a member's report. A report for an older record is ignored, because the member may still
    /// send new work to the instance.
    pub fn record_report(&mut self, member: MemberId, report: DrainReport) {
        if report.epoch >= self.epoch && report.in_flight == 0 {
            self.state.reported.insert(member);
        }
    }

    /// Returns the members that the move still waits for.
    pub fn unreported<'a>(
        &'a self,
        members: &'a [MemberId],
    ) -> impl Iterator<Item = &'a MemberId> + 'a {
        members
            .iter()
            .filter(|member| !self.state.reported.contains(*member))
    }

    /// Ends the drain if every member has reported.
    ///
    /// # Errors
    ///
    /// Returns the unchanged move while members have not reported.
    pub fn finish(self, members: &[MemberId]) -> Result<Move<Drained>, Self> {
        if self.unreported(members).next().is_some() {
            return Err(self);
        }
        let Self {
            instance,
            zone,
            epoch,
            ..
        } = self;
        Ok(Move {
            instance,
            zone,
            epoch,
            state: Drained,
        })
    }
}

impl Move<Drained> {
    /// Records that the final record was written.
    #[must_use]
    pub fn assign(self, epoch: u64) -> Move<Assigned> {
        let Self { instance, zone, .. } = self;
        Move {
            instance,
            zone,
            epoch: self.epoch,
            state: Assigned { epoch },
        }
    }
}
