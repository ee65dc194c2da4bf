//! Retries: the retry budget, the attempt time limit, and the requests that wait for a retry.

use std::collections::VecDeque;

use crate::prelude::*;

/// Cost of one retry. The unit of the budget is a millionth of a retry.
const RETRY_COST: u64 = 1_000_000;
/// Minimum reserve, in retries. Without it, a service with little traffic could not retry at all.
const RESERVE_MIN_RETRIES: u64 = 16;
const BACKOFF_MIN_MS: u64 = 20;
const BACKOFF_MAX_MS: u64 = 320;

/// Limits retries to a fraction of the first attempts, plus a reserve.
///
/// Over any period, the number of retries is at most the reserve plus this fraction of the first
/// attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share_ppm: u64,
    reserve: u64,
    balance: u64,
}

impl RetryBudget {
    /// Creates a budget with a full reserve.
    #[must_use]
    pub const fn new(share_ppm: u32) -> Self {
        Self {
            share_ppm: share_ppm as u64,
            reserve: RESERVE_MIN_RETRIES,
            balance: RESERVE_MIN_RETRIES * RETRY_COST,
        }
    }

    /// Replaces the fraction; the current balance is kept.
    pub fn set_share(&mut self, share_ppm: u32) {
        self.share_ppm = u64::from(share_ppm);
    }

    /// Sets the reserve to the number of slots of the pool, because a lost zone or a short overload
    /// can fail that many exchanges at once.
    pub fn set_slots(&mut self, slots: u64) {
        let reserve = slots.max(RESERVE_MIN_RETRIES);
        let grown = reserve.saturating_sub(self.reserve);
        self.reserve = reserve;
        self.balance = (self.balance + grown * RETRY_COST).min(reserve * RETRY_COST);
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.share_ppm).min(self.reserve * RETRY_COST);
    }

    /// Returns whether the budget permits a retry.
    #[must_use]
    pub const fn has_retry(&self) -> bool {
        self.balance >= RETRY_COST
    }

    /// Takes one retry out of the budget; returns false if the budget is exhausted.
    pub fn try_spend(&mut self) -> bool {
        let Some(rest) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = rest;
        true
    }
}

/// The time limit of an attempt, as a multiple of the slowest recent response.
const ATTEMPT_LIMIT_MULTIPLE: u64 = 3;
const ATTEMPT_LIMIT_MIN_MS: u64 = 250;
/// A response counts as recent for one to two periods of this length.
const RECENT_PERIOD_MS: u64 = 30_000;

/// Adaptive time limit of an attempt of a repeatable request, after which it is retried.
///
/// Without it, an unresponsive connection would use up the whole deadline. The limit is derived
/// from measured response times because declared run times are often far off. An attempt that
/// reaches the limit raises it, so that slow requests are not cancelled repeatedly.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptTimeLimit {
    period_start: Millis,
    slowest_ms: Option<u64>,
    previous_slowest_ms: Option<u64>,
}

impl AttemptTimeLimit {
    /// Records the duration of a response or of a cancelled attempt.
    pub fn record(&mut self, duration_ms: u64, now: Millis) {
        let age_ms = now.ms_since(self.period_start);
        if age_ms >= RECENT_PERIOD_MS {
            let previous = self.slowest_ms.take();
            self.previous_slowest_ms = previous.filter(|_| age_ms < 2 * RECENT_PERIOD_MS);
            self.period_start = now;
        }
        self.slowest_ms = self.slowest_ms.max(Some(duration_ms));
    }

    /// Returns the time limit of an attempt that starts now; the deadline if nothing was measured.
    #[must_use]
    pub fn limit(&self, deadline: Millis, now: Millis) -> Millis {
        let slowest = self.slowest_ms.max(self.previous_slowest_ms);
        let Some(slowest_ms) = slowest else {
            return deadline;
        };
        let limit_ms = (slowest_ms * ATTEMPT_LIMIT_MULTIPLE).max(ATTEMPT_LIMIT_MIN_MS);
        deadline.min(now.after_ms(limit_ms))
    }
}

/// A request that waits for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// The request.
    pub request: RequestKey,
    /// The instance of the failed attempt.
    pub failed_instance: InstanceKey,
    /// Time from which the instance of the failed attempt may be used again.
    pub same_instance_from: Millis,
}

impl Retry {
    /// Creates a retry after the given number of failed attempts. Another instance may be used at
    /// once, the same one only after a backoff that doubles with each attempt.
    #[must_use]
    pub fn after(
        request: RequestKey,
        failed_instance: InstanceKey,
        failed_attempts: u32,
        now: Millis,
    ) -> Self {
        let doublings = failed_attempts.saturating_sub(1).min(8);
        let backoff_ms = (BACKOFF_MIN_MS << doublings).min(BACKOFF_MAX_MS);
        Self {
            request,
            failed_instance,
            same_instance_from: now.after_ms(backoff_ms),
        }
    }

    /// Returns whether the retry may use the instance now.
    #[must_use]
    pub fn allows(&self, instance: InstanceKey, now: Millis) -> bool {
        instance != self.failed_instance || now >= self.same_instance_from
    }
}

/// Queue of requests that wait for a retry, oldest first. The retry budget bounds its length,
/// because each entry has taken one retry out of the budget.
#[derive(Clone, Debug, Default)]
pub struct RetryQueue {
    waiting: VecDeque<Retry>,
}

impl RetryQueue {
    /// Adds a retry.
    pub fn push(&mut self, retry: Retry) {
        self.waiting.push_back(retry);
    }

    /// Removes a request; returns false if it is not in the queue.
    pub fn remove(&mut self, request: RequestKey) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|retry| retry.request != request);
        self.waiting.len() < before
    }

    /// Iterates over the retries, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Retry> {
        self.waiting.iter()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
