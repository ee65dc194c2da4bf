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

/// Version and digest of the document that a daemon has in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDigest {
    /// Environment of the daemon; a digest from another environment is ignored.
    #[serde(default)]
    pub environment: Arc<str>,
    /// Version; 0 if none.
    pub version: u64,
    /// Digest; empty if none.
    pub digest: Arc<str>,
}

/// A document sent between daemons.
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

/// An instance that refuses connections from a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusingInstance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address that refused the connections.
    pub address: SocketAddr,
}

/// Observation that a peer reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerObservation {
    /// Name of the peer.
    pub peer: Arc<str>,
    /// The instance that refuses the peer's connections.
    pub refusing: RefusingInstance,
}

/// A call or a reply between daemons, with its sender and time.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Name of the sender.
    pub from: Arc<str>,
    /// The sender's wall-clock time, in milliseconds since the Unix epoch.
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
    /// Report the slots that a holder has and requests on the instances that the callee owns.
    SlotReport(NamedReport),
    /// Send grants after the reply to a report.
    SlotGrants(NamedGrantList),
    /// Report that an instance refuses the sender's connections.
    Refusing(RefusingInstance),
    /// Read the newest events.
    Timeline {
        /// Maximum number of events.
        limit: usize,
        /// Selects the events.
        #[serde(default)]
        filter: EventFilter,
    },
    /// Read the number of requests that the peer has in flight on an instance.
    InFlight {
        /// The instance.
        instance: Arc<str>,
    },
    /// Ask the controller to perform a change.
    Operate(FleetOperation),
    /// Read the pools from the controller.
    Pools,
    /// Look up the outcome of a claimed request.
    Outcome(OutcomeCall),
    /// Report the caller's usage to the controller.
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
    /// The peer recorded the observation.
    Noted,
    /// Requests that the peer has in flight on an instance.
    InFlight {
        /// Incarnation of the peer.
        incarnation: Arc<str>,
        /// The report; `None` if the peer does not know the instance's record.
        report: Option<InFlightReport>,
    },
    /// Result of a change.
    Operated(Result<(), FleetError>),
    /// The pools.
    Pools(PoolsReport),
    /// The outcome of a claimed request.
    Outcome(OutcomeReply),
    /// Grants in reply to a slot report.
    SlotGrants(NamedGrantList),
    /// The slot report was not applied because the peer's view of the members differs.
    OtherMembers(LiveMembers),
    /// The peer received the message.
    Received,
    /// Reply to a usage report.
    Usage {
        /// Whether the report was accepted; false if the peer is not the controller.
        taken: bool,
    },
    /// The peer cannot process the call now.
    Refused(String),
}

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum PeerError {
    /// No member has this name.
    #[snafu(display("no member is named {name}; see rosemaryscale status"))]
    UnknownMember {
        /// The name.
        name: Arc<str>,
    },
    /// The peer did not reply.
    #[snafu(display("peer {name} did not answer ({reason}); it is asked again later"))]
    Unreachable {
        /// The name.
        name: Arc<str>,
        /// Description of the failure.
        reason: String,
    },
}

/// An outbound call, sent to the peer link.
#[derive(Debug)]
pub struct PeerCall {
    /// Name of the peer.
    pub to: Arc<str>,
    /// Address of the peer if it is not a member of this environment; the address of a member is
    /// taken from its record.
    pub address: Option<SocketAddr>,
    /// The call.
    pub request: PeerRequest,
    /// Receives the reply.
    pub reply: oneshot::Sender<Result<PeerReply, PeerError>>,
}

/// An inbound call, sent to the task that replies to it.
#[derive(Debug)]
pub struct InboundCall {
    /// Name of the peer.
    pub from: Arc<str>,
    /// The call.
    pub request: PeerRequest,
    /// Receives the reply.
    pub reply: oneshot::Sender<PeerReply>,
}

/// Handle to the peer link.
#[derive(Clone, Debug)]
pub struct Peers {
    calls: mpsc::Sender<PeerCall>,
}

impl Peers {
    /// Creates a handle and the receiver for the peer link.
    #[must_use]
    pub fn channel(capacity: usize) -> (Self, mpsc::Receiver<PeerCall>) {
        let (calls, receiver) = mpsc::channel(capacity);
        (Self { calls }, receiver)
    }

    /// Calls a member of this environment.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not reply.
    pub async fn call(&self, to: Arc<str>, request: PeerRequest) -> Result<PeerReply, PeerError> {
        self.send(to, None, request).await
    }

    /// Calls a daemon that is not a member of this environment, or not yet.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not reply.
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
