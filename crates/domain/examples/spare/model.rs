//! A loop over arrivals, ends, reports and moves around the policy.
//!
//! Usage is reported with a delay; a move waits for the instance's requests and a fixed time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;

use rosemaryscale_domain::Millis;
use rosemaryscale_domain::document::PoolFields;
use rosemaryscale_domain::spare::{
    PoolInstance, PoolState, SparePolicy, SpareSettings, SpareSnapshot, Usage,
};

use crate::demand::{Arrival, Demand, RUN_MS};
use crate::operator::Operator;

const SLOTS: u32 = 8;
const STEP_MS: u64 = 10;
const REPORT_MS: u64 = 500;
const PLAN_MS: u64 = 200;
/// Two writes, the questions between them, and the interval at which members are asked.
const MOVE_MS: u64 = 700;

/// Who splits the instances.
#[derive(Clone, Copy)]
pub(crate) enum Planner {
    /// In proportion to today's sizes, for good.
    Today,
    /// In equal parts, for good.
    Even,
    /// From today's sizes on by the policy.
    Policy(SpareSettings),
}

#[derive(Clone, Copy, PartialEq)]
enum Place {
    Serves(usize),
    Drains(usize, usize),
    Moves(usize, u64),
}

struct Instance {
    place: Place,
    busy: u32,
}

/// What a run measured.
#[derive(Default)]
pub(crate) struct Figures {
    idle_ms: u64,
    total_ms: u64,
    idle_at_rest_ms: u64,
    at_rest_ms: u64,
    moves: u64,
    in_time: u64,
    requests: u64,
    runs: u64,
}

impl Figures {
    pub(crate) fn add(&mut self, other: &Self) {
        self.idle_ms += other.idle_ms;
        self.total_ms += other.total_ms;
        self.idle_at_rest_ms += other.idle_at_rest_ms;
        self.at_rest_ms += other.at_rest_ms;
        self.moves += other.moves;
        self.in_time += other.in_time;
        self.requests += other.requests;
        self.runs += 1;
    }

    pub(crate) fn idle_percent(&self) -> f64 {
        100.0 * self.idle_ms as f64 / self.total_ms as f64
    }

    pub(crate) fn idle_at_rest_percent(&self) -> f64 {
        100.0 * self.idle_at_rest_ms as f64 / self.at_rest_ms as f64
    }

    pub(crate) fn moves_per_hour(&self) -> f64 {
        self.moves as f64 / self.runs as f64
    }

    pub(crate) fn in_time_percent(&self) -> f64 {
        100.0 * self.in_time as f64 / self.requests as f64
    }
}

/// State of a run.
pub(crate) struct Model<'a> {
    operator: &'a Operator,
    instances: Vec<Instance>,
    queues: Vec<VecDeque<Arrival>>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    reported: Vec<Usage>,
    policy: Option<SparePolicy>,
    figures: Figures,
}

impl<'a> Model<'a> {
    pub(crate) fn new(operator: &'a Operator, total: u32, planner: Planner) -> Self {
        let weight = |index: usize| match planner {
            Planner::Even => 1,
            _ => operator.services[index].instances,
        };
        let weights: u32 = (0..5).map(weight).sum();
        let mut counts: Vec<u32> = (0..5)
            .map(|index| total * weight(index) / weights)
            .collect();
        if matches!(planner, Planner::Policy(_)) {
            // The spare pool takes no more than its maximum from the start.
            counts[4] = counts[4].min(operator.services[4].max_instances);
        }
        let mut index = 0;
        while counts.iter().sum::<u32>() < total {
            counts[index % 4] += 1;
            index += 1;
        }
        let instances = counts.iter().enumerate().flat_map(|(pool, count)| {
            let instance = move |_| Instance {
                place: Place::Serves(pool),
                busy: 0,
            };
            (0..*count).map(instance)
        });
        let policy = match planner {
            Planner::Policy(settings) => Some(SparePolicy::new(settings, Millis::ZERO)),
            _ => None,
        };
        Self {
            operator,
            instances: instances.collect(),
            queues: vec![VecDeque::new(); 5],
            ends: BinaryHeap::new(),
            reported: vec![Usage::Known { busy: 0, queued: 0 }; 5],
            policy,
            figures: Figures::default(),
        }
    }

    pub(crate) fn run(mut self, demand: &Demand) -> Figures {
        let mut arrivals = demand.arrivals.iter().peekable();
        for now in (0..RUN_MS).step_by(STEP_MS as usize) {
            while let Some(Reverse((at, instance))) = self.ends.peek().copied() {
                if at > now {
                    break;
                }
                self.ends.pop();
                self.instances[instance].busy -= 1;
            }
            while let Some(arrival) = arrivals.next_if(|arrival| arrival.at_ms <= now) {
                self.figures.requests += 1;
                self.queues[arrival.service].push_back(*arrival);
            }
            self.follow_moves(now);
            self.dispatch(now);
            if now % REPORT_MS == 0 {
                self.reported = (0..5).map(|pool| self.usage(pool)).collect();
            }
            // The plan comes after the report by the time of a peer call.
            if now % PLAN_MS == PLAN_MS / 2 {
                self.plan(now);
            }
            let in_burst = |bursts: &Vec<(u64, u64)>| {
                let next = bursts.partition_point(|(_, end)| *end <= now);
                bursts.get(next).is_some_and(|(start, _)| *start <= now)
            };
            self.measure(demand.bursts.iter().map(in_burst).collect());
        }
        self.figures
    }

    fn follow_moves(&mut self, now: u64) {
        for instance in &mut self.instances {
            instance.place = match instance.place {
                Place::Drains(_, to) if instance.busy == 0 => Place::Moves(to, now + MOVE_MS),
                Place::Moves(to, at) if at <= now => Place::Serves(to),
                place => place,
            };
        }
    }

    fn dispatch(&mut self, now: u64) {
        for pool in 0..5 {
            let deadline_ms = self.operator.services[pool].deadline_ms;
            for (index, instance) in self.instances.iter_mut().enumerate() {
                while instance.place == Place::Serves(pool) && instance.busy < SLOTS {
                    let Some(next) = self.queues[pool].pop_front() else {
                        break;
                    };
                    if now > next.at_ms + deadline_ms {
                        continue;
                    }
                    let end = now + next.run_ms;
                    if end <= next.at_ms + deadline_ms {
                        self.figures.in_time += 1;
                    }
                    instance.busy += 1;
                    self.ends.push(Reverse((end, index)));
                }
            }
        }
    }

    fn usage(&self, pool: usize) -> Usage {
        let uses = |place| match place {
            Place::Serves(own) | Place::Drains(own, _) => own == pool,
            Place::Moves(..) => false,
        };
        let own = self.instances.iter().filter(|own| uses(own.place));
        Usage::Known {
            busy: own.map(|own| own.busy).sum(),
            queued: self.queues[pool].len() as u32,
        }
    }

    fn plan(&mut self, now: u64) {
        let Some(mut policy) = self.policy.take() else {
            return;
        };
        let names: Vec<Arc<str>> = (0..self.instances.len())
            .map(|index| format!("{index:03}").into())
            .collect();
        let pools: BTreeMap<Arc<str>, PoolState> = (0..5)
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
        for next in policy.propose(&snapshot, Millis::from_ms(now)) {
            let index: usize = next.instance.parse().unwrap_or_default();
            let mut services = self.operator.services.iter();
            let to = services.position(|service| service.name == &*next.to);
            if let (Place::Serves(from), Some(to)) = (self.instances[index].place, to) {
                self.instances[index].place = Place::Drains(from, to);
                self.figures.moves += 1;
            }
        }
        self.policy = Some(policy);
    }

    fn pool(&self, pool: usize, names: &[Arc<str>]) -> PoolState {
        let service = self.operator.services[pool];
        let placed = |wanted: &dyn Fn(Place) -> bool| {
            let own = self.instances.iter().filter(|own| wanted(own.place));
            own.count() as u32
        };
        let serving = self.instances.iter().zip(names);
        let serving = serving.filter(|(own, _)| own.place == Place::Serves(pool));
        PoolState {
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
            arriving: placed(&|place| match place {
                Place::Drains(_, to) | Place::Moves(to, _) => to == pool,
                Place::Serves(_) => false,
            }),
            out_of_service: placed(
                &|place| matches!(place, Place::Drains(from, _) if from == pool),
            ),
        }
    }

    /// An instance is idle while it runs nothing; at rest means that its pool is in no burst.
    fn measure(&mut self, in_burst: Vec<bool>) {
        for instance in &self.instances {
            let (Place::Serves(pool) | Place::Drains(pool, _) | Place::Moves(pool, _)) =
                instance.place;
            let idle_ms = if instance.busy == 0 { STEP_MS } else { 0 };
            self.figures.total_ms += STEP_MS;
            self.figures.idle_ms += idle_ms;
            if !in_burst[pool] {
                self.figures.at_rest_ms += STEP_MS;
                self.figures.idle_at_rest_ms += idle_ms;
            }
        }
    }
}
