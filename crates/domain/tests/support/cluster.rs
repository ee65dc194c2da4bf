//! Discrete-event simulation of slot leasing between several daemons over an unreliable network.
//!
//! Only the network, the upstreams and the dispatchers are modelled. The owner and holder sides are
//! the production code.

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
    GrantList, HolderAction, Report, ReportAnswer, ServiceUsage, SlotAction, SlotCapacity,
    SlotDirectory, SlotLimit, SlotManager,
};

/// Delay between a dispatcher and the slot task of the same process.
const LOCAL_DELAY_US: u64 = 50;
const TICK_US: u64 = 20_000;
pub(crate) const HEARTBEAT_US: u64 = 5_000_000;

#[derive(Clone, Debug)]
pub(crate) struct ClusterOptions {
    pub(crate) seed: u64,
    pub(crate) daemons: usize,
    pub(crate) instances: usize,
    pub(crate) capacity: SlotCapacity,
    /// Minimum and maximum one-way delay between daemons and to upstreams.
    pub(crate) delay_us: (u64, u64),
    /// Rates of lost and duplicated messages.
    pub(crate) loss_ppm: u32,
    pub(crate) duplicate_ppm: u32,
    /// Maximum delay until a view arrives at a daemon.
    pub(crate) view_delay_us: u64,
}

#[derive(Clone, Debug)]
pub(crate) enum Payload {
    Report(Report),
    Answer(GrantList),
    /// Sequence number of the report, and number of the owner's view.
    Refused(u64, usize),
    Push(GrantList),
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrive {
        daemon: usize,
        service_us: u64,
    },
    Message {
        daemon: usize,
        from: DaemonKey,
        to: DaemonKey,
        payload: Payload,
    },
    Usage {
        daemon: usize,
        usage: ServiceUsage,
        generation: u32,
    },
    Limits {
        daemon: usize,
        version: u64,
        limits: Vec<SlotLimit>,
        generation: u32,
    },
    Ended {
        daemon: usize,
        slot: SlotKey,
        generation: u32,
        refused: Option<Job>,
    },
    Tick {
        daemon: usize,
        generation: u32,
    },
    View {
        daemon: usize,
        number: usize,
    },
    AtUpstream {
        daemon: usize,
        slot: SlotKey,
        generation: u32,
        job: Job,
    },
    Executed {
        daemon: usize,
        slot: SlotKey,
        generation: u32,
    },
    HeartbeatExpires {
        daemon: usize,
        generation: u32,
        fault_epoch: u32,
    },
    Rejoin {
        daemon: usize,
        fault_epoch: u32,
    },
    Resume {
        daemon: usize,
        fault_epoch: u32,
    },
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) arrived_us: u64,
    pub(crate) service_us: u64,
}

/// A request that an upstream executed. Evaluated by the comparison in `examples/`.
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

struct Daemon {
    member: MemberId,
    key: DaemonKey,
    generation: u32,
    alive: bool,
    fault_epoch: u32,
    frozen: bool,
    /// Whether the daemon is cut off from the platform.
    isolated: bool,
    registrations: u32,
    backlog: VecDeque<Event>,
    slots: SlotManager,
    view: usize,
    limits: BTreeMap<SlotKey, SlotLimit>,
    applied_version: u64,
    in_flight: BTreeMap<SlotKey, u32>,
    queue: VecDeque<Job>,
    last_usage: Option<ServiceUsage>,
}

#[derive(Clone, Debug, Default)]
struct Membership {
    /// Member identifier and registration count of each live member, by position.
    live: BTreeMap<usize, (MemberId, u32)>,
}

pub(crate) struct Cluster {
    pub(crate) options: ClusterOptions,
    pub(crate) now_us: u64,
    pub(crate) rng: StdRng,
    pub(crate) directory: SlotDirectory,
    pub(crate) slots: Vec<SlotKey>,
    pub(crate) instances: BTreeMap<SlotKey, Instance>,
    /// Number of requests sent and not yet ended at the upstream, by daemon, generation and
    /// instance.
    executing: BTreeMap<(usize, u32, SlotKey), u32>,
    /// Executed requests.
    pub(crate) executions: Vec<Execution>,
    pub(crate) completed: Vec<u64>,
    pub(crate) messages: Vec<u64>,
    pub(crate) message_bytes: Vec<u64>,
    /// Size of a message on the wire, including the overhead of the call.
    pub(crate) size_of: fn(&SlotDirectory, DaemonKey, DaemonKey, &Payload) -> u64,
    pub(crate) violations: Vec<String>,
    service: ServiceKey,
    daemons: Vec<Daemon>,
    views: Vec<Membership>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: FastMap<u64, Event>,
    sequence: u64,
}

impl Cluster {
    pub(crate) fn new(options: ClusterOptions) -> Self {
        let mut directory = SlotDirectory::default();
        let service_name: Arc<str> = "quotes".into();
        let slots: Vec<SlotKey> = (0..options.instances)
            .map(|number| directory.intern_slot(&service_name, &format!("quotes-{number}").into()))
            .collect();
        let mut services: SlotMap<ServiceKey, ()> = SlotMap::with_key();
        let count = options.daemons;
        let mut cluster = Self {
            now_us: 1_000_000,
            rng: StdRng::seed_from_u64(options.seed),
            instances: slots
                .iter()
                .map(|slot| (*slot, Instance::default()))
                .collect(),
            executing: BTreeMap::new(),
            executions: Vec::new(),
            completed: vec![0; count],
            messages: vec![0; count],
            message_bytes: vec![0; count],
            size_of: |_, _, _, _| 0,
            violations: Vec::new(),
            service: services.insert(()),
            daemons: Vec::new(),
            views: vec![Membership::default()],
            queue: BinaryHeap::new(),
            events: FastMap::default(),
            sequence: 0,
            directory,
            slots,
            options,
        };
        for index in 0..count {
            let daemon = cluster.new_daemon(index, 0);
            cluster.daemons.push(daemon);
        }
        let live = (0..count).map(|index| (index, (cluster.daemons[index].member.clone(), 0)));
        cluster.views.push(Membership {
            live: live.collect(),
        });
        for index in 0..count {
            cluster.start_daemon(index);
        }
        cluster
    }

    fn new_daemon(&mut self, index: usize, generation: u32) -> Daemon {
        let member = MemberId {
            name: format!("entry-{index}").into(),
            incarnation: format!("019ae7c0-0000-7000-8000-{index:06}{generation:06}").into(),
        };
        let key = self.directory.intern_member(&member);
        Daemon {
            key,
            generation,
            alive: true,
            fault_epoch: 0,
            frozen: false,
            isolated: false,
            registrations: 0,
            backlog: VecDeque::new(),
            slots: SlotManager::new(key, index, self.now()),
            view: 0,
            limits: BTreeMap::new(),
            applied_version: 0,
            in_flight: BTreeMap::new(),
            queue: VecDeque::new(),
            last_usage: None,
            member,
        }
    }

    fn start_daemon(&mut self, index: usize) {
        let now = self.now();
        let slots = self.slots.iter().map(|slot| (*slot, None)).collect();
        let daemon = &mut self.daemons[index];
        let generation = daemon.generation;
        daemon
            .slots
            .set_service(self.service, self.options.capacity, slots, now);
        let number = self.views.len() - 1;
        self.schedule(
            0,
            Event::View {
                daemon: index,
                number,
            },
        );
        let offset = self.rng.random_range(0..TICK_US);
        self.schedule(
            offset,
            Event::Tick {
                daemon: index,
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

    /// Runs the simulation until `until_us`.
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
            Event::HeartbeatExpires {
                daemon,
                generation,
                fault_epoch,
            } => {
                return self.heartbeat_expires(*daemon, *generation, *fault_epoch);
            }
            Event::Rejoin {
                daemon,
                fault_epoch,
            } => return self.rejoin(*daemon, *fault_epoch),
            Event::Resume {
                daemon,
                fault_epoch,
            } => return self.resume(*daemon, *fault_epoch),
            Event::Arrive { daemon, .. }
            | Event::Message { daemon, .. }
            | Event::Usage { daemon, .. }
            | Event::Limits { daemon, .. }
            | Event::Ended { daemon, .. }
            | Event::Tick { daemon, .. }
            | Event::View { daemon, .. } => *daemon,
        };
        if !self.daemons[target].alive {
            return;
        }
        if self.daemons[target].frozen {
            self.daemons[target].backlog.push_back(event);
            return;
        }
        self.handle_at_daemon(target, event);
        self.check_limits();
    }

    fn handle_at_daemon(&mut self, index: usize, event: Event) {
        let now = self.now();
        let current = self.daemons[index].generation;
        match event {
            Event::Arrive { service_us, .. } => {
                let arrived_us = self.now_us;
                self.daemons[index].queue.push_back(Job {
                    arrived_us,
                    service_us,
                });
                self.dispatch(index);
                self.send_usage(index, false);
            }
            Event::Message {
                from, to, payload, ..
            } if self.daemons[index].key == to => {
                self.receive(index, from, payload, now);
                self.advance_slots(index);
            }
            Event::Usage {
                usage, generation, ..
            } if generation == current => {
                let service = self.service;
                self.daemons[index].slots.record_usage(service, &usage);
                self.advance_slots(index);
            }
            Event::Limits {
                version,
                limits,
                generation,
                ..
            } if generation == current => {
                let daemon = &mut self.daemons[index];
                daemon.applied_version = version;
                daemon.limits = limits
                    .into_iter()
                    .map(|limit| (limit.slot, limit))
                    .collect();
                self.dispatch(index);
                self.send_usage(index, true);
            }
            Event::Ended {
                slot,
                generation,
                refused,
                ..
            } if generation == current => {
                let daemon = &mut self.daemons[index];
                let in_flight = daemon.in_flight.entry(slot).or_default();
                *in_flight -= 1;
                let exceeds_limit =
                    *in_flight >= daemon.limits.get(&slot).map_or(0, |limit| limit.slots);
                match refused {
                    Some(job) => daemon.queue.push_front(job),
                    None => self.completed[index] += 1,
                }
                self.dispatch(index);
                self.send_usage(index, exceeds_limit);
            }
            Event::Tick { generation, .. } if generation == current => {
                self.dispatch(index);
                self.send_usage(index, true);
                self.advance_slots(index);
                self.schedule(
                    TICK_US,
                    Event::Tick {
                        daemon: index,
                        generation,
                    },
                );
            }
            Event::View { number, .. } => self.set_view(index, number),
            _ => {}
        }
    }

    fn receive(&mut self, index: usize, from: DaemonKey, payload: Payload, now: Millis) {
        let view = self.daemons[index].view;
        let slots = &mut self.daemons[index].slots;
        match payload {
            Payload::Report(report) => {
                let answer = match slots.apply_report(from, &report, now) {
                    ReportAnswer::Grants(list) => Payload::Answer(list),
                    ReportAnswer::Stale => return,
                    ReportAnswer::ViewMismatch => Payload::Refused(report.seq, view),
                };
                self.send(index, from, answer);
            }
            Payload::Answer(list) | Payload::Push(list) => slots.accept_list(from, &list, now),
            Payload::Refused(seq, number) => {
                slots.report_failed(from, seq, now);
                self.set_view(index, number);
            }
        }
    }

    fn advance_slots(&mut self, index: usize) {
        let generation = self.daemons[index].generation;
        let now = self.now();
        for action in self.daemons[index].slots.advance(now) {
            match action {
                SlotAction::Holder(HolderAction::Report { to, report }) => {
                    self.send(index, to, Payload::Report(report));
                }
                SlotAction::Holder(HolderAction::Limits {
                    version, limits, ..
                }) => {
                    let daemon = index;
                    let event = Event::Limits {
                        daemon,
                        version,
                        limits,
                        generation,
                    };
                    self.schedule(LOCAL_DELAY_US, event);
                }
                SlotAction::SendGrantList { to, list } => self.send(index, to, Payload::Push(list)),
            }
        }
    }

    /// Checks that the usable slots of all daemons, plus the running requests of killed ones, stay
    /// within the limit of each instance.
    fn check_limits(&mut self) {
        let now = self.now();
        for slot in &self.slots {
            let mut sum: u32 = 0;
            for (index, daemon) in self.daemons.iter().enumerate() {
                let limit = daemon.limits.get(slot).filter(|limit| now < limit.until);
                let usable = limit
                    .filter(|_| daemon.alive)
                    .map_or(0, |limit| limit.slots);
                for generation in 0..=daemon.generation {
                    let executing = self.executing.get(&(index, generation, *slot));
                    let executing = executing.copied().unwrap_or_default();
                    let current = generation == daemon.generation;
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

    /// Returns whether no request is queued or running.
    pub(crate) fn is_idle(&self) -> bool {
        let queues_empty = self.daemons.iter().all(|daemon| daemon.queue.is_empty());
        queues_empty && self.instances.values().all(|instance| instance.busy == 0)
    }

    /// Returns the number of slots that a daemon may use now, over all instances.
    pub(crate) fn usable(&self, index: usize) -> u32 {
        let now = self.now();
        let limits = self.daemons[index].limits.values();
        limits
            .filter(|limit| now < limit.until)
            .map(|limit| limit.slots)
            .sum()
    }
}
