//! Combines the owner side and the holder side of one daemon, which exchange reports and lists
//! directly, without messages.

use super::{
    GrantList, HolderAction, REPORT_TIMEOUT_MS, Report, ReportAnswer, ServiceUsage, SlotCapacity,
    SlotHolder, SlotOwner, VIEW_CONFIRM_INTERVAL_MS, ViewId,
};
use crate::prelude::*;

/// Maximum number of exchanges between the two sides of this daemon in one call. A report, its
/// answer and the next report settle within this number.
const MAX_LOCAL_ROUNDS: u32 = 4;

/// Membership as seen by one daemon.
#[derive(Clone, Debug)]
pub struct MembershipView<'a> {
    /// Identifier of the view.
    pub id: ViewId,
    /// The live members.
    pub live: Vec<DaemonKey>,
    /// Owner of each instance. Empty if there is no live member.
    pub owners: &'a SecondaryMap<SlotKey, DaemonKey>,
    /// Whether this daemon has been a live member without interruption since the previous view.
    pub was_continuously_live: bool,
    /// Whether a member vanished since the previous view, or is missing without a graceful stop.
    pub vanished: bool,
}

/// Action for the task that drives the slots of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// Perform an action of the holder side. A report is never addressed to this daemon itself.
    Holder(HolderAction),
    /// Send a list to a holder.
    SendGrantList {
        /// The holder.
        to: DaemonKey,
        /// The list.
        list: GrantList,
    },
}

/// Slot leasing of one daemon, both as owner and as holder.
#[derive(Debug)]
pub struct SlotManager {
    local: DaemonKey,
    owner: SlotOwner,
    holder: SlotHolder,
    /// Limits of the instances that this daemon knows.
    capacities: SecondaryMap<SlotKey, SlotCapacity>,
    is_probing: bool,
    /// Time at which a peer last confirmed the view.
    last_confirmed: Millis,
    /// Time at which a peer was last probed.
    last_probe: Millis,
}

impl SlotManager {
    /// Creates the state of a daemon without instances and members.
    #[must_use]
    pub fn new(local: DaemonKey, search_start: usize, now: Millis) -> Self {
        Self {
            local,
            owner: SlotOwner::new(local, now),
            holder: SlotHolder::new(local, search_start),
            capacities: SecondaryMap::new(),
            is_probing: false,
            last_confirmed: now,
            last_probe: now,
        }
    }

    /// Returns the owner side.
    #[must_use]
    pub const fn owner(&self) -> &SlotOwner {
        &self.owner
    }

    /// Returns the holder side.
    #[must_use]
    pub const fn holder(&self) -> &SlotHolder {
        &self.holder
    }

    /// Adopts a view.
    pub fn set_view(&mut self, view: MembershipView<'_>, now: Millis) {
        if view.vanished {
            self.owner.record_vanished(now);
            self.holder.record_vanished(now);
        }
        let owners = view.owners;
        let is_local_owner = |slot| owners.get(slot) == Some(&self.local);
        let keep = |slot| view.was_continuously_live && is_local_owner(slot);
        self.holder
            .set_view(view.id, &view.live, |slot| owners.get(slot).copied());
        self.owner.set_view(view.id, view.live, keep);
        for (slot, capacity) in &self.capacities {
            if is_local_owner(slot) && self.owner.is_live() {
                self.owner.add_instance(slot, *capacity, now);
            }
        }
    }

    /// Sets the instances of a service and their limits; an empty list removes the service.
    pub fn set_service(
        &mut self,
        service: ServiceKey,
        capacity: SlotCapacity,
        slots: Vec<(SlotKey, Option<DaemonKey>)>,
        now: Millis,
    ) {
        let previous = self.holder.slots_of(service);
        for slot in previous {
            if !slots.iter().any(|(key, _)| *key == slot) {
                self.capacities.remove(slot);
                self.owner.remove_instance(slot);
            }
        }
        for (slot, owner) in &slots {
            self.capacities.insert(*slot, capacity);
            if *owner == Some(self.local) {
                self.owner.add_instance(*slot, capacity, now);
            }
        }
        self.holder.set_service(service, capacity, slots);
    }

    /// Records the slot usage that a dispatcher stated for a service.
    pub fn record_usage(&mut self, service: ServiceKey, usage: &ServiceUsage) {
        self.holder.record_usage(service, usage);
    }

    /// Processes a report of another daemon and returns the answer.
    pub fn apply_report(&mut self, from: DaemonKey, report: &Report, now: Millis) -> ReportAnswer {
        self.owner.advance(now);
        if let Err(answer) = self.owner.apply_report(from, report, now) {
            return answer;
        }
        self.owner.advance(now);
        let list = self.owner.next_list(from, now);
        list.map_or(ReportAnswer::Stale, ReportAnswer::Grants)
    }

    /// Applies a list from another daemon.
    pub fn accept_list(&mut self, from: DaemonKey, list: &GrantList, now: Millis) {
        self.owner.advance(now);
        let accepted = self.holder.accept_list(from, list, now);
        if accepted {
            self.last_confirmed = now;
        }
        if accepted && self.is_probing {
            self.owner.confirm_view();
        }
    }

    /// Handles a report that was refused or got no answer.
    pub fn report_failed(&mut self, from: DaemonKey, seq: u64, now: Millis) {
        self.holder.report_failed(from, seq, now);
    }

    /// Advances both sides to `now` and returns the resulting actions.
    pub fn advance(&mut self, now: Millis) -> Vec<SlotAction> {
        self.owner.advance(now);
        if self.owner.is_suspended() && !self.is_probing {
            self.holder.probe_all_owners();
        }
        self.is_probing = self.owner.is_suspended();
        let confirmation_due = now.ms_since(self.last_confirmed) >= VIEW_CONFIRM_INTERVAL_MS;
        if confirmation_due && now.ms_since(self.last_probe) >= REPORT_TIMEOUT_MS {
            self.last_probe = now;
            self.holder.probe_next_owner();
        }
        let mut actions = Vec::new();
        for _ in 0..MAX_LOCAL_ROUNDS {
            let mut settled = true;
            for action in self.holder.advance(now) {
                match action {
                    HolderAction::Report { to, report } if to == self.local => {
                        settled = false;
                        self.report_locally(&report, now);
                    }
                    action => actions.push(SlotAction::Holder(action)),
                }
            }
            for (to, list) in self.owner.due_lists(now) {
                if to == self.local {
                    settled = false;
                    self.holder.accept_list(to, &list, now);
                } else {
                    actions.push(SlotAction::SendGrantList { to, list });
                }
            }
            if settled {
                break;
            }
        }
        actions
    }

    fn report_locally(&mut self, report: &Report, now: Millis) {
        match self.apply_report(self.local, report, now) {
            ReportAnswer::Grants(list) => {
                self.holder.accept_list(self.local, &list, now);
            }
            ReportAnswer::Stale | ReportAnswer::ViewMismatch => {
                self.holder.report_failed(self.local, report.seq, now);
            }
        }
    }
}
