//! The instances that the platform lists, with bounds on what a faulty list can do.
//!
//! The list lags, can lack an instance in one read, and can be empty by a fault. A mark in an
//! entry, such as *leaving*, is obeyed at once; the lack of an entry must be confirmed by further
//! reads. The lack of more than half of a pool must be confirmed for longer, since an empty list is
//! more often a fault of the list than the loss of the pool, and lost instances are ejected anyway
//! when they do not respond.

use crate::prelude::*;

/// Successive reads that must lack an instance before it is removed.
const ABSENT_READS: u32 = 2;
/// Successive reads that must lack more than half of a pool before any of it is removed.
const MASS_ABSENT_READS: u32 = 30;

/// An entry of the list.
pub trait Listed: Clone {
    /// Name, unique in the platform.
    fn name(&self) -> &Arc<str>;

    /// Pool of the instance.
    fn pool(&self) -> &Arc<str>;
}

#[derive(Clone, Debug)]
struct Known<T> {
    entry: T,
    /// Successive reads that lacked it.
    absent: u32,
    /// Whether more than half of its pool was missing in one of these reads.
    mass: bool,
}

/// The instances that are taken to exist.
#[derive(Clone, Debug)]
pub struct Roster<T> {
    known: FastMap<Arc<str>, Known<T>>,
}

impl<T> Default for Roster<T> {
    fn default() -> Self {
        Self {
            known: FastMap::default(),
        }
    }
}

impl<T: Listed> Roster<T> {
    /// Records a read of the whole list. Of entries with the same name, the first counts.
    pub fn read(&mut self, entries: Vec<T>) {
        for known in self.known.values_mut() {
            known.absent += 1;
        }
        let mut seen: FastSet<Arc<str>> = FastSet::default();
        for entry in entries {
            let name = Arc::clone(entry.name());
            if seen.insert(Arc::clone(&name)) {
                let known = Known {
                    entry,
                    absent: 0,
                    mass: false,
                };
                self.known.insert(name, known);
            }
        }
        let mass = self.pools_mostly_absent();
        self.known.retain(|_, known| {
            known.mass |= known.absent > 0 && mass.contains(known.entry.pool());
            let reads = if known.mass {
                MASS_ABSENT_READS
            } else {
                ABSENT_READS
            };
            known.absent < reads
        });
    }

    fn pools_mostly_absent(&self) -> FastSet<Arc<str>> {
        let mut pools: FastMap<Arc<str>, (usize, usize)> = FastMap::default();
        for known in self.known.values() {
            let (all, absent) = pools.entry(Arc::clone(known.entry.pool())).or_default();
            *all += 1;
            *absent += usize::from(known.absent > 0);
        }
        let mostly = pools
            .into_iter()
            .filter(|(_, (all, absent))| absent * 2 > *all);
        mostly.map(|(pool, _)| pool).collect()
    }

    /// The instances, by name.
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

    /// Names of the instances that the last read lacked.
    #[must_use]
    pub fn absent(&self) -> Vec<Arc<str>> {
        let known = self.known.iter().filter(|(_, known)| known.absent > 0);
        let mut names: Vec<Arc<str>> = known.map(|(name, _)| Arc::clone(name)).collect();
        names.sort();
        names
    }
}
