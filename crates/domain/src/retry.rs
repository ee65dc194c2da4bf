//! Retries: the budget, and the requests that wait for another try.

use std::collections::VecDeque;

use crate::prelude::*;

/// Cost of one retry in the budget's unit, a millionth of a retry.
const RETRY_COST: u64 = 1_000_000;
/// Retries that a service may always have saved up, so that a service with little traffic can
/// retry at all.
const RESERVE_MIN: u64 = 16;
const FIRST_PAUSE_MS: u64 = 20;
const PAUSE_MAX_MS: u64 = 320;

/// Limits retries to a share of the first tries, plus a reserve.
///
/// Over any period, retries are at most the reserve plus the share of the first tries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share_ppm: u64,
    reserve: u64,
    balance: u64,
}

impl RetryBudget {
    /// A budget with a full reserve.
    #[must_use]
    pub const fn new(share_ppm: u32) -> Self {
        Self {
            share_ppm: share_ppm as u64,
            reserve: RESERVE_MIN,
            balance: RESERVE_MIN * RETRY_COST,
        }
    }

    /// Replaces the share; what was saved stays.
    pub fn set_share(&mut self, share_ppm: u32) {
        self.share_ppm = u64::from(share_ppm);
    }

    /// Sets the reserve for a pool with this many slots, since a lost zone or a short overload
    /// returns the exchanges of that many at once.
    pub fn set_slots(&mut self, slots: u64) {
        let reserve = slots.max(RESERVE_MIN);
        let grown = reserve.saturating_sub(self.reserve);
        self.reserve = reserve;
        self.balance = (self.balance + grown * RETRY_COST).min(reserve * RETRY_COST);
    }

    /// Records a first try.
    pub fn first_try(&mut self) {
        self.balance = (self.balance + self.share_ppm).min(self.reserve * RETRY_COST);
    }

    /// Whether a retry would be granted now.
    #[must_use]
    pub const fn has_retry(&self) -> bool {
        self.balance >= RETRY_COST
    }

    /// Takes one retry out of the budget; false if there is none.
    pub fn take(&mut self) -> bool {
        let Some(rest) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = rest;
        true
    }
}

/// A try is given up early after this multiple of the slowest recent response.
const TRY_LIMIT_MULTIPLE: u64 = 3;
const TRY_LIMIT_MIN_MS: u64 = 250;
/// A response counts as recent for one to two of these periods.
const RECENT_PERIOD_MS: u64 = 30_000;

/// How long a try of repeatable work may take before another one is started.
///
/// A connection that went silent would otherwise use up the whole deadline. The limit follows the
/// measured responses, since declared run times are often far off, and a try that reaches it raises
/// it, so that slow work is not cut again and again.
#[derive(Clone, Copy, Debug, Default)]
pub struct TryTime {
    period_start: Millis,
    slowest_ms: Option<u64>,
    slowest_before_ms: Option<u64>,
}

impl TryTime {
    /// Records how long a response took, or a try that was given up.
    pub fn record(&mut self, duration_ms: u64, now: Millis) {
        let age_ms = now.ms_since(self.period_start);
        if age_ms >= RECENT_PERIOD_MS {
            let previous = self.slowest_ms.take();
            self.slowest_before_ms = previous.filter(|_| age_ms < 2 * RECENT_PERIOD_MS);
            self.period_start = now;
        }
        self.slowest_ms = self.slowest_ms.max(Some(duration_ms));
    }

    /// When a try that starts now is given up; the deadline if nothing is known.
    #[must_use]
    pub fn limit(&self, deadline: Millis, now: Millis) -> Millis {
        let slowest = self.slowest_ms.max(self.slowest_before_ms);
        let Some(slowest_ms) = slowest else {
            return deadline;
        };
        let limit_ms = (slowest_ms * TRY_LIMIT_MULTIPLE).max(TRY_LIMIT_MIN_MS);
        deadline.min(now.after_ms(limit_ms))
    }
}

/// A request that waits for another try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// The request.
    pub request: RequestKey,
    /// The instance of the failed try.
    pub avoid: InstanceKey,
    /// From this time on, the instance of the failed try may be used again.
    pub any_from: Millis,
}

impl Retry {
    /// A retry after the given number of failed tries. Another instance may be used at once; the
    /// same one only after a pause that grows with each try.
    #[must_use]
    pub fn after(request: RequestKey, avoid: InstanceKey, failed_tries: u32, now: Millis) -> Self {
        let doublings = failed_tries.saturating_sub(1).min(8);
        let pause_ms = (FIRST_PAUSE_MS << doublings).min(PAUSE_MAX_MS);
        Self {
            request,
            avoid,
            any_from: now.after_ms(pause_ms),
        }
    }

    /// Whether the retry may use the instance now.
    #[must_use]
    pub fn allows(&self, instance: InstanceKey, now: Millis) -> bool {
        instance != self.avoid || now >= self.any_from
    }
}

/// Requests that wait for another try, oldest first. The retry budget limits their number, since
/// each has taken one retry out of it.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    waiting: VecDeque<Retry>,
}

impl Retries {
    /// Adds a retry.
    pub fn push(&mut self, retry: Retry) {
        self.waiting.push_back(retry);
    }

    /// Forgets a request; `false` if it does not wait.
    pub fn remove(&mut self, request: RequestKey) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|retry| retry.request != request);
        self.waiting.len() < before
    }

    /// The retries, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Retry> {
        self.waiting.iter()
    }

    /// How many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
