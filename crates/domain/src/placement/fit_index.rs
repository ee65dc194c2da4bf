//! Finds a worker with room without looking at every worker.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

use slotmap::Key;

use crate::prelude::*;

use super::resources::Resources;

/// Workers by free accelerators, then by the power of two of their free memory, then by free
/// processors. A search prefers the fewest free accelerators, so that whole workers stay free.
#[derive(Debug, Default)]
pub(super) struct FitIndex {
    buckets: BTreeMap<(u64, u32), BTreeSet<(u64, WorkerKey)>>,
    rooms: SecondaryMap<WorkerKey, Resources>,
}

const fn memory_class(memory_mb: u64) -> u32 {
    u64::BITS - memory_mb.leading_zeros()
}

impl FitIndex {
    /// Sets or removes the room of a worker.
    pub(super) fn set(&mut self, worker: WorkerKey, room: Option<Resources>) {
        if self.rooms.get(worker).copied() == room {
            return;
        }
        if let Some(old) = self.rooms.remove(worker) {
            let bucket = (old.accelerators, memory_class(old.memory_mb));
            if let Some(workers) = self.buckets.get_mut(&bucket) {
                workers.remove(&(old.processors_milli, worker));
                if workers.is_empty() {
                    self.buckets.remove(&bucket);
                }
            }
        }
        let Some(room) = room else { return };
        let bucket = (room.accelerators, memory_class(room.memory_mb));
        let workers = self.buckets.entry(bucket).or_default();
        workers.insert((room.processors_milli, worker));
        self.rooms.insert(worker, room);
    }

    /// The worker with the least room that fits and that `allowed` takes.
    pub(super) fn find(
        &self,
        need: Resources,
        allowed: impl Fn(WorkerKey) -> bool,
    ) -> Option<WorkerKey> {
        let class = memory_class(need.memory_mb);
        // The null key sorts behind all others.
        let below = need.processors_milli.checked_sub(1);
        let from = below.map_or(Unbounded, |below| Excluded((below, WorkerKey::null())));
        let buckets = self.buckets.range((need.accelerators, 0)..);
        buckets
            .filter(|((_, memory), _)| *memory >= class)
            .flat_map(|(_, workers)| workers.range((from, Unbounded)))
            .map(|(_, worker)| *worker)
            .find(|worker| {
                let room = self.rooms.get(*worker);
                room.is_some_and(|room| need.fits(*room)) && allowed(*worker)
            })
    }
}
