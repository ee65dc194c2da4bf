//! Extremes of a measured value over the recent past.

use crate::prelude::*;

/// Smallest or largest value of the last one to two windows.
#[derive(Clone, Copy, Debug)]
pub struct Recent {
    better: fn(u64, u64) -> u64,
    window_ms: u64,
    started: Millis,
    current: Option<u64>,
    previous: Option<u64>,
}

impl Recent {
    /// Keeps the smallest value.
    #[must_use]
    pub fn smallest(window_ms: u64) -> Self {
        Self::new(u64::min, window_ms)
    }

    /// Keeps the largest value.
    #[must_use]
    pub fn largest(window_ms: u64) -> Self {
        Self::new(u64::max, window_ms)
    }

    fn new(better: fn(u64, u64) -> u64, window_ms: u64) -> Self {
        Self {
            better,
            window_ms,
            started: Millis::ZERO,
            current: None,
            previous: None,
        }
    }

    /// Records a value.
    pub fn record(&mut self, value: u64, now: Millis) {
        match now.ms_since(self.started) / self.window_ms {
            0 => {}
            1 => {
                self.previous = self.current.take();
                self.started = self.started.after_ms(self.window_ms);
            }
            _ => {
                self.previous = None;
                self.current = None;
                self.started = now;
            }
        }
        let better = self.better;
        self.current = Some(self.current.map_or(value, |kept| better(kept, value)));
    }

    /// The extreme; `None` when nothing was recorded within two windows.
    #[must_use]
    pub fn get(&self, now: Millis) -> Option<u64> {
        match now.ms_since(self.started) / self.window_ms {
            0 => self.last(),
            1 => self.current,
            _ => None,
        }
    }

    /// The newest extreme, however old it is.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        match (self.current, self.previous) {
            (Some(current), Some(previous)) => Some((self.better)(current, previous)),
            (current, previous) => current.or(previous),
        }
    }
}
