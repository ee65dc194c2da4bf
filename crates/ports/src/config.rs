//! The configuration port: the document in force.

use std::sync::Arc;

use rosemaryscale_domain::Document;
use rosemaryscale_domain::document::{Accepted, Checked, Parsed, Problem};
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};

use crate::operator::{
    Applied, ApplyRequest, ChangeReport, EnvironmentsReport, HistoryReport, PromoteRequest,
};
use crate::peer::ConfigDigest;

/// The newest accepted document; `None` before the first.
pub type ConfigWatch = watch::Receiver<Option<Arc<Document<Accepted>>>>;

/// Reads the text of a document.
pub type DocumentReader = fn(&str) -> Result<Document<Parsed>, Vec<Problem>>;

/// Why a document was not applied.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum ApplyError {
    /// The document has mistakes; nothing changed.
    #[snafu(display("the document has {} mistakes; mend them and apply again", problems.len()))]
    Invalid {
        /// The mistakes.
        problems: Vec<Problem>,
    },
    /// Another change won.
    #[snafu(display(
        "{}; nothing changed: rebase your document on it and apply with --expect {version}",
        describe_winner(winner.as_ref(), *version)
    ))]
    Conflict {
        /// The change that won, if it is known.
        winner: Option<ChangeReport>,
        /// Version that a rebased change must expect.
        version: u64,
    },
    /// A promotion is not allowed.
    #[snafu(display("{reason}; nothing changed"))]
    Refused {
        /// Why, and what to do.
        reason: String,
    },
    /// The platform's store did not answer, and reading back did not tell whether the write took effect.
    #[snafu(display("{reason}; look at rosemaryscale status before applying again"))]
    Unknown {
        /// What failed.
        reason: String,
    },
    /// The platform's store did not answer; nothing changed.
    #[snafu(display("{reason}; nothing changed, apply again when the platform is back"))]
    Unavailable {
        /// What failed.
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

/// A document that passed the checks, ready to be written.
pub type CheckedDocument = Document<Checked>;

/// Message to the configuration task.
#[derive(Debug)]
pub enum ConfigMessage {
    /// Check a document and change nothing.
    Check {
        /// Text of the document.
        text: String,
        /// Where the mistakes go.
        reply: oneshot::Sender<Result<(), Vec<Problem>>>,
    },
    /// Accept a document for the daemon's environment.
    Apply {
        /// What the operator asks.
        request: ApplyRequest,
        /// Where the result goes.
        reply: oneshot::Sender<Result<Applied, ApplyError>>,
    },
    /// Accept the document of another environment for the daemon's environment.
    Promote {
        /// What the operator asks.
        request: PromoteRequest,
        /// Where the result goes.
        reply: oneshot::Sender<Result<Applied, ApplyError>>,
    },
    /// Read the accepted changes.
    History {
        /// Where they go.
        reply: oneshot::Sender<Result<HistoryReport, ApplyError>>,
    },
    /// Read the newest change of each environment of the document in force.
    Environments {
        /// Where they go.
        reply: oneshot::Sender<EnvironmentsReport>,
    },
    /// A peer has told which document it has in force.
    Offered {
        /// Name of the peer.
        from: Arc<str>,
        /// What it has.
        digest: ConfigDigest,
    },
}

/// Handle of the configuration task.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    messages: mpsc::Sender<ConfigMessage>,
}

impl ConfigStore {
    /// Makes a handle and the receiver that the configuration task serves.
    #[must_use]
    pub fn channel(capacity: usize) -> (Self, mpsc::Receiver<ConfigMessage>) {
        let (messages, receiver) = mpsc::channel(capacity);
        (Self { messages }, receiver)
    }

    /// Checks a document.
    ///
    /// # Errors
    ///
    /// Fails with the mistakes of the document.
    pub async fn check(&self, text: String) -> Result<(), ApplyError> {
        let result = self
            .call(|reply| ConfigMessage::Check { text, reply })
            .await?;
        result.map_err(|problems| ApplyError::Invalid { problems })
    }

    /// Accepts a document.
    ///
    /// # Errors
    ///
    /// Fails when the document has mistakes, another change won, or the store does not answer.
    pub async fn apply(&self, request: ApplyRequest) -> Result<Applied, ApplyError> {
        self.call(|reply| ConfigMessage::Apply { request, reply })
            .await?
    }

    /// Accepts the document of another environment.
    ///
    /// # Errors
    ///
    /// Fails when the promotion is refused, another change won, or the store does not answer.
    pub async fn promote(&self, request: PromoteRequest) -> Result<Applied, ApplyError> {
        self.call(|reply| ConfigMessage::Promote { request, reply })
            .await?
    }

    /// Reads the accepted changes.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn history(&self) -> Result<HistoryReport, ApplyError> {
        self.call(|reply| ConfigMessage::History { reply }).await?
    }

    /// Reads the newest change of each environment.
    ///
    /// # Errors
    ///
    /// Fails when the daemon is stopping.
    pub async fn environments(&self) -> Result<EnvironmentsReport, ApplyError> {
        self.call(|reply| ConfigMessage::Environments { reply })
            .await
    }

    /// Passes on what a peer has in force. Dropped when the task is behind: the peer tells it again.
    pub fn offered(&self, from: Arc<str>, digest: ConfigDigest) {
        let _ = self
            .messages
            .try_send(ConfigMessage::Offered { from, digest });
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
