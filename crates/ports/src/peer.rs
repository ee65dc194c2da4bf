//! The peer port: calls between daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryscale_domain::slots::{NamedGrantList, NamedReport};
use rosemaryscale_domain::spare::UsageReport;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};

use crate::claim::{OutcomeCall, OutcomeReply};
use crate::event::{Event, EventFilter};
use crate::fleet::{FleetError, FleetOperation, InFlightReport, PoolsReport};
use crate::operator::DaemonStatus;
use crate::slots::LiveMembers;

/// Version and digest of a daemon's document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDigest {
    /// Environment of the daemon; a digest of another environment is ignored.
    #[serde(default)]
    pub environment: Arc<str>,
    /// Version; 0 if none.
    pub version: u64,
    /// Digest; empty if none.
    pub digest: Arc<str>,
}

/// A document on its way between daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigText {
    /// Environment of the daemon that has it in force.
    #[serde(default)]
    pub environment: Arc<str>,
    /// Version.
    pub version: u64,
    /// Text.
    pub text: Arc<str>,
}

/// An instance that refuses a daemon's connections.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusingInstance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address that refused.
    pub address: SocketAddr,
}

/// A peer's observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerObservation {
    /// Name of the peer.
    pub peer: Arc<str>,
    /// What it observed.
    pub refusing: RefusingInstance,
}

/// What travels between daemons: a call or a reply with its sender and time.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Name of the sender.
    pub from: Arc<str>,
    /// Wall-clock time of the sender, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The call or the reply.
    pub body: T,
}

/// A call to a peer.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// Exchange digests; the reply carries the peer's.
    Digest(ConfigDigest),
    /// Read the document in force.
    Document,
    /// Read the status.
    Status,
    /// What a holder has and wants of the instances of this owner.
    SlotReport(NamedReport),
    /// Grants that follow the answer to a report.
    SlotGrants(NamedGrantList),
    /// Note that an instance refuses the sender's connections.
    Refusing(RefusingInstance),
    /// Read the newest events.
    Timeline {
        /// Events at most.
        limit: usize,
        /// Which events.
        #[serde(default)]
        filter: EventFilter,
    },
    /// Ask what the peer has in flight on an instance.
    InFlight {
        /// The instance.
        instance: Arc<str>,
    },
    /// Ask the controller for a change.
    Operate(FleetOperation),
    /// Ask the controller for the pools.
    Pools,
    /// Look up the outcome of a claimed request.
    Outcome(OutcomeCall),
    /// Tell the controller the caller's usage.
    Usage(UsageReport),
}

/// Reply to a call.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// The peer's digest.
    Digest(ConfigDigest),
    /// The peer's document, if it has one.
    Document(Option<ConfigText>),
    /// The peer's status.
    Status(DaemonStatus),
    /// The peer's events.
    Timeline(Vec<Event>),
    /// The peer noted an observation.
    Noted,
    /// What the peer has in flight.
    InFlight {
        /// Incarnation of the peer.
        incarnation: Arc<str>,
        /// The report; none if the peer does not know the instance's record.
        report: Option<InFlightReport>,
    },
    /// Result of a change.
    Operated(Result<(), FleetError>),
    /// The pools.
    Pools(PoolsReport),
    /// The outcome of a claimed request.
    Outcome(OutcomeReply),
    /// Answer to a slot report.
    SlotGrants(NamedGrantList),
    /// A slot report was not used, since the peer sees other members.
    OtherMembers(LiveMembers),
    /// The message arrived.
    Received,
    /// Whether the controller took the usage.
    Usage {
        /// False if the peer does not plan.
        taken: bool,
    },
    /// The peer cannot answer now.
    Refused(String),
}

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum PeerError {
    /// The member is not known.
    #[snafu(display("no member is named {name}; see rosemaryscale status"))]
    UnknownMember {
        /// The name.
        name: Arc<str>,
    },
    /// The peer did not answer.
    #[snafu(display("peer {name} did not answer ({reason}); it is asked again later"))]
    Unreachable {
        /// The name.
        name: Arc<str>,
        /// What failed.
        reason: String,
    },
}

/// A call on its way to the peer link.
#[derive(Debug)]
pub struct PeerCall {
    /// Name of the peer.
    pub to: Arc<str>,
    /// Address of the peer if it is not a member of this environment; a member's address is that of
    /// its record.
    pub address: Option<SocketAddr>,
    /// The call.
    pub request: PeerRequest,
    /// Where the reply goes.
    pub reply: oneshot::Sender<Result<PeerReply, PeerError>>,
}

/// A peer's call on its way to the task that answers it.
#[derive(Debug)]
pub struct InboundCall {
    /// Name of the peer.
    pub from: Arc<str>,
    /// The call.
    pub request: PeerRequest,
    /// Where the reply goes.
    pub reply: oneshot::Sender<PeerReply>,
}

/// Handle of the peer port.
#[derive(Clone, Debug)]
pub struct Peers {
    calls: mpsc::Sender<PeerCall>,
}

impl Peers {
    /// Makes a handle and the receiver that the peer link serves.
    #[must_use]
    pub fn channel(capacity: usize) -> (Self, mpsc::Receiver<PeerCall>) {
        let (calls, receiver) = mpsc::channel(capacity);
        (Self { calls }, receiver)
    }

    /// Calls a peer.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not answer.
    pub async fn call(&self, to: Arc<str>, request: PeerRequest) -> Result<PeerReply, PeerError> {
        self.send(to, None, request).await
    }

    /// Calls a daemon that is not a member of this environment, or not yet.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub async fn call_at(
        &self,
        address: SocketAddr,
        request: PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        self.send(address.to_string().into(), Some(address), request)
            .await
    }

    async fn send(
        &self,
        to: Arc<str>,
        address: Option<SocketAddr>,
        request: PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        let (reply, result) = oneshot::channel();
        let name = Arc::clone(&to);
        let unreachable = |reason: &str| PeerError::Unreachable {
            name: Arc::clone(&name),
            reason: reason.into(),
        };
        self.calls
            .send(PeerCall {
                to,
                address,
                request,
                reply,
            })
            .await
            .map_err(|_| unreachable("the peer link has stopped"))?;
        result
            .await
            .map_err(|_| unreachable("the peer link dropped the call"))?
    }
}
