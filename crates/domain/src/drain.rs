//! The life cycle of a drain or a move: `Draining`, `Drained`, `Assigned`.
//!
//! An instance is drained when every member has reported that it saw the leaving record and has no
//! request in flight there. A heartbeat that expired proves nothing: a frozen or partitioned member
//! may still hold requests, so the drain waits for it.

use crate::member::MemberId;
use crate::prelude::*;

/// What a member says of an instance that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// Epoch of the instance's record that the member acts on.
    pub epoch: u64,
    /// Requests that it has in flight there.
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

/// State of a move whose record was written.
#[derive(Clone, Copy, Debug)]
pub struct Assigned {
    /// Epoch of the record.
    pub epoch: u64,
}

/// The end of an instance's service in a pool.
#[derive(Clone, Debug)]
pub struct Move<S> {
    /// The instance.
    pub instance: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Epoch of the leaving record.
    pub epoch: u64,
    /// Data of the current state.
    pub state: S,
}

impl Move<Draining> {
    /// Starts to watch a leaving record.
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

    /// Records what a member says. A report that acts on an older record says nothing about new
    /// work and is ignored.
    pub fn report(&mut self, member: MemberId, report: DrainReport) {
        if report.epoch >= self.epoch && report.in_flight == 0 {
            self.state.reported.insert(member);
        }
    }

    /// Members that the move waits for.
    pub fn waiting<'a>(
        &'a self,
        members: &'a [MemberId],
    ) -> impl Iterator<Item = &'a MemberId> + 'a {
        members
            .iter()
            .filter(|member| !self.state.reported.contains(*member))
    }

    /// Ends the draining phase if every member has reported.
    ///
    /// # Errors
    ///
    /// Returns the unchanged move while it must wait.
    pub fn finish(self, members: &[MemberId]) -> Result<Move<Drained>, Self> {
        if self.waiting(members).next().is_some() {
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
