//! Client of a daemon's operator API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rosemaryscale_ports::operator::OperatorProblem;
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
    },
    /// The daemon refused.
    #[snafu(display("{}", describe(problem)))]
    Refused {
        /// Its reason.
        problem: OperatorProblem,
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
            Self::Unreachable { .. } => ExitStatus::Unreachable,
            Self::File { .. } => ExitStatus::Usage,
            Self::Refused { problem } => match &*problem.kind {
                "conflict" => ExitStatus::Conflict,
                "unavailable" | "unknown" => ExitStatus::Unreachable,
                _ => ExitStatus::Refused,
            },
        }
    }
}

fn describe(problem: &OperatorProblem) -> String {
    let mut text = problem.detail.clone();
    for mistake in &problem.problems {
        text.push_str("\n  ");
        text.push_str(&format!(
            "{}: {}; {}",
            mistake.path, mistake.reason, mistake.remedy
        ));
    }
    text
}

/// Client of one daemon.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    daemon: SocketAddr,
}

impl Client {
    /// Makes a client.
    #[must_use]
    pub fn new(daemon: SocketAddr) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Self { http, daemon }
    }

    /// Reads a resource.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer or refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a resource.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer or refuses.
    pub async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_vec(body).map_err(|error| self.unreachable(&error))?;
        self.call(method, path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let exchange = async {
            let request = Request::builder()
                .method(method)
                .uri(format!("http://{}{path}", self.daemon))
                .header(http::header::CONTENT_TYPE, "application/json")
                .body(Full::new(body))
                .map_err(|error| self.unreachable(&error))?;
            let response = self
                .http
                .request(request)
                .await
                .map_err(|error| self.unreachable(&error))?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| self.unreachable(&error))?.to_bytes();
            self.read(status, &body)
        };
        let reason = format!("timeout after {} s", CALL_TIMEOUT.as_secs());
        tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(ClientError::Unreachable {
                daemon: self.daemon,
                reason,
            }))
    }

    fn read<T: DeserializeOwned>(&self, status: StatusCode, body: &[u8]) -> Result<T, ClientError> {
        if status.is_success() {
            return serde_json::from_slice(body).map_err(|error| self.unreachable(&error));
        }
        let problem = serde_json::from_slice(body).unwrap_or_else(|_| OperatorProblem {
            kind: "refused".into(),
            detail: format!("status {status}: {}", String::from_utf8_lossy(body)),
            remedy: String::new(),
            problems: Vec::new(),
        });
        Err(ClientError::Refused { problem })
    }

    fn unreachable(&self, error: &dyn std::error::Error) -> ClientError {
        let mut cause = error;
        while let Some(source) = cause.source() {
            cause = source;
        }
        ClientError::Unreachable {
            daemon: self.daemon,
            reason: cause.to_string(),
        }
    }
}
