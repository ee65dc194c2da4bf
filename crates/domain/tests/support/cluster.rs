//! Several daemons' slot machines around a discrete-event loop with a faulty network.
//!
//! Only the network, the upstreams and the dispatchers are modelled; ledgers and shares are the
//! real ones.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

#[path = "cluster_members.rs"]
mod members;
#[path = "cluster_traffic.rs"]
mod traffic;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::member::MemberId;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::slots::{
    GrantList, Limit, Report, ReportAnswer, ServiceUse, ShareAction, SlotAction, SlotCapacity,
    SlotDirectory, Slots,
};

/// Time from a dispatcher to the slot task of the same process.
const LOCAL_DELAY_US: u64 = 50;
const TICK_US: u64 = 20_000;
pub(crate) const HEARTBEAT_US: u64 = 5_000_000;

#[derive(Clone, Debug)]
pub(crate) struct ClusterOptions {
    pub(crate) seed: u64,
    pub(crate) daemons: usize,
    pub(crate) instances: usize,
    pub(crate) capacity: SlotCapacity,
    /// One-way delays between daemons and to upstreams, smallest and largest.
    pub(crate) delay_us: (u64, u64),
    /// Messages lost and duplicated.
    pub(crate) loss_ppm: u32,
    pub(crate) duplicate_ppm: u32,
    /// Latest arrival of a view at a daemon.
    pub(crate) view_delay_us: u64,
}

#[derive(Clone, Debug)]
pub(crate) enum Payload {
    Report(Report),
    Answer(GrantList),
    /// The report, and the view of the home.
    Refused(u64, usize),
    Push(GrantList),
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrive {
        node: usize,
        service_us: u64,
    },
    Message {
        node: usize,
        from: DaemonKey,
        to: DaemonKey,
        payload: Payload,
    },
    Use {
        node: usize,
        service_use: ServiceUse,
        generation: u32,
    },
    Limits {
        node: usize,
        version: u64,
        limits: Vec<Limit>,
        generation: u32,
    },
    Ended {
        node: usize,
        slot: SlotKey,
        generation: u32,
        refused: Option<Job>,
    },
    Tick {
        node: usize,
        generation: u32,
    },
    View {
        node: usize,
        number: usize,
    },
    AtUpstream {
        node: usize,
        slot: SlotKey,
        generation: u32,
        job: Job,
    },
    Executed {
        node: usize,
        slot: SlotKey,
        generation: u32,
    },
    HeartbeatEnds {
        node: usize,
        generation: u32,
        freeze: u32,
    },
    Rejoin {
        node: usize,
        freeze: u32,
    },
    Resume {
        node: usize,
        freeze: u32,
    },
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) arrived_us: u64,
    pub(crate) service_us: u64,
}

/// A request that an upstream executed; read by the comparison in `examples/`.
#[allow(dead_code, reason = "the tests count them only")]
#[derive(Clone, Copy, Debug)]
pub(crate) struct Execution {
    pub(crate) arrived_us: u64,
    pub(crate) started_us: u64,
    pub(crate) service_us: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Instance {
    pub(crate) busy: u32,
    pub(crate) busy_max: u32,
    pub(crate) refused: u64,
}

struct Node {
    member: MemberId,
    key: DaemonKey,
    generation: u32,
    alive: bool,
    freeze: u32,
    frozen: bool,
    /// Cut off from the platform.
    isolated: bool,
    registered: u32,
    backlog: VecDeque<Event>,
    slots: Slots,
    view: usize,
    limits: BTreeMap<SlotKey, Limit>,
    applied: u64,
    in_flight: BTreeMap<SlotKey, u32>,
    queue: VecDeque<Job>,
    said: Option<ServiceUse>,
}

#[derive(Clone, Debug, Default)]
struct Members {
    /// Live members by position: name, incarnation, registration.
    live: BTreeMap<usize, (MemberId, u32)>,
}

pub(crate) struct Cluster {
    pub(crate) options: ClusterOptions,
    pub(crate) now_us: u64,
    pub(crate) rng: StdRng,
    pub(crate) directory: SlotDirectory,
    pub(crate) slots: Vec<SlotKey>,
    pub(crate) instances: BTreeMap<SlotKey, Instance>,
    /// Requests by daemon, process and instance that were sent and have not ended at the upstream.
    executing: BTreeMap<(usize, u32, SlotKey), u32>,
    /// Requests that were executed.
    pub(crate) executions: Vec<Execution>,
    pub(crate) done: Vec<u64>,
    pub(crate) messages: Vec<u64>,
    pub(crate) message_bytes: Vec<u64>,
    /// Size of a message on the wire, with its share of the call.
    pub(crate) size_of: fn(&SlotDirectory, DaemonKey, DaemonKey, &Payload) -> u64,
    pub(crate) violations: Vec<String>,
    service: ServiceKey,
    nodes: Vec<Node>,
    views: Vec<Members>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: FastMap<u64, Event>,
    sequence: u64,
}

impl Cluster {
    pub(crate) fn new(options: ClusterOptions) -> Self {
        let mut directory = SlotDirectory::default();
        let service_name: Arc<str> = "quotes".into();
        let slots: Vec<SlotKey> = (0..options.instances)
            .map(|number| directory.slot(&service_name, &format!("quotes-{number}").into()))
            .collect();
        let mut services: SlotMap<ServiceKey, ()> = SlotMap::with_key();
        let daemons = options.daemons;
        let mut cluster = Self {
            now_us: 1_000_000,
            rng: StdRng::seed_from_u64(options.seed),
            instances: slots
                .iter()
                .map(|slot| (*slot, Instance::default()))
                .collect(),
            executing: BTreeMap::new(),
            executions: Vec::new(),
            done: vec![0; daemons],
            messages: vec![0; daemons],
            message_bytes: vec![0; daemons],
            size_of: |_, _, _, _| 0,
            violations: Vec::new(),
            service: services.insert(()),
            nodes: Vec::new(),
            views: vec![Members::default()],
            queue: BinaryHeap::new(),
            events: FastMap::default(),
            sequence: 0,
            directory,
            slots,
            options,
        };
        for index in 0..daemons {
            let node = cluster.make_node(index, 0);
            cluster.nodes.push(node);
        }
        let live = (0..daemons).map(|index| (index, (cluster.nodes[index].member.clone(), 0)));
        cluster.views.push(Members {
            live: live.collect(),
        });
        for index in 0..daemons {
            cluster.start_node(index);
        }
        cluster
    }

    fn make_node(&mut self, index: usize, generation: u32) -> Node {
        let member = MemberId {
            name: format!("entry-{index}").into(),
            incarnation: format!("019ae7c0-0000-7000-8000-{index:06}{generation:06}").into(),
        };
        let key = self.directory.member(&member);
        Node {
            key,
            generation,
            alive: true,
            freeze: 0,
            frozen: false,
            isolated: false,
            registered: 0,
            backlog: VecDeque::new(),
            slots: Slots::new(key, index, self.now()),
            view: 0,
            limits: BTreeMap::new(),
            applied: 0,
            in_flight: BTreeMap::new(),
            queue: VecDeque::new(),
            said: None,
            member,
        }
    }

    fn start_node(&mut self, index: usize) {
        let now = self.now();
        let slots = self.slots.iter().map(|slot| (*slot, None)).collect();
        let node = &mut self.nodes[index];
        let generation = node.generation;
        node.slots
            .set_service(self.service, self.options.capacity, slots, now);
        let number = self.views.len() - 1;
        self.schedule(
            0,
            Event::View {
                node: index,
                number,
            },
        );
        let offset = self.rng.random_range(0..TICK_US);
        self.schedule(
            offset,
            Event::Tick {
                node: index,
                generation,
            },
        );
    }

    pub(crate) fn now(&self) -> Millis {
        Millis::from_ms(self.now_us / 1_000)
    }

    pub(crate) fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now_us + delay_us, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Runs until `until_us`.
    pub(crate) fn run(&mut self, until_us: u64) {
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
        self.now_us = until_us;
    }

    fn handle(&mut self, event: Event) {
        let target = match &event {
            Event::AtUpstream { .. } | Event::Executed { .. } => return self.at_upstream(event),
            Event::HeartbeatEnds {
                node,
                generation,
                freeze,
            } => {
                return self.heartbeat_ends(*node, *generation, *freeze);
            }
            Event::Rejoin { node, freeze } => return self.rejoin(*node, *freeze),
            Event::Resume { node, freeze } => return self.resume(*node, *freeze),
            Event::Arrive { node, .. }
            | Event::Message { node, .. }
            | Event::Use { node, .. }
            | Event::Limits { node, .. }
            | Event::Ended { node, .. }
            | Event::Tick { node, .. }
            | Event::View { node, .. } => *node,
        };
        if !self.nodes[target].alive {
            return;
        }
        if self.nodes[target].frozen {
            self.nodes[target].backlog.push_back(event);
            return;
        }
        self.handle_at_node(target, event);
        self.check();
    }

    fn handle_at_node(&mut self, index: usize, event: Event) {
        let now = self.now();
        let current = self.nodes[index].generation;
        match event {
            Event::Arrive { service_us, .. } => {
                let arrived_us = self.now_us;
                self.nodes[index].queue.push_back(Job {
                    arrived_us,
                    service_us,
                });
                self.dispatch(index);
                self.say(index, false);
            }
            Event::Message {
                from, to, payload, ..
            } if self.nodes[index].key == to => {
                self.receive(index, from, payload, now);
                self.advance_slots(index);
            }
            Event::Use {
                service_use,
                generation,
                ..
            } if generation == current => {
                let service = self.service;
                self.nodes[index].slots.record_use(service, &service_use);
                self.advance_slots(index);
            }
            Event::Limits {
                version,
                limits,
                generation,
                ..
            } if generation == current => {
                let node = &mut self.nodes[index];
                node.applied = version;
                node.limits = limits
                    .into_iter()
                    .map(|limit| (limit.slot, limit))
                    .collect();
                self.dispatch(index);
                self.say(index, true);
            }
            Event::Ended {
                slot,
                generation,
                refused,
                ..
            } if generation == current => {
                let node = &mut self.nodes[index];
                let in_flight = node.in_flight.entry(slot).or_default();
                *in_flight -= 1;
                let over = *in_flight >= node.limits.get(&slot).map_or(0, |limit| limit.slots);
                match refused {
                    Some(job) => node.queue.push_front(job),
                    None => self.done[index] += 1,
                }
                self.dispatch(index);
                self.say(index, over);
            }
            Event::Tick { generation, .. } if generation == current => {
                self.dispatch(index);
                self.say(index, true);
                self.advance_slots(index);
                self.schedule(
                    TICK_US,
                    Event::Tick {
                        node: index,
                        generation,
                    },
                );
            }
            Event::View { number, .. } => self.set_view(index, number),
            _ => {}
        }
    }

    fn receive(&mut self, index: usize, from: DaemonKey, payload: Payload, now: Millis) {
        let view = self.nodes[index].view;
        let slots = &mut self.nodes[index].slots;
        match payload {
            Payload::Report(report) => {
                let answer = match slots.report(from, &report, now) {
                    ReportAnswer::Grants(list) => Payload::Answer(list),
                    ReportAnswer::Stale => return,
                    ReportAnswer::OtherView => Payload::Refused(report.seq, view),
                };
                self.send(index, from, answer);
            }
            Payload::Answer(list) | Payload::Push(list) => slots.accept(from, &list, now),
            Payload::Refused(seq, number) => {
                slots.refused(from, seq, now);
                self.set_view(index, number);
            }
        }
    }

    fn advance_slots(&mut self, index: usize) {
        let generation = self.nodes[index].generation;
        let now = self.now();
        for action in self.nodes[index].slots.advance(now) {
            match action {
                SlotAction::Share(ShareAction::Report { to, report }) => {
                    self.send(index, to, Payload::Report(report));
                }
                SlotAction::Share(ShareAction::Limits {
                    version, limits, ..
                }) => {
                    let node = index;
                    let event = Event::Limits {
                        node,
                        version,
                        limits,
                        generation,
                    };
                    self.schedule(LOCAL_DELAY_US, event);
                }
                SlotAction::Grants { to, list } => self.send(index, to, Payload::Push(list)),
            }
        }
    }

    /// Checks that what all daemons may use, and what killed ones left running, fits the instance.
    fn check(&mut self) {
        let now = self.now();
        for slot in &self.slots {
            let mut sum: u32 = 0;
            for (index, node) in self.nodes.iter().enumerate() {
                let limit = node.limits.get(slot).filter(|limit| now < limit.until);
                let usable = limit.filter(|_| node.alive).map_or(0, |limit| limit.slots);
                for generation in 0..=node.generation {
                    let executing = self.executing.get(&(index, generation, *slot));
                    let executing = executing.copied().unwrap_or_default();
                    let current = generation == node.generation;
                    sum += executing.max(if current { usable } else { 0 });
                }
            }
            if sum > self.options.capacity.slots {
                let at = self.now_us;
                self.violations
                    .push(format!("{at}: {slot:?}: {sum} usable"));
            }
        }
    }

    /// Whether no request waits or runs.
    pub(crate) fn is_idle(&self) -> bool {
        let queues_empty = self.nodes.iter().all(|node| node.queue.is_empty());
        queues_empty && self.instances.values().all(|instance| instance.busy == 0)
    }

    /// Slots that a daemon may use now, over all instances.
    pub(crate) fn usable(&self, index: usize) -> u32 {
        let now = self.now();
        let limits = self.nodes[index].limits.values();
        limits
            .filter(|limit| now < limit.until)
            .map(|limit| limit.slots)
            .sum()
    }
}
