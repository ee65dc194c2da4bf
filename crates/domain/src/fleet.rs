//! Decisions of the controller: which assignments to write and which members to ask.
//!
//! The controller takes a snapshot of the store and the platform's list and returns actions. Every
//! write compares the revision of the zone's key and of the controller's key, so a controller that
//! was paused past its lease changes nothing.

use crate::member::MemberId;
use std::collections::BTreeMap;

use crate::assignment::{AssignmentError, Phase, ZoneAssignments};
use crate::drain::{DrainReport, Draining, Move};
use crate::prelude::*;

/// An instance that is missing from the platform's list for this time is gone. The list lags, and
/// one read may miss an instance.
pub const INSTANCE_GONE_MS: u64 = 60_000;
/// Members are asked again after this time.
const ASK_INTERVAL_MS: u64 = 500;

/// An instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Pool that it was created in.
    pub pool_hint: Arc<str>,
}

/// The records of a zone as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredZone {
    /// Revision of the zone's key; 0 if there is none.
    pub mod_revision: u64,
    /// The records.
    pub assignments: ZoneAssignments,
}

/// What the controller decides from.
#[derive(Clone, Debug)]
pub struct FleetSnapshot<'a> {
    /// Records by zone.
    pub zones: &'a BTreeMap<Arc<str>, StoredZone>,
    /// The members, live or not.
    pub members: &'a [MemberId],
    /// The platform's list; none before its first read.
    pub listed: Option<&'a [ListedInstance]>,
    /// Pools of the document in force.
    pub pools: &'a FastSet<Arc<str>>,
    /// Longest request limit of any service.
    pub request_limit_ms: u64,
}

/// What the task around the controller must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Write the records of a zone if its key is still at the revision.
    Write {
        /// The zone.
        zone: Arc<str>,
        /// Revision of the zone's key; 0 if there is none.
        mod_revision: u64,
        /// The new records.
        assignments: ZoneAssignments,
    },
    /// Ask a member what it has in flight on an instance.
    Ask {
        /// The member.
        member: MemberId,
        /// The instance.
        instance: Arc<str>,
        /// Epoch of its leaving record.
        epoch: u64,
    },
}

/// Why a move waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveStatus {
    /// The instance.
    pub instance: Arc<str>,
    /// Members that have not reported.
    pub waiting_for: Vec<Arc<str>>,
    /// Time until the requests of vanished members have ended.
    pub vanished_wait_ms: u64,
}

/// A change that an operator or a policy asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetRequest {
    /// Take an instance out of service once its requests have ended.
    Drain {
        /// The instance.
        instance: Arc<str>,
    },
    /// Return an instance to service.
    Undrain {
        /// The instance.
        instance: Arc<str>,
    },
    /// Move an instance to another pool.
    Move {
        /// The instance.
        instance: Arc<str>,
        /// The pool.
        to: Arc<str>,
    },
}

/// State of a controller while it holds the lease.
#[derive(Debug)]
pub struct FleetController {
    moves: BTreeMap<Arc<str>, Move<Draining>>,
    members: FastSet<MemberId>,
    /// When a member was last seen to vanish, or the lease was taken: a member may have vanished
    /// unseen before. Requests of such a member may still run at the upstreams.
    vanished_at: Millis,
    missing_since: FastMap<Arc<str>, Millis>,
    asked_at: Option<Millis>,
}

impl FleetController {
    /// A controller that has just taken the lease.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            moves: BTreeMap::new(),
            members: FastSet::default(),
            vanished_at: now,
            missing_since: FastMap::default(),
            asked_at: None,
        }
    }

    /// Decides on a request; the write starts the change.
    ///
    /// # Errors
    ///
    /// Fails when the change is not possible; nothing changes then.
    pub fn request(
        &self,
        request: &FleetRequest,
        snapshot: &FleetSnapshot<'_>,
    ) -> Result<FleetAction, AssignmentError> {
        let instance = match request {
            FleetRequest::Drain { instance }
            | FleetRequest::Undrain { instance }
            | FleetRequest::Move { instance, .. } => instance,
        };
        let unknown = || AssignmentError::UnknownInstance {
            instance: Arc::clone(instance),
        };
        let (zone, stored) = snapshot
            .zones
            .iter()
            .find(|(_, stored)| stored.assignments.instances.contains_key(instance))
            .ok_or_else(unknown)?;
        let mut assignments = stored.assignments.clone();
        match request {
            FleetRequest::Drain { .. } => assignments.leave(instance, None)?,
            FleetRequest::Move { to, .. } => assignments.leave(instance, Some(Arc::clone(to)))?,
            FleetRequest::Undrain { .. } => assignments.undrain(instance)?,
        };
        let mod_revision = stored.mod_revision;
        Ok(FleetAction::Write {
            zone: Arc::clone(zone),
            mod_revision,
            assignments,
        })
    }

    /// Records what a member says of an instance.
    pub fn report(&mut self, instance: &str, member: MemberId, report: DrainReport) {
        if let Some(running) = self.moves.get_mut(instance) {
            running.report(member, report);
        }
    }

    /// Looks at the snapshot and returns what to do next.
    pub fn advance(&mut self, snapshot: &FleetSnapshot<'_>, now: Millis) -> Vec<FleetAction> {
        self.follow_members(snapshot.members, now);
        self.follow_moves(snapshot);
        let mut changed: BTreeMap<Arc<str>, ZoneAssignments> = BTreeMap::new();
        self.adopt_new(snapshot, &mut changed);
        self.forget_gone(snapshot, now, &mut changed);
        self.finish_moves(snapshot, now, &mut changed);
        let mut actions: Vec<FleetAction> = changed
            .into_iter()
            .map(|(zone, assignments)| {
                let mod_revision = snapshot
                    .zones
                    .get(&zone)
                    .map_or(0, |zone| zone.mod_revision);
                FleetAction::Write {
                    zone,
                    mod_revision,
                    assignments,
                }
            })
            .collect();
        actions.extend(self.ask(snapshot, now));
        actions
    }

    /// Why each move waits.
    #[must_use]
    pub fn status(&self, snapshot: &FleetSnapshot<'_>, now: Millis) -> Vec<MoveStatus> {
        let settled_at = self.settled_at(snapshot);
        let status = |running: &Move<Draining>| MoveStatus {
            instance: Arc::clone(&running.instance),
            waiting_for: running
                .waiting(snapshot.members)
                .map(|member| Arc::clone(&member.name))
                .collect(),
            vanished_wait_ms: settled_at.ms_since(now),
        };
        self.moves.values().map(status).collect()
    }

    /// When no request of a vanished member can run any more.
    const fn settled_at(&self, snapshot: &FleetSnapshot<'_>) -> Millis {
        self.vanished_at.after_ms(snapshot.request_limit_ms)
    }

    fn follow_members(&mut self, members: &[MemberId], now: Millis) {
        let current: FastSet<MemberId> = members.iter().cloned().collect();
        if !self.members.is_subset(&current) {
            self.vanished_at = now;
        }
        self.members = current;
    }

    /// Keeps one move for each leaving record.
    fn follow_moves(&mut self, snapshot: &FleetSnapshot<'_>) {
        let mut leaving: FastMap<&Arc<str>, (&Arc<str>, u64)> = FastMap::default();
        for (zone, stored) in snapshot.zones {
            for (instance, record) in &stored.assignments.instances {
                if matches!(record.phase, Phase::Leaving { .. }) {
                    leaving.insert(instance, (zone, record.epoch));
                }
            }
        }
        self.moves.retain(|instance, running| {
            leaving
                .get(instance)
                .is_some_and(|(_, epoch)| *epoch == running.epoch)
        });
        for (instance, (zone, epoch)) in leaving {
            self.moves
                .entry(Arc::clone(instance))
                .or_insert_with(|| Move::start(Arc::clone(instance), Arc::clone(zone), epoch));
        }
    }

    /// Gives new instances the pool that they were created in.
    fn adopt_new(
        &self,
        snapshot: &FleetSnapshot<'_>,
        changed: &mut BTreeMap<Arc<str>, ZoneAssignments>,
    ) {
        let known: FastSet<&Arc<str>> = snapshot
            .zones
            .values()
            .flat_map(|stored| stored.assignments.instances.keys())
            .collect();
        let new = snapshot
            .listed
            .unwrap_or_default()
            .iter()
            .filter(|listed| !known.contains(&listed.name))
            .filter(|listed| snapshot.pools.contains(&listed.pool_hint));
        for listed in new {
            zone_of(snapshot, changed, &listed.zone).adopt(&listed.name, &listed.pool_hint);
        }
    }

    /// Deletes the records of instances that have been missing from the list for long enough.
    fn forget_gone(
        &mut self,
        snapshot: &FleetSnapshot<'_>,
        now: Millis,
        changed: &mut BTreeMap<Arc<str>, ZoneAssignments>,
    ) {
        // An empty list is a fault of the list: a fleet does not vanish at once.
        let Some(listed) = snapshot.listed.filter(|listed| !listed.is_empty()) else {
            return;
        };
        let present: FastSet<&Arc<str>> = listed.iter().map(|listed| &listed.name).collect();
        self.missing_since
            .retain(|instance, _| !present.contains(instance));
        for (zone, stored) in snapshot.zones {
            let missing = stored
                .assignments
                .instances
                .keys()
                .filter(|name| !present.contains(name));
            for instance in missing {
                let since = *self
                    .missing_since
                    .entry(Arc::clone(instance))
                    .or_insert(now);
                if now.ms_since(since) >= INSTANCE_GONE_MS {
                    zone_of(snapshot, changed, zone).forget(instance);
                }
            }
        }
    }

    fn finish_moves(
        &mut self,
        snapshot: &FleetSnapshot<'_>,
        now: Millis,
        changed: &mut BTreeMap<Arc<str>, ZoneAssignments>,
    ) {
        if now < self.settled_at(snapshot) {
            return;
        }
        for running in self.moves.values() {
            if let Ok(drained) = running.clone().finish(snapshot.members) {
                let zone = zone_of(snapshot, changed, &drained.zone);
                let _ = zone.finish(&drained.instance, drained.epoch);
            }
        }
    }

    fn ask(&mut self, snapshot: &FleetSnapshot<'_>, now: Millis) -> Vec<FleetAction> {
        if self
            .asked_at
            .is_some_and(|asked| now.ms_since(asked) < ASK_INTERVAL_MS)
        {
            return Vec::new();
        }
        self.asked_at = Some(now);
        let ask = |running: &Move<Draining>, member: &MemberId| FleetAction::Ask {
            member: member.clone(),
            instance: Arc::clone(&running.instance),
            epoch: running.epoch,
        };
        self.moves
            .values()
            .flat_map(|running| {
                running
                    .waiting(snapshot.members)
                    .map(move |member| ask(running, member))
            })
            .collect()
    }
}

/// The records of a zone that are about to be written.
fn zone_of<'a>(
    snapshot: &FleetSnapshot<'_>,
    changed: &'a mut BTreeMap<Arc<str>, ZoneAssignments>,
    zone: &Arc<str>,
) -> &'a mut ZoneAssignments {
    changed.entry(Arc::clone(zone)).or_insert_with(|| {
        snapshot
            .zones
            .get(zone)
            .map(|stored| stored.assignments.clone())
            .unwrap_or_default()
    })
}
