//! Recent load of one pool.

use std::collections::VecDeque;

use super::{PoolSnapshot, SpareSettings, Usage, WARM_UP_MS};
use crate::prelude::*;

const PPM: u64 = 1_000_000;

/// Number of instances that a pool requires now and required lately.
#[derive(Debug)]
pub(super) struct PoolLoad {
    /// When the policy first saw the pool.
    first_seen: Millis,
    usage_known: bool,
    /// Instances that it borrowed and has not given away.
    pub(super) borrowed: u32,
    required: u32,
    shortage_since: Option<Millis>,
    /// Monotonic queue for the maximum of `required` within the window: times rise and values fall
    /// strictly, so the number of entries is bounded by the largest value.
    peaks: VecDeque<(Millis, u32)>,
}

impl PoolLoad {
    pub(super) const fn new(now: Millis) -> Self {
        Self {
            first_seen: now,
            usage_known: false,
            borrowed: 0,
            required: 0,
            shortage_since: None,
            peaks: VecDeque::new(),
        }
    }

    pub(super) fn observe_usage(
        &mut self,
        pool: &PoolSnapshot,
        settings: &SpareSettings,
        now: Millis,
    ) {
        let Usage::Known { busy, queued } = pool.usage else {
            self.usage_known = false;
            self.shortage_since = None;
            return;
        };
        self.usage_known = true;
        let limits = pool.limits;
        let instances = required_instances(busy, queued, pool.slots_per_instance, settings);
        self.required = instances
            .max(limits.min_instances)
            .min(limits.max_instances.max(limits.min_instances));
        let count = u32::try_from(pool.assigned.len()).unwrap_or(u32::MAX);
        // Arriving instances do not count here: until they serve, the shortage lasts and the pool
        // must not give instances away.
        if count < self.required {
            self.shortage_since.get_or_insert(now);
        } else {
            self.shortage_since = None;
        }
        self.record_peak(now, settings.release_window_ms);
    }

    fn record_peak(&mut self, now: Millis, window_ms: u64) {
        while self
            .peaks
            .back()
            .is_some_and(|(_, required)| *required <= self.required)
        {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, self.required));
        while self
            .peaks
            .front()
            .is_some_and(|(at, _)| now.ms_since(*at) > window_ms)
        {
            self.peaks.pop_front();
        }
    }

    pub(super) const fn required(&self) -> u32 {
        self.required
    }

    pub(super) const fn has_shortage(&self) -> bool {
        self.shortage_since.is_some()
    }

    pub(super) fn may_borrow(&self, settings: &SpareSettings, now: Millis) -> bool {
        self.usage_known
            && self
                .shortage_since
                .is_some_and(|since| now.ms_since(since) >= settings.borrow_delay_ms)
    }

    /// Returns the largest number of instances required within the release window, or none while it
    /// is not known. The spare pool lends as soon as the warm-up has ended, other pools after a whole
    /// window.
    pub(super) fn recent_requirement(
        &self,
        settings: &SpareSettings,
        spare: bool,
        now: Millis,
    ) -> Option<u32> {
        let min_age_ms = if spare {
            WARM_UP_MS
        } else {
            settings.release_window_ms.max(WARM_UP_MS)
        };
        if !self.usage_known || now.ms_since(self.first_seen) < min_age_ms {
            return None;
        }
        self.peaks.front().map(|(_, required)| *required)
    }
}

fn required_instances(busy: u32, queued: u32, slots: u32, settings: &SpareSettings) -> u32 {
    let slots_used = u64::from(busy) + u64::from(queued);
    let with_headroom = slots_used * (PPM + settings.headroom_ppm);
    let required_instances = with_headroom.div_ceil(u64::from(slots.max(1)) * PPM);
    u32::try_from(required_instances).unwrap_or(u32::MAX)
}
