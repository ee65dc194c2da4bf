//! The configuration port: daemons ask each other for the operators' configuration.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryscale_domain::config_source::PeerStatement;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};

/// A daemon's question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigQuestion {
    /// Name of the daemon that asks.
    pub from: Arc<str>,
    /// Version that it has in force; 0 if none.
    pub version: u64,
}

/// The answer to a question.
#[derive(Clone, PartialEq, Eq)]
pub struct ConfigAnswer {
    /// Version in force at the peer and the age of its confirmation.
    pub statement: PeerStatement,
    /// Text of that version as stored, if it is newer than that of the daemon that asks.
    pub text: Option<Arc<str>>,
}

/// Leaves out the text, which contains API keys.
impl fmt::Debug for ConfigAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ConfigAnswer")
            .field("statement", &self.statement)
            .finish_non_exhaustive()
    }
}

/// A question of a peer.
#[derive(Debug)]
pub struct InboundQuestion {
    /// The question.
    pub question: ConfigQuestion,
    /// Receives the answer.
    pub reply: oneshot::Sender<ConfigAnswer>,
}

/// Why a peer did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum ConfigLinkError {
    /// The peer cannot be reached.
    #[snafu(display("the peer at {address} is not reachable; another one is asked"))]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// The peer did not answer in time.
    #[snafu(display("the peer at {address} did not answer in time; another one is asked"))]
    TimedOut {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// The peer refused the question or its answer cannot be read.
    #[snafu(display(
        "the peer at {address} gave no usable answer; check that it runs the same version of the program"
    ))]
    Unusable {
        /// Address of the peer.
        address: SocketAddr,
    },
}

/// A call to a peer.
#[derive(Debug)]
pub struct ConfigCall {
    /// Address of the peer.
    pub address: SocketAddr,
    /// The question.
    pub question: ConfigQuestion,
    /// Receives the answer.
    pub reply: oneshot::Sender<Result<ConfigAnswer, ConfigLinkError>>,
}

/// Handle for questions to peers.
#[derive(Clone, Debug)]
pub struct ConfigPeers {
    calls: mpsc::Sender<ConfigCall>,
}

impl ConfigPeers {
    /// Creates a handle and the receiver for the adapter.
    #[must_use]
    pub fn channel(capacity: usize) -> (Self, mpsc::Receiver<ConfigCall>) {
        let (calls, receiver) = mpsc::channel(capacity);
        (Self { calls }, receiver)
    }

    /// Asks a peer.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not answer in time or not usably.
    pub async fn ask(
        &self,
        address: SocketAddr,
        question: ConfigQuestion,
    ) -> Result<ConfigAnswer, ConfigLinkError> {
        let (reply, answer) = oneshot::channel();
        let call = ConfigCall {
            address,
            question,
            reply,
        };
        let unreachable = ConfigLinkError::Unreachable { address };
        if self.calls.send(call).await.is_err() {
            return Err(unreachable);
        }
        answer.await.unwrap_or(Err(unreachable))
    }
}
