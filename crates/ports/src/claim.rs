//! The claim port: keyed requests on their way to the claim task, and outcomes between daemons.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use rosemaryscale_domain::outcome::UnknownReason;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::dispatch::{Dispatch, Submission};
use crate::link::Response;

/// A request with an idempotency key.
#[derive(Debug)]
pub struct KeyedSubmission {
    /// Name of the service.
    pub service: Arc<str>,
    /// Dispatcher of the service, which gets the request once the key is claimed.
    pub dispatch: Dispatch,
    /// Text of the key.
    pub key: Arc<str>,
    /// The request.
    pub submission: Submission,
}

/// Question of a peer that found a claim of this daemon in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeCall {
    /// Incarnation that holds the claim.
    pub incarnation: Arc<str>,
    /// Key in hexadecimal.
    pub key: Arc<str>,
    /// Nonce of the claim in hexadecimal.
    pub nonce: Arc<str>,
    /// How long the peer waits for an outcome.
    pub wait_ms: u64,
}

/// A response in a form that JSON carries.
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

/// Answer to an [`OutcomeCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeReply {
    /// The complete response.
    Answered(EncodedResponse),
    /// The request ran but its response is over the limit.
    ResponseTooLarge {
        /// The limit.
        limit_bytes: u64,
    },
    /// The request was not run under this claim and never will be.
    NotRun,
    /// It may have run.
    Unknown(UnknownReason),
    /// It is still running; ask again.
    Running,
    /// The daemon does not have the outcome and never will.
    Lost,
}

/// Message to the claim task.
#[derive(Debug)]
pub enum ClaimMessage {
    /// Run a request at most once.
    Submit(Box<KeyedSubmission>),
    /// Tell a peer the outcome.
    LookUp {
        /// The question.
        call: OutcomeCall,
        /// Where the answer goes.
        reply: oneshot::Sender<OutcomeReply>,
    },
}

/// Handle of the claim task.
#[derive(Clone, Debug)]
pub struct ClaimStore {
    messages: mpsc::Sender<ClaimMessage>,
}

impl ClaimStore {
    /// Makes a handle and the receiver that the claim task serves.
    #[must_use]
    pub fn channel(capacity: usize) -> (Self, mpsc::Receiver<ClaimMessage>) {
        let (messages, receiver) = mpsc::channel(capacity);
        (Self { messages }, receiver)
    }

    /// Hands a request over; false if the task has stopped, so that the request did not run.
    pub async fn submit(&self, submission: KeyedSubmission) -> bool {
        let message = ClaimMessage::Submit(Box::new(submission));
        self.messages.send(message).await.is_ok()
    }

    /// Looks up an outcome. A task that has stopped has lost its outcomes.
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

    /// Decodes a response; `None` if it is malformed.
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
