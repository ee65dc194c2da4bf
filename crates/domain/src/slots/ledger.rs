//! The slots of one instance, kept by its home.

use super::{Grant, HEADROOM, Held, ROTATION_MS, Recalled, SlotCapacity, Withheld, fair_targets};
use crate::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Lent {
    Held(Grant<Held>),
    Recalled(Grant<Recalled>),
    Withheld(Grant<Withheld>),
}

impl Lent {
    const fn committed(&self) -> u32 {
        match self {
            Self::Held(grant) => grant.committed,
            Self::Recalled(grant) => grant.committed,
            Self::Withheld(grant) => grant.committed,
        }
    }

    const fn allowed(&self) -> u32 {
        match self {
            Self::Held(grant) => grant.committed,
            Self::Recalled(grant) => grant.state.keep,
            Self::Withheld(_) => 0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    daemon: DaemonKey,
    lent: Lent,
    wanted: u32,
    /// What the holder was last told, or reported.
    told: u32,
}

/// Slots of one instance: who may use how many.
#[derive(Debug)]
pub struct SlotLedger {
    capacity: SlotCapacity,
    /// The home itself, which gets what nobody wants.
    own: DaemonKey,
    holders: Vec<Holder>,
    /// Slots that nobody reported and that a vanished member may use.
    unaccounted: Option<Grant<Withheld>>,
    /// While this is set, reports of members may be missing and nothing is granted.
    collecting_since: Option<Millis>,
    /// Spreads the odd slots of different instances over different holders.
    salt: u64,
    round: u64,
    dirty: bool,
}

impl SlotLedger {
    /// A ledger of a home that knows nothing of the holders yet.
    #[must_use]
    pub const fn collecting(
        capacity: SlotCapacity,
        own: DaemonKey,
        salt: u64,
        now: Millis,
    ) -> Self {
        Self {
            capacity,
            own,
            holders: Vec::new(),
            unaccounted: None,
            collecting_since: Some(now),
            salt,
            round: 0,
            dirty: true,
        }
    }

    /// Replaces the limits.
    pub fn configure(&mut self, capacity: SlotCapacity) {
        self.dirty |= self.capacity != capacity;
        self.capacity = capacity;
    }

    /// The limits.
    #[must_use]
    pub const fn capacity(&self) -> SlotCapacity {
        self.capacity
    }

    /// When the collection of reports began, if it has not ended.
    #[must_use]
    pub const fn collecting_since(&self) -> Option<Millis> {
        self.collecting_since
    }

    /// Starts to grant. What nobody reported is withheld until `withhold_until`, if a member has
    /// vanished.
    pub fn collected(&mut self, withhold_until: Option<Millis>) {
        self.collecting_since = None;
        self.dirty = true;
        let free = self.free();
        self.unaccounted = withhold_until.map(|until| Grant::reported(free).expire(until));
    }

    /// Slots that are neither lent nor withheld.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.capacity.slots.saturating_sub(self.committed())
    }

    /// Slots that are withheld.
    #[must_use]
    pub fn withheld(&self) -> u32 {
        let lent = self.holders.iter().map(|holder| match holder.lent {
            Lent::Withheld(grant) => grant.committed,
            _ => 0,
        });
        lent.sum::<u32>() + self.unaccounted.map_or(0, |grant| grant.committed)
    }

    fn committed(&self) -> u32 {
        let lent = self.holders.iter().map(|holder| holder.lent.committed());
        lent.sum::<u32>() + self.unaccounted.map_or(0, |grant| grant.committed)
    }

    /// Records what a holder has and wants.
    pub fn report(&mut self, daemon: DaemonKey, committed: u32, wanted: u32) {
        self.dirty = true;
        let known = self.holders.iter_mut().find(|known| known.daemon == daemon);
        let Some(holder) = known else {
            if committed > 0 || wanted > 0 {
                self.holders.push(Holder {
                    daemon,
                    lent: Lent::Held(Grant::reported(committed)),
                    wanted,
                    told: committed,
                });
            }
            return;
        };
        holder.lent = match holder.lent {
            Lent::Recalled(grant) => match grant.report(committed) {
                Ok(held) => Lent::Held(held),
                Err(recalled) => Lent::Recalled(recalled),
            },
            Lent::Held(_) | Lent::Withheld(_) => Lent::Held(Grant::reported(committed)),
        };
        holder.wanted = wanted;
        holder.told = committed;
        if committed == 0 && wanted == 0 {
            self.holders.retain(|known| known.daemon != daemon);
        }
    }

    /// The lease of a holder ended at `lease_end`: what it had is withheld until its last request
    /// must have ended.
    pub fn expire(&mut self, daemon: DaemonKey, lease_end: Millis) {
        let until = lease_end.after_ms(self.capacity.request_limit_ms);
        for holder in &mut self.holders {
            if holder.daemon == daemon {
                holder.wanted = 0;
                holder.lent = match holder.lent {
                    Lent::Held(grant) => Lent::Withheld(grant.expire(until)),
                    Lent::Recalled(grant) => Lent::Withheld(grant.expire(until)),
                    Lent::Withheld(grant) => Lent::Withheld(grant),
                };
            }
        }
        self.dirty = true;
    }

    /// Releases what was withheld long enough and decides who gets more and who gives back.
    pub fn advance(&mut self, now: Millis) {
        let over = |grant: &Grant<Withheld>| grant.state.until <= now;
        let before = self.committed();
        self.unaccounted = self.unaccounted.filter(|grant| !over(grant));
        self.holders
            .retain(|holder| !matches!(&holder.lent, Lent::Withheld(grant) if over(grant)));
        let round = now.as_ms() / ROTATION_MS;
        let scarce = self.wanted() > self.capacity.slots;
        self.dirty |= before != self.committed() || (scarce && round != self.round);
        self.round = round;
        if self.dirty && self.collecting_since.is_none() {
            self.divide();
        }
        self.dirty = false;
    }

    fn wanted(&self) -> u32 {
        self.holders.iter().map(|holder| holder.wanted).sum()
    }

    fn divide(&mut self) {
        let demands: Vec<u32> = self.holders.iter().map(|holder| holder.wanted).collect();
        let total = self.capacity.slots.saturating_sub(self.withheld());
        let first =
            usize::try_from(self.round.wrapping_add(self.salt) & 0xffff).unwrap_or_default();
        let targets = fair_targets(&demands, total, first);
        let missing = self.raise(&targets);
        let returning = self.holders.iter().map(|holder| match holder.lent {
            Lent::Recalled(grant) => grant.committed.saturating_sub(grant.state.keep),
            _ => 0,
        });
        let excess = self.committed().saturating_sub(self.capacity.slots);
        let missing = (missing + excess).saturating_sub(returning.sum());
        if missing > 0 {
            self.recall(&targets, missing);
        } else {
            self.raise_own();
        }
    }

    /// Lets the home use a few free slots beyond its demand, so that it seldom waits for itself.
    fn raise_own(&mut self) {
        let free = self.free();
        let own = self.own;
        if !self.holders.iter().any(|holder| holder.daemon == own) {
            self.holders.push(Holder {
                daemon: own,
                lent: Lent::Held(Grant::reported(0)),
                wanted: 0,
                told: 0,
            });
        }
        for holder in &mut self.holders {
            if let Lent::Held(grant) = holder.lent
                && holder.daemon == own
            {
                let short = (holder.wanted + HEADROOM).saturating_sub(grant.committed);
                holder.lent = Lent::Held(grant.raise(short.min(free)));
            }
        }
    }

    /// Grants free slots to holders below their target and returns what is still missing.
    fn raise(&mut self, targets: &[u32]) -> u32 {
        let mut free = self.free();
        let mut missing = 0;
        for (holder, target) in self.holders.iter_mut().zip(targets) {
            if let Lent::Recalled(grant) = holder.lent
                && *target >= grant.committed
            {
                holder.lent = Lent::Held(grant.cancel());
            }
            let short = target.saturating_sub(holder.lent.allowed());
            match holder.lent {
                Lent::Held(grant) if short > 0 => {
                    let more = short.min(free);
                    holder.lent = Lent::Held(grant.raise(more));
                    free -= more;
                    missing += short - more;
                }
                _ => {}
            }
        }
        missing
    }

    /// Asks holders above their target for `missing` slots, the largest surplus first.
    fn recall(&mut self, targets: &[u32], mut missing: u32) {
        while missing > 0 {
            let surplus = |(index, holder): (usize, &Holder)| {
                let surplus = holder.lent.allowed().saturating_sub(targets[index]);
                (surplus, index)
            };
            let most = self.holders.iter().enumerate().map(surplus).max();
            let Some((1.., index)) = most else { break };
            let holder = &mut self.holders[index];
            let keep = holder.lent.allowed() - 1;
            holder.lent = match holder.lent {
                Lent::Held(grant) => Lent::Recalled(grant.recall(keep)),
                Lent::Recalled(grant) => Lent::Recalled(grant.cancel().recall(keep)),
                Lent::Withheld(_) => break,
            };
            missing -= 1;
        }
    }

    /// What each holder must be told, and marks it as told.
    pub fn take_news(&mut self, mut tell: impl FnMut(DaemonKey, u32)) {
        for holder in &mut self.holders {
            let allowed = holder.lent.allowed();
            if allowed != holder.told && !matches!(holder.lent, Lent::Withheld(_)) {
                holder.told = allowed;
                tell(holder.daemon, allowed);
            }
        }
    }
}
