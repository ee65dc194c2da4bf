//! Owner side of slot leasing: the ledgers of the instances that this daemon owns, and the leases of
//! the holders.

use super::{
    Allowance, FREEZE_THRESHOLD_MS, GrantList, LEASE_MS, Need, Report, SlotCapacity, SlotLedger,
    VIEW_CONFIRM_TIMEOUT_MS, ViewId,
};
use crate::prelude::*;

/// Minimum interval between two unsolicited lists to the same holder.
const PUSH_INTERVAL_MS: u64 = 10;

/// Answer of an owner to a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportAnswer {
    /// The report was processed; contains the allowances of the holder.
    Grants(GrantList),
    /// The report is not newer than one that was already processed.
    Stale,
    /// The holder and the owner have different views of the membership.
    ViewMismatch,
}

/// State of one holder at its owner.
#[derive(Debug, Default)]
struct Holder {
    /// Sequence number of the newest processed report.
    seq: u64,
    /// Number of lists sent since its newest complete report.
    lists_sent: u64,
    /// End of the lease; `None` without a lease.
    lease_end: Option<Millis>,
    /// View of its newest complete report.
    view: ViewId,
    /// Needs of its newest complete report, with the instances granted since.
    needs: FastMap<SlotKey, Need>,
    /// Allowances to send to the holder.
    pending_allowances: Vec<Allowance>,
    last_list_at: Millis,
}

/// Ledgers and holders of one owner daemon.
#[derive(Debug)]
pub struct SlotOwner {
    local: DaemonKey,
    view: ViewId,
    live_members: Vec<DaemonKey>,
    ledgers: SecondaryMap<SlotKey, SlotLedger>,
    holders: SecondaryMap<DaemonKey, Holder>,
    last_vanished: Option<Millis>,
    last_advance: Millis,
    /// Time at which the owner detected that it had been frozen; set until its view is confirmed.
    suspended_since: Option<Millis>,
}

impl SlotOwner {
    /// Creates an owner without instances.
    #[must_use]
    pub fn new(local: DaemonKey, now: Millis) -> Self {
        Self {
            local,
            view: ViewId::default(),
            live_members: Vec::new(),
            ledgers: SecondaryMap::new(),
            holders: SecondaryMap::new(),
            last_vanished: None,
            last_advance: now,
            suspended_since: None,
        }
    }

    /// Adopts a view. The ledgers selected by `keep` are retained. Every other instance collects
    /// reports again.
    pub fn set_view(
        &mut self,
        view: ViewId,
        live_members: Vec<DaemonKey>,
        keep: impl Fn(SlotKey) -> bool,
    ) {
        if view == self.view {
            return;
        }
        self.view = view;
        self.live_members = live_members;
        self.ledgers.retain(|slot, _| keep(slot));
        // An owner that was frozen stays suspended: this may be a view that it missed, and a newer
        // one may follow.
    }

    /// Records that a member vanished without a graceful stop.
    pub fn record_vanished(&mut self, at: Millis) {
        self.last_vanished = self.last_vanished.max(Some(at));
    }

    /// Returns the time at which a member last vanished, as far as this daemon knows.
    #[must_use]
    pub const fn last_vanished(&self) -> Option<Millis> {
        self.last_vanished
    }

    /// Makes this daemon the owner of an instance, or updates the limits of the instance.
    pub fn add_instance(&mut self, slot: SlotKey, capacity: SlotCapacity, now: Millis) {
        if let Some(ledger) = self.ledgers.get_mut(slot) {
            ledger.set_capacity(capacity);
        } else {
            let rotation_salt = slotmap::Key::data(&slot).as_ffi();
            let mut ledger = SlotLedger::new_collecting(capacity, self.local, rotation_salt, now);
            // A holder may have reported before this daemon learned of the instance.
            for (daemon, holder) in &self.holders {
                if let Some(need) = holder.needs.get(&slot).filter(|_| holder.view == self.view) {
                    ledger.record_report(daemon, need.committed, need.wanted);
                }
            }
            self.ledgers.insert(slot, ledger);
        }
    }

    /// Returns whether this daemon is a live member of its own view.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.live_members.contains(&self.local)
    }

    /// Returns whether this daemon is the owner of an instance.
    #[must_use]
    pub fn contains(&self, slot: SlotKey) -> bool {
        self.ledgers.contains_key(slot)
    }

    /// Removes an instance that left the platform or changed its service.
    pub fn remove_instance(&mut self, slot: SlotKey) {
        self.ledgers.remove(slot);
    }

    /// Returns the ledger of an instance.
    #[must_use]
    pub fn ledger(&self, slot: SlotKey) -> Option<&SlotLedger> {
        self.ledgers.get(slot)
    }

    /// Returns whether the owner was frozen and waits for a peer to confirm its view.
    #[must_use]
    pub const fn is_suspended(&self) -> bool {
        self.suspended_since.is_some()
    }

    /// Ends the suspension, after a peer with the same view has answered a report that was sent
    /// since the owner resumed.
    pub fn confirm_view(&mut self) {
        self.suspended_since = None;
    }

    /// Applies a report. Its answer is [`Self::next_list`] after a call to [`Self::advance`].
    ///
    /// # Errors
    ///
    /// Returns the answer if the report was not applied.
    pub fn apply_report(
        &mut self,
        from: DaemonKey,
        report: &Report,
        now: Millis,
    ) -> Result<(), ReportAnswer> {
        if report.view != self.view || !self.live_members.contains(&from) {
            return Err(ReportAnswer::ViewMismatch);
        }
        if !self.holders.contains_key(from) {
            self.holders.insert(from, Holder::default());
        }
        let Some(holder) = self.holders.get_mut(from) else {
            return Err(ReportAnswer::Stale);
        };
        if report.seq <= holder.seq {
            return Err(ReportAnswer::Stale);
        }
        let lease_valid = holder.lease_end.is_some_and(|end| now < end);
        let in_sync = holder.view == self.view && report.heard == holder.lists_sent;
        holder.seq = report.seq;
        if let Some(ago) = report.vanished_ms_ago {
            let at = Millis::from_ms(now.as_ms().saturating_sub(ago));
            self.last_vanished = self.last_vanished.max(Some(at));
        }
        match &report.needs {
            None if in_sync && lease_valid => holder.lease_end = Some(now.after_ms(LEASE_MS)),
            None => {
                return Err(ReportAnswer::Grants(GrantList {
                    basis: report.seq,
                    number: holder.lists_sent,
                    resend: true,
                    allowances: Vec::new(),
                }));
            }
            Some(needs) => {
                holder.view = self.view;
                holder.lease_end = Some(now.after_ms(LEASE_MS));
                self.record_needs(from, needs);
            }
        }
        Ok(())
    }

    fn record_needs(&mut self, from: DaemonKey, needs: &[Need]) {
        let Self {
            ledgers, holders, ..
        } = self;
        let Some(holder) = holders.get_mut(from) else {
            return;
        };
        let current = needs.iter().map(|need| (need.slot, *need)).collect();
        let previous: FastMap<SlotKey, Need> = std::mem::replace(&mut holder.needs, current);
        holder.pending_allowances.clear();
        holder.lists_sent = 0;
        for slot in previous.keys() {
            if !holder.needs.contains_key(slot)
                && let Some(ledger) = ledgers.get_mut(*slot)
            {
                ledger.record_report(from, 0, 0);
            }
        }
        for need in needs {
            if let Some(ledger) = ledgers.get_mut(need.slot) {
                ledger.record_report(from, need.committed, need.wanted);
            }
        }
    }

    /// Expires leases, ends collections of reports that are complete or timed out, and reallocates
    /// free slots.
    pub fn advance(&mut self, now: Millis) {
        if now.ms_since(self.last_advance) > FREEZE_THRESHOLD_MS {
            self.suspended_since = Some(now);
        }
        self.last_advance = now;
        let is_alone = self.live_members.iter().all(|member| *member == self.local);
        if self
            .suspended_since
            .is_some_and(|since| is_alone || now.ms_since(since) >= VIEW_CONFIRM_TIMEOUT_MS)
        {
            self.suspended_since = None;
        }
        self.expire_leases(now);
        if self.suspended_since.is_none() {
            self.reallocate(now);
        }
    }

    fn expire_leases(&mut self, now: Millis) {
        for (daemon, holder) in &mut self.holders {
            let Some(end) = holder.lease_end.filter(|end| *end <= now) else {
                continue;
            };
            holder.lease_end = None;
            holder.pending_allowances.clear();
            for (slot, need) in holder.needs.drain() {
                match self.ledgers.get_mut(slot) {
                    Some(ledger) => ledger.expire(daemon, end),
                    // This daemon does not know the instance yet. Once it does, the slots of the
                    // holder are withheld like those of a vanished member.
                    None if need.committed > 0 => {
                        self.last_vanished = self.last_vanished.max(Some(end))
                    }
                    None => {}
                }
            }
        }
    }

    fn reallocate(&mut self, now: Millis) {
        let Self {
            view,
            live_members,
            ledgers,
            holders,
            last_vanished,
            ..
        } = self;
        let reported = |member| {
            holders
                .get(member)
                .is_some_and(|holder| holder.view == *view)
        };
        let all_reported = live_members.iter().all(|member| reported(*member));
        for (slot, ledger) in ledgers {
            if let Some(since) = ledger.collecting_since() {
                let withhold_ms = LEASE_MS + ledger.capacity().request_limit_ms;
                if all_reported || now >= since.after_ms(withhold_ms) {
                    let until = last_vanished.map(|at| at.after_ms(withhold_ms));
                    ledger.finish_collecting(until.filter(|until| now < *until));
                }
            }
            ledger.advance(now);
            ledger.take_changed_allowances(|daemon, slots| {
                if let Some(holder) = holders.get_mut(daemon) {
                    holder.needs.entry(slot).or_insert(Need {
                        slot,
                        committed: 0,
                        wanted: 0,
                    });
                    holder
                        .pending_allowances
                        .retain(|pending| pending.slot != slot);
                    holder.pending_allowances.push(Allowance { slot, slots });
                }
            });
        }
    }

    /// Returns the list that answers the newest report of a holder.
    pub fn next_list(&mut self, to: DaemonKey, now: Millis) -> Option<GrantList> {
        let holder = self.holders.get_mut(to)?;
        Some(take_next_list(holder, now))
    }

    /// Returns the unsolicited lists for holders with pending allowances.
    pub fn due_lists(&mut self, now: Millis) -> Vec<(DaemonKey, GrantList)> {
        let due = |holder: &Holder| {
            let interval_elapsed = now.ms_since(holder.last_list_at) >= PUSH_INTERVAL_MS;
            !holder.pending_allowances.is_empty() && interval_elapsed && holder.lease_end.is_some()
        };
        self.holders
            .iter_mut()
            .filter(|(_, holder)| due(holder))
            .map(|(daemon, holder)| (daemon, take_next_list(holder, now)))
            .collect()
    }
}

fn take_next_list(holder: &mut Holder, now: Millis) -> GrantList {
    holder.lists_sent += 1;
    holder.last_list_at = now;
    GrantList {
        basis: holder.seq,
        number: holder.lists_sent,
        resend: false,
        allowances: std::mem::take(&mut holder.pending_allowances),
    }
}
