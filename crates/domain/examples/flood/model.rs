//! Discrete-event simulation of a queue and its slots.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rosemaryscale_domain::Dispatcher;
use rosemaryscale_domain::dispatch::{DispatchAction, DispatchPolicy};
use rosemaryscale_domain::health::FaultDomain;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::{ClassIndex, RequestInfo};

use crate::work::{Arrival, CLASSES, RUN_MS, Workload};

/// Tick interval of the daemon's dispatcher task.
const TICK_MS: u64 = 20;

/// Interface of a queue to the simulation.
pub(crate) trait RequestQueue {
    fn set_slots(&mut self, slots: u32);
    fn submit(&mut self, info: RequestInfo) -> Option<RequestKey>;
    fn finish(&mut self, key: RequestKey, now: Millis);
    /// Returns the requests to send now.
    fn advance(&mut self, now: Millis) -> Vec<RequestKey>;
}

/// The dispatcher with a single instance.
pub(crate) struct DispatcherQueue {
    dispatcher: Dispatcher,
    instance: InstanceKey,
}

impl DispatcherQueue {
    pub(crate) fn new(policy: DispatchPolicy) -> Self {
        let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
        let instance = instances.insert(());
        let mut dispatcher = Dispatcher::new(policy);
        let domain = FaultDomain {
            rack: "rack".into(),
            zone: "zone".into(),
        };
        dispatcher.add_instance(instance, domain, false, Millis::ZERO);
        Self {
            dispatcher,
            instance,
        }
    }
}

impl RequestQueue for DispatcherQueue {
    fn set_slots(&mut self, slots: u32) {
        self.dispatcher
            .set_usable_slots(self.instance, slots, Millis::MAX);
    }

    fn submit(&mut self, info: RequestInfo) -> Option<RequestKey> {
        self.dispatcher.submit(info).ok()
    }

    fn finish(&mut self, key: RequestKey, now: Millis) {
        self.dispatcher.record_response(key, now);
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

/// Numbers of requests of a run.
#[derive(Default)]
pub(crate) struct RunResult {
    /// Requests of the steady load answered before their deadline, by class.
    pub(crate) in_time: [u64; CLASSES],
    /// Requests of the steady load that arrived, by class.
    pub(crate) offered: [u64; CLASSES],
    /// Requests of the flood answered before their deadline.
    pub(crate) flood_in_time: u64,
}

impl RunResult {
    pub(crate) fn offered_except(&self, class: usize) -> u64 {
        let counts = self.offered.iter().enumerate();
        let others = counts.filter(|(index, _)| *index != class);
        others.map(|(_, count)| *count).sum()
    }
}

pub(crate) struct Model<'a, Q> {
    queue: Q,
    workload: &'a Workload,
    caller_keys: Vec<CallerKey>,
    admitted: SecondaryMap<RequestKey, Arrival>,
    completions: BinaryHeap<Reverse<(u64, RequestKey)>>,
    result: RunResult,
}

impl<'a, Q: RequestQueue> Model<'a, Q> {
    pub(crate) fn new(queue: Q, workload: &'a Workload) -> Self {
        let mut callers: SlotMap<CallerKey, ()> = SlotMap::with_key();
        let last = workload.arrivals.iter().map(|arrival| arrival.caller).max();
        let caller_keys = (0..=last.unwrap_or(0))
            .map(|_| callers.insert(()))
            .collect();
        Self {
            queue,
            workload,
            caller_keys,
            admitted: SecondaryMap::new(),
            completions: BinaryHeap::new(),
            result: RunResult::default(),
        }
    }

    pub(crate) fn run(mut self) -> RunResult {
        let workload = self.workload;
        let mut arrivals = workload.arrivals.iter().peekable();
        let phase_ms = RUN_MS.div_ceil(workload.slots.len() as u64);
        let mut now_ms = 0;
        while now_ms < RUN_MS {
            let phase = (now_ms / phase_ms) as usize;
            self.queue.set_slots(workload.slots[phase]);
            self.finish_due_requests(now_ms);
            while let Some(arrival) = arrivals.next_if(|arrival| arrival.at_ms <= now_ms) {
                self.arrive(arrival);
                self.send(now_ms);
            }
            self.send(now_ms);
            let tick_ms = (now_ms / TICK_MS + 1) * TICK_MS;
            let next_end = self
                .completions
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
        if let Some(key) = self.queue.submit(info) {
            self.admitted.insert(key, *arrival);
        }
    }

    fn send(&mut self, now_ms: u64) {
        for key in self.queue.advance(Millis::from_ms(now_ms)) {
            let service_ms = self.admitted[key].service_ms;
            self.completions.push(Reverse((now_ms + service_ms, key)));
        }
    }

    fn finish_due_requests(&mut self, now_ms: u64) {
        while let Some(Reverse((at_ms, key))) = self.completions.peek().copied() {
            if at_ms > now_ms {
                break;
            }
            self.completions.pop();
            self.queue.finish(key, Millis::from_ms(now_ms));
            self.send(now_ms);
            let Some(arrival) = self.admitted.remove(key) else {
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
