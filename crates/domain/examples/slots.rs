//! Compares strategies for sharing the slots of a pool between daemons: fixed shares, leased slots,
//! and the power of two choices with exchanged counts of requests in flight.
//!
//! `cargo run --release -p rosemaryscale-domain --example slots`
//!
//! Every strategy gets the same arrivals and service times. Leased slots use the production code.

#[path = "slots/baseline.rs"]
mod baseline;
#[path = "../tests/support/cluster.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod cluster;

use baseline::{Baseline, Strategy};
use cluster::{Cluster, ClusterOptions, Event, Execution, Payload};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::slots::{SlotCapacity, SlotDirectory};

const DAEMONS: usize = 9;
const INSTANCES: usize = 9;
const SLOTS: u32 = 8;
const SEEDS: [u64; 3] = [1, 2, 3];
const SERVICE_MEAN_US: f64 = 100_000.0;
const SERVICE_SIGMA: f64 = 0.8;
/// Mean number of requests per second. Five times this rate exceeds the capacity of the pool by a
/// quarter.
const MEAN_PER_S: f64 = 180.0;
const BURST_US: u64 = 4_000_000;
const IDLE_US: u64 = 60_000_000;
const START_US: u64 = 3_000_000;
/// Overhead of a peer call in bytes: HTTP head, JSON-RPC frame and envelope. Estimated from the
/// text of a call.
const REQUEST_BYTES: u64 = 245;
const REPLY_BYTES: u64 = 230;

#[derive(Clone, Copy)]
struct Arrival {
    at_us: u64,
    daemon: usize,
    service_us: u64,
}

struct Scenario {
    name: &'static str,
    requests_per_s: f64,
    duration_us: u64,
    loaded_daemons: usize,
    delay_us: u64,
}

/// Results of one strategy in one scenario, summed over all seeds.
#[derive(Default)]
struct Outcome {
    executions: Vec<Execution>,
    window_us: u64,
    busy_us: u64,
    arrivals: u64,
    refused: u64,
    messages: u64,
    bytes: u64,
    bytes_max: u64,
}

fn main() {
    println!(
        "{:<22} {:>6} {:<16} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9}",
        "scenario",
        "delay",
        "way",
        "use",
        "refused",
        "p50 ms",
        "p99 ms",
        "max ms",
        "msg/s",
        "B/s",
        "B/s max"
    );
    for delay_us in [1_400, 900] {
        let burst = |name, loaded_daemons| Scenario {
            name,
            requests_per_s: MEAN_PER_S * 5.0,
            duration_us: BURST_US,
            loaded_daemons,
            delay_us,
        };
        let idle = Scenario {
            name: "rest",
            requests_per_s: MEAN_PER_S / 20.0,
            duration_us: IDLE_US,
            loaded_daemons: DAEMONS,
            delay_us,
        };
        for scenario in [burst("burst, 9 of 9", 9), burst("burst, 2 of 9", 2), idle] {
            measure(&scenario);
        }
    }
}

fn measure(scenario: &Scenario) {
    let mut fixed = Outcome::default();
    let mut leased = Outcome::default();
    let mut slow_exchange = Outcome::default();
    let mut fast_exchange = Outcome::default();
    for seed in SEEDS {
        let arrivals = arrivals(scenario, seed);
        run_leased(scenario, seed, &arrivals, &mut leased);
        run_baseline(scenario, seed, &arrivals, Strategy::Fixed, &mut fixed);
        let two_choices = |interval_us| Strategy::TwoChoices { interval_us };
        run_baseline(
            scenario,
            seed,
            &arrivals,
            two_choices(400_000),
            &mut slow_exchange,
        );
        run_baseline(
            scenario,
            seed,
            &arrivals,
            two_choices(50_000),
            &mut fast_exchange,
        );
    }
    fixed.print(scenario, "fixed");
    leased.print(scenario, "lent");
    slow_exchange.print(scenario, "two, 400 ms");
    fast_exchange.print(scenario, "two, 50 ms");
}

fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / scenario.requests_per_s * 1e6;
        if at >= scenario.duration_us as f64 {
            return arrivals;
        }
        let normal = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt()
            * (std::f64::consts::TAU * rng.random::<f64>()).cos();
        let mu = SERVICE_MEAN_US.ln() - SERVICE_SIGMA * SERVICE_SIGMA / 2.0;
        arrivals.push(Arrival {
            at_us: START_US + at as u64,
            daemon: rng.random_range(0..scenario.loaded_daemons),
            service_us: ((mu + SERVICE_SIGMA * normal).exp() as u64).clamp(1_000, 5_000_000),
        });
    }
}

fn run_leased(scenario: &Scenario, seed: u64, arrivals: &[Arrival], outcome: &mut Outcome) {
    let mut cluster = Cluster::new(ClusterOptions {
        seed,
        daemons: DAEMONS,
        instances: INSTANCES,
        capacity: SlotCapacity {
            slots: SLOTS,
            connections: 64,
            request_limit_ms: 15_000,
        },
        delay_us: (scenario.delay_us, scenario.delay_us),
        loss_ppm: 0,
        duplicate_ppm: 0,
        view_delay_us: 5_000,
    });
    cluster.size_of = size_of;
    cluster.run(START_US);
    cluster.messages.fill(0);
    cluster.message_bytes.fill(0);
    for arrival in arrivals {
        let event = Event::Arrive {
            daemon: arrival.daemon,
            service_us: arrival.service_us,
        };
        cluster.schedule(arrival.at_us - START_US, event);
    }
    let end = START_US + scenario.duration_us;
    cluster.run(end);
    outcome.record_messages(&cluster.messages, &cluster.message_bytes, scenario);
    cluster.run(end + 60_000_000);
    let refused = cluster.instances.values().map(|instance| instance.refused);
    outcome.refused += refused.sum::<u64>();
    outcome.add(scenario, &cluster.executions, arrivals.len());
}

fn run_baseline(
    scenario: &Scenario,
    seed: u64,
    arrivals: &[Arrival],
    strategy: Strategy,
    outcome: &mut Outcome,
) {
    let mut baseline = Baseline::new(strategy, scenario.delay_us, seed);
    baseline.run(arrivals, START_US + scenario.duration_us);
    outcome.record_messages(&baseline.messages, &baseline.bytes, scenario);
    baseline.run(&[], START_US + scenario.duration_us + 60_000_000);
    outcome.refused += baseline.refused;
    outcome.add(scenario, &baseline.executions, arrivals.len());
}

fn size_of(directory: &SlotDirectory, from: DaemonKey, to: DaemonKey, payload: &Payload) -> u64 {
    let json = |value: serde_json::Result<String>| value.map_or(0, |text| text.len() as u64);
    let list = |list| {
        json(serde_json::to_string(
            &directory.to_named_grant_list(from, to, list),
        ))
    };
    match payload {
        Payload::Report(report) => {
            let named = directory.to_named_report(from, report);
            REQUEST_BYTES + json(serde_json::to_string(&named))
        }
        Payload::Answer(grants) => REPLY_BYTES + list(grants),
        Payload::Push(grants) => REQUEST_BYTES + REPLY_BYTES + list(grants),
        Payload::Refused(..) => REPLY_BYTES,
    }
}

impl Outcome {
    fn add(&mut self, scenario: &Scenario, executions: &[Execution], arrivals: usize) {
        let (from, to) = (START_US, START_US + scenario.duration_us);
        self.window_us += scenario.duration_us;
        self.arrivals += arrivals as u64;
        for execution in executions {
            let end = (execution.started_us + execution.service_us).min(to);
            self.busy_us += end.saturating_sub(execution.started_us.max(from));
            self.executions.push(*execution);
        }
    }

    fn record_messages(&mut self, messages: &[u64], bytes: &[u64], scenario: &Scenario) {
        self.messages += messages.iter().sum::<u64>();
        self.bytes += bytes.iter().sum::<u64>();
        let max_bytes = bytes.iter().max().copied().unwrap_or_default();
        self.bytes_max = self
            .bytes_max
            .max(max_bytes * 1_000_000 / scenario.duration_us);
    }

    fn print(&self, scenario: &Scenario, strategy: &str) {
        let waits = self.executions.iter();
        let mut waits: Vec<u64> = waits
            .map(|execution| execution.started_us - execution.arrived_us)
            .collect();
        waits.sort_unstable();
        let percentile = |fraction: f64| {
            let index =
                ((waits.len() as f64 * fraction) as usize).min(waits.len().saturating_sub(1));
            waits.get(index).copied().unwrap_or_default() as f64 / 1e3
        };
        let slots = f64::from(SLOTS) * INSTANCES as f64;
        let utilization = self.busy_us as f64 / (self.window_us as f64 * slots);
        let daemon_seconds = self.window_us as f64 / 1e6 * DAEMONS as f64;
        println!(
            "{:<22} {:>6.1} {:<16} {:>5.1}% {:>8} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>8.0} {:>9}{}",
            scenario.name,
            scenario.delay_us as f64 / 1e3,
            strategy,
            utilization * 100.0,
            self.refused,
            percentile(0.5),
            percentile(0.99),
            percentile(1.0),
            self.messages as f64 / daemon_seconds,
            self.bytes as f64 / daemon_seconds,
            self.bytes_max,
            if self.executions.len() as u64 == self.arrivals {
                ""
            } else {
                " (unfinished)"
            },
        );
    }
}
