//! A discrete-event loop around a queue.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rosemaryscale_domain::Dispatcher;
use rosemaryscale_domain::dispatch::{DispatchAction, DispatchPolicy};
use rosemaryscale_domain::health::FaultDomain;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::{ClassIndex, RequestInfo};

use crate::work::{Arrival, CLASSES, RUN_MS, Work};

/// The tick of the daemon's dispatcher task.
const TICK_MS: u64 = 20;

/// What the loop needs of a queue.
pub(crate) trait Queueing {
    fn set_slots(&mut self, slots: u32);
    fn submit(&mut self, info: RequestInfo) -> Option<RequestKey>;
    fn ended(&mut self, key: RequestKey, now: Millis);
    /// Requests to send now.
    fn advance(&mut self, now: Millis) -> Vec<RequestKey>;
}

/// A dispatcher with one instance.
pub(crate) struct Fair {
    dispatcher: Dispatcher,
    instance: InstanceKey,
}

impl Fair {
    pub(crate) fn new(policy: DispatchPolicy) -> Self {
        let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
        let instance = instances.insert(());
        let mut dispatcher = Dispatcher::new(policy);
        let domain = FaultDomain {
            rack: "rack".into(),
            zone: "zone".into(),
        };
        dispatcher.join(instance, domain, false, Millis::ZERO);
        Self {
            dispatcher,
            instance,
        }
    }
}

impl Queueing for Fair {
    fn set_slots(&mut self, slots: u32) {
        self.dispatcher
            .set_usable_slots(self.instance, slots, Millis::MAX);
    }

    fn submit(&mut self, info: RequestInfo) -> Option<RequestKey> {
        self.dispatcher.submit(info).ok()
    }

    fn ended(&mut self, key: RequestKey, now: Millis) {
        self.dispatcher.answered(key, now);
    }

    fn advance(&mut self, now: Millis) -> Vec<RequestKey> {
        let sent = |action| match action {
            DispatchAction::Send { request, .. } => Some(request),
            _ => None,
        };
        let actions = self.dispatcher.advance(now);
        actions.into_iter().filter_map(sent).collect()
    }
}

/// Requests answered before their deadline.
#[derive(Default)]
pub(crate) struct Result {
    /// Of the steady work, by class.
    pub(crate) in_time: [u64; CLASSES],
    /// Steady work that arrived, by class.
    pub(crate) offered: [u64; CLASSES],
    /// Of the flood.
    pub(crate) flood_in_time: u64,
}

impl Result {
    pub(crate) fn offered_besides(&self, class: usize) -> u64 {
        let counts = self.offered.iter().enumerate();
        let others = counts.filter(|(index, _)| *index != class);
        others.map(|(_, count)| *count).sum()
    }
}

pub(crate) struct Model<'a, Q> {
    queueing: Q,
    work: &'a Work,
    caller_keys: Vec<CallerKey>,
    held: SecondaryMap<RequestKey, Arrival>,
    ends: BinaryHeap<Reverse<(u64, RequestKey)>>,
    result: Result,
}

impl<'a, Q: Queueing> Model<'a, Q> {
    pub(crate) fn new(queueing: Q, work: &'a Work) -> Self {
        let mut callers: SlotMap<CallerKey, ()> = SlotMap::with_key();
        let last = work.arrivals.iter().map(|arrival| arrival.caller).max();
        let caller_keys = (0..=last.unwrap_or(0))
            .map(|_| callers.insert(()))
            .collect();
        Self {
            queueing,
            work,
            caller_keys,
            held: SecondaryMap::new(),
            ends: BinaryHeap::new(),
            result: Result::default(),
        }
    }

    pub(crate) fn run(mut self) -> Result {
        let work = self.work;
        let mut arrivals = work.arrivals.iter().peekable();
        let part_ms = RUN_MS.div_ceil(work.slots.len() as u64);
        let mut now_ms = 0;
        while now_ms < RUN_MS {
            let part = (now_ms / part_ms) as usize;
            self.queueing.set_slots(work.slots[part]);
            self.end_requests(now_ms);
            while let Some(arrival) = arrivals.next_if(|arrival| arrival.at_ms <= now_ms) {
                self.arrive(arrival);
                self.send(now_ms);
            }
            self.send(now_ms);
            let tick_ms = (now_ms / TICK_MS + 1) * TICK_MS;
            let next_end = self
                .ends
                .peek()
                .map_or(tick_ms, |Reverse((at_ms, _))| *at_ms);
            let next_arrival = arrivals.peek().map_or(tick_ms, |arrival| arrival.at_ms);
            now_ms = tick_ms.min(next_end).min(next_arrival);
        }
        self.result
    }

    fn arrive(&mut self, arrival: &Arrival) {
        let arrived = Millis::from_ms(arrival.at_ms);
        if !arrival.is_flood {
            self.result.offered[arrival.class] += 1;
        }
        let info = RequestInfo {
            caller: self.caller_keys[arrival.caller as usize],
            class: ClassIndex(arrival.class as u8),
            arrived,
            deadline: arrived.after_ms(arrival.deadline_ms),
            repeatable: false,
            keyed: false,
        };
        if let Some(key) = self.queueing.submit(info) {
            self.held.insert(key, *arrival);
        }
    }

    fn send(&mut self, now_ms: u64) {
        for key in self.queueing.advance(Millis::from_ms(now_ms)) {
            let service_ms = self.held[key].service_ms;
            self.ends.push(Reverse((now_ms + service_ms, key)));
        }
    }

    fn end_requests(&mut self, now_ms: u64) {
        while let Some(Reverse((at_ms, key))) = self.ends.peek().copied() {
            if at_ms > now_ms {
                break;
            }
            self.ends.pop();
            self.queueing.ended(key, Millis::from_ms(now_ms));
            self.send(now_ms);
            let Some(arrival) = self.held.remove(key) else {
                continue;
            };
            if at_ms > arrival.at_ms + arrival.deadline_ms {
                continue;
            }
            if arrival.is_flood {
                self.result.flood_in_time += 1;
            } else {
                self.result.in_time[arrival.class] += 1;
            }
        }
    }
}
