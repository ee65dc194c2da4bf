//! Routes calls of peers to the tasks that answer them.

use std::sync::Arc;

use rosemaryscale_ports::config::ConfigWatch;
use rosemaryscale_ports::operator::DaemonStatus;
use rosemaryscale_ports::peer::{
    ConfigDigest, ConfigText, InboundCall, PeerObservation, PeerReply, PeerRequest,
};
use rosemaryscale_ports::prelude::*;
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
    /// Where peers' observations of instances go; they are dropped when it is behind.
    pub observations: mpsc::Sender<PeerObservation>,
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
            PeerRequest::Refusing(refusing) => {
                let peer = from;
                let observation = PeerObservation { peer, refusing };
                let _ = self.options.observations.try_send(observation);
                let _ = reply.send(PeerReply::Noted);
            }
            PeerRequest::Timeline { limit } => {
                let events = self.options.events.clone();
                self.running.spawn(async move {
                    let _ = reply.send(PeerReply::Timeline(events.read(limit).await));
                });
            }
        }
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
