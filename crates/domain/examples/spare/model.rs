//! Simulation of request arrivals and completions, usage reports and moves, driven by the policy.
//!
//! Usage is reported with a delay. A move waits until the instance's requests have ended, and then
//! takes a fixed time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;

use rosemaryscale_domain::Millis;
use rosemaryscale_domain::document::PoolFields;
use rosemaryscale_domain::spare::{
    PoolInstance, PoolSnapshot, SparePolicy, SpareSettings, SpareSnapshot, Usage,
};

use crate::demand::{Arrival, Demand, SIMULATION_MS};
use crate::operator::Operator;

const SLOTS: u32 = 8;
const STEP_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 500;
const POLICY_INTERVAL_MS: u64 = 200;
/// Duration of a move after its drain: two writes, the poll of the members between them, and the poll
/// interval.
const MOVE_DURATION_MS: u64 = 700;

/// How instances are allocated to pools.
#[derive(Clone, Copy)]
pub(crate) enum Allocation {
    /// Fixed, in proportion to the current sizes.
    CurrentSizes,
    /// Fixed, in equal parts.
    Even,
    /// By the policy, starting from the current sizes.
    Policy(SpareSettings),
}

/// Assignment of an instance, with pools as indexes.
#[derive(Clone, Copy, PartialEq)]
enum Placement {
    /// Serves a pool.
    Serves(usize),
    /// Drains in the first pool, to move to the second one.
    Drains(usize, usize),
    /// Moves to a pool that it serves from a time on.
    Moves(usize, u64),
}

struct Instance {
    placement: Placement,
    busy: u32,
}

/// Measurements of one or more runs.
#[derive(Default)]
pub(crate) struct Measurements {
    idle_ms: u64,
    total_ms: u64,
    idle_between_bursts_ms: u64,
    between_bursts_ms: u64,
    moves: u64,
    in_time: u64,
    requests: u64,
    runs: u64,
}

impl Measurements {
    pub(crate) fn add(&mut self, other: &Self) {
        self.idle_ms += other.idle_ms;
        self.total_ms += other.total_ms;
        self.idle_between_bursts_ms += other.idle_between_bursts_ms;
        self.between_bursts_ms += other.between_bursts_ms;
        self.moves += other.moves;
        self.in_time += other.in_time;
        self.requests += other.requests;
        self.runs += 1;
    }

    pub(crate) fn idle_percent(&self) -> f64 {
        100.0 * self.idle_ms as f64 / self.total_ms as f64
    }

    pub(crate) fn idle_between_bursts_percent(&self) -> f64 {
        100.0 * self.idle_between_bursts_ms as f64 / self.between_bursts_ms as f64
    }

    pub(crate) fn moves_per_hour(&self) -> f64 {
        self.moves as f64 / self.runs as f64
    }

    pub(crate) fn in_time_percent(&self) -> f64 {
        100.0 * self.in_time as f64 / self.requests as f64
    }
}

/// State of one run.
pub(crate) struct Model<'a> {
    operator: &'a Operator,
    instances: Vec<Instance>,
    queues: Vec<VecDeque<Arrival>>,
    completions: BinaryHeap<Reverse<(u64, usize)>>,
    reported: Vec<Usage>,
    policy: Option<SparePolicy>,
    measurements: Measurements,
}

impl<'a> Model<'a> {
    pub(crate) fn new(operator: &'a Operator, total: u32, allocation: Allocation) -> Self {
        let weight = |index: usize| match allocation {
            Allocation::Even => 1,
            _ => operator.services[index].instances,
        };
        let weights: u32 = (0..5).map(weight).sum();
        let mut counts: Vec<u32> = (0..5)
            .map(|index| total * weight(index) / weights)
            .collect();
        if matches!(allocation, Allocation::Policy(_)) {
            // The spare pool starts with no more than its maximum.
            counts[4] = counts[4].min(operator.services[4].max_instances);
        }
        let mut index = 0;
        while counts.iter().sum::<u32>() < total {
            counts[index % 4] += 1;
            index += 1;
        }
        let instances = counts.iter().enumerate().flat_map(|(pool, count)| {
            let instance = move |_| Instance {
                placement: Placement::Serves(pool),
                busy: 0,
            };
            (0..*count).map(instance)
        });
        let policy = match allocation {
            Allocation::Policy(settings) => Some(SparePolicy::new(settings, Millis::ZERO)),
            _ => None,
        };
        Self {
            operator,
            instances: instances.collect(),
            queues: vec![VecDeque::new(); 5],
            completions: BinaryHeap::new(),
            reported: vec![Usage::Known { busy: 0, queued: 0 }; 5],
            policy,
            measurements: Measurements::default(),
        }
    }

    pub(crate) fn run(mut self, demand: &Demand) -> Measurements {
        let mut arrivals = demand.arrivals.iter().peekable();
        for now in (0..SIMULATION_MS).step_by(STEP_MS as usize) {
            while let Some(Reverse((at, instance))) = self.completions.peek().copied() {
                if at > now {
                    break;
                }
                self.completions.pop();
                self.instances[instance].busy -= 1;
            }
            while let Some(arrival) = arrivals.next_if(|arrival| arrival.at_ms <= now) {
                self.measurements.requests += 1;
                self.queues[arrival.service].push_back(*arrival);
            }
            self.advance_moves(now);
            self.dispatch(now);
            if now % REPORT_INTERVAL_MS == 0 {
                self.reported = (0..5).map(|pool| self.usage(pool)).collect();
            }
            // The policy runs after the report, later by the duration of a peer call.
            if now % POLICY_INTERVAL_MS == POLICY_INTERVAL_MS / 2 {
                self.run_policy(now);
            }
            let in_burst = |bursts: &Vec<(u64, u64)>| {
                let next = bursts.partition_point(|(_, end)| *end <= now);
                bursts.get(next).is_some_and(|(start, _)| *start <= now)
            };
            self.measure(demand.bursts.iter().map(in_burst).collect());
        }
        self.measurements
    }

    fn advance_moves(&mut self, now: u64) {
        for instance in &mut self.instances {
            instance.placement = match instance.placement {
                Placement::Drains(_, to) if instance.busy == 0 => {
                    Placement::Moves(to, now + MOVE_DURATION_MS)
                }
                Placement::Moves(to, at) if at <= now => Placement::Serves(to),
                placement => placement,
            };
        }
    }

    fn dispatch(&mut self, now: u64) {
        for pool in 0..5 {
            let deadline_ms = self.operator.services[pool].deadline_ms;
            for (index, instance) in self.instances.iter_mut().enumerate() {
                while instance.placement == Placement::Serves(pool) && instance.busy < SLOTS {
                    let Some(next) = self.queues[pool].pop_front() else {
                        break;
                    };
                    if now > next.at_ms + deadline_ms {
                        continue;
                    }
                    let end = now + next.duration_ms;
                    if end <= next.at_ms + deadline_ms {
                        self.measurements.in_time += 1;
                    }
                    instance.busy += 1;
                    self.completions.push(Reverse((end, index)));
                }
            }
        }
    }

    fn usage(&self, pool: usize) -> Usage {
        let occupies = |placement| match placement {
            Placement::Serves(from) | Placement::Drains(from, _) => from == pool,
            Placement::Moves(..) => false,
        };
        let used = self
            .instances
            .iter()
            .filter(|instance| occupies(instance.placement));
        Usage::Known {
            busy: used.map(|instance| instance.busy).sum(),
            queued: self.queues[pool].len() as u32,
        }
    }

    fn run_policy(&mut self, now: u64) {
        let Some(mut policy) = self.policy.take() else {
            return;
        };
        let names: Vec<Arc<str>> = (0..self.instances.len())
            .map(|index| format!("{index:03}").into())
            .collect();
        let pools: BTreeMap<Arc<str>, PoolSnapshot> = (0..5)
            .map(|pool| {
                (
                    self.operator.services[pool].name.into(),
                    self.pool(pool, &names),
                )
            })
            .collect();
        let snapshot = SpareSnapshot {
            pools,
            spare_instances: self.operator.spare_instances,
        };
        for next in policy.propose_moves(&snapshot, Millis::from_ms(now)) {
            let index: usize = next.instance.parse().unwrap_or_default();
            let mut services = self.operator.services.iter();
            let to = services.position(|service| service.name == &*next.to);
            if let (Placement::Serves(from), Some(to)) = (self.instances[index].placement, to) {
                self.instances[index].placement = Placement::Drains(from, to);
                self.measurements.moves += 1;
            }
        }
        self.policy = Some(policy);
    }

    fn pool(&self, pool: usize, names: &[Arc<str>]) -> PoolSnapshot {
        let service = self.operator.services[pool];
        let count_instances = |matches_placement: &dyn Fn(Placement) -> bool| {
            let matching = self
                .instances
                .iter()
                .filter(|instance| matches_placement(instance.placement));
            matching.count() as u32
        };
        let serving = self.instances.iter().zip(names);
        let serving = serving.filter(|(instance, _)| instance.placement == Placement::Serves(pool));
        PoolSnapshot {
            limits: PoolFields {
                min_instances: service.min_instances,
                max_instances: service.max_instances,
                spare: service.spare,
            },
            slots_per_instance: SLOTS,
            usage: self.reported[pool],
            assigned: serving
                .map(|(_, name)| PoolInstance {
                    zone: "zone".into(),
                    name: Arc::clone(name),
                })
                .collect(),
            arriving: count_instances(&|placement| match placement {
                Placement::Drains(_, to) | Placement::Moves(to, _) => to == pool,
                Placement::Serves(_) => false,
            }),
            out_of_service: count_instances(
                &|placement| matches!(placement, Placement::Drains(from, _) if from == pool),
            ),
        }
    }

    /// Adds one step to the measurements. An instance is idle while it runs no request; the time between
    /// bursts is that in which its pool has no burst.
    fn measure(&mut self, in_burst: Vec<bool>) {
        for instance in &self.instances {
            let (Placement::Serves(pool) | Placement::Drains(pool, _) | Placement::Moves(pool, _)) =
                instance.placement;
            let idle_ms = if instance.busy == 0 { STEP_MS } else { 0 };
            self.measurements.total_ms += STEP_MS;
            self.measurements.idle_ms += idle_ms;
            if !in_burst[pool] {
                self.measurements.between_bursts_ms += STEP_MS;
                self.measurements.idle_between_bursts_ms += idle_ms;
            }
        }
    }
}
