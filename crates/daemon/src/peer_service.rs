//! Routes calls of peers to the tasks that answer them.

use std::sync::Arc;

use rosemaryscale_ports::claim::ClaimStore;
use rosemaryscale_ports::config::{ConfigStore, ConfigWatch};
use rosemaryscale_ports::fleet::{Fleet, InFlightQuery};
use rosemaryscale_ports::operator::DaemonStatus;
use rosemaryscale_ports::peer::{
    ConfigDigest, ConfigText, InboundCall, PeerObservation, PeerReply, PeerRequest,
};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::slots::{SlotMessage, SlotSender};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What the service needs.
pub struct PeerServiceOptions {
    /// Environment of this daemon.
    pub environment: Arc<str>,
    /// The configuration task.
    pub store: ConfigStore,
    /// The document in force.
    pub config: ConfigWatch,
    /// Status of this daemon.
    pub status: watch::Receiver<DaemonStatus>,
    /// The event log.
    pub events: EventSink,
    /// Where peers' observations of instances go; they are dropped when it is behind.
    pub observations: mpsc::Sender<PeerObservation>,
    /// Incarnation of this daemon.
    pub incarnation: Arc<str>,
    /// The controller task.
    pub fleet: Fleet,
    /// Questions to the router.
    pub questions: mpsc::Sender<InFlightQuery>,
    /// The claim task.
    pub claims: ClaimStore,
    /// The slot task.
    pub slots: SlotSender,
}

/// Answers calls of peers.
pub struct PeerService {
    options: PeerServiceOptions,
    running: JoinSet<()>,
}

impl PeerService {
    /// Makes the service.
    #[must_use]
    pub fn new(options: PeerServiceOptions) -> Self {
        Self {
            options,
            running: JoinSet::new(),
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
                Some(_) = self.running.join_next() => {}
            }
        }
        self.running.shutdown().await;
    }

    fn answer(&mut self, call: InboundCall) {
        let InboundCall {
            from,
            request,
            reply,
        } = call;
        match request {
            PeerRequest::Digest(digest) => {
                self.options.store.offered(from, digest);
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
                self.running.spawn(async move {
                    let _ = reply.send(PeerReply::Operated(fleet.operate(operation, true).await));
                });
            }
            PeerRequest::Pools => {
                let fleet = self.options.fleet.clone();
                self.running.spawn(async move {
                    let _ = reply.send(PeerReply::Pools(fleet.report(true).await));
                });
            }
            PeerRequest::SlotReport(report) => {
                self.pass(SlotMessage::Report {
                    from,
                    report,
                    reply,
                });
            }
            PeerRequest::SlotGrants(list) => {
                self.pass(SlotMessage::Grants { from, list });
                let _ = reply.send(PeerReply::Received);
            }
            PeerRequest::Usage(report) => {
                let fleet = self.options.fleet.clone();
                self.running.spawn(async move {
                    let taken = fleet.report_usage(Some(from), report).await;
                    let _ = reply.send(PeerReply::Usage { taken });
                });
            }
            PeerRequest::Timeline { limit, filter } => {
                let events = self.options.events.clone();
                self.running.spawn(async move {
                    let events = filter.newest(events.read(usize::MAX).await, limit);
                    let _ = reply.send(PeerReply::Timeline(events));
                });
            }
            PeerRequest::Outcome(call) => {
                let claims = self.options.claims.clone();
                self.running.spawn(async move {
                    let _ = reply.send(PeerReply::Outcome(claims.look_up(call).await));
                });
            }
        }
    }

    fn answer_in_flight(&mut self, instance: Arc<str>, reply: oneshot::Sender<PeerReply>) {
        let questions = self.options.questions.clone();
        let incarnation = Arc::clone(&self.options.incarnation);
        self.running.spawn(async move {
            let (answer, report) = oneshot::channel();
            let question = InFlightQuery {
                instance,
                reply: answer,
            };
            let report = match questions.send(question).await {
                Ok(()) => report.await.ok().flatten(),
                Err(_) => None,
            };
            let _ = reply.send(PeerReply::InFlight {
                incarnation,
                report,
            });
        });
    }

    /// Passes a message to the slot task; one that does not fit is lost, as on the network.
    fn pass(&self, message: SlotMessage) {
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
