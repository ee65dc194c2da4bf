//! Assignments of instances to pools. There is one record per instance, so an instance is in exactly
//! one pool by construction.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Phase of an instance's assignment, which determines whether it may get new work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The instance serves its pool.
    Assigned,
    /// The instance finishes its requests in flight and gets no new ones.
    Leaving {
        /// Pool that it moves to; none if it is only drained.
        to: Option<Arc<str>>,
    },
    /// The instance is drained and stays in its pool without serving it.
    Drained,
}

/// Assignment record of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceAssignment {
    /// Pool that the instance belongs to.
    pub pool: Arc<str>,
    /// Epoch of the record: increases with every change, also across a deletion of the record.
    pub epoch: u64,
    /// Current phase.
    pub phase: Phase,
}

impl InstanceAssignment {
    /// Returns whether requests of `pool` may be sent to the instance.
    #[must_use]
    pub fn serves(&self, pool: &str) -> bool {
        self.phase == Phase::Assigned && &*self.pool == pool
    }
}

/// Assignment records of an availability zone, stored as the value of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneAssignments {
    /// Highest epoch that was issued in the zone.
    pub last_epoch: u64,
    /// Records by instance name.
    pub instances: BTreeMap<Arc<str>, InstanceAssignment>,
}

/// Error for a rejected change of an assignment.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum AssignmentError {
    /// There is no record of the instance.
    #[snafu(display("no instance is named {instance}; see rosemaryscale pools"))]
    UnknownInstance {
        /// The name.
        instance: Arc<str>,
    },
    /// The phase of the record does not allow the change.
    #[snafu(display("instance {instance} is {phase}; {remedy}"))]
    WrongPhase {
        /// The name.
        instance: Arc<str>,
        /// The phase that the instance is in.
        phase: &'static str,
        /// What the operator can do.
        remedy: &'static str,
    },
}

impl Phase {
    /// Returns the phase as it is shown to operators.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Assigned => "assigned",
            Self::Leaving { to: Some(_) } => "moving",
            Self::Leaving { to: None } => "draining",
            Self::Drained => "drained",
        }
    }
}

impl ZoneAssignments {
    /// Adds the record of a new instance. An existing record is not changed.
    pub fn assign_new(&mut self, instance: &Arc<str>, pool: &Arc<str>) {
        if self.instances.contains_key(instance) {
            return;
        }
        let epoch = self.issue_epoch();
        let record = InstanceAssignment {
            pool: Arc::clone(pool),
            epoch,
            phase: Phase::Assigned,
        };
        self.instances.insert(Arc::clone(instance), record);
    }

    /// Starts a move to another pool, or a drain if `to` is none.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such record or the instance is already leaving or drained.
    pub fn leave(
        &mut self,
        instance: &Arc<str>,
        to: Option<Arc<str>>,
    ) -> Result<u64, AssignmentError> {
        self.change_phase(instance, |record| match record.phase {
            Phase::Assigned => Ok(Phase::Leaving { to }),
            _ => Err("wait until its drain or move has ended, or undrain it"),
        })
    }

    /// Ends the leaving phase that started at `epoch`. A record that has changed since is not changed.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such record or it is not in the leaving phase at this epoch.
    pub fn finish(&mut self, instance: &Arc<str>, epoch: u64) -> Result<u64, AssignmentError> {
        let record = self.find_record(instance)?;
        let Phase::Leaving { to } = record.phase.clone() else {
            return wrong_phase_error(
                instance,
                &record.phase,
                "only a leaving instance can finish",
            );
        };
        if record.epoch != epoch {
            return wrong_phase_error(
                instance,
                &record.phase,
                "its record has changed in the meantime; check its state again",
            );
        }
        let next = self.issue_epoch();
        let record = InstanceAssignment {
            phase: if to.is_some() {
                Phase::Assigned
            } else {
                Phase::Drained
            },
            pool: to.unwrap_or_else(|| Arc::clone(&self.instances[instance].pool)),
            epoch: next,
        };
        self.instances.insert(Arc::clone(instance), record);
        Ok(next)
    }

    /// Returns a draining or drained instance to service in its pool. A move is not interrupted,
    /// because members that have already reported would have to be polled again.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such record or the instance is neither draining nor drained.
    pub fn undrain(&mut self, instance: &Arc<str>) -> Result<u64, AssignmentError> {
        self.change_phase(instance, |record| match record.phase {
            Phase::Drained | Phase::Leaving { to: None } => Ok(Phase::Assigned),
            Phase::Assigned => Err("it is already in service; nothing to do"),
            Phase::Leaving { to: Some(_) } => Err("wait until its move has ended"),
        })
    }

    /// Deletes the record of an instance that no longer exists. A later record of the same name gets a
    /// higher epoch.
    pub fn remove(&mut self, instance: &str) {
        self.instances.remove(instance);
    }

    fn find_record(&self, instance: &Arc<str>) -> Result<&InstanceAssignment, AssignmentError> {
        let unknown = || AssignmentError::UnknownInstance {
            instance: Arc::clone(instance),
        };
        self.instances.get(instance).ok_or_else(unknown)
    }

    fn change_phase(
        &mut self,
        instance: &Arc<str>,
        next: impl FnOnce(&InstanceAssignment) -> Result<Phase, &'static str>,
    ) -> Result<u64, AssignmentError> {
        let record = self.find_record(instance)?;
        let phase = match next(record) {
            Ok(phase) => phase,
            Err(remedy) => return wrong_phase_error(instance, &record.phase, remedy),
        };
        let pool = Arc::clone(&record.pool);
        let epoch = self.issue_epoch();
        let record = InstanceAssignment { pool, epoch, phase };
        self.instances.insert(Arc::clone(instance), record);
        Ok(epoch)
    }

    const fn issue_epoch(&mut self) -> u64 {
        self.last_epoch += 1;
        self.last_epoch
    }
}

fn wrong_phase_error<T>(
    instance: &Arc<str>,
    phase: &Phase,
    remedy: &'static str,
) -> Result<T, AssignmentError> {
    let (instance, phase) = (Arc::clone(instance), phase.as_str());
    Err(AssignmentError::WrongPhase {
        instance,
        phase,
        remedy,
    })
}
