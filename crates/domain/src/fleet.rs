//! Decisions of the fleet controller: which assignments to write and which members to poll.
//!
//! The controller takes a snapshot of the store and of the platform's instance list and returns
//! actions. Every write compares the revisions of the zone's key and of the controller's key, so a
//! controller that was paused past the end of its lease changes nothing.

use crate::member::MemberId;
use std::collections::BTreeMap;

use crate::assignment::{AssignmentError, Phase, ZoneAssignments};
use crate::drain::{DrainReport, Draining, Move};
use crate::prelude::*;

/// An instance is considered gone once it has been missing from the platform's list for this time.
/// The list lags behind, and a single read may miss an instance.
pub const INSTANCE_REMOVAL_DELAY_MS: u64 = 60_000;
/// Interval at which members are polled for their requests in flight.
const POLL_INTERVAL_MS: u64 = 500;

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Availability zone of the instance.
    pub zone: Arc<str>,
    /// Pool that it was created for.
    pub pool_hint: Arc<str>,
}

/// Stored assignment records of a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredZone {
    /// Revision of the zone's key; 0 if there is none.
    pub mod_revision: u64,
    /// The records.
    pub assignments: ZoneAssignments,
}

/// Input of the controller.
#[derive(Clone, Debug)]
pub struct FleetSnapshot<'a> {
    /// Stored records by zone.
    pub zones: &'a BTreeMap<Arc<str>, StoredZone>,
    /// All members, including those that do not respond.
    pub members: &'a [MemberId],
    /// The platform's list; none before its first read.
    pub listed: Option<&'a [ListedInstance]>,
    /// Names of the pools of the document in force.
    pub pools: &'a FastSet<Arc<str>>,
    /// Longest request limit of any service.
    pub request_limit_ms: u64,
}

/// An action for the task that runs the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Write the records of a zone if its key still has this revision.
    Write {
        /// The zone.
        zone: Arc<str>,
        /// Revision of the zone's key; 0 if there is none.
        mod_revision: u64,
        /// The new records.
        assignments: ZoneAssignments,
    },
    /// Ask a member how many requests it has in flight on an instance.
    PollMember {
        /// The member.
        member: MemberId,
        /// The instance.
        instance: Arc<str>,
        /// Epoch of its leaving record.
        epoch: u64,
    },
}

/// What a move waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveStatus {
    /// The instance.
    pub instance: Arc<str>,
    /// Members that have not yet reported the instance as drained.
    pub waiting_for: Vec<Arc<str>>,
    /// Time until all requests of members that have disappeared must have ended.
    pub vanished_wait_ms: u64,
}

/// A change that an operator or a policy requests.
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
        /// The new pool.
        to: Arc<str>,
    },
}

/// State of a fleet controller while it holds the lease.
#[derive(Debug)]
pub struct FleetController {
    moves: BTreeMap<Arc<str>, Move<Draining>>,
    members: FastSet<MemberId>,
    /// When a member last disappeared, or when the lease was taken, since a member may have
    /// disappeared unnoticed before that. Requests of such a member may still run at the upstreams.
    member_lost_at: Millis,
    missing_since: FastMap<Arc<str>, Millis>,
    last_poll_at: Option<Millis>,
}

impl FleetController {
    /// Creates a controller that has just taken the lease.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            moves: BTreeMap::new(),
            members: FastSet::default(),
            member_lost_at: now,
            missing_since: FastMap::default(),
            last_poll_at: None,
        }
    }

    /// Decides on a request and returns the write that starts the change.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is not possible; nothing changes then.
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

    /// Records a member's report on an instance.
    pub fn record_report(&mut self, instance: &str, member: MemberId, report: DrainReport) {
        if let Some(pending_move) = self.moves.get_mut(instance) {
            pending_move.record_report(member, report);
        }
    }

    /// Updates the state from the snapshot and returns the actions to carry out.
    pub fn advance(&mut self, snapshot: &FleetSnapshot<'_>, now: Millis) -> Vec<FleetAction> {
        self.update_members(snapshot.members, now);
        self.update_moves(snapshot);
        let mut changed: BTreeMap<Arc<str>, ZoneAssignments> = BTreeMap::new();
        self.assign_new_instances(snapshot, &mut changed);
        self.remove_missing_instances(snapshot, now, &mut changed);
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
        actions.extend(self.poll_members(snapshot, now));
        actions
    }

    /// Returns what each move waits for.
    #[must_use]
    pub fn status(&self, snapshot: &FleetSnapshot<'_>, now: Millis) -> Vec<MoveStatus> {
        let lost_requests_end = self.lost_requests_end(snapshot);
        let status = |pending_move: &Move<Draining>| MoveStatus {
            instance: Arc::clone(&pending_move.instance),
            waiting_for: pending_move
                .unreported(snapshot.members)
                .map(|member| Arc::clone(&member.name))
                .collect(),
            vanished_wait_ms: lost_requests_end.ms_since(now),
        };
        self.moves.values().map(status).collect()
    }

    /// Returns the time from which no request of a member that has disappeared can still run.
    const fn lost_requests_end(&self, snapshot: &FleetSnapshot<'_>) -> Millis {
        self.member_lost_at.after_ms(snapshot.request_limit_ms)
    }

    fn update_members(&mut self, members: &[MemberId], now: Millis) {
        let current: FastSet<MemberId> = members.iter().cloned().collect();
        if !self.members.is_subset(&current) {
            self.member_lost_at = now;
        }
        self.members = current;
    }

    /// Keeps exactly one move for each record in the leaving phase.
    fn update_moves(&mut self, snapshot: &FleetSnapshot<'_>) {
        let mut leaving: FastMap<&Arc<str>, (&Arc<str>, u64)> = FastMap::default();
        for (zone, stored) in snapshot.zones {
            for (instance, record) in &stored.assignments.instances {
                if matches!(record.phase, Phase::Leaving { .. }) {
                    leaving.insert(instance, (zone, record.epoch));
                }
            }
        }
        self.moves.retain(|instance, pending_move| {
            leaving
                .get(instance)
                .is_some_and(|(_, epoch)| *epoch == pending_move.epoch)
        });
        for (instance, (zone, epoch)) in leaving {
            self.moves
                .entry(Arc::clone(instance))
                .or_insert_with(|| Move::start(Arc::clone(instance), Arc::clone(zone), epoch));
        }
    }

    /// Assigns new instances to the pool that they were created for.
    fn assign_new_instances(
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
            changed_zone(snapshot, changed, &listed.zone)
                .assign_new(&listed.name, &listed.pool_hint);
        }
    }

    /// Deletes the records of instances that have been missing from the list for
    /// [`INSTANCE_REMOVAL_DELAY_MS`].
    fn remove_missing_instances(
        &mut self,
        snapshot: &FleetSnapshot<'_>,
        now: Millis,
        changed: &mut BTreeMap<Arc<str>, ZoneAssignments>,
    ) {
        // An empty list is treated as a faulty read: a whole fleet does not disappear at once.
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
                if now.ms_since(since) >= INSTANCE_REMOVAL_DELAY_MS {
                    changed_zone(snapshot, changed, zone).remove(instance);
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
        if now < self.lost_requests_end(snapshot) {
            return;
        }
        for pending_move in self.moves.values() {
            if let Ok(drained) = pending_move.clone().finish(snapshot.members) {
                let zone = changed_zone(snapshot, changed, &drained.zone);
                let _ = zone.finish(&drained.instance, drained.epoch);
            }
        }
    }

    fn poll_members(&mut self, snapshot: &FleetSnapshot<'_>, now: Millis) -> Vec<FleetAction> {
        if self
            .last_poll_at
            .is_some_and(|last_poll| now.ms_since(last_poll) < POLL_INTERVAL_MS)
        {
            return Vec::new();
        }
        self.last_poll_at = Some(now);
        let poll = |pending_move: &Move<Draining>, member: &MemberId| FleetAction::PollMember {
            member: member.clone(),
            instance: Arc::clone(&pending_move.instance),
            epoch: pending_move.epoch,
        };
        self.moves
            .values()
            .flat_map(|pending_move| {
                pending_move
                    .unreported(snapshot.members)
                    .map(move |member| poll(pending_move, member))
            })
            .collect()
    }
}

/// Returns the records of a zone that will be written, which start as a copy of the stored ones.
fn changed_zone<'a>(
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
