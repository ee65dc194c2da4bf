//! Schedules over the planner and models of its workers, with lost, late and repeated messages.

#![allow(clippy::unwrap_used, reason = "test code fails loudly")]

mod placement_world;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rosemaryscale_domain::placement::{JobRecord, Urgency};
use rosemaryscale_domain::prelude::*;

use placement_world::worker::TaskFault;
use placement_world::{TEAMS, WORKERS, World};

const SEEDS: [u64; 3] = [3, 20_261_204, 0x5eed];

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit {
        team: usize,
        urgency: Urgency,
        repeatable: bool,
        processors: u64,
        run_ms: u64,
        fails: bool,
    },
    Cancel(usize),
    Freeze(usize, u64),
    Restart(usize),
    Lose(u8),
    ChangeController,
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = |g: &mut Gen, below: u64| u64::arbitrary(g) % below;
        match pick(g, 24) {
            0..=10 => Self::Submit {
                team: pick(g, TEAMS as u64) as usize,
                urgency: [Urgency::Low, Urgency::Normal, Urgency::Urgent][pick(g, 3) as usize],
                repeatable: bool::arbitrary(g),
                processors: 1_000 * (1 + pick(g, 8)),
                run_ms: 1_000 + pick(g, 60_000),
                fails: pick(g, 10) == 0,
            },
            11 | 12 => Self::Cancel(pick(g, 64) as usize),
            13 | 14 => Self::Freeze(pick(g, WORKERS as u64) as usize, 30_000 + pick(g, 150_000)),
            15 => Self::Restart(pick(g, WORKERS as u64) as usize),
            16 | 17 => Self::Lose(pick(g, 60) as u8),
            18 => Self::ChangeController,
            _ => Self::Wait(pick(g, 40_000)),
        }
    }
}

impl World {
    fn take(&mut self, step: Step) {
        match step {
            Step::Submit {
                team,
                urgency,
                repeatable,
                processors,
                run_ms,
                fails,
            } => {
                let mut info = self.info(team, urgency, processors);
                info.repeatable = repeatable;
                info.checkpointable = run_ms % 3 != 0;
                let fault = if fails {
                    TaskFault::Fails
                } else {
                    TaskFault::None
                };
                self.submit(info, run_ms, fault);
            }
            Step::Cancel(index) => {
                let name: Arc<str> = format!("job-{index}").into();
                if let Some(job) = self.planner.job_named(&name) {
                    self.planner.cancel(job, self.now);
                }
            }
            Step::Freeze(index, ms) => self.models[index].frozen_until = self.now.after_ms(ms),
            Step::Restart(index) => drop(self.models[index].restart()),
            Step::Lose(percent) => self.lose_percent = percent,
            Step::ChangeController => self.change_controller(),
            Step::Wait(ms) => self.run_ms(ms),
        }
    }
}

fn check_schedules(property: fn(Vec<Step>) -> bool) {
    for seed in SEEDS {
        let source = Gen::from_size_and_seed(40, seed);
        QuickCheck::new()
            .rng(source)
            .tests(100)
            .quickcheck(property);
    }
}

/// Guards against over-committed workers, exceeded quotas, lost jobs, two ends of a job, and two
/// runs of a job that must not be repeated, under freezes, restarts, controller changes and lost,
/// late or repeated messages.
#[test]
fn schedules_keep_the_rules() {
    fn property(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        world.run_ms(2_000);
        for step in steps {
            world.take(step);
        }
        // Faults end; every job must come to one end.
        world.lose_percent = 0;
        for model in &mut world.models {
            model.frozen_until = Millis::ZERO;
        }
        for _ in 0..200 {
            world.run_ms(5_000);
            let mut records = world.store.values();
            if records.all(|(_, record)| matches!(record, JobRecord::Ended(_))) {
                break;
            }
        }
        for (name, (_, record)) in &world.store {
            if !matches!(record, JobRecord::Ended(_)) {
                let life = world
                    .planner
                    .job_named(name)
                    .and_then(|job| world.planner.job(job));
                let lost = format!("{name} has no end: {record:?} {life:?}");
                world.violations.push(lost);
            }
        }
        for (name, known) in &world.jobs {
            if known.outcomes.len() > 1 {
                world.violations.push(format!("{name} ended twice"));
            }
        }
        if !world.violations.is_empty() {
            eprintln!("{:?}", &world.violations[..world.violations.len().min(3)]);
        }
        world.violations.is_empty()
    }
    check_schedules(property);
}
