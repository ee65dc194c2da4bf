//! Early refusal of requests whose deadline cannot be met.
//!
//! Each rule errs towards admission, since a request that is admitted wrongly is still refused
//! truthfully before it is sent: an empty queue admits everything, a queue must stand for a while,
//! slots that were usable a moment ago count, and the wait is scaled down.

use crate::prelude::*;
use crate::recent::Recent;
use crate::request::{ClassIndex, RequestInfo};

/// A burst at rest finds few slots until peers have lent theirs, which takes some round trips.
const STANDING_QUEUE_MS: u64 = 100;
const USABLE_WINDOW_MS: u64 = 1_000;
/// Part of the expected wait that is held against a request.
const WAIT_PART: f64 = 0.75;
/// A request stays queued for at least this part of its time, however slow its class was measured.
const LIFE_DIVISOR: u64 = 2;
const RETRY_AFTER_MIN_MS: u64 = 1_000;
const RETRY_AFTER_MAX_MS: u64 = 60_000;

/// Measurements that a verdict rests on.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests that are sent before the one in question.
    pub ahead: usize,
    /// Part of the slots that serve them.
    pub part: f64,
    /// Mean slot time of a request.
    pub mean_ms: f64,
    /// Shortest recent time to a response.
    pub low_ms: u64,
}

/// State of admission.
#[derive(Clone, Debug)]
pub struct Admission {
    usable: Recent,
    standing_since: Vec<Option<Millis>>,
}

impl Admission {
    /// State for a number of classes.
    #[must_use]
    pub fn new(classes: usize) -> Self {
        Self {
            usable: Recent::largest(USABLE_WINDOW_MS),
            standing_since: vec![None; classes],
        }
    }

    /// Follows the usable slots and the queue of a class.
    pub fn observe(&mut self, class: ClassIndex, queued: usize, usable: u32, now: Millis) {
        self.usable.record(u64::from(usable), now);
        if let Some(since) = self.standing_since.get_mut(usize::from(class.0)) {
            *since = match queued {
                0 => None,
                _ => Some(since.unwrap_or(now)),
            };
        }
    }

    /// Expected wait in the queue; `None` while no slot is or was lately usable.
    #[must_use]
    pub fn wait_ms(&self, load: &Load, now: Millis) -> Option<u64> {
        let usable = self.usable.get(now).filter(|slots| *slots > 0)?;
        Some(wait_ms(load, usable))
    }

    /// Whether the response of a new request can arrive in time.
    #[must_use]
    pub fn is_reachable(&self, info: &RequestInfo, load: &Load, now: Millis) -> bool {
        let since = self.standing_since.get(usize::from(info.class.0)).copied();
        let is_standing = since
            .flatten()
            .is_some_and(|since| now.ms_since(since) >= STANDING_QUEUE_MS);
        let Some(wait_ms) = self.wait_ms(load, now) else {
            return true;
        };
        !is_standing || now.after_ms(scaled(wait_ms)).after_ms(load.low_ms) < info.deadline
    }

    /// How long a caller should wait before it sends a refused request again.
    #[must_use]
    pub fn retry_after_ms(&self, load: &Load, now: Millis) -> u64 {
        self.wait_ms(load, now)
            .unwrap_or(RETRY_AFTER_MIN_MS)
            .clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
    }
}

/// The point from which a queued request can no longer be answered in time.
#[must_use]
pub fn latest_start(info: &RequestInfo, low_ms: u64) -> Millis {
    let life_ms = info.deadline.ms_since(info.arrived);
    let needed_ms = low_ms.min(life_ms / LIFE_DIVISOR);
    Millis::from_ms(info.deadline.as_ms().saturating_sub(needed_ms))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and waits are far below 2^52, and none is negative"
)]
fn wait_ms(load: &Load, usable: u64) -> u64 {
    let slots = (usable as f64 * load.part).max(f64::MIN_POSITIVE);
    (load.ahead as f64 * load.mean_ms / slots) as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "waits are far below 2^52 ms and not negative"
)]
fn scaled(wait_ms: u64) -> u64 {
    (wait_ms as f64 * WAIT_PART) as u64
}
