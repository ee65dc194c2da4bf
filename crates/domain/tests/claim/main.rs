//! Property tests of the claim tables of several daemons under seeded schedules of faults.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "tests fail loudly"
)]

mod model;
mod rules;

use model::{DAEMONS, World};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 0x5eed_c1a1;
const SCHEDULES: u64 = 600;
const STEPS: usize = 60;
/// Time for recovery at the end of a schedule; longer than every wait in the model.
const RECOVERY_MS: u64 = 20_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit {
        daemon: usize,
        key: u8,
        body: u8,
        wait_ms: u64,
        disconnect_after_ms: u64,
    },
    Advance {
        ms: u64,
    },
    Kill {
        daemon: usize,
    },
    Restart {
        daemon: usize,
    },
    Suspend {
        daemon: usize,
    },
    Resume {
        daemon: usize,
    },
    StoreDown {
        down: bool,
    },
    StoreDelay {
        ms: u64,
    },
    LoseReplies {
        count: u32,
    },
    Refuse {
        ppm: u32,
    },
}

#[derive(Clone, Debug)]
struct Schedule {
    seed: u64,
    steps: Vec<Step>,
}

fn choose<T: Copy>(generator: &mut Gen, values: &[T]) -> T {
    *generator.choose(values).unwrap()
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let daemon = usize::arbitrary(generator) % DAEMONS;
        match u8::arbitrary(generator) % 24 {
            0 => Self::Kill { daemon },
            1 => Self::Restart { daemon },
            2 => Self::Suspend { daemon },
            3 | 4 => Self::Resume { daemon },
            5 => Self::StoreDown {
                down: bool::arbitrary(generator),
            },
            6 => Self::StoreDelay {
                ms: choose(generator, &[2, 2, 50, 700]),
            },
            7 => Self::LoseReplies {
                count: choose(generator, &[1, 2, 5]),
            },
            8 => Self::Refuse {
                ppm: choose(generator, &[0, 300_000, 900_000]),
            },
            9..=14 => Self::Advance {
                ms: choose(generator, &[1, 10, 50, 300, 1_500]),
            },
            _ => Self::Submit {
                daemon,
                key: u8::arbitrary(generator) % 3,
                body: u8::from(u8::arbitrary(generator) % 12 == 0),
                wait_ms: choose(generator, &[50, 300, 1_500, 5_000]),
                disconnect_after_ms: choose(generator, &[0, 0, 0, 1, 200]),
            },
        }
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(generator: &mut Gen) -> Self {
        let steps = (0..STEPS).map(|_| Step::arbitrary(generator)).collect();
        Self {
            seed: u64::arbitrary(generator),
            steps,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let seed = self.seed;
        let original = self.clone();
        Box::new((0..self.steps.len()).map(move |index| {
            let mut steps = original.steps.clone();
            steps.remove(index);
            Self { seed, steps }
        }))
    }
}

fn apply_step(world: &mut World, step: Step) {
    match step {
        Step::Submit {
            daemon,
            key,
            body,
            wait_ms,
            disconnect_after_ms,
        } => {
            world.submit(daemon, key, body, wait_ms, disconnect_after_ms);
        }
        Step::Advance { ms } => world.advance_time(ms),
        Step::Kill { daemon } => world.kill(daemon),
        Step::Restart { daemon } => world.restart(daemon),
        Step::Suspend { daemon } => world.suspend(daemon),
        Step::Resume { daemon } => world.resume(daemon),
        Step::StoreDown { down } => world.store_down = down,
        Step::StoreDelay { ms } => world.store_delay_ms = ms,
        Step::LoseReplies { count } => world.lose_replies = count,
        Step::Refuse { ppm } => world.refuse_ppm = ppm,
    }
}

/// Guards against a key that runs twice, an incorrect "not run", the outcome of another key or
/// body, and a request that is never answered. The schedules contain lost replies, delayed writes,
/// store outages, and killed and suspended daemons.
#[test]
fn each_key_runs_at_most_once_under_faults() {
    fn every_request_is_answered(schedule: Schedule) -> bool {
        let mut world = World::new(schedule.seed);
        for step in schedule.steps {
            apply_step(&mut world, step);
        }
        (world.store_down, world.store_delay_ms, world.lose_replies) = (false, 2, 0);
        (0..DAEMONS).for_each(|index| world.resume(index));
        world.advance_time(RECOVERY_MS);
        world.unanswered() == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(SCHEDULES)
        .quickcheck(every_request_is_answered as fn(Schedule) -> bool);
}

/// Guards against a claim that blocks its key although its request was not run. The release is
/// stored before the caller is answered, so the key is free even if its holder has terminated.
#[test]
fn a_refused_request_can_be_retried_at_any_daemon() {
    for seed in 0..200 {
        let mut world = World::new(seed);
        world.refuse_ppm = 1_000_000;
        world.submit(0, 1, 0, 2_000, 0);
        world.advance_time(1_000);
        assert_eq!((world.answered, world.runs(1)), (1, 0));
        world.refuse_ppm = 0;
        world.kill(0);
        world.submit(1, 1, 0, 5_000, 0);
        world.advance_time(5_000);
        assert_eq!((world.answered, world.runs(1)), (2, 1));
    }
}

/// Guards against a key that can never be retried because its release could not be written. The
/// holder's promise to the peer frees the key.
#[test]
fn a_claim_given_up_in_an_outage_is_freed_by_its_holder() {
    for seed in 0..200 {
        let mut world = World::new(seed);
        world.lose_replies = 1;
        world.submit(0, 1, 0, 40, 0);
        world.advance_time(6);
        world.store_down = true;
        world.advance_time(6_000);
        assert_eq!((world.answered, world.runs(1)), (1, 0), "seed {seed}");
        world.store_down = false;
        world.submit(1, 1, 0, 5_000, 0);
        world.advance_time(5_000);
        assert_eq!((world.answered, world.runs(1)), (2, 1), "seed {seed}");
    }
}

/// Guards against a request that is mistaken for a duplicate of itself after the reply to the write
/// of its claim was lost. The claim is recognised by its nonce when it is read back, and the
/// request runs.
#[test]
fn a_claim_is_read_back_after_a_lost_reply() {
    for seed in 0..200 {
        let mut world = World::new(seed);
        world.refuse_ppm = 0;
        world.lose_replies = 1;
        world.submit(0, 1, 0, 10_000, 0);
        world.advance_time(10_000);
        assert_eq!((world.answered, world.runs(1)), (1, 1), "seed {seed}");
    }
}

/// Guards against one write per request. Requests that arrive while a write is in flight share the
/// next write.
#[test]
fn concurrent_requests_share_writes() {
    let mut world = World::new(1);
    world.store_delay_ms = 50;
    for key in 0..200 {
        world.submit(0, key, 0, 5_000, 0);
    }
    world.advance_time(5_000);
    assert_eq!(world.answered, 200);
    assert!(world.writes() <= 32, "{} writes", world.writes());
}
