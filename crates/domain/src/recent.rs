//! Minimum or maximum of a measured value over a sliding time window.

use crate::prelude::*;

/// Minimum or maximum of the values recorded in the last one to two windows.
#[derive(Clone, Copy, Debug)]
pub struct WindowedExtreme {
    select: fn(u64, u64) -> u64,
    window_ms: u64,
    window_start: Millis,
    current: Option<u64>,
    previous: Option<u64>,
}

impl WindowedExtreme {
    /// Tracks the minimum.
    #[must_use]
    pub fn smallest(window_ms: u64) -> Self {
        Self::new(u64::min, window_ms)
    }

    /// Tracks the maximum.
    #[must_use]
    pub fn largest(window_ms: u64) -> Self {
        Self::new(u64::max, window_ms)
    }

    fn new(select: fn(u64, u64) -> u64, window_ms: u64) -> Self {
        Self {
            select,
            window_ms,
            window_start: Millis::ZERO,
            current: None,
            previous: None,
        }
    }

    /// Records a value.
    pub fn record(&mut self, value: u64, now: Millis) {
        match now.ms_since(self.window_start) / self.window_ms {
            0 => {}
            1 => {
                self.previous = self.current.take();
                self.window_start = self.window_start.after_ms(self.window_ms);
            }
            _ => {
                self.previous = None;
                self.current = None;
                self.window_start = now;
            }
        }
        let select = self.select;
        self.current = Some(self.current.map_or(value, |kept| select(kept, value)));
    }

    /// Returns the minimum or maximum; `None` if nothing was recorded within two windows.
    #[must_use]
    pub fn get(&self, now: Millis) -> Option<u64> {
        match now.ms_since(self.window_start) / self.window_ms {
            0 => self.last(),
            1 => self.current,
            _ => None,
        }
    }

    /// Returns the latest minimum or maximum, however old it is.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        match (self.current, self.previous) {
            (Some(current), Some(previous)) => Some((self.select)(current, previous)),
            (current, previous) => current.or(previous),
        }
    }
}
