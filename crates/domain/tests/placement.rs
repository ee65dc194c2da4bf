//! Property tests of the planner against simulated workers, with lost, delayed and duplicate
//! messages.

#![allow(clippy::unwrap_used, reason = "test code fails loudly")]

mod placement_harness;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rosemaryscale_domain::placement::{PlacementRecord, Urgency};
use rosemaryscale_domain::prelude::*;

use placement_harness::worker::TaskFault;
use placement_harness::{PlacementHarness, TEAMS, WORKERS};

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
    DropMessages(u8),
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
            16 | 17 => Self::DropMessages(pick(g, 60) as u8),
            18 => Self::ChangeController,
            _ => Self::Wait(pick(g, 40_000)),
        }
    }
}

impl PlacementHarness {
    fn apply(&mut self, step: Step) {
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
            Step::Freeze(index, ms) => self.workers[index].frozen_until = self.now.after_ms(ms),
            Step::Restart(index) => drop(self.workers[index].restart()),
            Step::DropMessages(percent) => self.drop_percent = percent,
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

/// Guards against over-committed workers, exceeded quotas, lost jobs, jobs with two outcomes, and
/// two runs of a job that must not be repeated. The schedules freeze and restart workers, change
/// the controller, and lose, delay or duplicate messages.
#[test]
fn schedules_keep_the_invariants() {
    fn property(steps: Vec<Step>) -> bool {
        let mut harness = PlacementHarness::new();
        harness.run_ms(2_000);
        for step in steps {
            harness.apply(step);
        }
        // Without further faults, every job must reach exactly one outcome.
        harness.drop_percent = 0;
        for model in &mut harness.workers {
            model.frozen_until = Millis::ZERO;
        }
        for _ in 0..200 {
            harness.run_ms(5_000);
            let mut records = harness.store.values();
            if records.all(|(_, record)| matches!(record, PlacementRecord::Ended(_))) {
                break;
            }
        }
        for (name, (_, record)) in &harness.store {
            if !matches!(record, PlacementRecord::Ended(_)) {
                let lifecycle = harness
                    .planner
                    .job_named(name)
                    .and_then(|job| harness.planner.job(job));
                let violation = format!("{name} has no outcome: {record:?} {lifecycle:?}");
                harness.violations.push(violation);
            }
        }
        for (name, tracked) in &harness.jobs {
            if tracked.outcomes.len() > 1 {
                harness.violations.push(format!("{name} has two outcomes"));
            }
        }
        if !harness.violations.is_empty() {
            eprintln!(
                "{:?}",
                &harness.violations[..harness.violations.len().min(3)]
            );
        }
        harness.violations.is_empty()
    }
    check_schedules(property);
}
