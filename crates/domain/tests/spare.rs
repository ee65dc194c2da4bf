//! The spare policy under random loads, wrong reports and lost writes.

#![allow(clippy::unwrap_used, reason = "test code fails loudly")]

use rosemaryscale_domain::member::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rosemaryscale_domain::Millis;
use rosemaryscale_domain::document::PoolFields;
use rosemaryscale_domain::spare::{
    PoolInstance, PoolState, ServiceUsage, SpareMove, SparePolicy, SpareSettings, SpareSnapshot,
    Usage, UsageBook, UsageReport, UsageReporter, WARM_UP_MS,
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

#[derive(Clone, Debug)]
enum Step {
    /// A pool's usage as reported, true or not.
    Report(usize, u32, u32),
    /// A daemon that used the pool has stopped to report.
    Silence(usize),
    /// The policy is asked; its moves are written if true.
    Propose(bool),
    /// Every move ends.
    Arrive,
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
            4 => Self::Silence(pool),
            5..=7 => Self::Propose(number(source, 5) > 0),
            8 => Self::Arrive,
            _ => Self::Wait(u64::from(number(source, 4_000))),
        }
    }
}

/// The pools, the policy and the time.
struct World {
    snapshot: SpareSnapshot,
    policy: SparePolicy,
    moving: Vec<SpareMove>,
    now: Millis,
    moves: Vec<(Millis, SpareMove)>,
}

impl World {
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
            let state = PoolState {
                limits,
                slots_per_instance: SLOTS,
                usage: Usage::Known { busy: 0, queued: 0 },
                assigned: (0..count).map(instance).collect(),
                arriving: 0,
                out_of_service: 0,
            };
            (Arc::from(name), state)
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

    fn pool(&mut self, name: &str) -> &mut PoolState {
        self.snapshot.pools.get_mut(name).unwrap()
    }

    fn count(&self, name: &str) -> usize {
        self.snapshot.pools[name].assigned.len()
    }

    fn load(&mut self, name: &str, busy: u32, queued: u32) {
        self.pool(name).usage = Usage::Known { busy, queued };
    }

    fn propose(&mut self, written: bool) -> Vec<SpareMove> {
        let moves = self.policy.propose(&self.snapshot, self.now);
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
        assert_eq!(from.assigned.len() + 1, before, "it serves the pool once");
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

    /// Lets time pass in steps of 200 ms; moves end at the next step.
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
            Step::Report(pool, busy, queued) => self.load(name(pool), busy, queued),
            Step::Silence(pool) => self.pool(name(pool)).usage = Usage::Unknown,
            Step::Propose(written) => {
                let restored_from = self.spare_total();
                let moves = self.propose(written);
                if written {
                    self.check(&moves, restored_from);
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
        assert!(self.moving.len() <= SETTINGS.moves_max as usize);
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
            let own = wanted(spare);
            let most = SPARE_INSTANCES.max(own) as usize;
            assert!(self.spare_total() <= most, "more spare than is paid for");
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

fn wanted(pool: &PoolState) -> u32 {
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

fn check_all(holds: fn(Vec<Step>) -> bool) {
    for seed in SEEDS {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(STEPS, seed))
            .tests(SCHEDULES_PER_SEED)
            .quickcheck(holds);
    }
}

/// Guards against a pool below its minimum or above its maximum, an instance that is moved twice at
/// once, too many moves at once, and a spare pool that is filled beyond what is paid for.
#[test]
fn limits_hold_under_any_reports() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        steps.iter().for_each(|step| world.step(step));
        true
    }
    check_all(holds);
}

/// Guards against thrashing: the moves in any window are bounded whatever the reports say, also
/// when proposals are lost and made again.
#[test]
fn moves_are_bounded_under_any_reports() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
            world.arrive();
        }
        [5_000, 20_000, 60_000].into_iter().all(|window_ms| {
            let bound = u64::from(SETTINGS.burst_moves) + window_ms / SETTINGS.refill_ms + 1;
            world.moves_within(window_ms) as u64 <= bound
        })
    }
    check_all(holds);
}

/// Guards against writes without end while each of them is lost.
#[test]
fn lost_writes_are_repeated_at_a_bounded_rate() {
    let mut world = World::new();
    world.run(WARM_UP_MS + SETTINGS.rest_window_ms);
    world.load("quotes", 200, 0);
    for _ in 0..300 {
        world.now = world.now.after_ms(200);
        world.propose(false);
    }
    let bound = u64::from(SETTINGS.burst_moves) + 60_000 / SETTINGS.refill_ms + 1;
    assert!(world.moves.len() as u64 <= bound, "{}", world.moves.len());
}

/// Guards against a pool that stays short while another pool has an instance that it may give.
#[test]
fn need_is_met_while_there_is_spare() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        steps.iter().for_each(|step| world.step(step));
        for (name, ..) in POOLS {
            if world.snapshot.pools[name].usage == Usage::Unknown {
                world.load(name, 0, 0);
            }
        }
        world.run(120_000);
        world.arrive();
        let pools = &world.snapshot.pools;
        let short = pools
            .values()
            .any(|pool| (pool.assigned.len() as u32) < wanted(pool));
        let lends = pools
            .values()
            .any(|pool| pool.assigned.len() as u32 > wanted(pool));
        let settled = world.propose(false).is_empty();
        !(short && lends) && settled
    }
    check_all(holds);
}

/// Guards against a burst that gets nothing, and against a spare pool that stays empty after it.
#[test]
fn a_burst_borrows_from_the_spare_pool_first_and_gives_back() {
    let mut world = World::new();
    world.run(WARM_UP_MS + SETTINGS.rest_window_ms);
    assert_eq!(world.moves, [], "at rest nothing moves");
    world.load("quotes", 48, 10);
    world.run(2_000);
    assert_eq!(world.count("quotes"), 10);
    assert!(
        world
            .moves
            .iter()
            .all(|(_, next)| &*next.from == "backoffice"),
        "the spare pool lends first: {:?}",
        world.moves
    );
    world.load("quotes", 2, 0);
    world.run(SETTINGS.rest_window_ms - 400);
    assert_eq!(world.count("quotes"), 10, "a pause is not the end");
    world.run(6_000);
    assert_eq!(world.count("backoffice"), SPARE_INSTANCES as usize);
    assert_eq!(world.count("quotes"), 8);
}

/// Guards against one pool that takes all spare instances while another one needs as much.
#[test]
fn pools_that_burst_at_once_share_by_need() {
    let mut world = World::new();
    world.run(WARM_UP_MS + SETTINGS.rest_window_ms);
    world.load("stores", 58, 0);
    world.load("quotes", 89, 0);
    world.run(4_000);
    let (stores, quotes) = (world.count("stores"), world.count("quotes"));
    assert_eq!((stores, quotes), (7, 12), "of 9 and 14 wanted");
}

/// Guards against flapping reports that move instances to and fro.
#[test]
fn flapping_reports_move_little() {
    let mut world = World::new();
    world.run(WARM_UP_MS + SETTINGS.rest_window_ms);
    for round in 0..300 {
        let busy = if round % 3 == 0 { 0 } else { 60 };
        world.load("quotes", busy, 0);
        world.run(1_000);
    }
    let given = world
        .moves
        .iter()
        .filter(|(_, next)| &*next.from == "quotes");
    assert_eq!(given.count(), 0, "{:?}", world.moves);
    assert!(world.moves.len() <= 8);
}

fn report(sequence: u64, busy: u32) -> UsageReport {
    let used = ServiceUsage { busy, queued: 0 };
    UsageReport {
        incarnation: "one".into(),
        sequence,
        services: BTreeMap::from([(Arc::from("quotes"), used)]),
    }
}

/// Guards against old and duplicated reports that replace newer ones, reports of processes that are
/// gone, and a silent daemon whose load is taken for rest.
#[test]
fn late_repeated_and_missing_reports_are_recognised() {
    let mut book = UsageBook::default();
    let quotes = [Arc::from("quotes")];
    let at = Millis::from_ms;
    let known = |busy| Usage::Known { busy, queued: 0 };
    book.observe("entry-1".into(), report(2, 7), at(0));
    book.observe("entry-1".into(), report(1, 90), at(5_000));
    book.observe("entry-1".into(), report(2, 90), at(5_000));
    assert_eq!(book.usage(quotes.iter(), at(5_000)), known(7));
    assert_eq!(book.usage(quotes.iter(), at(7_000)), Usage::Unknown);
    book.observe("entry-1".into(), report(3, 9), at(8_000));
    assert_eq!(book.usage(quotes.iter(), at(8_000)), known(9));
    book.follow(&[MemberId {
        name: "entry-1".into(),
        incarnation: "two".into(),
    }]);
    assert_eq!(book.usage(quotes.iter(), at(8_000)), known(0));
}

/// Guards against reports at rest, more than two reports a second, and a lost report of rest.
#[test]
fn a_daemon_reports_at_most_twice_a_second_and_nothing_at_rest() {
    let mut reporter = UsageReporter::new("one".into());
    let used = |busy| report(0, busy).services;
    let mut sent = Vec::new();
    for ms in (0..10_000).step_by(50) {
        let busy = if ms < 5_000 { ms as u32 } else { 0 };
        if let Some(next) = reporter.due(used(busy), Millis::from_ms(ms)) {
            // The first reports of rest are lost.
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
