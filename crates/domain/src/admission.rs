//! Admission control: early refusal of requests whose deadline cannot be met.
//!
//! Every rule errs towards admission, because a request that is admitted by mistake can still be
//! refused correctly before it is sent. An empty queue admits everything, a queue counts only after
//! it has been non-empty for some time, slots that were usable recently count as usable, and the
//! estimated wait is scaled down.

use crate::prelude::*;
use crate::recent::WindowedExtreme;
use crate::request::{ClassIndex, RequestInfo};

/// Minimum time for which a queue must be non-empty before it counts. After an idle period a burst
/// finds few slots until peers have lent theirs, which takes several round trips.
const STANDING_QUEUE_MIN_MS: u64 = 100;
const USABLE_WINDOW_MS: u64 = 1_000;
/// Fraction of the estimated wait that is used to decide on admission.
const WAIT_FACTOR: f64 = 0.75;
/// Caps the assumed response time at the total time of the request divided by this, so that a
/// request may wait in the queue for half of its time however slow its class was measured to be.
const RESPONSE_TIME_DIVISOR: u64 = 2;
const RETRY_AFTER_MIN_MS: u64 = 1_000;
const RETRY_AFTER_MAX_MS: u64 = 60_000;

/// Measurements used for the admission decision.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of requests that will be sent before this one.
    pub requests_ahead: usize,
    /// Fraction of the slots that serve them.
    pub slot_fraction: f64,
    /// Mean time that a request holds a slot.
    pub mean_ms: f64,
    /// Shortest recent response time.
    pub min_response_ms: u64,
}

/// State of admission control for one service.
#[derive(Clone, Debug)]
pub struct Admission {
    usable: WindowedExtreme,
    standing_since: Vec<Option<Millis>>,
}

impl Admission {
    /// Creates the state for a number of work classes.
    #[must_use]
    pub fn new(classes: usize) -> Self {
        Self {
            usable: WindowedExtreme::largest(USABLE_WINDOW_MS),
            standing_since: vec![None; classes],
        }
    }

    /// Records the usable slots and the queue length of a class.
    pub fn observe(&mut self, class: ClassIndex, queued: usize, usable: u32, now: Millis) {
        self.usable.record(u64::from(usable), now);
        if let Some(since) = self.standing_since.get_mut(usize::from(class.0)) {
            *since = match queued {
                0 => None,
                _ => Some(since.unwrap_or(now)),
            };
        }
    }

    /// Returns the estimated wait in the queue; `None` if no slot is usable or was usable recently.
    #[must_use]
    pub fn wait_ms(&self, load: &Load, now: Millis) -> Option<u64> {
        let usable = self.usable.get(now).filter(|slots| *slots > 0)?;
        Some(wait_ms(load, usable))
    }

    /// Returns whether the response to a new request can arrive before its deadline.
    #[must_use]
    pub fn is_reachable(&self, info: &RequestInfo, load: &Load, now: Millis) -> bool {
        let since = self.standing_since.get(usize::from(info.class.0)).copied();
        let is_standing = since
            .flatten()
            .is_some_and(|since| now.ms_since(since) >= STANDING_QUEUE_MIN_MS);
        let Some(wait_ms) = self.wait_ms(load, now) else {
            return true;
        };
        !is_standing
            || now
                .after_ms(scale_wait(wait_ms))
                .after_ms(load.min_response_ms)
                < info.deadline
    }

    /// Returns how long a caller should wait before it sends a refused request again.
    #[must_use]
    pub fn retry_after_ms(&self, load: &Load, now: Millis) -> u64 {
        self.wait_ms(load, now)
            .unwrap_or(RETRY_AFTER_MIN_MS)
            .clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
    }
}

/// Returns the time after which a queued request can no longer be answered before its deadline.
#[must_use]
pub fn latest_start(info: &RequestInfo, min_response_ms: u64) -> Millis {
    let total_ms = info.deadline.ms_since(info.arrived);
    let needed_ms = min_response_ms.min(total_ms / RESPONSE_TIME_DIVISOR);
    Millis::from_ms(info.deadline.as_ms().saturating_sub(needed_ms))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and waits are far below 2^52, and none is negative"
)]
fn wait_ms(load: &Load, usable: u64) -> u64 {
    let slots = (usable as f64 * load.slot_fraction).max(f64::MIN_POSITIVE);
    (load.requests_ahead as f64 * load.mean_ms / slots) as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "waits are far below 2^52 ms and not negative"
)]
fn scale_wait(wait_ms: u64) -> u64 {
    (wait_ms as f64 * WAIT_FACTOR) as u64
}
