//! The slot port: messages between dispatchers, peers and the slot task.

use std::sync::Arc;

use rosemaryscale_domain::Millis;
use rosemaryscale_domain::slots::{NamedGrantList, NamedReport, SlotCapacity};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::dispatch::DispatchMessage;
use crate::peer::PeerReply;

/// Limits of a dispatcher's use of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSlotLimit {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Maximum number of exchanges in flight.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Time from which no new exchange may start.
    pub until: Millis,
}

/// Limits of a dispatcher's use of all its instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotLimits {
    /// Version, which the dispatcher acknowledges in [`SlotUsage::applied_version`].
    pub version: u64,
    /// Limits by instance.
    pub limits: Vec<InstanceSlotLimit>,
}

/// Slots that a dispatcher uses and needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    /// Name of the service.
    pub service: Arc<str>,
    /// Version of the newest limits that it applied.
    pub applied_version: u64,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of exchanges in flight by instance; instances without any are omitted.
    pub in_flight: Vec<(Arc<str>, u32)>,
    /// Instances that currently receive no new exchanges.
    pub blocked: Vec<Arc<str>>,
}

/// The members among which a daemon distributes the ownership of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LiveMembers {
    /// Revision of the store that the list reflects.
    pub revision: u64,
    /// The live members, sorted by name.
    pub live: Vec<LiveMember>,
}

/// A live member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LiveMember {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Distinguishes successive processes of the same name.
    pub incarnation: Arc<str>,
    /// Revision at which its heartbeat was written; it changes when a lost heartbeat is renewed.
    pub registered: u64,
}

/// A message to the slot task.
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
    /// Slots that a dispatcher uses and needs.
    Usage(SlotUsage),
    /// Apply a report of a peer.
    Report {
        /// Name of the peer.
        from: Arc<str>,
        /// The report.
        report: NamedReport,
        /// Receives the reply.
        reply: oneshot::Sender<PeerReply>,
    },
    /// Accept grants that a peer sent after its reply to a report.
    Grants {
        /// Name of the peer.
        from: Arc<str>,
        /// The grants.
        list: NamedGrantList,
    },
}

/// Sends messages to the slot task.
pub type SlotSender = mpsc::Sender<SlotMessage>;
