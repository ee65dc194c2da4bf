//! The configuration port: checks, applies and reads documents.

use std::sync::Arc;

use rosemaryscale_domain::Document;
use rosemaryscale_domain::document::{Accepted, Checked, Parsed, Problem};
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};

use crate::operator::{
    Applied, ApplyRequest, ChangeReport, EnvironmentsReport, HistoryReport, PromoteRequest,
};
use crate::peer::ConfigDigest;

/// Receives the newest accepted document; `None` before the first.
pub type ConfigWatch = watch::Receiver<Option<Arc<Document<Accepted>>>>;

/// Parses the text of a document.
pub type DocumentReader = fn(&str) -> Result<Document<Parsed>, Vec<Problem>>;

/// Why a document was not applied.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum ApplyError {
    /// The document has errors; nothing changed.
    #[snafu(display("the document has {} errors; correct them and apply again", problems.len()))]
    Invalid {
        /// The errors.
        problems: Vec<Problem>,
    },
    /// Another change was accepted first; nothing changed.
    #[snafu(display(
        "{}; nothing changed: rebase your document on it and apply with --expect {version}",
        describe_winner(winner.as_ref(), *version)
    ))]
    Conflict {
        /// The change that was accepted, if it is known.
        winner: Option<ChangeReport>,
        /// Expected version to state when the change is rebased.
        version: u64,
    },
    /// The promotion is not allowed; nothing changed.
    #[snafu(display("{reason}; nothing changed"))]
    Refused {
        /// The reason and the remedy.
        reason: String,
    },
    /// The platform's store did not reply, and reading back did not show whether the write took
    /// effect.
    #[snafu(display("{reason}; look at rosemaryscale status before applying again"))]
    Unknown {
        /// Description of the failure.
        reason: String,
    },
    /// The platform's store did not reply; nothing changed.
    #[snafu(display("{reason}; nothing changed, apply again when the platform is back"))]
    Unavailable {
        /// Description of the failure.
        reason: String,
    },
}

fn describe_winner(winner: Option<&ChangeReport>, version: u64) -> String {
    winner.map_or_else(
        || format!("version {version} of another change is accepted"),
        |winner| {
            format!(
                "version {} of change {} by {} is accepted",
                winner.version, winner.change_id, winner.author
            )
        },
    )
}

/// A document that passed the checks and can be written.
pub type CheckedDocument = Document<Checked>;

/// A message to the configuration task.
#[derive(Debug)]
pub enum ConfigMessage {
    /// Check a document without applying it.
    Check {
        /// Text of the document.
        text: String,
        /// Receives the errors in the document.
        reply: oneshot::Sender<Result<(), Vec<Problem>>>,
    },
    /// Apply a document to the daemon's environment.
    Apply {
        /// The operator's request.
        request: ApplyRequest,
        /// Receives the result.
        reply: oneshot::Sender<Result<Applied, ApplyError>>,
    },
    /// Apply the document of another environment to the daemon's environment.
    Promote {
        /// The operator's request.
        request: PromoteRequest,
        /// Receives the result.
        reply: oneshot::Sender<Result<Applied, ApplyError>>,
    },
    /// Read the accepted changes.
    History {
        /// Receives the changes.
        reply: oneshot::Sender<Result<HistoryReport, ApplyError>>,
    },
    /// Read the newest change of each environment of the document in force.
    Environments {
        /// Receives the changes.
        reply: oneshot::Sender<EnvironmentsReport>,
    },
    /// Record which document a peer has in force.
    PeerDigest {
        /// Name of the peer.
        from: Arc<str>,
        /// Version and digest of the peer's document.
        digest: ConfigDigest,
    },
}

/// Handle to the configuration task.
#[derive(Clone, Debug)]
pub struct ConfigHandle {
    messages: mpsc::Sender<ConfigMessage>,
}

impl ConfigHandle {
    /// Creates a handle and the receiver for the configuration task.
    #[must_use]
    pub fn channel(capacity: usize) -> (Self, mpsc::Receiver<ConfigMessage>) {
        let (messages, receiver) = mpsc::channel(capacity);
        (Self { messages }, receiver)
    }

    /// Checks a document without applying it.
    ///
    /// # Errors
    ///
    /// Fails with the errors in the document.
    pub async fn check(&self, text: String) -> Result<(), ApplyError> {
        let result = self
            .call(|reply| ConfigMessage::Check { text, reply })
            .await?;
        result.map_err(|problems| ApplyError::Invalid { problems })
    }

    /// Applies a document to the daemon's environment.
    ///
    /// # Errors
    ///
    /// Fails when the document has errors, another change was accepted first, or the store does not
    /// reply.
    pub async fn apply(&self, request: ApplyRequest) -> Result<Applied, ApplyError> {
        self.call(|reply| ConfigMessage::Apply { request, reply })
            .await?
    }

    /// Applies the document of another environment to the daemon's environment.
    ///
    /// # Errors
    ///
    /// Fails when the promotion is refused, another change was accepted first, or the store does
    /// not reply.
    pub async fn promote(&self, request: PromoteRequest) -> Result<Applied, ApplyError> {
        self.call(|reply| ConfigMessage::Promote { request, reply })
            .await?
    }

    /// Reads the accepted changes.
    ///
    /// # Errors
    ///
    /// Fails when the store does not reply.
    pub async fn history(&self) -> Result<HistoryReport, ApplyError> {
        self.call(|reply| ConfigMessage::History { reply }).await?
    }

    /// Reads the newest change of each environment of the document in force.
    ///
    /// # Errors
    ///
    /// Fails when the daemon is stopping.
    pub async fn environments(&self) -> Result<EnvironmentsReport, ApplyError> {
        self.call(|reply| ConfigMessage::Environments { reply })
            .await
    }

    /// Records which document a peer has in force. The message is dropped if the task's queue is
    /// full, because peers repeat it.
    pub fn record_peer_digest(&self, from: Arc<str>, digest: ConfigDigest) {
        let _ = self
            .messages
            .try_send(ConfigMessage::PeerDigest { from, digest });
    }

    async fn call<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<T>) -> ConfigMessage,
    ) -> Result<T, ApplyError> {
        let (reply, result) = oneshot::channel();
        let stopped = || ApplyError::Unknown {
            reason: "the daemon is stopping".into(),
        };
        self.messages
            .send(make(reply))
            .await
            .map_err(|_| stopped())?;
        result.await.map_err(|_| stopped())
    }
}
