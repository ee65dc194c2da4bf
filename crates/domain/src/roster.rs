//! Tracks the instances listed by the platform and limits the damage that a faulty list can do.
//!
//! The list is eventually consistent, can omit an instance in a single read, and can be empty
//! because of a fault. A marker in an entry, such as *leaving*, takes effect at once, but a missing
//! entry must be confirmed by further reads. If more than half of a pool is missing, more reads are
//! required, because an empty list is more often a fault of the list than the loss of the pool, and
//! lost instances are ejected anyway when they do not respond.

use crate::prelude::*;

/// Consecutive reads without an instance before it is removed.
const UNLISTED_READS: u32 = 2;
/// Consecutive reads without an instance before it is removed, if more than half of its pool was
/// missing in one of them.
const BULK_UNLISTED_READS: u32 = 30;

/// An entry of the platform's list.
pub trait ListEntry: Clone {
    /// Returns the name, which is unique on the platform.
    fn name(&self) -> &Arc<str>;

    /// Returns the pool of the instance.
    fn pool(&self) -> &Arc<str>;
}

#[derive(Clone, Debug)]
struct Known<T> {
    entry: T,
    /// Number of consecutive reads without it.
    unlisted_reads: u32,
    /// Whether more than half of its pool was missing in one of these reads.
    bulk_unlisted: bool,
}

/// The instances that are assumed to exist.
#[derive(Clone, Debug)]
pub struct InstanceRoster<T> {
    known: FastMap<Arc<str>, Known<T>>,
}

impl<T> Default for InstanceRoster<T> {
    fn default() -> Self {
        Self {
            known: FastMap::default(),
        }
    }
}

impl<T: ListEntry> InstanceRoster<T> {
    /// Records a read of the complete list. If several entries have the same name, the first is
    /// used.
    pub fn apply_list(&mut self, entries: Vec<T>) {
        for known in self.known.values_mut() {
            known.unlisted_reads += 1;
        }
        let mut seen: FastSet<Arc<str>> = FastSet::default();
        for entry in entries {
            let name = Arc::clone(entry.name());
            if seen.insert(Arc::clone(&name)) {
                let known = Known {
                    entry,
                    unlisted_reads: 0,
                    bulk_unlisted: false,
                };
                self.known.insert(name, known);
            }
        }
        let bulk_unlisted_pools = self.pools_mostly_unlisted();
        self.known.retain(|_, known| {
            known.bulk_unlisted |=
                known.unlisted_reads > 0 && bulk_unlisted_pools.contains(known.entry.pool());
            let required_reads = if known.bulk_unlisted {
                BULK_UNLISTED_READS
            } else {
                UNLISTED_READS
            };
            known.unlisted_reads < required_reads
        });
    }

    fn pools_mostly_unlisted(&self) -> FastSet<Arc<str>> {
        let mut pools: FastMap<Arc<str>, (usize, usize)> = FastMap::default();
        for known in self.known.values() {
            let (all, unlisted) = pools.entry(Arc::clone(known.entry.pool())).or_default();
            *all += 1;
            *unlisted += usize::from(known.unlisted_reads > 0);
        }
        let mostly_unlisted = pools
            .into_iter()
            .filter(|(_, (all, unlisted))| unlisted * 2 > *all);
        mostly_unlisted.map(|(pool, _)| pool).collect()
    }

    /// Returns the instances, sorted by name.
    #[must_use]
    pub fn entries(&self) -> Vec<T> {
        let mut entries: Vec<T> = self
            .known
            .values()
            .map(|known| known.entry.clone())
            .collect();
        entries.sort_by(|one, other| one.name().cmp(other.name()));
        entries
    }

    /// Returns the names of the instances that were missing from the last read.
    #[must_use]
    pub fn unlisted(&self) -> Vec<Arc<str>> {
        let known = self
            .known
            .iter()
            .filter(|(_, known)| known.unlisted_reads > 0);
        let mut names: Vec<Arc<str>> = known.map(|(name, _)| Arc::clone(name)).collect();
        names.sort();
        names
    }
}
