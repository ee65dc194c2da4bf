//! Index that finds a worker with enough free resources without a scan of all workers.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

use slotmap::Key;

use crate::prelude::*;

use super::resources::Resources;

/// Workers ordered by free accelerators, then by the power of two of their free memory, then by
/// free processors. A search prefers the fewest free accelerators, so that completely free workers
/// are kept for large jobs.
#[derive(Debug, Default)]
pub(super) struct FitIndex {
    buckets: BTreeMap<(u64, u32), BTreeSet<(u64, WorkerKey)>>,
    free_resources: SecondaryMap<WorkerKey, Resources>,
}

const fn memory_class(memory_mb: u64) -> u32 {
    u64::BITS - memory_mb.leading_zeros()
}

impl FitIndex {
    /// Sets the free resources of a worker, or removes the worker.
    pub(super) fn set(&mut self, worker: WorkerKey, free: Option<Resources>) {
        if self.free_resources.get(worker).copied() == free {
            return;
        }
        if let Some(old) = self.free_resources.remove(worker) {
            let bucket = (old.accelerators, memory_class(old.memory_mb));
            if let Some(workers) = self.buckets.get_mut(&bucket) {
                workers.remove(&(old.processors_milli, worker));
                if workers.is_empty() {
                    self.buckets.remove(&bucket);
                }
            }
        }
        let Some(free) = free else { return };
        let bucket = (free.accelerators, memory_class(free.memory_mb));
        let workers = self.buckets.entry(bucket).or_default();
        workers.insert((free.processors_milli, worker));
        self.free_resources.insert(worker, free);
    }

    /// The best-fitting worker that satisfies `allowed`.
    pub(super) fn find(
        &self,
        need: Resources,
        allowed: impl Fn(WorkerKey) -> bool,
    ) -> Option<WorkerKey> {
        let class = memory_class(need.memory_mb);
        // The null key sorts after all others, so every worker with exactly `need` is included.
        let below = need.processors_milli.checked_sub(1);
        let from = below.map_or(Unbounded, |below| Excluded((below, WorkerKey::null())));
        let buckets = self.buckets.range((need.accelerators, 0)..);
        buckets
            .filter(|((_, memory), _)| *memory >= class)
            .flat_map(|(_, workers)| workers.range((from, Unbounded)))
            .map(|(_, worker)| *worker)
            .find(|worker| {
                let free = self.free_resources.get(*worker);
                free.is_some_and(|free| need.fits(*free)) && allowed(*worker)
            })
    }
}
