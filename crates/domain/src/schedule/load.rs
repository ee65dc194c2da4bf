//! Arrival rate of the work of a service, and its short-term forecast.

use crate::placement::Resources;
use crate::prelude::*;

/// Length of a bucket in the ring of arrivals.
const BUCKET_MS: u64 = 250;
/// Buckets per average: long enough for a few jobs, and short compared with the 4 s in which a
/// burst grows.
const AVERAGE_BUCKETS: usize = 4;
/// Buckets in the ring: two averages, to compute the slope between them.
const BUCKETS: usize = 2 * AVERAGE_BUCKETS;
/// Forecast horizon: moving an instance takes 1.5 s, and its worker is used a little later.
const FORECAST_MS: u64 = 2_000;

/// Recently arrived work, in milliseconds of each resource.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadForecast {
    buckets: [Resources; BUCKETS],
    /// Number of the newest bucket, counted from the origin of the clock.
    newest: u64,
}

impl LoadForecast {
    /// Adds the work of a job.
    pub(super) fn add(&mut self, work: Resources, now: Millis) {
        self.rotate(now);
        let index = (self.newest % BUCKETS as u64) as usize;
        self.buckets[index] = self.buckets[index].plus(work);
    }

    /// Clears the buckets that have begun since the newest one.
    fn rotate(&mut self, now: Millis) {
        let current = now.as_ms() / BUCKET_MS;
        let passed = current.saturating_sub(self.newest).min(BUCKETS as u64);
        for bucket in 0..passed {
            let index = ((current - bucket) % BUCKETS as u64) as usize;
            self.buckets[index] = Resources::default();
        }
        self.newest = self.newest.max(current);
    }

    /// Resources that arriving work will need at the forecast horizon, if its growth continues
    /// linearly.
    pub(super) fn forecast(&mut self, now: Millis) -> Resources {
        self.rotate(now);
        let average = |first: u64| {
            let sum = (first..first + AVERAGE_BUCKETS as u64)
                .filter_map(|age| self.newest.checked_sub(age))
                .map(|bucket| self.buckets[(bucket % BUCKETS as u64) as usize])
                .fold(Resources::default(), Resources::plus);
            divide(sum, AVERAGE_BUCKETS as u64 * BUCKET_MS)
        };
        let (recent, before) = (average(0), average(AVERAGE_BUCKETS as u64));
        let growth = recent.minus(before);
        let steps = FORECAST_MS / (AVERAGE_BUCKETS as u64 * BUCKET_MS);
        recent.plus(growth.times(steps))
    }
}

fn divide(amount: Resources, divisor: u64) -> Resources {
    Resources {
        processors_milli: amount.processors_milli / divisor,
        memory_mb: amount.memory_mb / divisor,
        accelerators: amount.accelerators / divisor,
    }
}
