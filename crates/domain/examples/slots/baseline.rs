//! Baseline strategies: fixed shares, and two choices with exchanged counts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cluster::{Execution, Job};
use crate::{Arrival, DAEMONS, INSTANCES, REPLY_BYTES, REQUEST_BYTES, SLOTS};

/// Body size of a message with counts, for nine instances with their names.
const COUNTS_BYTES: u64 = 190;

#[derive(Clone, Copy)]
pub(crate) enum Strategy {
    /// Each daemon has one slot on every instance except one, since 8 slots do not divide among 9
    /// daemons.
    Fixed,
    /// Each daemon sends its counts to all others at this interval and picks the less loaded of two
    /// random instances.
    TwoChoices { interval_us: u64 },
}

#[derive(Clone, Copy)]
enum Event {
    Arrive(usize, Job),
    AtUpstream(usize, usize, Job),
    Executed(usize, usize),
    Ended(usize, usize, Option<Job>),
    Exchange(usize),
    Counts(usize, usize, [u32; INSTANCES]),
}

#[derive(Clone)]
struct Daemon {
    queue: VecDeque<Job>,
    in_flight: [u32; INSTANCES],
    peer_counts: [[u32; INSTANCES]; DAEMONS],
    /// Instances that have refused a request since their last known decrease in load.
    refusing: [bool; INSTANCES],
}

pub(crate) struct Baseline {
    strategy: Strategy,
    delay_us: u64,
    rng: StdRng,
    now_us: u64,
    daemons: Vec<Daemon>,
    busy: [u32; INSTANCES],
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    pub(crate) refused: u64,
    pub(crate) executions: Vec<Execution>,
    pub(crate) messages: Vec<u64>,
    pub(crate) bytes: Vec<u64>,
}

impl Baseline {
    pub(crate) fn new(strategy: Strategy, delay_us: u64, seed: u64) -> Self {
        let daemon = Daemon {
            queue: VecDeque::new(),
            in_flight: [0; INSTANCES],
            peer_counts: [[0; INSTANCES]; DAEMONS],
            refusing: [false; INSTANCES],
        };
        let mut baseline = Self {
            strategy,
            delay_us,
            rng: StdRng::seed_from_u64(seed ^ 0xba5e),
            now_us: 0,
            daemons: vec![daemon; DAEMONS],
            busy: [0; INSTANCES],
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            refused: 0,
            executions: Vec::new(),
            messages: vec![0; DAEMONS],
            bytes: vec![0; DAEMONS],
        };
        if let Strategy::TwoChoices { interval_us } = strategy {
            for daemon in 0..DAEMONS {
                let offset = baseline.rng.random_range(0..interval_us);
                baseline.schedule(crate::START_US + offset, Event::Exchange(daemon));
            }
        }
        baseline
    }

    pub(crate) fn run(&mut self, arrivals: &[Arrival], until_us: u64) {
        for arrival in arrivals {
            let job = Job {
                arrived_us: arrival.at_us,
                service_us: arrival.service_us,
            };
            self.schedule(arrival.at_us, Event::Arrive(arrival.daemon, job));
        }
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until_us {
                break;
            }
            self.queue.pop();
            self.now_us = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at_us, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn schedule_after_delay(&mut self, event: Event) {
        self.schedule(self.now_us + self.delay_us, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(daemon, job) => {
                self.daemons[daemon].queue.push_back(job);
                self.dispatch(daemon);
            }
            Event::AtUpstream(daemon, instance, job) => {
                if self.busy[instance] >= SLOTS {
                    self.refused += 1;
                    self.schedule_after_delay(Event::Ended(daemon, instance, Some(job)));
                    return;
                }
                self.busy[instance] += 1;
                self.executions.push(Execution {
                    arrived_us: job.arrived_us,
                    started_us: self.now_us,
                    service_us: job.service_us,
                });
                let end = self.now_us + job.service_us;
                self.schedule(end, Event::Executed(daemon, instance));
            }
            Event::Executed(daemon, instance) => {
                self.busy[instance] -= 1;
                self.schedule_after_delay(Event::Ended(daemon, instance, None));
            }
            Event::Ended(daemon, instance, refused) => {
                let state = &mut self.daemons[daemon];
                state.in_flight[instance] -= 1;
                state.refusing[instance] = refused.is_some();
                state.queue.extend(refused);
                if refused.is_some() {
                    state.queue.rotate_right(1);
                }
                self.dispatch(daemon);
            }
            Event::Exchange(daemon) => self.exchange(daemon),
            Event::Counts(daemon, from, counts) => {
                let state = &mut self.daemons[daemon];
                for (instance, count) in counts.iter().enumerate() {
                    if state.peer_counts[from][instance] > *count {
                        state.refusing[instance] = false;
                    }
                }
                state.peer_counts[from] = counts;
                self.dispatch(daemon);
            }
        }
    }

    fn exchange(&mut self, daemon: usize) {
        let Strategy::TwoChoices { interval_us } = self.strategy else {
            return;
        };
        let counts = self.daemons[daemon].in_flight;
        for other in (0..DAEMONS).filter(|other| *other != daemon) {
            self.messages[daemon] += 1;
            self.bytes[daemon] += REQUEST_BYTES + COUNTS_BYTES;
            // The acknowledgement of the call.
            self.messages[other] += 1;
            self.bytes[other] += REPLY_BYTES;
            self.schedule_after_delay(Event::Counts(other, daemon, counts));
        }
        self.schedule(self.now_us + interval_us, Event::Exchange(daemon));
    }

    fn dispatch(&mut self, daemon: usize) {
        while !self.daemons[daemon].queue.is_empty() {
            let chosen = match self.strategy {
                Strategy::Fixed => self.pick_fixed(daemon),
                Strategy::TwoChoices { .. } => self.pick_of_two(daemon),
            };
            let Some(instance) = chosen else { return };
            let Some(job) = self.daemons[daemon].queue.pop_front() else {
                return;
            };
            self.daemons[daemon].in_flight[instance] += 1;
            self.schedule_after_delay(Event::AtUpstream(daemon, instance, job));
        }
    }

    fn pick_fixed(&self, daemon: usize) -> Option<usize> {
        let in_flight = &self.daemons[daemon].in_flight;
        (0..INSTANCES).find(|instance| *instance != daemon && in_flight[*instance] == 0)
    }

    fn pick_of_two(&mut self, daemon: usize) -> Option<usize> {
        let state = &self.daemons[daemon];
        let load = |instance: usize| {
            let peer_load: u32 = state
                .peer_counts
                .iter()
                .map(|counts| counts[instance])
                .sum();
            peer_load + state.in_flight[instance]
        };
        let candidates: Vec<usize> = (0..INSTANCES)
            .filter(|instance| !state.refusing[*instance] && load(*instance) < SLOTS)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.rng.random_range(0..candidates.len())];
        let second = candidates[self.rng.random_range(0..candidates.len())];
        Some(if load(second) < load(first) {
            second
        } else {
            first
        })
    }
}
