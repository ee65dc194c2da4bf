//! Report exchange of a holder with one owner.

use super::{
    GrantList, LEASE_GUARD_MS, LEASE_MS, LEASE_RENEWAL_INTERVAL_MS, Need, REPORT_TIMEOUT_MS,
    Report, ViewId,
};
use crate::prelude::*;

/// Delay before a claim that is no longer needed is withdrawn, so that a short wait costs one
/// report instead of two.
const WITHDRAWAL_DELAY_MS: u64 = 300;

/// State of the reports to one owner and of the newest list received from it.
#[derive(Debug, Default)]
pub(super) struct OwnerLink {
    seq: u64,
    heard: u64,
    sent_at: Millis,
    /// Whether the owner is a live member.
    live: bool,
    /// Whether the owner is this daemon. Its lease is renewed even if it holds nothing.
    pub(super) is_local: bool,
    /// Whether lists that are based on the newest report are accepted.
    accepts_lists: bool,
    /// Whether the newest report was answered.
    answered: bool,
    /// Whether a report must be sent regardless of its contents: after a view change or when the
    /// owner requests it.
    report_due: bool,
    /// Whether the owner has sent allowances since the newest complete report.
    allowances_received: bool,
    /// Earliest time of the next report after a failed one.
    retry_after: Millis,
    reported_needs: Vec<Need>,
    /// The reported needs indexed by instance.
    needs_by_slot: FastMap<SlotKey, Need>,
}

impl OwnerLink {
    /// Applies a membership change: lists of the old view are ignored, and a report is due if the
    /// owner is live.
    pub(super) fn set_view(&mut self, live: bool) {
        self.accepts_lists = false;
        self.answered = true;
        self.report_due = live;
        self.retry_after = Millis::ZERO;
        self.live = live;
        if !live {
            self.reported_needs.clear();
            self.needs_by_slot.clear();
        }
    }

    /// Whether the owner is a live member.
    pub(super) const fn is_live(&self) -> bool {
        self.live
    }

    /// Schedules a report, to get an answer from the owner.
    pub(super) fn request_report(&mut self) {
        self.report_due |= self.live;
    }

    /// Accepts a list if it is valid and returns the time until which its grants may be used.
    pub(super) fn accept_list(&mut self, list: &GrantList) -> Option<Millis> {
        if !self.accepts_lists || list.basis != self.seq {
            return None;
        }
        self.answered = true;
        if list.resend {
            self.report_due = true;
            return None;
        }
        if list.number <= self.heard {
            return None;
        }
        // A gap in the numbers means that an earlier list was lost. Only a complete report tells
        // the owner which allowances the holder missed.
        self.report_due |= list.number != self.heard + 1;
        self.heard = list.number;
        self.allowances_received |= !list.allowances.is_empty();
        Some(self.sent_at.after_ms(LEASE_MS - LEASE_GUARD_MS))
    }

    /// Handles a report that was refused or got no answer.
    pub(super) fn report_failed(&mut self, seq: u64, now: Millis) {
        if seq == self.seq && self.accepts_lists {
            self.accepts_lists = false;
            self.answered = true;
            self.report_due = true;
            self.retry_after = now.after_ms(REPORT_TIMEOUT_MS);
        }
    }

    /// Returns the need that the newest report stated for an instance.
    pub(super) fn reported_need(&self, slot: SlotKey) -> Option<&Need> {
        self.needs_by_slot.get(&slot)
    }

    /// Returns the next report if one is due. An `urgent` need does not wait for the next renewal.
    pub(super) fn next_report(
        &mut self,
        view: ViewId,
        needs: Vec<Need>,
        urgent: bool,
        now: Millis,
    ) -> Option<Report> {
        let since_last_report = now.ms_since(self.sent_at);
        if !self.live
            || now < self.retry_after
            || (!self.answered && since_last_report < REPORT_TIMEOUT_MS)
        {
            return None;
        }
        let unanswered = self.seq > 0 && !self.answered;
        let has_withdrawn_claim = self.reported_needs.iter().any(|reported| {
            let current = needs.iter().find(|need| need.slot == reported.slot);
            reported.wanted > reported.committed
                && current.is_none_or(|need| need.wanted <= need.committed)
        });
        let has_needs = self.is_local || !(needs.is_empty() && self.reported_needs.is_empty());
        let renewal_due = since_last_report >= LEASE_RENEWAL_INTERVAL_MS && has_needs;
        let withdrawal_due = has_withdrawn_claim && since_last_report >= WITHDRAWAL_DELAY_MS;
        if !(urgent || renewal_due || withdrawal_due || unanswered || self.report_due) {
            return None;
        }
        let is_complete = self.report_due
            || self.allowances_received
            || unanswered
            || needs != self.reported_needs;
        if is_complete {
            self.allowances_received = false;
            self.heard = 0;
        }
        self.seq += 1;
        self.sent_at = now;
        self.accepts_lists = true;
        self.answered = false;
        self.report_due = false;
        if needs != self.reported_needs {
            self.needs_by_slot = needs.iter().map(|need| (need.slot, *need)).collect();
            self.reported_needs.clone_from(&needs);
        }
        Some(Report {
            view,
            seq: self.seq,
            heard: self.heard,
            needs: is_complete.then_some(needs),
            vanished_ms_ago: None,
        })
    }
}
