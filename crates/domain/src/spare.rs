//! Which instances to move between pools as their load changes.
//!
//! The policy takes the pools and their usage and proposes moves. A pool in a burst borrows from the
//! spare pool first, then from pools at rest above their minimum. When its burst has ended and no pool
//! is short, it refills the spare pool up to the spare capacity that the environment pays for. An
//! instance that is not needed there stays where it is, since every move costs a drain. A pool that
//! did not borrow refills the spare pool only when every pool is at rest: during a burst the
//! borrower gets its instance with one move instead of two.

use std::collections::BTreeMap;

use crate::document::PoolFields;
use crate::prelude::*;

mod load;
mod report;
mod usage;

use load::PoolLoad;
pub use report::UsageReporter;
pub use usage::{ServiceUsage, Usage, UsageBook, UsageReport};

/// Bounds on how fast the policy reacts and how much it moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpareSettings {
    /// A pool must be short for this time before it borrows.
    pub borrow_hold_ms: u64,
    /// An instance is given away only if it was not needed within this time.
    pub rest_window_ms: u64,
    /// Instances kept ready for each instance in use, in parts per million.
    pub headroom_ppm: u64,
    /// Instances that move at once at most. A frozen daemon blocks every move, so blocked moves
    /// count too: further ones would only take more capacity out of service.
    pub moves_max: u32,
    /// Moves that may follow each other without a pause.
    pub burst_moves: u32,
    /// One further move is allowed after this time, whatever the reports say.
    pub refill_ms: u64,
}

impl SpareSettings {
    /// The settings in use.
    pub const DEFAULT: Self = Self {
        // One report interval: a single report of a short peak moves nothing.
        borrow_hold_ms: 500,
        // Longer than the renewal of reports, so that one lost report does not end a burst. 10 s
        // held instances into the next burst of another pool (design page, section 5.7).
        rest_window_ms: 3_000,
        headroom_ppm: 250_000,
        moves_max: 4,
        burst_moves: 32,
        refill_ms: 1_000,
    };
}

/// A new controller does not know the usage of pools yet. Pools in use report within this time even
/// if one report is lost.
pub const WARM_UP_MS: u64 = 5_000;

/// An instance that serves its pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolInstance {
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Name.
    pub name: Arc<str>,
}

/// A pool as the policy sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolState {
    /// Its limits.
    pub limits: PoolFields,
    /// Requests that an instance executes at once.
    pub slots_per_instance: u32,
    /// Its use.
    pub usage: Usage,
    /// Instances that serve it.
    pub assigned: Vec<PoolInstance>,
    /// Instances that move to it.
    pub arriving: u32,
    /// Instances of the pool that do not serve it: moving away, draining or drained.
    pub out_of_service: u32,
}

/// What the policy decides from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SpareSnapshot {
    /// Pools by name.
    pub pools: BTreeMap<Arc<str>, PoolState>,
    /// Instances that may stay idle in the spare pool.
    pub spare_instances: u32,
}

/// A proposed move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpareMove {
    /// The instance.
    pub instance: Arc<str>,
    /// The pool that it serves.
    pub from: Arc<str>,
    /// The pool that it is to serve.
    pub to: Arc<str>,
}

/// State of the policy.
#[derive(Debug)]
pub struct SparePolicy {
    settings: SpareSettings,
    started: Millis,
    loads: BTreeMap<Arc<str>, PoolLoad>,
    budget: u32,
    refilled_at: Millis,
}

/// A pool during one round of decisions.
struct Candidate {
    name: Arc<str>,
    spare: bool,
    assigned: Vec<PoolInstance>,
    /// Instances that serve the pool or will.
    have: u32,
    /// Further instances that it may get.
    room: u32,
    wanted: u32,
    borrows: bool,
    short: bool,
    /// Instances that it can do without.
    surplus: u32,
    /// Instances that it got in bursts and has not given away.
    borrowed: u32,
    /// Whether it needed no more than its minimum lately.
    at_rest: bool,
}

impl SparePolicy {
    /// A policy of a controller that has just taken the lease.
    #[must_use]
    pub const fn new(settings: SpareSettings, now: Millis) -> Self {
        Self {
            settings,
            started: now,
            loads: BTreeMap::new(),
            budget: settings.burst_moves,
            refilled_at: now,
        }
    }

    /// Proposes moves. A proposal that is not carried out is made again while it is needed.
    pub fn propose(&mut self, snapshot: &SpareSnapshot, now: Millis) -> Vec<SpareMove> {
        self.refill(now);
        self.follow(snapshot, now);
        let moving: u32 = snapshot.pools.values().map(|pool| pool.arriving).sum();
        let allowed = self
            .settings
            .moves_max
            .saturating_sub(moving)
            .min(self.budget);
        if now.ms_since(self.started) < WARM_UP_MS || allowed == 0 {
            return Vec::new();
        }
        let mut candidates = self.candidates(snapshot, now);
        let mut moves = Vec::new();
        while moves.len() < allowed as usize {
            let next = borrow(&mut candidates)
                .or_else(|| restore(&mut candidates, snapshot.spare_instances));
            match next {
                Some(next) => moves.push(next),
                None => break,
            }
        }
        self.record(&moves, snapshot);
        self.budget -= u32::try_from(moves.len()).unwrap_or(self.budget);
        moves
    }

    fn refill(&mut self, now: Millis) {
        let refill_ms = self.settings.refill_ms.max(1);
        let earned = now.ms_since(self.refilled_at) / refill_ms;
        self.refilled_at = self.refilled_at.after_ms(earned * refill_ms);
        let earned = u32::try_from(earned).unwrap_or(u32::MAX);
        self.budget = self
            .budget
            .saturating_add(earned)
            .min(self.settings.burst_moves);
    }

    fn follow(&mut self, snapshot: &SpareSnapshot, now: Millis) {
        self.loads
            .retain(|name, _| snapshot.pools.contains_key(name));
        for (name, pool) in &snapshot.pools {
            self.loads
                .entry(Arc::clone(name))
                .or_insert_with(|| PoolLoad::new(now))
                .observe(pool, &self.settings, now);
        }
    }

    /// Counts borrowed instances. The count starts at zero with each controller and may be too high
    /// after a lost write; it only chooses who refills the spare pool.
    fn record(&mut self, moves: &[SpareMove], snapshot: &SpareSnapshot) {
        for next in moves {
            if let Some(from) = self.loads.get_mut(&next.from) {
                from.borrowed = from.borrowed.saturating_sub(1);
            }
            let to_spare = snapshot
                .pools
                .get(&next.to)
                .is_some_and(|pool| pool.limits.spare);
            if let Some(to) = self.loads.get_mut(&next.to).filter(|_| !to_spare) {
                to.borrowed = to.borrowed.saturating_add(1);
            }
        }
    }

    fn candidates(&self, snapshot: &SpareSnapshot, now: Millis) -> Vec<Candidate> {
        let candidate = |(name, pool): (&Arc<str>, &PoolState)| {
            let load = self.loads.get(name)?;
            let count = u32::try_from(pool.assigned.len()).unwrap_or(u32::MAX);
            let have = count.saturating_add(pool.arriving);
            let total = have.saturating_add(pool.out_of_service);
            let kept = load.needed_recently(&self.settings, pool.limits.spare, now);
            let surplus = kept.map_or(0, |kept| {
                count.saturating_sub(kept.max(pool.limits.min_instances))
            });
            let mut assigned = pool.assigned.clone();
            assigned.sort_unstable();
            assigned.dedup();
            Some(Candidate {
                name: Arc::clone(name),
                spare: pool.limits.spare,
                assigned,
                have,
                room: pool.limits.max_instances.saturating_sub(total),
                wanted: load.wanted(),
                borrows: load.borrows(&self.settings, now),
                short: load.is_short(),
                surplus,
                borrowed: load.borrowed,
                at_rest: kept.is_some_and(|kept| kept <= pool.limits.min_instances),
            })
        };
        snapshot.pools.iter().filter_map(candidate).collect()
    }
}

/// One instance for the pool whose need is served worst. Ranking by wanted instances over held
/// ones shares a scarce supply in proportion to need.
fn borrow(candidates: &mut [Candidate]) -> Option<SpareMove> {
    let takers = candidates.iter().enumerate().filter(|(_, pool)| {
        pool.borrows && pool.have < pool.wanted && pool.room > 0 && pool.surplus == 0
    });
    let (to, _) = takers.max_by(|(_, left), (_, right)| {
        let left_rank = u64::from(left.wanted) * (u64::from(right.have) + 1);
        let right_rank = u64::from(right.wanted) * (u64::from(left.have) + 1);
        left_rank
            .cmp(&right_rank)
            .then_with(|| right.name.cmp(&left.name))
    })?;
    let from = donor(candidates, to, |_| true)?;
    transfer(candidates, from, to)
}

/// One instance for the spare pool, if no pool is short. Its own load does not raise the target:
/// when that load ends, the instances would be idle beyond what is paid for.
fn restore(candidates: &mut [Candidate], spare_instances: u32) -> Option<SpareMove> {
    if candidates.iter().any(|pool| pool.short) {
        return None;
    }
    let to = candidates
        .iter()
        .position(|pool| pool.spare && pool.room > 0 && pool.have < spare_instances)?;
    let all_at_rest = candidates.iter().all(|pool| pool.at_rest);
    let from = donor(candidates, to, |pool| {
        !pool.spare && (pool.borrowed > 0 || all_at_rest)
    })?;
    transfer(candidates, from, to)
}

/// The spare pool if it can lend, else the pool with the most instances to spare.
fn donor(
    candidates: &[Candidate],
    taker: usize,
    may_give: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let donors = candidates.iter().enumerate().filter(|(index, pool)| {
        *index != taker && pool.surplus > 0 && !pool.short && may_give(pool)
    });
    donors
        .max_by_key(|(_, pool)| (pool.spare, pool.surplus))
        .map(|(index, _)| index)
}

fn transfer(candidates: &mut [Candidate], from: usize, to: usize) -> Option<SpareMove> {
    let donor = candidates.get_mut(from)?;
    let instance = take_from_fullest_zone(&mut donor.assigned)?;
    donor.surplus -= 1;
    donor.have -= 1;
    donor.borrowed = donor.borrowed.saturating_sub(1);
    let from = Arc::clone(&donor.name);
    let taker = candidates.get_mut(to)?;
    taker.have += 1;
    taker.room -= 1;
    Some(SpareMove {
        instance: instance.name,
        from,
        to: Arc::clone(&taker.name),
    })
}

/// Takes an instance of the zone with the most instances, so that the rest stays spread.
fn take_from_fullest_zone(assigned: &mut Vec<PoolInstance>) -> Option<PoolInstance> {
    let mut by_zone: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for instance in assigned.iter() {
        *by_zone.entry(&instance.zone).or_default() += 1;
    }
    let (zone, _) = by_zone.into_iter().max_by_key(|(_, count)| *count)?;
    let zone = Arc::clone(zone);
    let position = assigned
        .iter()
        .rposition(|instance| instance.zone == zone)?;
    Some(assigned.remove(position))
}
