//! Assignments of instances to pools: one record per instance, so that an instance is in exactly
//! one pool by construction.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Whether an instance may get new work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It serves its pool.
    Assigned,
    /// It finishes its requests and gets no new ones.
    Leaving {
        /// The pool that it moves to; none if it is drained for maintenance.
        to: Option<Arc<str>>,
    },
    /// It is drained and stays in its pool without serving it.
    Drained,
}

/// The record of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceAssignment {
    /// The pool that it belongs to.
    pub pool: Arc<str>,
    /// Rises with every change of the record, also across its deletion.
    pub epoch: u64,
    /// Whether it may get new work.
    pub phase: Phase,
}

impl InstanceAssignment {
    /// Whether requests of `pool` may be sent to the instance.
    #[must_use]
    pub fn serves(&self, pool: &str) -> bool {
        self.phase == Phase::Assigned && &*self.pool == pool
    }
}

/// The records of an availability zone; the value of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneAssignments {
    /// The highest epoch that was given out in the zone.
    pub last_epoch: u64,
    /// Records by instance.
    pub instances: BTreeMap<Arc<str>, InstanceAssignment>,
}

/// Why a change of an assignment was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum AssignmentError {
    /// There is no such record.
    #[snafu(display("no instance is named {instance}; see rosemaryscale pools"))]
    UnknownInstance {
        /// The name.
        instance: Arc<str>,
    },
    /// The record is in a phase that does not allow the change.
    #[snafu(display("instance {instance} is {phase}; {remedy}"))]
    WrongPhase {
        /// The name.
        instance: Arc<str>,
        /// Its phase.
        phase: &'static str,
        /// What to do.
        remedy: &'static str,
    },
}

impl Phase {
    /// The phase as operators read it.
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
    /// Adds the record of a new instance; an existing record stays.
    pub fn adopt(&mut self, instance: &Arc<str>, pool: &Arc<str>) {
        if self.instances.contains_key(instance) {
            return;
        }
        let epoch = self.next_epoch();
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
    /// Fails when there is no such record or it is already leaving or drained.
    pub fn leave(
        &mut self,
        instance: &Arc<str>,
        to: Option<Arc<str>>,
    ) -> Result<u64, AssignmentError> {
        self.change(instance, |record| match record.phase {
            Phase::Assigned => Ok(Phase::Leaving { to }),
            _ => Err("wait until its drain or move has ended, or undrain it"),
        })
    }

    /// Ends the leaving phase of `epoch`; a record that has changed since stays.
    ///
    /// # Errors
    ///
    /// Fails when there is no such record or it is not leaving at this epoch.
    pub fn finish(&mut self, instance: &Arc<str>, epoch: u64) -> Result<u64, AssignmentError> {
        let record = self.record(instance)?;
        let Phase::Leaving { to } = record.phase.clone() else {
            return wrong_phase(
                instance,
                &record.phase,
                "only a leaving instance can finish",
            );
        };
        if record.epoch != epoch {
            return wrong_phase(
                instance,
                &record.phase,
                "its record has changed; look again",
            );
        }
        let next = self.next_epoch();
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

    /// Returns a draining or drained instance to service in its pool. A move is not interrupted:
    /// members that have reported would have to be asked again.
    ///
    /// # Errors
    ///
    /// Fails when there is no such record or it is not drained.
    pub fn undrain(&mut self, instance: &Arc<str>) -> Result<u64, AssignmentError> {
        self.change(instance, |record| match record.phase {
            Phase::Drained | Phase::Leaving { to: None } => Ok(Phase::Assigned),
            Phase::Assigned => Err("it serves already, nothing to do"),
            Phase::Leaving { to: Some(_) } => Err("wait until its move has ended"),
        })
    }

    /// Deletes the record of an instance that is gone. The next record of that name has a higher
    /// epoch.
    pub fn forget(&mut self, instance: &str) {
        self.instances.remove(instance);
    }

    fn record(&self, instance: &Arc<str>) -> Result<&InstanceAssignment, AssignmentError> {
        let unknown = || AssignmentError::UnknownInstance {
            instance: Arc::clone(instance),
        };
        self.instances.get(instance).ok_or_else(unknown)
    }

    fn change(
        &mut self,
        instance: &Arc<str>,
        next: impl FnOnce(&InstanceAssignment) -> Result<Phase, &'static str>,
    ) -> Result<u64, AssignmentError> {
        let record = self.record(instance)?;
        let phase = match next(record) {
            Ok(phase) => phase,
            Err(remedy) => return wrong_phase(instance, &record.phase, remedy),
        };
        let pool = Arc::clone(&record.pool);
        let epoch = self.next_epoch();
        let record = InstanceAssignment { pool, epoch, phase };
        self.instances.insert(Arc::clone(instance), record);
        Ok(epoch)
    }

    const fn next_epoch(&mut self) -> u64 {
        self.last_epoch += 1;
        self.last_epoch
    }
}

fn wrong_phase<T>(
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
