//! Both sides of one daemon: its ledgers and its share, which talk to each other without messages.

use super::{
    ANSWER_TIMEOUT_MS, CONFIRM_INTERVAL_MS, GrantList, Report, ReportAnswer, ServiceUse,
    ShareAction, SlotCapacity, SlotHome, SlotShare, ViewId,
};
use crate::prelude::*;

/// A report, its answer and the next report of the own share settle within so many rounds.
const ROUNDS_MAX: u32 = 4;

/// The live members as a daemon sees them.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// Identifies the view.
    pub id: ViewId,
    /// The live members.
    pub live: Vec<DaemonKey>,
    /// Home of each instance, `None` if there is no live member.
    pub homes: &'a SecondaryMap<SlotKey, DaemonKey>,
    /// Whether this daemon was a live member without a break since the view before.
    pub stayed: bool,
    /// Whether a member vanished since the view before, or is missing without having left.
    pub vanished: bool,
}

/// What the task must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// Carry out an action of the share; reports never go to this daemon itself.
    Share(ShareAction),
    /// Send a list to a holder.
    Grants {
        /// The holder.
        to: DaemonKey,
        /// The list.
        list: GrantList,
    },
}

/// The slots of one daemon, as home and as holder.
#[derive(Debug)]
pub struct Slots {
    own: DaemonKey,
    home: SlotHome,
    share: SlotShare,
    /// Capacities of the instances that this daemon knows.
    capacities: SecondaryMap<SlotKey, SlotCapacity>,
    probing: bool,
    /// When a peer last confirmed the view.
    confirmed: Millis,
    /// When a peer was last asked to.
    asked: Millis,
}

impl Slots {
    /// The slots of a daemon without instances and members.
    #[must_use]
    pub fn new(own: DaemonKey, preference: usize, now: Millis) -> Self {
        Self {
            own,
            home: SlotHome::new(own, now),
            share: SlotShare::new(own, preference),
            capacities: SecondaryMap::new(),
            probing: false,
            confirmed: now,
            asked: now,
        }
    }

    /// The owner side.
    #[must_use]
    pub const fn home(&self) -> &SlotHome {
        &self.home
    }

    /// The holder side.
    #[must_use]
    pub const fn share(&self) -> &SlotShare {
        &self.share
    }

    /// Adopts a view.
    pub fn set_view(&mut self, view: View<'_>, now: Millis) {
        if view.vanished {
            self.home.note_vanished(now);
            self.share.note_vanished(now);
        }
        let homes = view.homes;
        let is_own = |slot| homes.get(slot) == Some(&self.own);
        let kept = |slot| view.stayed && is_own(slot);
        self.share
            .set_view(view.id, &view.live, |slot| homes.get(slot).copied());
        self.home.set_view(view.id, view.live, kept);
        for (slot, capacity) in &self.capacities {
            if is_own(slot) && self.home.is_live() {
                self.home.assume(slot, *capacity, now);
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
        let old = self.share.slots_of(service);
        for slot in old {
            if !slots.iter().any(|(key, _)| *key == slot) {
                self.capacities.remove(slot);
                self.home.release(slot);
            }
        }
        for (slot, home) in &slots {
            self.capacities.insert(*slot, capacity);
            if *home == Some(self.own) {
                self.home.assume(*slot, capacity, now);
            }
        }
        self.share.set_service(service, capacity, slots);
    }

    /// Records what a dispatcher says of a service.
    pub fn record_use(&mut self, service: ServiceKey, service_use: &ServiceUse) {
        self.share.record_use(service, service_use);
    }

    /// Takes a report of another daemon and returns the answer.
    pub fn report(&mut self, from: DaemonKey, report: &Report, now: Millis) -> ReportAnswer {
        self.home.advance(now);
        if let Err(answer) = self.home.report(from, report, now) {
            return answer;
        }
        self.home.advance(now);
        let list = self.home.answer(from, now);
        list.map_or(ReportAnswer::Stale, ReportAnswer::Grants)
    }

    /// Takes a list of another daemon.
    pub fn accept(&mut self, from: DaemonKey, list: &GrantList, now: Millis) {
        self.home.advance(now);
        let answers_probe = self.share.accept(from, list, now);
        if answers_probe {
            self.confirmed = now;
        }
        if answers_probe && self.probing {
            self.home.confirm();
        }
    }

    /// A report got no answer or a refusal.
    pub fn refused(&mut self, from: DaemonKey, seq: u64, now: Millis) {
        self.share.refused(from, seq, now);
    }

    /// Decides what to do by `now`.
    pub fn advance(&mut self, now: Millis) -> Vec<SlotAction> {
        self.home.advance(now);
        if self.home.suspended() && !self.probing {
            self.share.probe();
        }
        self.probing = self.home.suspended();
        let due = now.ms_since(self.confirmed) >= CONFIRM_INTERVAL_MS;
        if due && now.ms_since(self.asked) >= ANSWER_TIMEOUT_MS {
            self.asked = now;
            self.share.ask_next();
        }
        let mut actions = Vec::new();
        for _ in 0..ROUNDS_MAX {
            let mut settled = true;
            for action in self.share.advance(now) {
                match action {
                    ShareAction::Report { to, report } if to == self.own => {
                        settled = false;
                        self.report_to_self(&report, now);
                    }
                    action => actions.push(SlotAction::Share(action)),
                }
            }
            for (to, list) in self.home.pushes(now) {
                if to == self.own {
                    settled = false;
                    self.share.accept(to, &list, now);
                } else {
                    actions.push(SlotAction::Grants { to, list });
                }
            }
            if settled {
                break;
            }
        }
        actions
    }

    fn report_to_self(&mut self, report: &Report, now: Millis) {
        match self.report(self.own, report, now) {
            ReportAnswer::Grants(list) => {
                self.share.accept(self.own, &list, now);
            }
            ReportAnswer::Stale | ReportAnswer::OtherView => {
                self.share.refused(self.own, report.seq, now);
            }
        }
    }
}
