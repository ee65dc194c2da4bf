//! Demand that comes in bursts, a fifth of the time at five times the mean.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::operator::Operator;

pub(crate) const RUN_MS: u64 = 3_600_000;
/// Demand in a burst, in slots of the service's instances of today: more than its pool can hold.
const BURST_LOAD: f64 = 1.3;
/// Demand between bursts, in relation to that in a burst: a twentieth of the mean to five times it.
const REST_SHARE: f64 = 0.01;
const BURST_MS: (u64, u64) = (4_000, 12_000);
const PAUSE_MS: (u64, u64) = (16_000, 48_000);
const SLOTS: f64 = 8.0;

/// A request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    pub(crate) service: usize,
    pub(crate) run_ms: u64,
}

/// Requests and bursts of a run.
pub(crate) struct Demand {
    pub(crate) arrivals: Vec<Arrival>,
    /// Bursts of each service as start and end.
    pub(crate) bursts: Vec<Vec<(u64, u64)>>,
}

impl Demand {
    pub(crate) fn new(operator: &Operator, seed: u64) -> Self {
        let mut arrivals = Vec::new();
        let mut bursts = Vec::new();
        for (index, service) in operator.services.iter().enumerate() {
            let mut random = StdRng::seed_from_u64(seed.wrapping_mul(31) + index as u64);
            let slots = f64::from(service.instances) * SLOTS;
            let burst_rate = slots * BURST_LOAD / service.service_ms as f64;
            let mut own = Vec::new();
            let mut now = random.random_range(0..PAUSE_MS.1);
            let mut from = 0;
            while from < RUN_MS {
                let end = now + random.random_range(BURST_MS.0..BURST_MS.1);
                for (from, to, rate) in
                    [(from, now, burst_rate * REST_SHARE), (now, end, burst_rate)]
                {
                    let mut at = from as f64 + exponential(&mut random, rate);
                    while at < to as f64 {
                        let mean = 1.0 / service.service_ms as f64;
                        let run_ms = exponential(&mut random, mean).ceil() as u64;
                        arrivals.push(Arrival {
                            at_ms: at as u64,
                            service: index,
                            run_ms,
                        });
                        at += exponential(&mut random, rate);
                    }
                }
                own.push((now, end));
                from = end;
                now = end + random.random_range(PAUSE_MS.0..PAUSE_MS.1);
            }
            bursts.push(own);
        }
        arrivals.retain(|arrival| arrival.at_ms < RUN_MS);
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        Self { arrivals, bursts }
    }
}

fn exponential(random: &mut StdRng, rate: f64) -> f64 {
    -(1.0 - random.random::<f64>()).ln() / rate
}
