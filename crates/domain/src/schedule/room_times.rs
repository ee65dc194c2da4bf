//! When workers are expected to have room for tasks of one need.

use crate::placement::Resources;

/// Expected times at which workers get room, with the number of tasks that fit from then on. There is at most one
/// entry for each end of a run and one for each worker, however small the need is.
#[derive(Clone, Debug)]
pub struct RoomTimes {
    need: Resources,
    /// Pairs of time and number of tasks.
    entries: Vec<(u64, u64)>,
}

impl RoomTimes {
    /// No room yet for tasks of this need.
    #[must_use]
    pub const fn new(need: Resources) -> Self {
        Self {
            need,
            entries: Vec::new(),
        }
    }

    /// Adds a worker with its free room and the runs on it: when each is expected to end, and what it frees.
    pub fn add_worker(&mut self, mut free: Resources, mut ends: Vec<(u64, Resources)>) {
        ends.sort_unstable_by_key(|(at_ms, _)| *at_ms);
        self.fill(&mut free, 0);
        for (at_ms, freed) in ends {
            free = free.plus(freed);
            self.fill(&mut free, at_ms);
        }
    }

    /// Gives the room to as many tasks as fit.
    fn fill(&mut self, free: &mut Resources, at_ms: u64) {
        // A need of nothing fits any number of times, so that no time can be told.
        let Some(tasks) = free.divided_by(self.need).filter(|tasks| *tasks > 0) else {
            return;
        };
        *free = free.minus(self.need.times(tasks));
        self.entries.push((at_ms, tasks));
    }

    /// Number of entries.
    #[must_use]
    pub const fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Time at which there has been room for one more task than `ahead`; `None` if the runs free too little.
    pub fn after(&mut self, ahead: u64) -> Option<u64> {
        self.entries.sort_unstable();
        let mut tasks: u64 = 0;
        let entry = self.entries.iter().find(|(_, count)| {
            tasks = tasks.saturating_add(*count);
            tasks > ahead
        });
        entry.map(|(at_ms, _)| *at_ms)
    }

    /// Time from which there is no more room than before.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.entries.iter().map(|(at_ms, _)| *at_ms).max()
    }
}
