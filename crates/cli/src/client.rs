//! Client of the daemons' operator API.

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

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a command failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum ClientError {
    /// The daemon does not answer.
    #[snafu(display("{daemon} does not answer ({reason}); name another daemon with --daemon"))]
    Unreachable {
        /// The daemon.
        daemon: SocketAddr,
        /// What failed.
        reason: String,
        /// Whether the call was certainly not carried out.
        not_sent: bool,
    },
    /// The daemon refused.
    #[snafu(display("{}", describe(problem)))]
    Refused {
        /// Its reason.
        problem: Box<OperatorProblem>,
    },
    /// A change may have taken effect.
    #[snafu(display(
        "change {change_id} may have taken effect ({source}); repeat the command with --change-id \
         {change_id}, which has one effect at most"
    ))]
    Uncertain {
        /// The change.
        change_id: String,
        /// The last failure.
        #[snafu(source(from(ClientError, Box::new)))]
        source: Box<ClientError>,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {path}: {source}; name a readable file"))]
    File {
        /// The file.
        path: String,
        /// What failed.
        source: std::io::Error,
    },
}

impl ClientError {
    /// Exit status for this failure.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Unreachable { .. } | Self::Uncertain { .. } => ExitStatus::Unreachable,
            Self::File { .. } => ExitStatus::Usage,
            Self::Refused { problem } => match &*problem.kind {
                "conflict" => ExitStatus::Conflict,
                "unavailable" | "unknown" => ExitStatus::Unreachable,
                _ => ExitStatus::Refused,
            },
        }
    }

    /// A file that is not text.
    #[must_use]
    pub fn not_utf8(path: &str, valid_bytes: usize) -> Self {
        Self::Refused {
            problem: Box::new(OperatorProblem {
                kind: "invalid".into(),
                detail: format!("{path} is not text"),
                remedy: "save the file as UTF-8".into(),
                problems: vec![ProblemReport {
                    path: format!("byte {valid_bytes}"),
                    reason: "the bytes are not UTF-8".into(),
                    remedy: "save the file as UTF-8".into(),
                }],
                winner: None,
            }),
        }
    }

    /// The failure as programs read it.
    #[must_use]
    pub fn report(&self) -> OperatorProblem {
        let kind = match self {
            Self::Refused { problem } => return (**problem).clone(),
            Self::Unreachable { .. } => "unreachable",
            Self::Uncertain { .. } => "unknown",
            Self::File { .. } => "file",
        };
        OperatorProblem {
            kind: kind.into(),
            detail: self.to_string(),
            remedy: String::new(),
            problems: Vec::new(),
            winner: None,
        }
    }

    /// Whether another daemon may do better.
    fn is_passing(&self) -> bool {
        self.exit_status() == ExitStatus::Unreachable
    }

    /// Whether the call may have been carried out.
    fn is_uncertain(&self) -> bool {
        match self {
            Self::Unreachable { not_sent, .. } => !not_sent,
            Self::Refused { problem } => &*problem.kind == "unknown",
            Self::Uncertain { .. } => true,
            Self::File { .. } => false,
        }
    }
}

fn describe(problem: &OperatorProblem) -> String {
    let mut text = problem.detail.clone();
    for mistake in &problem.problems {
        text.push_str(&format!(
            "\n  {}: {}; {}",
            mistake.path, mistake.reason, mistake.remedy
        ));
    }
    text
}

/// Client of a list of daemons; a call goes to the next daemon when one does not answer.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    daemons: Vec<SocketAddr>,
}

impl Client {
    /// Makes a client.
    #[must_use]
    pub fn new(daemons: Vec<SocketAddr>) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Self { http, daemons }
    }

    /// Reads a resource.
    ///
    /// # Errors
    ///
    /// Fails when no daemon answers or one refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await.result
    }

    /// Sends a resource.
    ///
    /// # Errors
    ///
    /// Fails when no daemon answers or one refuses.
    pub async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ClientError> {
        self.call(method, path, encode(body)).await.result
    }

    /// Proposes a change. The next daemon gets the same change id, so a change whose reply was lost
    /// is recognized there and has one effect.
    ///
    /// # Errors
    ///
    /// Fails when no daemon answers or one refuses, and says whether the change may have taken
    /// effect.
    pub async fn change(
        &self,
        path: &str,
        body: &impl Serialize,
        change_id: &str,
    ) -> Result<Applied, ClientError> {
        let called = self.call(Method::PUT, path, encode(body)).await;
        match called.result {
            // "Nothing changed" of the last daemon says nothing about a lost reply of another.
            Err(error) if called.uncertain && error.is_passing() => Err(ClientError::Uncertain {
                change_id: change_id.to_owned(),
                source: Box::new(error),
            }),
            result => result,
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Called<T> {
        let mut uncertain = false;
        let mut last = None;
        for daemon in &self.daemons {
            let result = self
                .call_one(*daemon, method.clone(), path, body.clone())
                .await;
            match result {
                Err(error) if error.is_passing() => {
                    uncertain |= error.is_uncertain();
                    last = Some(error);
                }
                result => return Called { result, uncertain },
            }
        }
        let none = || ClientError::Unreachable {
            daemon: SocketAddr::from(([0, 0, 0, 0], 0)),
            reason: "no daemon is named".into(),
            not_sent: true,
        };
        let result = Err(last.unwrap_or_else(none));
        Called { result, uncertain }
    }

    async fn call_one<T: DeserializeOwned>(
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
                .map_err(|error| unreachable(daemon, &error, true))?;
            let sent = self.http.request(request).await;
            let response = sent.map_err(|error| unreachable(daemon, &error, error.is_connect()))?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body
                .map_err(|error| unreachable(daemon, &error, false))?
                .to_bytes();
            read(daemon, status, &body)
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

/// Result of a call, and whether a daemon before the last one may have carried it out.
struct Called<T> {
    result: Result<T, ClientError>,
    uncertain: bool,
}

fn encode(body: &impl Serialize) -> Bytes {
    serde_json::to_vec(body).unwrap_or_default().into()
}

fn read<T: DeserializeOwned>(
    daemon: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<T, ClientError> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|error| unreachable(daemon, &error, false));
    }
    let problem = serde_json::from_slice(body).unwrap_or_else(|_| OperatorProblem {
        kind: "refused".into(),
        detail: format!("status {status}: {}", String::from_utf8_lossy(body)),
        remedy: String::new(),
        problems: Vec::new(),
        winner: None,
    });
    let problem = Box::new(problem);
    Err(ClientError::Refused { problem })
}

fn unreachable(daemon: SocketAddr, error: &dyn std::error::Error, not_sent: bool) -> ClientError {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    ClientError::Unreachable {
        daemon,
        reason: cause.to_string(),
        not_sent,
    }
}
