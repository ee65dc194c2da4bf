//! Baseline: a single bounded FIFO queue without admission control.

use std::collections::VecDeque;

use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::RequestInfo;

use crate::model::RequestQueue;

pub(crate) struct Fifo {
    limit: usize,
    deadlines: SlotMap<RequestKey, Millis>,
    queue: VecDeque<RequestKey>,
    usable_slots: u32,
    in_flight: u32,
}

impl Fifo {
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            limit: limit as usize,
            deadlines: SlotMap::with_key(),
            queue: VecDeque::new(),
            usable_slots: 0,
            in_flight: 0,
        }
    }
}

impl RequestQueue for Fifo {
    fn set_slots(&mut self, slots: u32) {
        self.usable_slots = slots;
    }

    fn submit(&mut self, info: RequestInfo) -> Option<RequestKey> {
        if self.queue.len() >= self.limit {
            return None;
        }
        let key = self.deadlines.insert(info.deadline);
        self.queue.push_back(key);
        Some(key)
    }

    fn finish(&mut self, key: RequestKey, _: Millis) {
        self.deadlines.remove(key);
        self.in_flight -= 1;
    }

    fn advance(&mut self, now: Millis) -> Vec<RequestKey> {
        let mut sent = Vec::new();
        let deadlines = &self.deadlines;
        self.queue.retain(|key| now < deadlines[*key]);
        while self.in_flight < self.usable_slots {
            let Some(key) = self.queue.pop_front() else {
                break;
            };
            self.in_flight += 1;
            sent.push(key);
        }
        sent
    }
}
