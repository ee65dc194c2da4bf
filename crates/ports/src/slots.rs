//! The slot port: between dispatchers, peers and the slot task.

use std::sync::Arc;

use rosemaryscale_domain::Millis;
use rosemaryscale_domain::slots::{NamedGrantList, NamedReport, SlotCapacity};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::dispatch::DispatchMessage;
use crate::peer::PeerReply;

/// What a dispatcher may use of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSlotLimit {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Exchanges in flight at most.
    pub slots: u32,
    /// Connections open at most.
    pub connections: u32,
    /// No exchange starts at or after this time.
    pub until: Millis,
}

/// What a dispatcher may use of all its instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotLimits {
    /// Number that the dispatcher acknowledges.
    pub version: u64,
    /// The limits.
    pub limits: Vec<InstanceSlotLimit>,
}

/// What a dispatcher uses and needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    /// Name of the service.
    pub service: Arc<str>,
    /// The newest limits that it applied.
    pub applied_version: u64,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Exchanges in flight by instance, where there are any.
    pub in_flight: Vec<(Arc<str>, u32)>,
    /// Instances that get no more exchanges now.
    pub blocked: Vec<Arc<str>>,
}

/// The members that a daemon computes owners from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LiveMembers {
    /// Revision of the store that it reflects.
    pub revision: u64,
    /// The live members in the order of their names.
    pub live: Vec<LiveMember>,
}

/// A live member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LiveMember {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Distinguishes processes that used the same name.
    pub incarnation: Arc<str>,
    /// Revision at which its heartbeat was written; differs after a lost heartbeat.
    pub registered: u64,
}

/// Message to the slot task.
#[derive(Debug)]
pub enum SlotMessage {
    /// The instances of a service or their limits changed.
    Configure {
        /// Name of the service.
        service: Arc<str>,
        /// Limits of each instance.
        capacity: SlotCapacity,
        /// Names of the instances.
        instances: Vec<Arc<str>>,
        /// The dispatcher of the service.
        dispatcher: mpsc::Sender<DispatchMessage>,
    },
    /// The dispatcher of a service has ended.
    Remove {
        /// Name of the service.
        service: Arc<str>,
    },
    /// What a dispatcher uses and needs.
    Usage(SlotUsage),
    /// A report of a peer.
    Report {
        /// Name of the peer.
        from: Arc<str>,
        /// The report.
        report: NamedReport,
        /// Where the answer goes.
        reply: oneshot::Sender<PeerReply>,
    },
    /// Grants of a peer that follow its answer to a report.
    Grants {
        /// Name of the peer.
        from: Arc<str>,
        /// The list.
        list: NamedGrantList,
    },
}

/// Handle of the slot task.
pub type SlotSender = mpsc::Sender<SlotMessage>;
