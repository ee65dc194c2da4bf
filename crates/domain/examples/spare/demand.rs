//! Demand with bursts: a fifth of the time at five times the mean.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::operator::Operator;

pub(crate) const SIMULATION_MS: u64 = 3_600_000;
/// Demand during a burst, relative to the slots of the service's current instances: more than its pool
/// can serve.
const BURST_LOAD: f64 = 1.3;
/// Demand between bursts, relative to that during a burst: the ratio of a twentieth of the mean to five
/// times the mean.
const GAP_LOAD_RATIO: f64 = 0.01;
const BURST_MS: (u64, u64) = (4_000, 12_000);
const BURST_GAP_MS: (u64, u64) = (16_000, 48_000);
const SLOTS: f64 = 8.0;

/// Arrival of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    pub(crate) service: usize,
    pub(crate) duration_ms: u64,
}

/// Requests and bursts of one run.
pub(crate) struct Demand {
    pub(crate) arrivals: Vec<Arrival>,
    /// Start and end of each burst, by service.
    pub(crate) bursts: Vec<Vec<(u64, u64)>>,
}

impl Demand {
    pub(crate) fn new(operator: &Operator, seed: u64) -> Self {
        let mut arrivals = Vec::new();
        let mut bursts = Vec::new();
        for (index, service) in operator.services.iter().enumerate() {
            let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(31) + index as u64);
            let slots = f64::from(service.instances) * SLOTS;
            let burst_rate = slots * BURST_LOAD / service.service_ms as f64;
            let mut service_bursts = Vec::new();
            let mut now = rng.random_range(0..BURST_GAP_MS.1);
            let mut start = 0;
            while start < SIMULATION_MS {
                let end = now + rng.random_range(BURST_MS.0..BURST_MS.1);
                for (start, to, rate) in [
                    (start, now, burst_rate * GAP_LOAD_RATIO),
                    (now, end, burst_rate),
                ] {
                    let mut at = start as f64 + exponential(&mut rng, rate);
                    while at < to as f64 {
                        let mean = 1.0 / service.service_ms as f64;
                        let duration_ms = exponential(&mut rng, mean).ceil() as u64;
                        arrivals.push(Arrival {
                            at_ms: at as u64,
                            service: index,
                            duration_ms,
                        });
                        at += exponential(&mut rng, rate);
                    }
                }
                service_bursts.push((now, end));
                start = end;
                now = end + rng.random_range(BURST_GAP_MS.0..BURST_GAP_MS.1);
            }
            bursts.push(service_bursts);
        }
        arrivals.retain(|arrival| arrival.at_ms < SIMULATION_MS);
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        Self { arrivals, bursts }
    }
}

fn exponential(rng: &mut StdRng, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}
