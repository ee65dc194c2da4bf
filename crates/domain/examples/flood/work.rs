//! Workload of a run: steady load of every class and a flood of one class.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::class_share::ClassPolicy;
use rosemaryscale_domain::dispatch::DispatchPolicy;
use rosemaryscale_domain::request::ClassIndex;

use crate::Scenario;

pub(crate) const CLASSES: usize = 3;
pub(crate) const NAMES: [&str; CLASSES] = ["urgent", "normal", "bulk"];
pub(crate) const URGENT: usize = 0;
pub(crate) const NORMAL: usize = 1;
pub(crate) const BULK: usize = 2;
pub(crate) const QUEUE_LIMIT: u32 = 2_000;
pub(crate) const RUN_MS: u64 = 60_000;
const FLOOD_START_MS: u64 = 10_000;
const FLOOD_END_MS: u64 = 40_000;
/// Load of the flood as a multiple of the slot capacity.
const FLOOD_LOAD: f64 = 5.0;
const CALLERS: u64 = 12;
const FLOOD_CALLERS: u64 = 4;

/// Steady load of a class.
struct SteadyLoad {
    /// Load as a fraction of the slot capacity.
    load: f64,
    service_ms: u64,
    deadline_ms: u64,
}

const STEADY: [SteadyLoad; CLASSES] = [
    SteadyLoad {
        load: 0.10,
        service_ms: 20,
        deadline_ms: 1_000,
    },
    SteadyLoad {
        load: 0.20,
        service_ms: 50,
        deadline_ms: 5_000,
    },
    SteadyLoad {
        load: 0.05,
        service_ms: 800,
        deadline_ms: 15_000,
    },
];

/// Class and mean service time of a flood.
#[derive(Clone, Copy)]
pub(crate) struct Flood {
    pub(crate) class: usize,
    pub(crate) service_ms: u64,
}

/// A generated request.
#[derive(Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    pub(crate) class: usize,
    pub(crate) caller: u64,
    pub(crate) service_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) is_flood: bool,
}

/// All requests of a run, and the number of usable slots in each phase.
pub(crate) struct Workload {
    pub(crate) slots: &'static [u32],
    pub(crate) arrivals: Vec<Arrival>,
}

/// Classes of the example document of Kalahari Draft Systems, in the order of [`NAMES`].
pub(crate) fn policy() -> DispatchPolicy {
    let class = |name: &str, weight, floor_ppm, queue_limit| ClassPolicy {
        name: name.into(),
        weight,
        floor_ppm,
        queue_limit,
    };
    DispatchPolicy {
        queue_limit: QUEUE_LIMIT,
        queue_limit_per_caller: 200,
        classes: vec![
            class(NAMES[URGENT], 4, 200_000, 600),
            class(NAMES[NORMAL], 2, 300_000, 1_000),
            class(NAMES[BULK], 1, 100_000, 1_000),
        ],
        fallback_class: ClassIndex(1),
        attempts_max: 4,
        retry_budget_ppm: 100_000,
    }
}

impl Workload {
    pub(crate) fn new(scenario: &Scenario, flood: Option<Flood>, seed: u64) -> Self {
        let slots = scenario.slots;
        let min_slots = slots.iter().copied().min().unwrap_or(1);
        let mut arrivals = Vec::new();
        for (class, steady) in STEADY.iter().enumerate() {
            let arrival_stream = ArrivalStream {
                class,
                load_slots: steady.load * scenario.steady * f64::from(min_slots),
                service_ms: steady.service_ms,
                callers: (0, CALLERS),
                is_flood: false,
            };
            arrivals.extend(arrival_stream.arrivals(0, RUN_MS, seed));
        }
        if let Some(flood) = flood {
            let max_slots = slots.iter().copied().max().unwrap_or(1);
            let arrival_stream = ArrivalStream {
                class: flood.class,
                load_slots: FLOOD_LOAD * f64::from(max_slots),
                service_ms: flood.service_ms,
                callers: (CALLERS, FLOOD_CALLERS),
                is_flood: true,
            };
            arrivals.extend(arrival_stream.arrivals(FLOOD_START_MS, FLOOD_END_MS, !seed));
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        Self { slots, arrivals }
    }
}

struct ArrivalStream {
    class: usize,
    load_slots: f64,
    service_ms: u64,
    callers: (u64, u64),
    is_flood: bool,
}

impl ArrivalStream {
    /// Generates Poisson arrivals with service times uniform between 0.5 and 1.5 times the mean.
    fn arrivals(&self, start_ms: u64, end_ms: u64, seed: u64) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(seed ^ self.class as u64);
        let mean_gap_ms = self.service_ms as f64 / self.load_slots;
        let mut at_ms = start_ms as f64;
        let mut arrivals = Vec::new();
        loop {
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            at_ms -= uniform.ln() * mean_gap_ms;
            if at_ms >= end_ms as f64 {
                return arrivals;
            }
            let half_ms = self.service_ms / 2;
            arrivals.push(Arrival {
                at_ms: at_ms as u64,
                class: self.class,
                caller: self.callers.0 + random.random_range(0..self.callers.1),
                service_ms: random.random_range(half_ms..=self.service_ms + half_ms),
                deadline_ms: STEADY[self.class].deadline_ms,
                is_flood: self.is_flood,
            });
        }
    }
}
