//! Policy that moves instances between pools as their load changes.
//!
//! The policy takes the pools and their usage and proposes moves. A pool under a burst of load borrows
//! instances from the spare pool first, then from pools that have more than they need. Once its burst
//! has ended and no pool has a shortage, it returns instances to the spare pool, up to the spare
//! capacity that the environment pays for. Surplus instances beyond that stay where they are, because
//! every move costs a drain. A pool that did not borrow refills the spare pool only if no pool needs
//! more than its minimum: during a burst, the borrower then gets the instance with one move instead
//! of two.

use std::collections::BTreeMap;

use crate::document::PoolFields;
use crate::prelude::*;

mod load;
mod report;
mod usage;

use load::PoolLoad;
pub use report::UsageReporter;
pub use usage::{ServiceUsage, Usage, UsageReport, UsageReports};

/// Limits on how fast the policy reacts and how many instances it moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpareSettings {
    /// A pool borrows only after a shortage of this duration.
    pub borrow_delay_ms: u64,
    /// A pool gives an instance away only if it did not need it within this time.
    pub release_window_ms: u64,
    /// Headroom: instances kept ready for each instance in use, in parts per million.
    pub headroom_ppm: u64,
    /// Maximum number of concurrent moves. Blocked moves count as well: a frozen daemon blocks every
    /// move, so further ones would only take more capacity out of service.
    pub max_concurrent_moves: u32,
    /// Number of moves that may follow each other without a pause: the size of the token bucket.
    pub burst_moves: u32,
    /// Interval at which one further move is allowed, whatever the reports say.
    pub refill_interval_ms: u64,
}

impl SpareSettings {
    /// Settings used in production.
    pub const DEFAULT: Self = Self {
        // One report interval, so that a single report of a short peak moves nothing.
        borrow_delay_ms: 500,
        // Longer than the interval at which reports are renewed, so that one lost report does not
        // end a burst. With 10 s, pools kept instances into the next burst of another pool (design
        // page, section 5.7).
        release_window_ms: 3_000,
        headroom_ppm: 250_000,
        max_concurrent_moves: 4,
        burst_moves: 32,
        refill_interval_ms: 1_000,
    };
}

/// Time for which a new controller proposes no moves, because it does not know the usage of the pools
/// yet. Daemons in use report within this time even if one report is lost.
pub const WARM_UP_MS: u64 = 5_000;

/// An instance that serves its pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolInstance {
    /// Availability zone of the instance.
    pub zone: Arc<str>,
    /// Name of the instance.
    pub name: Arc<str>,
}

/// A pool in the policy's input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSnapshot {
    /// Limits on its size, from the document.
    pub limits: PoolFields,
    /// Number of requests that an instance executes concurrently.
    pub slots_per_instance: u32,
    /// Its current usage.
    pub usage: Usage,
    /// Instances that serve the pool.
    pub assigned: Vec<PoolInstance>,
    /// Number of instances that are moving to the pool.
    pub arriving: u32,
    /// Number of instances of the pool that do not serve it: moving away, draining or drained.
    pub out_of_service: u32,
}

/// Input of the policy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SpareSnapshot {
    /// Pools by name.
    pub pools: BTreeMap<Arc<str>, PoolSnapshot>,
    /// Number of instances that the environment pays to keep idle in the spare pool.
    pub spare_instances: u32,
}

/// A proposed move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpareMove {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Pool that it serves now.
    pub from: Arc<str>,
    /// Pool that it will serve.
    pub to: Arc<str>,
}

/// State of the spare policy.
#[derive(Debug)]
pub struct SparePolicy {
    settings: SpareSettings,
    started: Millis,
    loads: BTreeMap<Arc<str>, PoolLoad>,
    tokens: u32,
    last_refill: Millis,
}

/// A pool during one call of [`SparePolicy::propose_moves`].
struct Candidate {
    name: Arc<str>,
    spare: bool,
    assigned: Vec<PoolInstance>,
    /// Instances that serve the pool or are moving to it.
    held: u32,
    /// Instances that it may get before it reaches its maximum.
    below_max: u32,
    /// Instances that its load requires, within its limits.
    required: u32,
    /// Whether its shortage has lasted long enough to borrow.
    may_borrow: bool,
    has_shortage: bool,
    /// Instances that it did not need lately and may give away.
    surplus: u32,
    /// Instances that it borrowed and has not given away.
    borrowed: u32,
    /// Whether it lately needed no more than its minimum.
    at_minimum: bool,
}

impl SparePolicy {
    /// Creates the policy of a controller that has just taken the lease.
    #[must_use]
    pub const fn new(settings: SpareSettings, now: Millis) -> Self {
        Self {
            settings,
            started: now,
            loads: BTreeMap::new(),
            tokens: settings.burst_moves,
            last_refill: now,
        }
    }

    /// Proposes moves. A move that is not carried out is proposed again while it is needed.
    pub fn propose_moves(&mut self, snapshot: &SpareSnapshot, now: Millis) -> Vec<SpareMove> {
        self.refill_tokens(now);
        self.update_loads(snapshot, now);
        let moving: u32 = snapshot.pools.values().map(|pool| pool.arriving).sum();
        let move_limit = self
            .settings
            .max_concurrent_moves
            .saturating_sub(moving)
            .min(self.tokens);
        if now.ms_since(self.started) < WARM_UP_MS || move_limit == 0 {
            return Vec::new();
        }
        let mut candidates = self.candidates(snapshot, now);
        let mut moves = Vec::new();
        while moves.len() < move_limit as usize {
            let next = propose_borrowing(&mut candidates)
                .or_else(|| propose_refill(&mut candidates, snapshot.spare_instances));
            match next {
                Some(next) => moves.push(next),
                None => break,
            }
        }
        self.update_borrowed(&moves, snapshot);
        self.tokens -= u32::try_from(moves.len()).unwrap_or(self.tokens);
        moves
    }

    fn refill_tokens(&mut self, now: Millis) {
        let refill_interval_ms = self.settings.refill_interval_ms.max(1);
        let new_tokens = now.ms_since(self.last_refill) / refill_interval_ms;
        self.last_refill = self.last_refill.after_ms(new_tokens * refill_interval_ms);
        let new_tokens = u32::try_from(new_tokens).unwrap_or(u32::MAX);
        self.tokens = self
            .tokens
            .saturating_add(new_tokens)
            .min(self.settings.burst_moves);
    }

    fn update_loads(&mut self, snapshot: &SpareSnapshot, now: Millis) {
        self.loads
            .retain(|name, _| snapshot.pools.contains_key(name));
        for (name, pool) in &snapshot.pools {
            self.loads
                .entry(Arc::clone(name))
                .or_insert_with(|| PoolLoad::new(now))
                .observe_usage(pool, &self.settings, now);
        }
    }

    /// Updates the counts of borrowed instances. The counts start at zero with each controller and may
    /// be too high after a lost write; they only determine which pools refill the spare pool.
    fn update_borrowed(&mut self, moves: &[SpareMove], snapshot: &SpareSnapshot) {
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
        let candidate = |(name, pool): (&Arc<str>, &PoolSnapshot)| {
            let load = self.loads.get(name)?;
            let count = u32::try_from(pool.assigned.len()).unwrap_or(u32::MAX);
            let held = count.saturating_add(pool.arriving);
            let total = held.saturating_add(pool.out_of_service);
            let needed = load.recent_requirement(&self.settings, pool.limits.spare, now);
            let surplus = needed.map_or(0, |needed| {
                count.saturating_sub(needed.max(pool.limits.min_instances))
            });
            let mut assigned = pool.assigned.clone();
            assigned.sort_unstable();
            assigned.dedup();
            Some(Candidate {
                name: Arc::clone(name),
                spare: pool.limits.spare,
                assigned,
                held,
                below_max: pool.limits.max_instances.saturating_sub(total),
                required: load.required(),
                may_borrow: load.may_borrow(&self.settings, now),
                has_shortage: load.has_shortage(),
                surplus,
                borrowed: load.borrowed,
                at_minimum: needed.is_some_and(|needed| needed <= pool.limits.min_instances),
            })
        };
        snapshot.pools.iter().filter_map(candidate).collect()
    }
}

/// Proposes to move one instance to the pool with the highest ratio of required to held instances,
/// which shares a scarce supply in proportion to need.
fn propose_borrowing(candidates: &mut [Candidate]) -> Option<SpareMove> {
    let borrowers = candidates.iter().enumerate().filter(|(_, pool)| {
        pool.may_borrow && pool.held < pool.required && pool.below_max > 0 && pool.surplus == 0
    });
    let (to, _) = borrowers.max_by(|(_, left), (_, right)| {
        let left_rank = u64::from(left.required) * (u64::from(right.held) + 1);
        let right_rank = u64::from(right.required) * (u64::from(left.held) + 1);
        left_rank
            .cmp(&right_rank)
            .then_with(|| right.name.cmp(&left.name))
    })?;
    let from = find_donor(candidates, to, |_| true)?;
    transfer(candidates, from, to)
}

/// Proposes to move one instance to the spare pool, if no pool has a shortage. The load of the spare
/// pool itself does not raise its target: once that load ended, more instances would be idle than are
/// paid for.
fn propose_refill(candidates: &mut [Candidate], spare_instances: u32) -> Option<SpareMove> {
    if candidates.iter().any(|pool| pool.has_shortage) {
        return None;
    }
    let to = candidates
        .iter()
        .position(|pool| pool.spare && pool.below_max > 0 && pool.held < spare_instances)?;
    let all_at_minimum = candidates.iter().all(|pool| pool.at_minimum);
    let from = find_donor(candidates, to, |pool| {
        !pool.spare && (pool.borrowed > 0 || all_at_minimum)
    })?;
    transfer(candidates, from, to)
}

/// Returns the spare pool if it can lend, otherwise the pool with the largest surplus.
fn find_donor(
    candidates: &[Candidate],
    recipient: usize,
    may_lend: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let donors = candidates.iter().enumerate().filter(|(index, pool)| {
        *index != recipient && pool.surplus > 0 && !pool.has_shortage && may_lend(pool)
    });
    donors
        .max_by_key(|(_, pool)| (pool.spare, pool.surplus))
        .map(|(index, _)| index)
}

fn transfer(candidates: &mut [Candidate], from: usize, to: usize) -> Option<SpareMove> {
    let donor = candidates.get_mut(from)?;
    let instance = take_from_fullest_zone(&mut donor.assigned)?;
    donor.surplus -= 1;
    donor.held -= 1;
    donor.borrowed = donor.borrowed.saturating_sub(1);
    let from = Arc::clone(&donor.name);
    let recipient = candidates.get_mut(to)?;
    recipient.held += 1;
    recipient.below_max -= 1;
    Some(SpareMove {
        instance: instance.name,
        from,
        to: Arc::clone(&recipient.name),
    })
}

/// Removes an instance of the zone with the most instances, so that the rest stays spread over the
/// zones.
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
