//! Accounting of the slots of one instance at its owner.

use super::{
    Grant, Held, OWNER_HEADROOM_SLOTS, ROTATION_INTERVAL_MS, Recalled, SlotCapacity, Withheld,
    fair_targets,
};
use crate::prelude::*;

#[derive(Clone, Copy, Debug)]
enum AnyGrant {
    Held(Grant<Held>),
    Recalled(Grant<Recalled>),
    Withheld(Grant<Withheld>),
}

impl AnyGrant {
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
    grant: AnyGrant,
    wanted: u32,
    /// Allowance last sent to the holder, or count last reported by it.
    notified: u32,
}

/// Allocation of the slots of one instance to holders.
#[derive(Debug)]
pub struct SlotLedger {
    capacity: SlotCapacity,
    /// This daemon, the owner, which may hold a few slots that no other holder wants.
    local: DaemonKey,
    holders: Vec<Holder>,
    /// Slots that no live member reported and that a vanished member may still be using.
    unreported: Option<Grant<Withheld>>,
    /// Start of the collection of reports. Nothing is granted while it is set, since reports of
    /// members may be missing.
    collecting_since: Option<Millis>,
    /// Offset per instance, so that leftover slots of different instances go to different holders.
    rotation_salt: u64,
    rotation: u64,
    needs_reallocation: bool,
}

impl SlotLedger {
    /// Creates a ledger that collects reports before it grants anything.
    #[must_use]
    pub const fn new_collecting(
        capacity: SlotCapacity,
        local: DaemonKey,
        rotation_salt: u64,
        now: Millis,
    ) -> Self {
        Self {
            capacity,
            local,
            holders: Vec::new(),
            unreported: None,
            collecting_since: Some(now),
            rotation_salt,
            rotation: 0,
            needs_reallocation: true,
        }
    }

    /// Replaces the limits of the instance.
    pub fn set_capacity(&mut self, capacity: SlotCapacity) {
        self.needs_reallocation |= self.capacity != capacity;
        self.capacity = capacity;
    }

    /// Returns the limits of the instance.
    #[must_use]
    pub const fn capacity(&self) -> SlotCapacity {
        self.capacity
    }

    /// Returns the start of the collection of reports, if it is in progress.
    #[must_use]
    pub const fn collecting_since(&self) -> Option<Millis> {
        self.collecting_since
    }

    /// Ends the collection of reports and starts to grant. Unreported slots are withheld until
    /// `withhold_until`, which is set if a member has vanished.
    pub fn finish_collecting(&mut self, withhold_until: Option<Millis>) {
        self.collecting_since = None;
        self.needs_reallocation = true;
        let free = self.free();
        self.unreported = withhold_until.map(|until| Grant::reported(free).expire(until));
    }

    /// Returns the number of slots that are neither granted nor withheld.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.capacity.slots.saturating_sub(self.committed())
    }

    /// Returns the number of withheld slots.
    #[must_use]
    pub fn withheld(&self) -> u32 {
        let granted = self.holders.iter().map(|holder| match holder.grant {
            AnyGrant::Withheld(grant) => grant.committed,
            _ => 0,
        });
        granted.sum::<u32>() + self.unreported.map_or(0, |grant| grant.committed)
    }

    fn committed(&self) -> u32 {
        let granted = self.holders.iter().map(|holder| holder.grant.committed());
        granted.sum::<u32>() + self.unreported.map_or(0, |grant| grant.committed)
    }

    /// Records the committed and wanted slots of a holder.
    pub fn record_report(&mut self, daemon: DaemonKey, committed: u32, wanted: u32) {
        self.needs_reallocation = true;
        let existing = self
            .holders
            .iter_mut()
            .find(|holder| holder.daemon == daemon);
        let Some(holder) = existing else {
            if committed > 0 || wanted > 0 {
                self.holders.push(Holder {
                    daemon,
                    grant: AnyGrant::Held(Grant::reported(committed)),
                    wanted,
                    notified: committed,
                });
            }
            return;
        };
        holder.grant = match holder.grant {
            AnyGrant::Recalled(grant) => match grant.report(committed) {
                Ok(held) => AnyGrant::Held(held),
                Err(recalled) => AnyGrant::Recalled(recalled),
            },
            AnyGrant::Held(_) | AnyGrant::Withheld(_) => AnyGrant::Held(Grant::reported(committed)),
        };
        holder.wanted = wanted;
        holder.notified = committed;
        if committed == 0 && wanted == 0 {
            self.holders.retain(|holder| holder.daemon != daemon);
        }
    }

    /// Expires the lease of a holder. Its slots are withheld until the last request sent before
    /// `lease_end` must have ended.
    pub fn expire(&mut self, daemon: DaemonKey, lease_end: Millis) {
        let until = lease_end.after_ms(self.capacity.request_limit_ms);
        for holder in &mut self.holders {
            if holder.daemon == daemon {
                holder.wanted = 0;
                holder.grant = match holder.grant {
                    AnyGrant::Held(grant) => AnyGrant::Withheld(grant.expire(until)),
                    AnyGrant::Recalled(grant) => AnyGrant::Withheld(grant.expire(until)),
                    AnyGrant::Withheld(grant) => AnyGrant::Withheld(grant),
                };
            }
        }
        self.needs_reallocation = true;
    }

    /// Releases withheld slots whose time has passed, then grants or recalls slots.
    pub fn advance(&mut self, now: Millis) {
        let has_ended = |grant: &Grant<Withheld>| grant.state.until <= now;
        let before = self.committed();
        self.unreported = self.unreported.filter(|grant| !has_ended(grant));
        self.holders.retain(
            |holder| !matches!(&holder.grant, AnyGrant::Withheld(grant) if has_ended(grant)),
        );
        let rotation = now.as_ms() / ROTATION_INTERVAL_MS;
        let contended = self.total_wanted() > self.capacity.slots;
        self.needs_reallocation |=
            before != self.committed() || (contended && rotation != self.rotation);
        self.rotation = rotation;
        if self.needs_reallocation && self.collecting_since.is_none() {
            self.reallocate();
        }
        self.needs_reallocation = false;
    }

    fn total_wanted(&self) -> u32 {
        self.holders.iter().map(|holder| holder.wanted).sum()
    }

    fn reallocate(&mut self) {
        let demands: Vec<u32> = self.holders.iter().map(|holder| holder.wanted).collect();
        let total = self.capacity.slots.saturating_sub(self.withheld());
        let first = usize::try_from(self.rotation.wrapping_add(self.rotation_salt) & 0xffff)
            .unwrap_or_default();
        let targets = fair_targets(&demands, total, first);
        let shortfall = self.raise(&targets);
        let returning = self.holders.iter().map(|holder| match holder.grant {
            AnyGrant::Recalled(grant) => grant.committed.saturating_sub(grant.state.keep),
            _ => 0,
        });
        let excess = self.committed().saturating_sub(self.capacity.slots);
        let shortfall = (shortfall + excess).saturating_sub(returning.sum());
        if shortfall > 0 {
            self.recall(&targets, shortfall);
        } else {
            self.raise_local();
        }
    }

    /// Grants the owner a few free slots beyond its demand, so that its requests rarely wait for a
    /// grant.
    fn raise_local(&mut self) {
        let free = self.free();
        let local = self.local;
        if !self.holders.iter().any(|holder| holder.daemon == local) {
            self.holders.push(Holder {
                daemon: local,
                grant: AnyGrant::Held(Grant::reported(0)),
                wanted: 0,
                notified: 0,
            });
        }
        for holder in &mut self.holders {
            if let AnyGrant::Held(grant) = holder.grant
                && holder.daemon == local
            {
                let deficit =
                    (holder.wanted + OWNER_HEADROOM_SLOTS).saturating_sub(grant.committed);
                holder.grant = AnyGrant::Held(grant.raise(deficit.min(free)));
            }
        }
    }

    /// Grants free slots to holders below their target and returns the remaining shortfall.
    fn raise(&mut self, targets: &[u32]) -> u32 {
        let mut free = self.free();
        let mut shortfall = 0;
        for (holder, target) in self.holders.iter_mut().zip(targets) {
            if let AnyGrant::Recalled(grant) = holder.grant
                && *target >= grant.committed
            {
                holder.grant = AnyGrant::Held(grant.cancel());
            }
            let deficit = target.saturating_sub(holder.grant.allowed());
            match holder.grant {
                AnyGrant::Held(grant) if deficit > 0 => {
                    let granted = deficit.min(free);
                    holder.grant = AnyGrant::Held(grant.raise(granted));
                    free -= granted;
                    shortfall += deficit - granted;
                }
                _ => {}
            }
        }
        shortfall
    }

    /// Recalls `shortfall` slots from holders above their target, largest surplus first.
    fn recall(&mut self, targets: &[u32], mut shortfall: u32) {
        while shortfall > 0 {
            let surplus = |(index, holder): (usize, &Holder)| {
                let surplus = holder.grant.allowed().saturating_sub(targets[index]);
                (surplus, index)
            };
            let largest = self.holders.iter().enumerate().map(surplus).max();
            let Some((1.., index)) = largest else { break };
            let holder = &mut self.holders[index];
            let keep = holder.grant.allowed() - 1;
            holder.grant = match holder.grant {
                AnyGrant::Held(grant) => AnyGrant::Recalled(grant.recall(keep)),
                AnyGrant::Recalled(grant) => AnyGrant::Recalled(grant.cancel().recall(keep)),
                AnyGrant::Withheld(_) => break,
            };
            shortfall -= 1;
        }
    }

    /// Calls `notify` with each allowance that its holder does not know yet, and marks it as sent.
    pub fn take_changed_allowances(&mut self, mut notify: impl FnMut(DaemonKey, u32)) {
        for holder in &mut self.holders {
            let allowed = holder.grant.allowed();
            if allowed != holder.notified && !matches!(holder.grant, AnyGrant::Withheld(_)) {
                holder.notified = allowed;
                notify(holder.daemon, allowed);
            }
        }
    }
}
