//! The owner side: the ledgers of the instances that this daemon is home for, and the leases of
//! the holders.

use super::{
    Allowance, CONFIRM_MS, GRANT_MS, GrantList, Need, PAUSE_MS, Report, SlotCapacity, SlotLedger,
    ViewId,
};
use crate::prelude::*;

/// A list is sent to the same holder this long after the one before at the earliest.
const PUSH_INTERVAL_MS: u64 = 10;

/// What a home answers to a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportAnswer {
    /// What the holder may use.
    Grants(GrantList),
    /// The report is older than one that was processed.
    Stale,
    /// The members that the holder and the home see differ.
    OtherView,
}

/// What the home knows of a holder.
#[derive(Debug, Default)]
struct Holder {
    /// Newest report that was processed.
    seq: u64,
    /// Lists that were sent since its newest complete report.
    number: u64,
    /// End of the lease; `None` if the holder has nothing.
    lease_end: Option<Millis>,
    /// The view of its newest report.
    view: ViewId,
    /// Its newest complete report, and the instances granted since.
    needs: FastMap<SlotKey, Need>,
    /// Allowances that it must be told.
    news: Vec<Allowance>,
    pushed: Millis,
}

/// Ledgers of the instances of one home daemon, and its holders.
#[derive(Debug)]
pub struct SlotHome {
    own: DaemonKey,
    view: ViewId,
    live: Vec<DaemonKey>,
    ledgers: SecondaryMap<SlotKey, SlotLedger>,
    holders: SecondaryMap<DaemonKey, Holder>,
    vanished: Option<Millis>,
    advanced: Millis,
    /// When the home found that it had been frozen and its view may be out of date.
    suspended: Option<Millis>,
}

impl SlotHome {
    /// A home without instances.
    #[must_use]
    pub fn new(own: DaemonKey, now: Millis) -> Self {
        Self {
            own,
            view: ViewId::default(),
            live: Vec::new(),
            ledgers: SecondaryMap::new(),
            holders: SecondaryMap::new(),
            vanished: None,
            advanced: now,
            suspended: None,
        }
    }

    /// Adopts a view. The ledgers in `kept` stay; for every other instance the collection of
    /// reports starts afresh.
    pub fn set_view(&mut self, view: ViewId, live: Vec<DaemonKey>, kept: impl Fn(SlotKey) -> bool) {
        if view == self.view {
            return;
        }
        self.view = view;
        self.live = live;
        self.ledgers.retain(|slot, _| kept(slot));
        // A home that was frozen stays suspended: this view may be one that it missed, and a later
        // one may follow.
    }

    /// Records that a member vanished without a graceful stop.
    pub fn note_vanished(&mut self, at: Millis) {
        self.vanished = self.vanished.max(Some(at));
    }

    /// When a member vanished last, as far as this daemon knows.
    #[must_use]
    pub const fn vanished(&self) -> Option<Millis> {
        self.vanished
    }

    /// Makes this daemon the home of an instance, or changes its limits.
    pub fn assume(&mut self, slot: SlotKey, capacity: SlotCapacity, now: Millis) {
        if let Some(ledger) = self.ledgers.get_mut(slot) {
            ledger.configure(capacity);
        } else {
            let salt = slotmap::Key::data(&slot).as_ffi();
            let mut ledger = SlotLedger::collecting(capacity, self.own, salt, now);
            // A holder may have reported before this daemon learned of the instance.
            for (daemon, holder) in &self.holders {
                if let Some(need) = holder.needs.get(&slot).filter(|_| holder.view == self.view) {
                    ledger.report(daemon, need.committed, need.wanted);
                }
            }
            self.ledgers.insert(slot, ledger);
        }
    }

    /// Whether this daemon is a live member of its own view.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.live.contains(&self.own)
    }

    /// Whether this daemon is the home of an instance.
    #[must_use]
    pub fn contains(&self, slot: SlotKey) -> bool {
        self.ledgers.contains_key(slot)
    }

    /// Forgets an instance that left the platform or changed its service.
    pub fn release(&mut self, slot: SlotKey) {
        self.ledgers.remove(slot);
    }

    /// The ledger of an instance.
    #[must_use]
    pub fn ledger(&self, slot: SlotKey) -> Option<&SlotLedger> {
        self.ledgers.get(slot)
    }

    /// Whether the home was frozen and waits for a peer to confirm its view.
    #[must_use]
    pub const fn suspended(&self) -> bool {
        self.suspended.is_some()
    }

    /// A peer answered a report that was sent after the home resumed, with the same view.
    pub fn confirm(&mut self) {
        self.suspended = None;
    }

    /// Takes a report. The answer to it follows from [`Self::answer`] after [`Self::advance`].
    ///
    /// # Errors
    ///
    /// Returns the answer when the report changes nothing.
    pub fn report(
        &mut self,
        from: DaemonKey,
        report: &Report,
        now: Millis,
    ) -> Result<(), ReportAnswer> {
        if report.view != self.view || !self.live.contains(&from) {
            return Err(ReportAnswer::OtherView);
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
        let alive = holder.lease_end.is_some_and(|end| now < end);
        let unchanged = holder.view == self.view && report.heard == holder.number;
        holder.seq = report.seq;
        if let Some(ago) = report.vanished_ms_ago {
            let at = Millis::from_ms(now.as_ms().saturating_sub(ago));
            self.vanished = self.vanished.max(Some(at));
        }
        match &report.needs {
            None if unchanged && alive => holder.lease_end = Some(now.after_ms(GRANT_MS)),
            None => {
                return Err(ReportAnswer::Grants(GrantList {
                    basis: report.seq,
                    number: holder.number,
                    resend: true,
                    allowances: Vec::new(),
                }));
            }
            Some(needs) => {
                holder.view = self.view;
                holder.lease_end = Some(now.after_ms(GRANT_MS));
                self.take_needs(from, needs);
            }
        }
        Ok(())
    }

    fn take_needs(&mut self, from: DaemonKey, needs: &[Need]) {
        let Self {
            ledgers, holders, ..
        } = self;
        let Some(holder) = holders.get_mut(from) else {
            return;
        };
        let stated = needs.iter().map(|need| (need.slot, *need)).collect();
        let before: FastMap<SlotKey, Need> = std::mem::replace(&mut holder.needs, stated);
        holder.news.clear();
        holder.number = 0;
        for slot in before.keys() {
            if !holder.needs.contains_key(slot)
                && let Some(ledger) = ledgers.get_mut(*slot)
            {
                ledger.report(from, 0, 0);
            }
        }
        for need in needs {
            if let Some(ledger) = ledgers.get_mut(need.slot) {
                ledger.report(from, need.committed, need.wanted);
            }
        }
    }

    /// Ends leases and collections whose time has come and divides what is free.
    pub fn advance(&mut self, now: Millis) {
        if now.ms_since(self.advanced) > PAUSE_MS {
            self.suspended = Some(now);
        }
        self.advanced = now;
        let alone = self.live.iter().all(|member| *member == self.own);
        if self
            .suspended
            .is_some_and(|since| alone || now.ms_since(since) >= CONFIRM_MS)
        {
            self.suspended = None;
        }
        self.end_leases(now);
        if self.suspended.is_none() {
            self.divide(now);
        }
    }

    fn end_leases(&mut self, now: Millis) {
        for (daemon, holder) in &mut self.holders {
            let Some(end) = holder.lease_end.filter(|end| *end <= now) else {
                continue;
            };
            holder.lease_end = None;
            holder.news.clear();
            for (slot, need) in holder.needs.drain() {
                match self.ledgers.get_mut(slot) {
                    Some(ledger) => ledger.expire(daemon, end),
                    // This daemon has not learned of the instance; what the holder had is
                    // withheld as that of a vanished member once it has.
                    None if need.committed > 0 => self.vanished = self.vanished.max(Some(end)),
                    None => {}
                }
            }
        }
    }

    fn divide(&mut self, now: Millis) {
        let Self {
            view,
            live,
            ledgers,
            holders,
            vanished,
            ..
        } = self;
        let reported = |member| holders.get(member).is_some_and(|known| known.view == *view);
        let all_reported = live.iter().all(|member| reported(*member));
        for (slot, ledger) in ledgers {
            if let Some(since) = ledger.collecting_since() {
                let hold_ms = GRANT_MS + ledger.capacity().request_limit_ms;
                if all_reported || now >= since.after_ms(hold_ms) {
                    let until = vanished.map(|at| at.after_ms(hold_ms));
                    ledger.collected(until.filter(|until| now < *until));
                }
            }
            ledger.advance(now);
            ledger.take_news(|daemon, slots| {
                if let Some(holder) = holders.get_mut(daemon) {
                    holder.needs.entry(slot).or_insert(Need {
                        slot,
                        committed: 0,
                        wanted: 0,
                    });
                    holder.news.retain(|known| known.slot != slot);
                    holder.news.push(Allowance { slot, slots });
                }
            });
        }
    }

    /// The answer to the newest report of a holder.
    pub fn answer(&mut self, to: DaemonKey, now: Millis) -> Option<GrantList> {
        let holder = self.holders.get_mut(to)?;
        Some(take_list(holder, now))
    }

    /// Lists for holders that must be told something before their next report.
    pub fn pushes(&mut self, now: Millis) -> Vec<(DaemonKey, GrantList)> {
        let due = |holder: &Holder| {
            let rested = now.ms_since(holder.pushed) >= PUSH_INTERVAL_MS;
            !holder.news.is_empty() && rested && holder.lease_end.is_some()
        };
        self.holders
            .iter_mut()
            .filter(|(_, holder)| due(holder))
            .map(|(daemon, holder)| (daemon, take_list(holder, now)))
            .collect()
    }
}

fn take_list(holder: &mut Holder, now: Millis) -> GrantList {
    holder.number += 1;
    holder.pushed = now;
    GrantList {
        basis: holder.seq,
        number: holder.number,
        resend: false,
        allowances: std::mem::take(&mut holder.news),
    }
}
