//! HTTP client of the daemons' operator API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rosemaryscale_ports::operator::{Applied, OperatorProblem, ProblemReport};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::cli::ExitStatus;

/// Limit of one call to one daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a command failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum ClientError {
    /// The daemon does not answer, or its response is incomplete or malformed.
    #[snafu(display("{daemon} does not answer ({reason}); name another daemon with --daemon"))]
    Unreachable {
        /// Operator address of the daemon.
        daemon: SocketAddr,
        /// Root cause.
        reason: String,
        /// Whether the request was never sent, so that the call had no effect.
        not_sent: bool,
    },
    /// The daemon refused the call.
    #[snafu(display("{}", format_problem(problem)))]
    Refused {
        /// The daemon's report.
        problem: Box<OperatorProblem>,
    },
    /// The outcome of a change is unknown: it may have taken effect.
    #[snafu(display(
        "change {change_id} may have taken effect ({source}); repeat the command with --change-id \
         {change_id}, which takes effect at most once"
    ))]
    OutcomeUnknown {
        /// Id of the change.
        change_id: String,
        /// Failure of the last call.
        #[snafu(source(from(ClientError, Box::new)))]
        source: Box<ClientError>,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {path}: {source}; name a readable file"))]
    ReadFile {
        /// Path of the file.
        path: String,
        /// I/O error.
        source: std::io::Error,
    },
}

impl ClientError {
    /// Exit status that reports this error.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Unreachable { .. } | Self::OutcomeUnknown { .. } => ExitStatus::Unreachable,
            Self::ReadFile { .. } => ExitStatus::Usage,
            Self::Refused { problem } => match &*problem.kind {
                "conflict" => ExitStatus::Conflict,
                "unavailable" | "unknown" => ExitStatus::Unreachable,
                _ => ExitStatus::Refused,
            },
        }
    }

    /// Error for a document that is not valid UTF-8 after `valid_bytes` bytes.
    #[must_use]
    pub fn invalid_utf8(path: &str, valid_bytes: usize) -> Self {
        Self::Refused {
            problem: Box::new(OperatorProblem {
                kind: "invalid".into(),
                detail: format!("{path} is not UTF-8 text"),
                remedy: "save the file as UTF-8".into(),
                problems: vec![ProblemReport {
                    path: format!("byte {valid_bytes}"),
                    reason: "invalid UTF-8 sequence".into(),
                    remedy: "save the file as UTF-8".into(),
                }],
                winner: None,
            }),
        }
    }

    /// Error in the form that `--json` prints.
    #[must_use]
    pub fn report(&self) -> OperatorProblem {
        let kind = match self {
            Self::Refused { problem } => return (**problem).clone(),
            Self::Unreachable { .. } => "unreachable",
            Self::OutcomeUnknown { .. } => "unknown",
            Self::ReadFile { .. } => "file",
        };
        OperatorProblem {
            kind: kind.into(),
            detail: self.to_string(),
            remedy: String::new(),
            problems: Vec::new(),
            winner: None,
        }
    }

    /// Whether another daemon may succeed, because this one or its platform is unreachable.
    fn is_retryable(&self) -> bool {
        self.exit_status() == ExitStatus::Unreachable
    }

    /// Whether the call may have taken effect in spite of the error.
    fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unreachable { not_sent, .. } => !not_sent,
            Self::Refused { problem } => &*problem.kind == "unknown",
            Self::OutcomeUnknown { .. } => true,
            Self::ReadFile { .. } => false,
        }
    }
}

fn format_problem(problem: &OperatorProblem) -> String {
    let mut text = problem.detail.clone();
    for detail in &problem.problems {
        text.push_str(&format!(
            "\n  {}: {}; {}",
            detail.path, detail.reason, detail.remedy
        ));
    }
    text
}

/// Client of a list of daemons. A call fails over to the next daemon in the list when one is
/// unreachable.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    daemons: Vec<SocketAddr>,
}

impl Client {
    /// Creates a client that tries the daemons in the given order.
    #[must_use]
    pub fn new(daemons: Vec<SocketAddr>) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Self { http, daemons }
    }

    /// Fetches a resource.
    ///
    /// # Errors
    ///
    /// Fails when no daemon answers or when one refuses the call.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await.result
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when no daemon answers or when one refuses the call.
    pub async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ClientError> {
        self.call(method, path, encode_json(body)).await.result
    }

    /// Submits a change. Every daemon that is tried gets the same change id, so a change whose
    /// response was lost is deduplicated and takes effect only once.
    ///
    /// # Errors
    ///
    /// Fails when no daemon answers or when one refuses the change. The error is
    /// [`ClientError::OutcomeUnknown`] when the change may have taken effect.
    pub async fn submit_change(
        &self,
        path: &str,
        body: &impl Serialize,
        change_id: &str,
    ) -> Result<Applied, ClientError> {
        let outcome = self.call(Method::PUT, path, encode_json(body)).await;
        match outcome.result {
            // The last daemon may report that nothing changed although an earlier one, whose
            // response was lost, carried out the change.
            Err(error) if outcome.ambiguous && error.is_retryable() => {
                Err(ClientError::OutcomeUnknown {
                    change_id: change_id.to_owned(),
                    source: Box::new(error),
                })
            }
            result => result,
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> FailoverResult<T> {
        let mut ambiguous = false;
        let mut last_error = None;
        for daemon in &self.daemons {
            let result = self
                .call_daemon(*daemon, method.clone(), path, body.clone())
                .await;
            match result {
                Err(error) if error.is_retryable() => {
                    ambiguous |= error.may_have_taken_effect();
                    last_error = Some(error);
                }
                result => return FailoverResult { result, ambiguous },
            }
        }
        let no_daemon = || ClientError::Unreachable {
            daemon: SocketAddr::from(([0, 0, 0, 0], 0)),
            reason: "the list of daemons is empty".into(),
            not_sent: true,
        };
        let result = Err(last_error.unwrap_or_else(no_daemon));
        FailoverResult { result, ambiguous }
    }

    async fn call_daemon<T: DeserializeOwned>(
        &self,
        daemon: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let exchange = async {
            let request = Request::builder()
                .method(method)
                .uri(format!("http://{daemon}{path}"))
                .header(http::header::CONTENT_TYPE, "application/json")
                .body(Full::new(body))
                .map_err(|error| unreachable_error(daemon, &error, true))?;
            let response = self.http.request(request).await;
            let response =
                response.map_err(|error| unreachable_error(daemon, &error, error.is_connect()))?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body
                .map_err(|error| unreachable_error(daemon, &error, false))?
                .to_bytes();
            decode_response(daemon, status, &body)
        };
        let reason = format!("timeout after {} s", CALL_TIMEOUT.as_secs());
        tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(ClientError::Unreachable {
                daemon,
                reason,
                not_sent: false,
            }))
    }
}

/// Result of a call with failover, and whether a daemon that failed may have carried it out.
struct FailoverResult<T> {
    result: Result<T, ClientError>,
    ambiguous: bool,
}

fn encode_json(body: &impl Serialize) -> Bytes {
    serde_json::to_vec(body).unwrap_or_default().into()
}

fn decode_response<T: DeserializeOwned>(
    daemon: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<T, ClientError> {
    if status.is_success() {
        return serde_json::from_slice(body)
            .map_err(|error| unreachable_error(daemon, &error, false));
    }
    let problem = serde_json::from_slice(body).unwrap_or_else(|_| OperatorProblem {
        kind: "refused".into(),
        detail: format!(
            "unexpected response with status {status}: {}",
            String::from_utf8_lossy(body)
        ),
        remedy: String::new(),
        problems: Vec::new(),
        winner: None,
    });
    let problem = Box::new(problem);
    Err(ClientError::Refused { problem })
}

fn unreachable_error(
    daemon: SocketAddr,
    error: &dyn std::error::Error,
    not_sent: bool,
) -> ClientError {
    let mut root_cause = error;
    while let Some(source) = root_cause.source() {
        root_cause = source;
    }
    ClientError::Unreachable {
        daemon,
        reason: root_cause.to_string(),
        not_sent,
    }
}
