//! Distributed leasing of the request slots and connections of upstream instances.
//!
//! Daemons share the slots without a coordination service. Each instance of a service has one owner
//! daemon, which grants its slots to holders under short leases. A holder sends [`Report`]s with
//! absolute counts. The owner replies with a [`GrantList`] and may send more lists later. Three
//! rules keep the sum of usable slots within the limit when messages are lost, duplicated or
//! reordered:
//!
//! - A holder accepts a list only if its `basis` is the newest report that it sent to that owner.
//!   The contents of a report therefore stay valid until the owner itself grants more.
//! - For each holder, an owner counts the larger of what it allows and what the holder last
//!   reported.
//! - The holder measures its lease from the time it sent the report, the owner from the later time
//!   it processed the report.

use crate::prelude::*;

mod directory;
mod fair;
mod grant;
mod holder;
mod ledger;
mod manager;
mod owner;
mod owner_link;
mod ownership;

pub use directory::{
    NamedCounts, NamedGrantList, NamedReport, NamedService, SlotDirectory, SlotId,
};
pub use fair::fair_targets;
pub use grant::{Grant, Held, Recalled, Withheld};
pub use holder::{HolderAction, ServiceUsage, SlotHolder, SlotLimit};
pub use ledger::SlotLedger;
pub use manager::{MembershipView, SlotAction, SlotManager};
pub use owner::{ReportAnswer, SlotOwner};
pub use ownership::{owner_of, search_start, view_id};

/// Duration of a lease, measured by the owner.
pub const LEASE_MS: u64 = 2_000;
/// Safety margin before the end of a lease, after which the holder stops using the grant. It covers
/// clock drift and the time between the check and the first byte at the upstream.
pub const LEASE_GUARD_MS: u64 = 200;
/// Interval at which a holder renews its leases, short enough to tolerate one lost renewal.
pub const LEASE_RENEWAL_INTERVAL_MS: u64 = 800;
/// Length of the usage window. Slots that stay unused for a whole window are returned at its end.
pub const IDLE_WINDOW_MS: u64 = 250;
/// Time after which an unanswered report is sent again.
pub const REPORT_TIMEOUT_MS: u64 = 300;
/// Interval at which the slots left over by an even split move to the next holder under contention.
pub const ROTATION_INTERVAL_MS: u64 = 1_000;
/// Free slots that an owner may hold beyond its demand while no other holder wants them.
pub const OWNER_HEADROOM_SLOTS: u32 = 2;
/// An owner that has not run for longer than this counts as frozen, and another daemon may have
/// replaced it. A heartbeat that is renewed in time has at least 3,400 ms left.
pub const FREEZE_THRESHOLD_MS: u64 = 2_500;
/// A daemon that has had no answer from a peer for this long probes one. A daemon that is cut off
/// from the platform thus learns of a newer view before its slots are granted to other holders.
pub const VIEW_CONFIRM_INTERVAL_MS: u64 = 2_000;
/// Longest time that an owner waits after a freeze for a peer to confirm its view.
pub const VIEW_CONFIRM_TIMEOUT_MS: u64 = 2_500;
/// Connections of an instance that are reserved for the remaining ones of a replaced daemon.
pub const RESERVED_CONNECTIONS: u32 = 8;

/// Identifies the set of live members that owners are computed from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct ViewId(pub u64);

/// Limits of one service on one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCapacity {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Maximum execution time of a request.
    pub request_limit_ms: u64,
}

impl SlotCapacity {
    /// Returns the number of connections that a holder of `slots` may open. It is proportional to
    /// the slots, so the sum over all holders stays within the limit if the sum of slots does.
    #[must_use]
    pub fn connections_for(&self, slots: u32) -> u32 {
        let reserve = RESERVED_CONNECTIONS.min(self.connections.saturating_sub(self.slots));
        let shared = self.connections.saturating_sub(reserve);
        slots * (shared / self.slots.max(1))
    }
}

/// Current use and demand of a holder for one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// The instance.
    pub slot: SlotKey,
    /// Slots that the holder may be using. It does not exceed them without a new grant.
    pub committed: u32,
    /// Slots that the holder could use now.
    pub wanted: u32,
}

/// Message from a holder to an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Membership view of the holder.
    pub view: ViewId,
    /// Sequence number among the reports of this holder to this owner, starting at 1.
    pub seq: u64,
    /// Number of the newest list that the holder has accepted since its last complete report.
    pub heard: u64,
    /// Every instance of this owner with committed or wanted slots. `None` if nothing has changed
    /// since the previous report and the holder has received the answer to it.
    pub needs: Option<Vec<Need>>,
    /// Time since the holder noticed that a member vanished, if one did.
    pub vanished_ms_ago: Option<u64>,
}

/// Number of slots of one instance that a holder may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// The instance.
    pub slot: SlotKey,
    /// Number of slots.
    pub slots: u32,
}

/// Message from an owner to a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantList {
    /// Sequence number of the report that the list is based on.
    pub basis: u64,
    /// Sequence number among the lists since the holder's last complete report, starting at 1.
    pub number: u64,
    /// Whether the owner needs the next report to be complete.
    pub resend: bool,
    /// Allowances that differ from what the holder has reported or received since.
    pub allowances: Vec<Allowance>,
}
