//! The claim port: submits requests with an idempotency key and looks up their outcomes.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use rosemaryscale_domain::outcome::UnknownReason;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::dispatch::{DispatcherHandle, Submission};
use crate::link::Response;

/// A request with an idempotency key.
#[derive(Debug)]
pub struct KeyedSubmission {
    /// Name of the service.
    pub service: Arc<str>,
    /// Dispatcher of the service, which receives the request once the key is claimed.
    pub dispatch: DispatcherHandle,
    /// The idempotency key as text.
    pub key: Arc<str>,
    /// The request.
    pub submission: Submission,
}

/// Query of a peer that found a claim of this daemon in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeCall {
    /// Incarnation that holds the claim.
    pub incarnation: Arc<str>,
    /// Idempotency key in hexadecimal.
    pub key: Arc<str>,
    /// Nonce of the claim in hexadecimal.
    pub nonce: Arc<str>,
    /// Time that the peer waits for an outcome, in milliseconds.
    pub wait_ms: u64,
}

/// A response encoded for JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EncodedResponse {
    /// HTTP status.
    pub status: u16,
    /// Names and base64 values of the headers.
    pub headers: Vec<(String, String)>,
    /// Body in base64.
    pub body: String,
}

/// Reply to an [`OutcomeCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeReply {
    /// The complete response.
    Answered(EncodedResponse),
    /// The request ran, but its response exceeds the limit.
    ResponseTooLarge {
        /// The limit.
        limit_bytes: u64,
    },
    /// The request did not run under this claim and never will.
    NotRun,
    /// The request may have run.
    Unknown(UnknownReason),
    /// The request is still running; query again later.
    Running,
    /// The daemon does not have the outcome and will not get it.
    Lost,
}

/// A message to the claim task.
#[derive(Debug)]
pub enum ClaimMessage {
    /// Run a request at most once.
    Submit(Box<KeyedSubmission>),
    /// Return the outcome of a claimed request to a peer.
    LookUp {
        /// The query.
        call: OutcomeCall,
        /// Receives the reply.
        reply: oneshot::Sender<OutcomeReply>,
    },
}

/// Handle to the claim task.
#[derive(Clone, Debug)]
pub struct ClaimHandle {
    messages: mpsc::Sender<ClaimMessage>,
}

impl ClaimHandle {
    /// Creates a handle and the receiver for the claim task.
    #[must_use]
    pub fn channel(capacity: usize) -> (Self, mpsc::Receiver<ClaimMessage>) {
        let (messages, receiver) = mpsc::channel(capacity);
        (Self { messages }, receiver)
    }

    /// Submits a request. Returns false if the task has stopped, in which case the request did not
    /// run.
    pub async fn submit(&self, submission: KeyedSubmission) -> bool {
        let message = ClaimMessage::Submit(Box::new(submission));
        self.messages.send(message).await.is_ok()
    }

    /// Looks up an outcome. Returns [`OutcomeReply::Lost`] if the task has stopped, because its
    /// outcomes are kept only in memory.
    pub async fn look_up(&self, call: OutcomeCall) -> OutcomeReply {
        let (reply, outcome) = oneshot::channel();
        let message = ClaimMessage::LookUp { call, reply };
        if self.messages.send(message).await.is_err() {
            return OutcomeReply::Lost;
        }
        outcome.await.unwrap_or(OutcomeReply::Lost)
    }
}

impl EncodedResponse {
    /// Encodes a response.
    #[must_use]
    pub fn encode(response: &Response) -> Self {
        let headers = response
            .headers
            .iter()
            .map(|(name, value)| (name.to_string(), STANDARD.encode(value)))
            .collect();
        Self {
            status: response.status.as_u16(),
            headers,
            body: STANDARD.encode(&response.body),
        }
    }

    /// Decodes a response. Returns `None` if it is malformed.
    #[must_use]
    pub fn decode(&self) -> Option<Response> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            let name: HeaderName = name.parse().ok()?;
            let value = HeaderValue::from_bytes(&STANDARD.decode(value).ok()?).ok()?;
            headers.append(name, value);
        }
        Some(Response {
            status: StatusCode::from_u16(self.status).ok()?,
            headers,
            body: STANDARD.decode(&self.body).ok()?.into(),
        })
    }
}
