//! Measured service times of a work class.

use crate::prelude::*;
use crate::recent::WindowedExtreme;

/// Mean assumed until the first request of a class has ended.
const INITIAL_MEAN_MS: f64 = 50.0;
/// Weights of a new sample in the moving averages, as in the round-trip estimate of TCP (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const HIGH_DEVIATIONS: f64 = 4.0;
const LOW_WINDOW_MS: u64 = 5_000;
/// Lower bound of the mean. The clock has a resolution of 1 ms, so shorter times are measured as 0,
/// but holding a slot always has a cost.
const MEAN_MIN_MS: f64 = 0.5;

/// Estimate of how long requests of one class hold a slot.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    mean_ms: Option<f64>,
    deviation_ms: f64,
    low: WindowedExtreme,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            mean_ms: None,
            deviation_ms: 0.0,
            low: WindowedExtreme::smallest(LOW_WINDOW_MS),
        }
    }
}

impl ServiceTime {
    /// Records how long a request held its slot until the complete response.
    pub fn record_complete(&mut self, held_ms: u64, now: Millis) {
        self.record_incomplete(held_ms);
        self.low.record(held_ms, now);
    }

    /// Records how long a request held its slot without a complete response. Such a sample does not
    /// affect [`Self::min_response_ms`], because it gives no information on how soon a response can
    /// arrive.
    #[expect(
        clippy::cast_precision_loss,
        reason = "service times are far below 2^52 ms"
    )]
    pub fn record_incomplete(&mut self, held_ms: u64) {
        let sample_ms = held_ms as f64;
        let Some(mean_ms) = self.mean_ms else {
            self.mean_ms = Some(sample_ms);
            self.deviation_ms = sample_ms / 2.0;
            return;
        };
        let error_ms = sample_ms - mean_ms;
        self.deviation_ms += (error_ms.abs() - self.deviation_ms) * DEVIATION_WEIGHT;
        self.mean_ms = Some(mean_ms + error_ms * MEAN_WEIGHT);
    }

    /// Returns the moving average over recent requests.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms.unwrap_or(INITIAL_MEAN_MS).max(MEAN_MIN_MS)
    }

    /// Returns a time that few requests exceed; infinite before the first sample.
    #[must_use]
    pub fn upper_estimate_ms(&self) -> f64 {
        self.mean_ms.map_or(f64::INFINITY, |mean_ms| {
            mean_ms + HIGH_DEVIATIONS * self.deviation_ms
        })
    }

    /// Returns the shortest recent time to a complete response; 0 if there is no recent one, so
    /// that no request is refused because of an outdated measurement.
    #[must_use]
    pub fn min_response_ms(&self, now: Millis) -> u64 {
        self.low.get(now).unwrap_or(0)
    }
}
