//! Entries of another writer under the ids of live workers, drawn from a generator of their own.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{OrderResult, PollReception, PollResult, WorkerReport};

use super::messages::{Answer, Order};
use super::{ORDER_TIMEOUT_MS, TICK_MS, TakeoverModel, WORKER_COUNT};

/// Tells the generator of the odd entries apart from that of the other faults.
const SEED_OFFSET: u64 = 0x0dd_e27_1e5;
/// An address at which nobody listens.
const DEAD_ADDRESS: &str = "nobody";
/// Longest time until the worker writes its next entry.
const LASTS_MAX_MS: u64 = 4_000;
/// Interval at which the odd entry and the true one replace each other.
const TURN_MS: u64 = 150;

/// What an odd entry names wrongly.
#[derive(Clone, Copy, Debug)]
enum Change {
    Capacity,
    Service,
    Instance,
    Labels,
    Draining,
    Start,
    Address,
    StartAndAddress,
}

impl Change {
    const ALL: [Self; 8] = [
        Self::Capacity,
        Self::Service,
        Self::Instance,
        Self::Labels,
        Self::Draining,
        Self::Start,
        Self::Address,
        Self::StartAndAddress,
    ];
}

/// An entry that has replaced the one of a worker.
#[derive(Clone, Debug)]
struct OddEntry {
    report: WorkerReport,
    since: Millis,
    until: Millis,
    /// Whether the worker writes its own entry again and again, and the other writer does, too.
    is_in_turn: bool,
}

/// The odd entries in force, by worker index.
#[derive(Debug)]
pub(super) struct OddEntries {
    rng: StdRng,
    entries: [Option<OddEntry>; WORKER_COUNT],
}

impl OddEntries {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed.wrapping_add(SEED_OFFSET)),
            entries: [const { None }; WORKER_COUNT],
        }
    }

    /// The entry that the platform lists for a worker.
    pub(super) fn listed(&self, worker: usize, own: WorkerReport, now: Millis) -> WorkerReport {
        let odd = self.entries[worker].as_ref();
        let is_odds_turn = |odd: &&OddEntry| {
            !odd.is_in_turn || (now.ms_since(odd.since) / TURN_MS).is_multiple_of(2)
        };
        odd.filter(is_odds_turn)
            .map_or(own, |odd| odd.report.clone())
    }

    fn draw(&mut self, own: &WorkerReport, others: &[WorkerReport], now: Millis) -> OddEntry {
        let mut report = own.clone();
        let other = &others[self.rng.random_range(0..others.len())];
        let change = Change::ALL[self.rng.random_range(0..Change::ALL.len())];
        match change {
            Change::Capacity => {
                let factor = [0, 2, 1 << 40][self.rng.random_range(0..3)];
                report.capacity = own.capacity.times(factor);
            }
            Change::Service => report.service = "other".into(),
            Change::Instance => report.instance = Arc::clone(&other.instance),
            Change::Labels => report.labels = vec!["odd".into()],
            Change::Draining => report.draining = true,
            Change::Start | Change::Address | Change::StartAndAddress => {}
        }
        if matches!(change, Change::Start | Change::StartAndAddress) {
            let starts = [1, own.started_wall_ms + 1, u64::MAX];
            report.started_wall_ms = starts[self.rng.random_range(0..starts.len())];
        }
        if matches!(change, Change::Address | Change::StartAndAddress) {
            let addresses = [DEAD_ADDRESS.into(), Arc::clone(&other.address)];
            report.address = Arc::clone(&addresses[self.rng.random_range(0..addresses.len())]);
        }
        OddEntry {
            report,
            since: now,
            until: now.after_ms(self.rng.random_range(TICK_MS..LASTS_MAX_MS)),
            is_in_turn: self.rng.random_range(0..3) == 0,
        }
    }
}

impl TakeoverModel {
    /// Replaces entries of live workers, until the workers write them again. A worker writes its entry when it
    /// starts.
    pub(super) fn replace_entries(&mut self) {
        let now = self.now;
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            let is_over = |odd: &mut OddEntry| {
                odd.until <= now || !worker.up || worker.restarted_at > odd.since
            };
            let odd = &mut self.odd_entries;
            odd.entries[index].take_if(is_over);
            let is_drawn = odd.entries[index].is_none()
                && worker.up
                && odd.rng.random_range(0..1_000) < self.conditions.odd_entries_per_mille;
            if is_drawn {
                let others = self.workers.iter().filter(|other| other.id != worker.id);
                let others: Vec<WorkerReport> = others.map(|other| other.report()).collect();
                odd.entries[index] = Some(odd.draw(&worker.report(), &others, now));
            }
        }
    }

    pub(super) fn remove_odd_entries(&mut self) {
        self.odd_entries.entries = [const { None }; WORKER_COUNT];
    }

    /// Result of an order to an address where nobody listens, and when it comes.
    pub(super) fn answer_of_nobody(&mut self, order: &Order) -> (u64, Answer) {
        let is_refused = self.odd_entries.rng.random_bool(0.5);
        let result = match (order, is_refused) {
            (Order::Poll(_), true) => Answer::Poll(PollResult::NotListening),
            (Order::Poll(_), false) => Answer::Poll(PollResult::Unanswered(PollReception::Unknown)),
            (_, true) => Answer::Order(OrderResult::NotListening),
            (_, false) => Answer::Order(OrderResult::Unanswered),
        };
        (
            if is_refused {
                TICK_MS
            } else {
                ORDER_TIMEOUT_MS
            },
            result,
        )
    }
}
