//! Tests of the spare policy under random loads, wrong usage reports and lost writes.

#![allow(clippy::unwrap_used, reason = "test code fails loudly")]

use rosemaryscale_domain::member::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rosemaryscale_domain::Millis;
use rosemaryscale_domain::document::PoolFields;
use rosemaryscale_domain::spare::{
    PoolInstance, PoolSnapshot, ServiceUsage, SpareMove, SparePolicy, SpareSettings, SpareSnapshot,
    Usage, UsageReport, UsageReporter, UsageReports, WARM_UP_MS,
};

const SEEDS: [u64; 3] = [0x5eed, 71, 2_026];
const SCHEDULES_PER_SEED: u64 = 150;
const STEPS: usize = 200;
const SLOTS: u32 = 8;
const SPARE_INSTANCES: u32 = 5;
const POOLS: [(&str, u32, u32, usize); 4] = [
    ("backoffice", 2, 8, 7),
    ("dispatch", 3, 12, 5),
    ("quotes", 2, 14, 6),
    ("stores", 4, 9, 6),
];
const SETTINGS: SpareSettings = SpareSettings::DEFAULT;

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// A pool's usage is reported, correctly or not.
    Report(usize, u32, u32),
    /// The report of a daemon that used the pool expires.
    ReportExpires(usize),
    /// The policy proposes moves, which are written if true.
    Propose(bool),
    /// All moves complete.
    Arrive,
    /// Time passes.
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let number = |source: &mut Gen, bound: u32| u32::arbitrary(source) % bound;
        let pool = number(source, 4) as usize;
        match number(source, 12) {
            0 | 1 => Self::Report(pool, number(source, 120), number(source, 60)),
            2 => Self::Report(pool, 0, 0),
            3 => Self::Report(pool, u32::MAX, u32::MAX),
            4 => Self::ReportExpires(pool),
            5..=7 => Self::Propose(number(source, 5) > 0),
            8 => Self::Arrive,
            _ => Self::Wait(u64::from(number(source, 4_000))),
        }
    }
}

/// Simulated pools, the policy under test and the time.
struct Simulation {
    snapshot: SpareSnapshot,
    policy: SparePolicy,
    moving: Vec<SpareMove>,
    now: Millis,
    moves: Vec<(Millis, SpareMove)>,
}

impl Simulation {
    fn new() -> Self {
        let pool = |(name, min_instances, max_instances, count): (&str, u32, u32, usize)| {
            let limits = PoolFields {
                min_instances,
                max_instances,
                spare: name == "backoffice",
            };
            let instance = |number: usize| PoolInstance {
                zone: format!("zone-{}", number % 3).into(),
                name: format!("{name}-{number}").into(),
            };
            let snapshot = PoolSnapshot {
                limits,
                slots_per_instance: SLOTS,
                usage: Usage::Known { busy: 0, queued: 0 },
                assigned: (0..count).map(instance).collect(),
                arriving: 0,
                out_of_service: 0,
            };
            (Arc::from(name), snapshot)
        };
        let snapshot = SpareSnapshot {
            pools: POOLS.into_iter().map(pool).collect(),
            spare_instances: SPARE_INSTANCES,
        };
        Self {
            snapshot,
            policy: SparePolicy::new(SETTINGS, Millis::ZERO),
            moving: Vec::new(),
            now: Millis::ZERO,
            moves: Vec::new(),
        }
    }

    fn pool(&mut self, name: &str) -> &mut PoolSnapshot {
        self.snapshot.pools.get_mut(name).unwrap()
    }

    fn count(&self, name: &str) -> usize {
        self.snapshot.pools[name].assigned.len()
    }

    fn set_usage(&mut self, name: &str, busy: u32, queued: u32) {
        self.pool(name).usage = Usage::Known { busy, queued };
    }

    fn propose(&mut self, written: bool) -> Vec<SpareMove> {
        let moves = self.policy.propose_moves(&self.snapshot, self.now);
        if written {
            moves.iter().for_each(|next| self.start(next));
        }
        let now = self.now;
        self.moves
            .extend(moves.iter().map(|next| (now, next.clone())));
        moves
    }

    fn start(&mut self, next: &SpareMove) {
        let from = self.pool(&next.from);
        let before = from.assigned.len();
        from.assigned.retain(|known| known.name != next.instance);
        assert_eq!(
            from.assigned.len() + 1,
            before,
            "the instance serves the pool exactly once"
        );
        from.out_of_service += 1;
        self.pool(&next.to).arriving += 1;
        self.moving.push(next.clone());
    }

    fn arrive(&mut self) {
        for ended in std::mem::take(&mut self.moving) {
            self.pool(&ended.from).out_of_service -= 1;
            let to = self.pool(&ended.to);
            to.arriving -= 1;
            to.assigned.push(PoolInstance {
                zone: "zone-0".into(),
                name: ended.instance,
            });
        }
    }

    /// Advances time in steps of 200 ms; moves complete at the next step.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 200 {
            self.now = self.now.after_ms(200);
            self.arrive();
            self.propose(true);
        }
    }

    fn step(&mut self, step: &Step) {
        let name = |index: usize| POOLS[index].0;
        match *step {
            Step::Report(pool, busy, queued) => self.set_usage(name(pool), busy, queued),
            Step::ReportExpires(pool) => self.pool(name(pool)).usage = Usage::Unknown,
            Step::Propose(written) => {
                let spare_before = self.spare_total();
                let moves = self.propose(written);
                if written {
                    self.check(&moves, spare_before);
                }
            }
            Step::Arrive => self.arrive(),
            Step::Wait(ms) => self.now = self.now.after_ms(ms),
        }
    }

    fn spare_total(&self) -> usize {
        self.count("backoffice") + self.snapshot.pools["backoffice"].arriving as usize
    }

    fn check(&self, moves: &[SpareMove], spare_before: usize) {
        let names: BTreeSet<_> = moves.iter().map(|next| &next.instance).collect();
        assert_eq!(names.len(), moves.len(), "an instance moves once at a time");
        assert!(self.moving.len() <= SETTINGS.max_concurrent_moves as usize);
        for next in moves {
            let (from, to) = (
                &self.snapshot.pools[&next.from],
                &self.snapshot.pools[&next.to],
            );
            assert!(from.assigned.len() >= from.limits.min_instances as usize);
            let total = to.assigned.len() as u32 + to.arriving + to.out_of_service;
            assert!(total <= to.limits.max_instances, "{next:?}");
        }
        let spare = &self.snapshot.pools["backoffice"];
        if self.spare_total() > spare_before {
            let required = required_instances(spare);
            let max_spare = SPARE_INSTANCES.max(required) as usize;
            assert!(
                self.spare_total() <= max_spare,
                "more spare than is paid for"
            );
        }
    }

    fn moves_within(&self, window_ms: u64) -> usize {
        let ends = self.moves.iter().map(|(at, _)| *at);
        let within = |end: Millis| {
            let in_window = |at: Millis| at <= end && end.ms_since(at) < window_ms;
            self.moves.iter().filter(|(at, _)| in_window(*at)).count()
        };
        ends.map(within).max().unwrap_or(0)
    }
}

fn required_instances(pool: &PoolSnapshot) -> u32 {
    let Usage::Known { busy, queued } = pool.usage else {
        return 0;
    };
    let slots = (u64::from(busy) + u64::from(queued)) * 5;
    let need = slots.div_ceil(u64::from(SLOTS) * 4);
    let limits = pool.limits;
    u32::try_from(need)
        .unwrap_or(u32::MAX)
        .clamp(limits.min_instances, limits.max_instances)
}

fn check_seeds(holds: fn(Vec<Step>) -> bool) {
    for seed in SEEDS {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(STEPS, seed))
            .tests(SCHEDULES_PER_SEED)
            .quickcheck(holds);
    }
}

/// Guards against a pool below its minimum or above its maximum, two concurrent moves of one instance,
/// too many concurrent moves, and a spare pool that is filled beyond what is paid for.
#[test]
fn limits_hold_under_any_reports() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        steps.iter().for_each(|step| simulation.step(step));
        true
    }
    check_seeds(holds);
}

/// Guards against thrashing: the number of moves in any window is bounded whatever the reports say,
/// also when proposed moves are lost and proposed again.
#[test]
fn moves_are_bounded_under_any_reports() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.step(step);
            simulation.arrive();
        }
        [5_000, 20_000, 60_000].into_iter().all(|window_ms| {
            let bound =
                u64::from(SETTINGS.burst_moves) + window_ms / SETTINGS.refill_interval_ms + 1;
            simulation.moves_within(window_ms) as u64 <= bound
        })
    }
    check_seeds(holds);
}

/// Guards against an unbounded rate of writes while every write is lost.
#[test]
fn lost_writes_are_repeated_at_a_bounded_rate() {
    let mut simulation = Simulation::new();
    simulation.run(WARM_UP_MS + SETTINGS.release_window_ms);
    simulation.set_usage("quotes", 200, 0);
    for _ in 0..300 {
        simulation.now = simulation.now.after_ms(200);
        simulation.propose(false);
    }
    let bound = u64::from(SETTINGS.burst_moves) + 60_000 / SETTINGS.refill_interval_ms + 1;
    assert!(
        simulation.moves.len() as u64 <= bound,
        "{}",
        simulation.moves.len()
    );
}

/// Guards against a shortage that lasts while another pool has an instance to give away.
#[test]
fn shortages_are_met_while_there_is_a_surplus() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        steps.iter().for_each(|step| simulation.step(step));
        for (name, ..) in POOLS {
            if simulation.snapshot.pools[name].usage == Usage::Unknown {
                simulation.set_usage(name, 0, 0);
            }
        }
        simulation.run(120_000);
        simulation.arrive();
        let pools = &simulation.snapshot.pools;
        let has_shortage = pools
            .values()
            .any(|pool| (pool.assigned.len() as u32) < required_instances(pool));
        let has_surplus = pools
            .values()
            .any(|pool| pool.assigned.len() as u32 > required_instances(pool));
        let is_stable = simulation.propose(false).is_empty();
        !(has_shortage && has_surplus) && is_stable
    }
    check_seeds(holds);
}

/// Guards against a burst that gets no instances, and against a spare pool that stays empty after it.
#[test]
fn a_burst_borrows_from_the_spare_pool_first_and_gives_back() {
    let mut simulation = Simulation::new();
    simulation.run(WARM_UP_MS + SETTINGS.release_window_ms);
    assert_eq!(simulation.moves, [], "nothing moves without load");
    simulation.set_usage("quotes", 48, 10);
    simulation.run(2_000);
    assert_eq!(simulation.count("quotes"), 10);
    assert!(
        simulation
            .moves
            .iter()
            .all(|(_, next)| &*next.from == "backoffice"),
        "the spare pool lends first: {:?}",
        simulation.moves
    );
    simulation.set_usage("quotes", 2, 0);
    simulation.run(SETTINGS.release_window_ms - 400);
    assert_eq!(
        simulation.count("quotes"),
        10,
        "a pause does not end the burst"
    );
    simulation.run(6_000);
    assert_eq!(simulation.count("backoffice"), SPARE_INSTANCES as usize);
    assert_eq!(simulation.count("quotes"), 8);
}

/// Guards against one pool that takes all spare instances while another one needs as many.
#[test]
fn pools_that_burst_at_once_share_by_need() {
    let mut simulation = Simulation::new();
    simulation.run(WARM_UP_MS + SETTINGS.release_window_ms);
    simulation.set_usage("stores", 58, 0);
    simulation.set_usage("quotes", 89, 0);
    simulation.run(4_000);
    let (stores, quotes) = (simulation.count("stores"), simulation.count("quotes"));
    assert_eq!((stores, quotes), (7, 12), "of 9 and 14 wanted");
}

/// Guards against flapping reports that move instances back and forth.
#[test]
fn flapping_reports_cause_few_moves() {
    let mut simulation = Simulation::new();
    simulation.run(WARM_UP_MS + SETTINGS.release_window_ms);
    for round in 0..300 {
        let busy = if round % 3 == 0 { 0 } else { 60 };
        simulation.set_usage("quotes", busy, 0);
        simulation.run(1_000);
    }
    let moved_away = simulation
        .moves
        .iter()
        .filter(|(_, next)| &*next.from == "quotes");
    assert_eq!(moved_away.count(), 0, "{:?}", simulation.moves);
    assert!(simulation.moves.len() <= 8);
}

fn report(sequence: u64, busy: u32) -> UsageReport {
    let usage = ServiceUsage { busy, queued: 0 };
    UsageReport {
        incarnation: "one".into(),
        sequence,
        services: BTreeMap::from([(Arc::from("quotes"), usage)]),
    }
}

/// Guards against old and duplicate reports that replace newer ones, reports of processes that no
/// longer exist, and an unresponsive daemon that is treated as idle.
#[test]
fn old_duplicate_and_missing_reports_are_recognised() {
    let mut usage_reports = UsageReports::default();
    let quotes = [Arc::from("quotes")];
    let at = Millis::from_ms;
    let known = |busy| Usage::Known { busy, queued: 0 };
    usage_reports.record("entry-1".into(), report(2, 7), at(0));
    usage_reports.record("entry-1".into(), report(1, 90), at(5_000));
    usage_reports.record("entry-1".into(), report(2, 90), at(5_000));
    assert_eq!(usage_reports.usage(quotes.iter(), at(5_000)), known(7));
    assert_eq!(
        usage_reports.usage(quotes.iter(), at(7_000)),
        Usage::Unknown
    );
    usage_reports.record("entry-1".into(), report(3, 9), at(8_000));
    assert_eq!(usage_reports.usage(quotes.iter(), at(8_000)), known(9));
    usage_reports.retain_members(&[MemberId {
        name: "entry-1".into(),
        incarnation: "two".into(),
    }]);
    assert_eq!(usage_reports.usage(quotes.iter(), at(8_000)), known(0));
}

/// Guards against reports of an idle daemon, more than two reports a second, and a lost report of zero
/// usage.
#[test]
fn a_daemon_reports_at_most_twice_a_second_and_not_while_idle() {
    let mut reporter = UsageReporter::new("one".into());
    let usage = |busy| report(0, busy).services;
    let mut sent = Vec::new();
    for ms in (0..10_000).step_by(50) {
        let busy = if ms < 5_000 { ms as u32 } else { 0 };
        if let Some(next) = reporter.next_report(usage(busy), Millis::from_ms(ms)) {
            // The first reports of zero usage are lost.
            if ms > 6_400 {
                reporter.acknowledge(next.sequence);
            }
            sent.push(ms);
        }
    }
    assert!(sent.windows(2).all(|pair| pair[1] - pair[0] >= 500));
    assert!(sent.len() >= 10);
    assert_eq!(sent.last(), Some(&6_550), "{sent:?}");
}
