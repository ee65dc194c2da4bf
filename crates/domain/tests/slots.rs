//! Randomized fault schedules for slot leasing between several simulated daemons.

#[path = "support/cluster.rs"]
mod cluster;

use cluster::{Cluster, ClusterOptions, Event};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::Rng;
use rosemaryscale_domain::slots::SlotCapacity;

const SEED: u64 = 0x5107;
const MS: u64 = 1_000;

/// One step of a fault schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    Burst { daemon: u8, requests: u8 },
    Advance { ms: u16 },
    Kill { daemon: u8 },
    Restart { daemon: u8 },
    Freeze { daemon: u8, ms: u16 },
    Isolate { ms: u16 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let daemon = u8::arbitrary(g);
        let ms = u16::arbitrary(g);
        match u8::arbitrary(g) % 10 {
            0..=3 => Self::Burst {
                daemon,
                requests: u8::arbitrary(g),
            },
            4..=5 => Self::Advance { ms: ms % 4_000 },
            6 => Self::Kill { daemon },
            7 => Self::Restart { daemon },
            8 => Self::Isolate { ms: ms % 20_000 },
            _ => Self::Freeze {
                daemon,
                ms: ms % 12_000,
            },
        }
    }
}

#[derive(Clone, Debug)]
struct Schedule {
    seed: u64,
    loss_ppm: u32,
    view_delay_ms: u16,
    /// Whether daemon 0 is cut off from the platform at times. Other faults are then limited to
    /// daemon 3, since a daemon whose known peers are all gone cannot learn of a newer view. This
    /// double fault is a documented limitation.
    with_isolation: bool,
    steps: Vec<Step>,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let is_lossy = bool::arbitrary(g);
        Self {
            seed: u64::arbitrary(g),
            loss_ppm: if is_lossy {
                u32::arbitrary(g) % 200_000
            } else {
                0
            },
            view_delay_ms: u16::arbitrary(g) % 1_500 + 1,
            with_isolation: bool::arbitrary(g),
            steps: (0..24).map(|_| Step::arbitrary(g)).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let schedule = self.clone();
        let shrunk = (0..self.steps.len()).map(move |index| {
            let mut shrunk = schedule.clone();
            shrunk.steps.remove(index);
            shrunk
        });
        Box::new(shrunk)
    }
}

fn capacity() -> SlotCapacity {
    SlotCapacity {
        slots: 8,
        connections: 64,
        request_limit_ms: 3_000,
    }
}

fn options(seed: u64, daemons: usize, instances: usize) -> ClusterOptions {
    ClusterOptions {
        seed,
        daemons,
        instances,
        capacity: capacity(),
        delay_us: (500, 3_000),
        loss_ppm: 0,
        duplicate_ppm: 0,
        view_delay_us: 5_000,
    }
}

fn burst(cluster: &mut Cluster, daemon: usize, requests: usize) {
    for _ in 0..requests {
        // Some executions outlive the lease under which they were sent.
        let max_service_ms = if cluster.rng.random_range(0..6) == 0 {
            2_900
        } else {
            400
        };
        let service_us = cluster.rng.random_range(1..max_service_ms) * MS;
        let delay = cluster.rng.random_range(0..500) * MS;
        cluster.schedule(delay, Event::Arrive { daemon, service_us });
    }
}

fn run_schedule(schedule: &Schedule) -> Cluster {
    let mut options = options(schedule.seed, 4, 3);
    options.loss_ppm = schedule.loss_ppm;
    options.duplicate_ppm = schedule.loss_ppm;
    options.view_delay_us = u64::from(schedule.view_delay_ms) * MS;
    if schedule.loss_ppm > 0 {
        options.delay_us = (500, 80_000);
    }
    let mut cluster = Cluster::new(options);
    let faulty_daemon = |daemon: u8| {
        if schedule.with_isolation {
            3
        } else {
            usize::from(daemon) % 4
        }
    };
    for step in &schedule.steps {
        match *step {
            Step::Burst { daemon, requests } => {
                burst(&mut cluster, usize::from(daemon) % 4, usize::from(requests));
            }
            Step::Advance { ms } => cluster.run(cluster.now_us + u64::from(ms) * MS),
            Step::Kill { daemon } => cluster.kill(faulty_daemon(daemon)),
            Step::Restart { daemon } => cluster.restart(faulty_daemon(daemon)),
            Step::Isolate { ms } if schedule.with_isolation => {
                cluster.isolate(0, u64::from(ms) * MS)
            }
            Step::Isolate { .. } => {}
            Step::Freeze { daemon, ms } => {
                cluster.freeze(faulty_daemon(daemon), u64::from(ms) * MS);
            }
        }
    }
    cluster
}

/// Restarts killed daemons and removes the network faults, then runs until every request has ended
/// and all withheld slots must have been released. Returns whether every request has ended.
fn settle(cluster: &mut Cluster) -> bool {
    for daemon in 0..4 {
        cluster.restart(daemon);
    }
    cluster.options.loss_ppm = 0;
    cluster.options.duplicate_ppm = 0;
    let mut seconds = 0;
    while seconds < 300 && (seconds < 20 || !cluster.is_idle()) {
        cluster.run(cluster.now_us + 1_000 * MS);
        seconds += 1;
    }
    cluster.run(cluster.now_us + 5_000 * MS);
    cluster.is_idle()
}

fn check_property(property: fn(Schedule) -> bool, tests: u64) {
    let gen_size = 24;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(gen_size, SEED))
        .tests(tests)
        .quickcheck(property);
}

/// Guards against an instance that receives more requests than it has slots. This can happen when
/// messages are lost, duplicated or reordered, when daemons are killed, frozen or replaced, or when
/// they have different views of the membership.
#[test]
fn usable_slots_never_exceed_the_limit() {
    fn holds(schedule: Schedule) -> bool {
        let mut cluster = run_schedule(&schedule);
        let is_idle = settle(&mut cluster);
        for violation in cluster.violations.iter().take(3) {
            eprintln!("{violation}");
        }
        let refused: u64 = cluster
            .instances
            .values()
            .map(|instance| instance.refused)
            .sum();
        is_idle && cluster.violations.is_empty() && refused == 0
    }
    check_property(holds, 150);
}

/// Guards against slots that stay withheld or granted after their holder is gone.
#[test]
fn no_slot_is_lost_after_faults() {
    fn holds(schedule: Schedule) -> bool {
        let mut cluster = run_schedule(&schedule);
        settle(&mut cluster);
        for _ in 0..200 {
            cluster.schedule(
                0,
                Event::Arrive {
                    daemon: 1,
                    service_us: 1_500 * MS,
                },
            );
        }
        cluster.run(cluster.now_us + 1_000 * MS);
        let usable = cluster.usable(1);
        if usable != 24 {
            eprintln!("daemon 1 may use {usable} of 24 slots");
        }
        usable == 24
    }
    check_property(holds, 60);
}

/// Guards against starvation: a daemon whose requests wait forever while others keep all slots.
#[test]
fn every_daemon_gets_slots_under_contention() {
    let mut cluster = Cluster::new(options(SEED, 9, 1));
    cluster.run(cluster.now_us + 1_000 * MS);
    for daemon in 0..9 {
        for _ in 0..600 {
            cluster.schedule(
                0,
                Event::Arrive {
                    daemon,
                    service_us: 100 * MS,
                },
            );
        }
    }
    cluster.run(cluster.now_us + 30_000 * MS);
    assert_eq!(cluster.violations, Vec::<String>::new());
    let done = &cluster.completed;
    let least = *done.iter().min().unwrap();
    let most = *done.iter().max().unwrap();
    assert!(least * 2 > most, "{done:?}");
    assert!(done.iter().sum::<u64>() > 2_000, "{done:?}");
}

/// Guards against a burst at one daemon that waits for many round trips or for leases to expire.
#[test]
fn a_burst_at_one_daemon_gets_all_slots_within_a_few_round_trips() {
    let mut cluster = Cluster::new(options(SEED, 9, 9));
    cluster.options.delay_us = (1_400, 1_400);
    cluster.run(cluster.now_us + 2_000 * MS);
    for _ in 0..300 {
        cluster.schedule(
            0,
            Event::Arrive {
                daemon: 4,
                service_us: 1_000 * MS,
            },
        );
    }
    cluster.run(cluster.now_us + 4 * MS);
    assert!(
        cluster.usable(4) >= 54,
        "{} after one round trip",
        cluster.usable(4)
    );
    cluster.run(cluster.now_us + 26 * MS);
    assert_eq!(cluster.usable(4), 72);
}

/// Guards against excessive messages between idle daemons. Each daemon confirms its view with one
/// report and its answer every 2 s, which makes 540 messages per minute for nine daemons.
#[test]
fn idle_daemons_send_few_messages() {
    let mut cluster = Cluster::new(options(SEED, 9, 9));
    burst(&mut cluster, 2, 200);
    cluster.run(cluster.now_us + 10_000 * MS);
    let before: u64 = cluster.messages.iter().sum();
    cluster.run(cluster.now_us + 60_000 * MS);
    let sent = cluster.messages.iter().sum::<u64>() - before;
    assert!(sent <= 560, "{sent}");
}
