//! The holder's side of its relation to one home.

use super::{ANSWER_TIMEOUT_MS, GRANT_MS, GUARD_MS, GrantList, Need, RENEW_MS, Report, ViewId};
use crate::prelude::*;

/// A claim that is no longer needed is withdrawn after this time, so that short waits cost one
/// report instead of two.
const WITHDRAW_MS: u64 = 300;

/// Reports to one home and the newest list from it.
#[derive(Debug, Default)]
pub(super) struct ShareLink {
    seq: u64,
    heard: u64,
    sent_at: Millis,
    /// Whether the home is a live member.
    live: bool,
    /// Whether the home is this daemon, whose lease is renewed even if it holds nothing.
    pub(super) own: bool,
    /// Whether lists that build on the newest report are accepted.
    open: bool,
    /// Whether the newest report was answered.
    answered: bool,
    /// Whether a report is due whatever it says: after a change of view, or when the home asks.
    due: bool,
    /// Whether the home granted or recalled something since the newest complete report.
    told: bool,
    /// After a refusal, when the next report may be sent.
    retry_at: Millis,
    needs: Vec<Need>,
    /// The same by instance.
    known: FastMap<SlotKey, Need>,
}

impl ShareLink {
    /// The members changed: lists of the old view are ignored and the new home is told.
    pub(super) fn set_view(&mut self, live: bool) {
        self.open = false;
        self.answered = true;
        self.due = live;
        self.retry_at = Millis::ZERO;
        self.live = live;
        if !live {
            self.needs.clear();
            self.known.clear();
        }
    }

    /// Whether the home is a live member.
    pub(super) const fn is_live(&self) -> bool {
        self.live
    }

    /// Asks for an answer from the home.
    pub(super) fn ask(&mut self) {
        self.due |= self.live;
    }

    /// Takes a list; returns until when what it grants may be used, if it is valid.
    pub(super) fn accept(&mut self, list: &GrantList) -> Option<Millis> {
        if !self.open || list.basis != self.seq {
            return None;
        }
        self.answered = true;
        if list.resend {
            self.due = true;
            return None;
        }
        if list.number <= self.heard {
            return None;
        }
        // A list before this one was lost; only a complete report tells the home what it missed.
        self.due |= list.number != self.heard + 1;
        self.heard = list.number;
        self.told |= !list.allowances.is_empty();
        Some(self.sent_at.after_ms(GRANT_MS - GUARD_MS))
    }

    /// The newest report got no answer or a refusal.
    pub(super) fn refused(&mut self, seq: u64, now: Millis) {
        if seq == self.seq && self.open {
            self.open = false;
            self.answered = true;
            self.due = true;
            self.retry_at = now.after_ms(ANSWER_TIMEOUT_MS);
        }
    }

    /// What the newest report said of an instance.
    pub(super) fn reported(&self, slot: SlotKey) -> Option<&Need> {
        self.known.get(&slot)
    }

    /// The next report, if one is due. `urgent` says whether the needs can wait for the renewal.
    pub(super) fn report(
        &mut self,
        view: ViewId,
        needs: Vec<Need>,
        urgent: bool,
        now: Millis,
    ) -> Option<Report> {
        let rested = now.ms_since(self.sent_at);
        if !self.live || now < self.retry_at || (!self.answered && rested < ANSWER_TIMEOUT_MS) {
            return None;
        }
        let lost = self.seq > 0 && !self.answered;
        let withdrawn = self.needs.iter().any(|known| {
            let now_wanted = needs.iter().find(|need| need.slot == known.slot);
            known.wanted > known.committed
                && now_wanted.is_none_or(|need| need.wanted <= need.committed)
        });
        let holds = self.own || !(needs.is_empty() && self.needs.is_empty());
        let renew = rested >= RENEW_MS && holds;
        let withdraw = withdrawn && rested >= WITHDRAW_MS;
        if !(urgent || renew || withdraw || lost || self.due) {
            return None;
        }
        let complete = self.due || self.told || lost || needs != self.needs;
        if complete {
            self.told = false;
            self.heard = 0;
        }
        self.seq += 1;
        self.sent_at = now;
        self.open = true;
        self.answered = false;
        self.due = false;
        if needs != self.needs {
            self.known = needs.iter().map(|need| (need.slot, *need)).collect();
            self.needs.clone_from(&needs);
        }
        Some(Report {
            view,
            seq: self.seq,
            heard: self.heard,
            needs: complete.then_some(needs),
            vanished_ms_ago: None,
        })
    }
}
