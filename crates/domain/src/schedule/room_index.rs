//! Free room on the workers of a service during a placement pass.

use super::worker::Worker;
use crate::placement::Resources;
use crate::prelude::*;

/// Free room of the workers that take work. In a burst thousands of tasks wait for room that hundreds of workers do
/// not have, so the index tells what fits nowhere without reading the state of each worker.
#[derive(Debug, Default)]
pub(super) struct RoomIndex {
    rooms: Vec<(WorkerKey, Resources)>,
    /// Rooms of the quarantined workers on which long-running tasks may be tried.
    trial_rooms: Vec<Resources>,
    /// Rooms that none of the others contains. Placement only takes room, so they bound what fits until they are
    /// determined again.
    largest: Vec<Resources>,
    /// Whether room has been taken since then.
    is_bound_stale: bool,
    /// Last need without constraints for which a search has found no worker, whatever room there seemed to be: a
    /// worker may be held for another step. It does not fit later in the pass either.
    unplaceable: Option<Resources>,
}

impl RoomIndex {
    pub(super) fn new<'a>(
        workers: impl Iterator<Item = (WorkerKey, &'a Worker)>,
        trial_workers: impl Iterator<Item = &'a Worker>,
    ) -> Self {
        let rooms = workers.map(|(key, worker)| (key, worker.free())).collect();
        let mut index = Self {
            rooms,
            trial_rooms: trial_workers.map(Worker::free).collect(),
            ..Self::default()
        };
        index.find_largest();
        index
    }

    /// Whether a worker may have room. A search for it can still find none.
    pub(super) fn may_fit(&self, need: Resources) -> bool {
        self.largest.iter().any(|room| need.fits(*room))
            && !self
                .unplaceable
                .is_some_and(|unplaceable| unplaceable.fits(need))
    }

    /// Whether a quarantined worker may have room for a try.
    pub(super) fn may_fit_trial(&self, need: Resources) -> bool {
        self.trial_rooms.iter().any(|room| need.fits(*room))
    }

    /// Workers with room for the need.
    pub(super) fn fitting(&self, need: Resources) -> impl Iterator<Item = WorkerKey> {
        let rooms = self.rooms.iter();
        rooms
            .filter(move |(_, room)| need.fits(*room))
            .map(|(key, _)| *key)
    }

    /// Notes that a worker has less room than before.
    pub(super) fn take(&mut self, worker: WorkerKey, left: Resources) {
        if let Some((_, room)) = self.rooms.iter_mut().find(|(key, _)| *key == worker) {
            *room = left;
            self.is_bound_stale = true;
        }
    }

    /// Notes that a search has found no worker, and determines anew what fits. A failure for a need with constraints
    /// tells nothing about other needs.
    pub(super) fn search_failed(&mut self, need: Resources, is_unconstrained: bool) {
        if std::mem::take(&mut self.is_bound_stale) {
            self.find_largest();
        }
        if is_unconstrained {
            self.unplaceable = Some(need);
        }
    }

    fn find_largest(&mut self) {
        self.largest.clear();
        for (_, room) in &self.rooms {
            // A room that contains others often contains the next ones, too.
            if let Some(index) = self.largest.iter().position(|other| room.fits(*other)) {
                self.largest.swap(0, index);
                continue;
            }
            self.largest.retain(|other| !other.fits(*room));
            self.largest.push(*room);
        }
    }
}
