//! How much work arrives for a service, and how much will arrive soon.

use crate::placement::Resources;
use crate::prelude::*;

/// Length of a bucket of arrivals.
const BUCKET_MS: u64 = 250;
/// Buckets of one average: long enough for a few jobs, short beside the 4 s in which a burst grows.
const AVERAGE_BUCKETS: usize = 4;
/// Buckets that are kept: two averages, for the slope between them.
const BUCKETS: usize = 2 * AVERAGE_BUCKETS;
/// How far ahead the work is estimated: a move takes 1.5 s, and its worker is used a little later.
const AHEAD_MS: u64 = 2_000;

/// Work that has arrived lately, in milliseconds of each resource.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadMeter {
    buckets: [Resources; BUCKETS],
    /// Bucket of the newest arrival, counted from the origin of the clock.
    newest: u64,
}

impl LoadMeter {
    /// Adds the work of a job.
    pub(super) fn add(&mut self, work: Resources, now: Millis) {
        self.turn(now);
        let index = (self.newest % BUCKETS as u64) as usize;
        self.buckets[index] = self.buckets[index].plus(work);
    }

    /// Empties the buckets since the newest arrival.
    fn turn(&mut self, now: Millis) {
        let current = now.as_ms() / BUCKET_MS;
        let passed = current.saturating_sub(self.newest).min(BUCKETS as u64);
        for bucket in 0..passed {
            let index = ((current - bucket) % BUCKETS as u64) as usize;
            self.buckets[index] = Resources::default();
        }
        self.newest = self.newest.max(current);
    }

    /// Resources that the arriving work will keep in use soon, if it goes on growing as it does.
    pub(super) fn expected(&mut self, now: Millis) -> Resources {
        self.turn(now);
        let average = |first: u64| {
            let sum = (first..first + AVERAGE_BUCKETS as u64)
                .filter_map(|age| self.newest.checked_sub(age))
                .map(|bucket| self.buckets[(bucket % BUCKETS as u64) as usize])
                .fold(Resources::default(), Resources::plus);
            divided(sum, AVERAGE_BUCKETS as u64 * BUCKET_MS)
        };
        let (recent, before) = (average(0), average(AVERAGE_BUCKETS as u64));
        let growth = recent.minus(before);
        let steps = AHEAD_MS / (AVERAGE_BUCKETS as u64 * BUCKET_MS);
        recent.plus(times(growth, steps))
    }
}

/// Each resource times a number.
pub(super) fn times(amount: Resources, factor: u64) -> Resources {
    Resources {
        processors_milli: amount.processors_milli * factor,
        memory_mb: amount.memory_mb * factor,
        accelerators: amount.accelerators * factor,
    }
}

fn divided(amount: Resources, divisor: u64) -> Resources {
    Resources {
        processors_milli: amount.processors_milli / divisor,
        memory_mb: amount.memory_mb / divisor,
        accelerators: amount.accelerators / divisor,
    }
}
