//! The recent need of one pool.

use std::collections::VecDeque;

use super::{PoolState, SpareSettings, Usage, WARM_UP_MS};
use crate::prelude::*;

const PPM: u64 = 1_000_000;

/// What a pool needs now and needed lately.
#[derive(Debug)]
pub(super) struct PoolLoad {
    /// Since when the pool has been known.
    since: Millis,
    known: bool,
    /// Instances that it got in bursts and has not given away.
    pub(super) borrowed: u32,
    wanted: u32,
    short_since: Option<Millis>,
    /// Peaks of the need: times rise and needs fall strictly, so the number of entries is bounded
    /// by the largest need.
    peaks: VecDeque<(Millis, u32)>,
}

impl PoolLoad {
    pub(super) const fn new(now: Millis) -> Self {
        Self {
            since: now,
            known: false,
            borrowed: 0,
            wanted: 0,
            short_since: None,
            peaks: VecDeque::new(),
        }
    }

    pub(super) fn observe(&mut self, pool: &PoolState, settings: &SpareSettings, now: Millis) {
        let Usage::Known { busy, queued } = pool.usage else {
            self.known = false;
            self.short_since = None;
            return;
        };
        self.known = true;
        let limits = pool.limits;
        let need = needed(busy, queued, pool.slots_per_instance, settings);
        self.wanted = need
            .max(limits.min_instances)
            .min(limits.max_instances.max(limits.min_instances));
        let count = u32::try_from(pool.assigned.len()).unwrap_or(u32::MAX);
        // Arriving instances do not count here: until they serve, the pool is still short and must
        // not be asked to give.
        if count < self.wanted {
            self.short_since.get_or_insert(now);
        } else {
            self.short_since = None;
        }
        self.keep_peak(now, settings.rest_window_ms);
    }

    fn keep_peak(&mut self, now: Millis, window_ms: u64) {
        while self
            .peaks
            .back()
            .is_some_and(|(_, wanted)| *wanted <= self.wanted)
        {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, self.wanted));
        while self
            .peaks
            .front()
            .is_some_and(|(at, _)| now.ms_since(*at) > window_ms)
        {
            self.peaks.pop_front();
        }
    }

    pub(super) const fn wanted(&self) -> u32 {
        self.wanted
    }

    pub(super) const fn is_short(&self) -> bool {
        self.short_since.is_some()
    }

    pub(super) fn borrows(&self, settings: &SpareSettings, now: Millis) -> bool {
        self.known
            && self
                .short_since
                .is_some_and(|since| now.ms_since(since) >= settings.borrow_hold_ms)
    }

    /// The largest need within the rest window; none while it is not known. The spare pool lends
    /// from the end of the warm-up on, other pools after a whole window.
    pub(super) fn needed_recently(
        &self,
        settings: &SpareSettings,
        spare: bool,
        now: Millis,
    ) -> Option<u32> {
        let seen_ms = if spare {
            WARM_UP_MS
        } else {
            settings.rest_window_ms.max(WARM_UP_MS)
        };
        if !self.known || now.ms_since(self.since) < seen_ms {
            return None;
        }
        self.peaks.front().map(|(_, wanted)| *wanted)
    }
}

fn needed(busy: u32, queued: u32, slots: u32, settings: &SpareSettings) -> u32 {
    let slots_used = u64::from(busy) + u64::from(queued);
    let with_headroom = slots_used * (PPM + settings.headroom_ppm);
    let needed = with_headroom.div_ceil(u64::from(slots.max(1)) * PPM);
    u32::try_from(needed).unwrap_or(u32::MAX)
}
