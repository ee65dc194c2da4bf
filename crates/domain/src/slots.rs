//! Slots and connections of upstream instances, shared by the daemons without a coordination
//! service.
//!
//! Each instance of a service has one home daemon, which lends its slots under short leases. A
//! holder sends [`Report`]s with absolute counts; the home replies with a [`GrantList`] and may
//! send further ones later. Three rules keep the sum of usable slots within the limit under loss,
//! duplication and reordering:
//!
//! - A holder accepts a list only if its `basis` is the newest report that it sent to that home.
//!   What a report states therefore stays true until the home itself grants more.
//! - A home counts for each holder the larger of what it allows and what the holder last reported.
//! - A lease runs from the time the report was sent at the holder, and from the later time it was
//!   processed at the home.

use crate::prelude::*;

mod directory;
mod fair;
mod grant;
mod home;
mod ledger;
mod node;
mod placement;
mod share;
mod share_link;

pub use directory::{NamedCounts, NamedList, NamedReport, NamedService, SlotDirectory, SlotId};
pub use fair::fair_targets;
pub use grant::{Grant, Held, Recalled, Withheld};
pub use home::{ReportAnswer, SlotHome};
pub use ledger::SlotLedger;
pub use node::{SlotAction, Slots, View};
pub use placement::{home_of, preference, view_id};
pub use share::{Limit, ServiceUse, ShareAction, SlotShare};

/// Life of a lease, counted by the home.
pub const GRANT_MS: u64 = 2_000;
/// A holder stops using a grant this long before the lease ends. It covers the difference of clock
/// rates and the time between the check and the first byte at the upstream.
pub const GUARD_MS: u64 = 200;
/// A holder renews its leases at this interval, so that one lost renewal does not end them.
pub const RENEW_MS: u64 = 800;
/// A grant that was not used for one such window is returned at its end.
pub const IDLE_MS: u64 = 250;
/// A report without an answer is sent again after this time.
pub const ANSWER_TIMEOUT_MS: u64 = 300;
/// When holders want more than there is, the odd slot moves on to the next holder at this interval.
pub const ROTATION_MS: u64 = 1_000;
/// Slots that a home may use beyond its demand while nobody else wants them.
pub const HEADROOM: u32 = 2;
/// A home that has not run for this long was frozen and others may have replaced it. A heartbeat
/// that is renewed in time has at least 3,400 ms left.
pub const PAUSE_MS: u64 = 2_500;
/// A daemon that no peer has answered for this time asks one, so that a daemon which is cut off from
/// the platform learns of a newer view before slots that it may use are granted to others.
pub const CONFIRM_INTERVAL_MS: u64 = 2_000;
/// A home that was frozen waits at most this long for a peer to confirm its view.
pub const CONFIRM_MS: u64 = 2_500;
/// Connections of an instance that are kept free for those of a replaced daemon.
pub const LINGERING_CONNECTIONS: u32 = 8;

/// Identifies the set of live members that homes are computed from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct ViewId(pub u64);

/// Limits of one service on one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCapacity {
    /// Requests that the instance executes at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Longest execution of a request.
    pub request_limit_ms: u64,
}

impl SlotCapacity {
    /// Connections that a holder of `slots` may open. They follow from the slots, so their sum
    /// stays within the limit whenever that of the slots does.
    #[must_use]
    pub fn connections_for(&self, slots: u32) -> u32 {
        let reserve = LINGERING_CONNECTIONS.min(self.connections.saturating_sub(self.slots));
        let shared = self.connections.saturating_sub(reserve);
        slots * (shared / self.slots.max(1))
    }
}

/// What a holder has and wants of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// The instance.
    pub slot: SlotKey,
    /// Slots that the holder may be using; it uses no more without a new grant.
    pub committed: u32,
    /// Slots that it could use now.
    pub wanted: u32,
}

/// Message of a holder to a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The view of the holder.
    pub view: ViewId,
    /// Position among the reports of this holder to this home, from 1.
    pub seq: u64,
    /// Number of the newest list that the holder accepted since its last complete report.
    pub heard: u64,
    /// Every instance of this home with something committed or wanted; `None` if nothing changed
    /// since the report before, whose answer the holder has.
    pub needs: Option<Vec<Need>>,
    /// How long ago the holder noticed that a member vanished, if one did.
    pub vanished_ms_ago: Option<u64>,
}

/// Slots that a holder may use of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// The instance.
    pub slot: SlotKey,
    /// The slots.
    pub slots: u32,
}

/// Message of a home to a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantList {
    /// The report that it builds on.
    pub basis: u64,
    /// Position among the lists since the holder's last complete report, from 1.
    pub number: u64,
    /// Whether the home needs the next report to be complete.
    pub resend: bool,
    /// Allowances that differ from what the holder reported or was told since.
    pub allowances: Vec<Allowance>,
}
