//! Routes calls of peers to the tasks that answer them.

use std::sync::Arc;

use rosemaryscale_ports::config::ConfigWatch;
use rosemaryscale_ports::operator::DaemonStatus;
use rosemaryscale_ports::peer::{ConfigDigest, ConfigText, InboundCall, PeerReply, PeerRequest};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::slots::{SlotMessage, SlotSender};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What the service needs.
pub struct PeerServiceOptions {
    /// The document in force.
    pub config: ConfigWatch,
    /// Status of this daemon.
    pub status: watch::Receiver<DaemonStatus>,
    /// The event log.
    pub events: EventSink,
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
            request,
            reply,
            from,
        } = call;
        match request {
            PeerRequest::Digest(_) => {
                let _ = reply.send(PeerReply::Digest(self.digest()));
            }
            PeerRequest::Document => {
                let _ = reply.send(PeerReply::Document(self.document()));
            }
            PeerRequest::Status => {
                let status = self.options.status.borrow().clone();
                let _ = reply.send(PeerReply::Status(status));
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
            PeerRequest::Timeline { limit } => {
                let events = self.options.events.clone();
                self.running.spawn(async move {
                    let _ = reply.send(PeerReply::Timeline(events.read(limit).await));
                });
            }
        }
    }

    /// Passes a message to the slot task; one that does not fit is lost, as on the network.
    fn pass(&self, message: SlotMessage) {
        let _ = self.options.slots.try_send(message);
    }

    fn digest(&self) -> ConfigDigest {
        self.options
            .config
            .borrow()
            .as_ref()
            .map_or_else(ConfigDigest::default, |document| ConfigDigest {
                version: document.state.version,
                digest: Arc::clone(&document.digest),
            })
    }

    fn document(&self) -> Option<ConfigText> {
        let document = self.options.config.borrow().clone()?;
        Some(ConfigText {
            version: document.state.version,
            text: Arc::clone(&document.text),
        })
    }
}
