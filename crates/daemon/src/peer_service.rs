//! Routes calls from peers to the tasks that answer them.

use std::sync::Arc;

use rosemaryscale_ports::claim::ClaimHandle;
use rosemaryscale_ports::config::{ConfigHandle, ConfigWatch};
use rosemaryscale_ports::fleet::{FleetHandle, InFlightQuery};
use rosemaryscale_ports::operator::DaemonStatus;
use rosemaryscale_ports::peer::{
    ConfigDigest, ConfigText, InboundCall, PeerObservation, PeerReply, PeerRequest,
};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::slots::{SlotMessage, SlotSender};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Dependencies of the peer service.
pub struct PeerServiceOptions {
    /// Environment of this daemon.
    pub environment: Arc<str>,
    /// The configuration task.
    pub store: ConfigHandle,
    /// The document in force.
    pub config: ConfigWatch,
    /// Status of this daemon.
    pub status: watch::Receiver<DaemonStatus>,
    /// The event log.
    pub events: EventSink,
    /// Channel for peers' observations of instances; they are dropped while it is full.
    pub observations: mpsc::Sender<PeerObservation>,
    /// Incarnation of this daemon.
    pub incarnation: Arc<str>,
    /// The controller task.
    pub fleet: FleetHandle,
    /// Queries for the router.
    pub queries: mpsc::Sender<InFlightQuery>,
    /// The claim task.
    pub claims: ClaimHandle,
    /// The slot task.
    pub slots: SlotSender,
}

/// The task that answers calls from peers.
pub struct PeerService {
    options: PeerServiceOptions,
    tasks: JoinSet<()>,
}

impl PeerService {
    /// Creates the service.
    #[must_use]
    pub fn new(options: PeerServiceOptions) -> Self {
        Self {
            options,
            tasks: JoinSet::new(),
        }
    }

    /// Serves calls until the channel is closed.
    pub async fn serve(mut self, mut calls: mpsc::Receiver<InboundCall>) {
        loop {
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => self.answer(call),
                    None => break,
                },
                Some(_) = self.tasks.join_next() => {}
            }
        }
        self.tasks.shutdown().await;
    }

    fn answer(&mut self, call: InboundCall) {
        let InboundCall {
            from,
            request,
            reply,
        } = call;
        match request {
            PeerRequest::Digest(digest) => {
                self.options.store.record_peer_digest(from, digest);
                let _ = reply.send(PeerReply::Digest(self.digest()));
            }
            PeerRequest::Document => {
                let _ = reply.send(PeerReply::Document(self.document()));
            }
            PeerRequest::Status => {
                let status = self.options.status.borrow().clone();
                let _ = reply.send(PeerReply::Status(status));
            }
            PeerRequest::Refusing(refusing) => {
                let peer = from;
                let observation = PeerObservation { peer, refusing };
                let _ = self.options.observations.try_send(observation);
                let _ = reply.send(PeerReply::Noted);
            }
            PeerRequest::InFlight { instance } => self.answer_in_flight(instance, reply),
            PeerRequest::Operate(operation) => {
                let fleet = self.options.fleet.clone();
                self.tasks.spawn(async move {
                    let _ = reply.send(PeerReply::Operated(fleet.operate(operation, true).await));
                });
            }
            PeerRequest::Pools => {
                let fleet = self.options.fleet.clone();
                self.tasks.spawn(async move {
                    let _ = reply.send(PeerReply::Pools(fleet.report(true).await));
                });
            }
            PeerRequest::SlotReport(report) => {
                self.forward_to_slots(SlotMessage::Report {
                    from,
                    report,
                    reply,
                });
            }
            PeerRequest::SlotGrants(list) => {
                self.forward_to_slots(SlotMessage::Grants { from, list });
                let _ = reply.send(PeerReply::Received);
            }
            PeerRequest::Usage(report) => {
                let fleet = self.options.fleet.clone();
                self.tasks.spawn(async move {
                    let taken = fleet.report_usage(Some(from), report).await;
                    let _ = reply.send(PeerReply::Usage { taken });
                });
            }
            PeerRequest::Timeline { limit, filter } => {
                let events = self.options.events.clone();
                self.tasks.spawn(async move {
                    let events = filter.newest(events.read(usize::MAX).await, limit);
                    let _ = reply.send(PeerReply::Timeline(events));
                });
            }
            PeerRequest::Outcome(call) => {
                let claims = self.options.claims.clone();
                self.tasks.spawn(async move {
                    let _ = reply.send(PeerReply::Outcome(claims.look_up(call).await));
                });
            }
        }
    }

    fn answer_in_flight(&mut self, instance: Arc<str>, reply: oneshot::Sender<PeerReply>) {
        let queries = self.options.queries.clone();
        let incarnation = Arc::clone(&self.options.incarnation);
        self.tasks.spawn(async move {
            let (answer, report) = oneshot::channel();
            let query = InFlightQuery {
                instance,
                reply: answer,
            };
            let report = match queries.send(query).await {
                Ok(()) => report.await.ok().flatten(),
                Err(_) => None,
            };
            let _ = reply.send(PeerReply::InFlight {
                incarnation,
                report,
            });
        });
    }

    /// Sends a message to the slot task. The message is dropped if the channel is full, just as it
    /// may be lost on the network.
    fn forward_to_slots(&self, message: SlotMessage) {
        let _ = self.options.slots.try_send(message);
    }

    fn digest(&self) -> ConfigDigest {
        let in_force = self.options.config.borrow();
        let (version, digest) = in_force.as_ref().map_or_else(Default::default, |document| {
            (document.state.version, Arc::clone(&document.digest))
        });
        ConfigDigest {
            environment: Arc::clone(&self.options.environment),
            version,
            digest,
        }
    }

    fn document(&self) -> Option<ConfigText> {
        let document = self.options.config.borrow().clone()?;
        Some(ConfigText {
            environment: Arc::clone(&self.options.environment),
            version: document.state.version,
            text: Arc::clone(&document.text),
        })
    }
}
