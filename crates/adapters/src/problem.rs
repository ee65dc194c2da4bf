//! Problem documents: error responses that the daemon itself sends to callers.

use dropshot::Body;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use rosemaryscale_domain::outcome::{NotRun, NotRunReason, OutcomeUnknown};
use rosemaryscale_ports::dispatch::InvalidRequest;
use serde::Serialize;

/// Value of Retry-After if no estimate is available.
const RETRY_AFTER_S: u64 = 1;

/// An error response of the daemon, as opposed to one of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ProblemDocument {
    /// Machine-readable kind.
    pub kind: &'static str,
    /// Human-readable description of the problem.
    pub detail: String,
    /// Human-readable advice for the caller.
    pub remedy: &'static str,
    /// Id of the request.
    pub request_id: String,
    #[serde(skip)]
    status: StatusCode,
    #[serde(skip)]
    retry_after_s: Option<u64>,
}

impl ProblemDocument {
    fn new(
        kind: &'static str,
        status: StatusCode,
        detail: impl Into<String>,
        remedy: &'static str,
    ) -> Self {
        let (detail, request_id) = (detail.into(), String::new());
        Self {
            kind,
            detail,
            remedy,
            request_id,
            status,
            retry_after_s: None,
        }
    }

    /// The request is proven not to have run.
    #[must_use]
    pub fn not_run(proof: NotRun) -> Self {
        let remedy = match proof.reason() {
            NotRunReason::DeadlineUnreachable | NotRunReason::DeadlinePassed => {
                "send it again later or with a longer x-deadline-ms"
            }
            NotRunReason::ClaimUnavailable => {
                "send it again with the same idempotency key, which finds an earlier submission"
            }
            _ => "send it again after the time in Retry-After",
        };
        let detail = format!("not run: {}", proof.reason());
        let problem = Self::new("not_run", StatusCode::SERVICE_UNAVAILABLE, detail, remedy);
        let estimate_s = proof.retry_after_ms().map(|ms| ms.div_ceil(1_000));
        Self {
            retry_after_s: Some(estimate_s.unwrap_or(RETRY_AFTER_S)),
            ..problem
        }
    }

    /// The request may have run.
    #[must_use]
    pub fn unknown(unknown: OutcomeUnknown) -> Self {
        Self::new(
            "outcome_unknown",
            StatusCode::GATEWAY_TIMEOUT,
            format!("the request may have run: {}", unknown.reason),
            "look up whether it took effect before sending it again",
        )
    }

    /// The request body exceeds the limit of the service.
    #[must_use]
    pub fn too_large(limit_bytes: u64) -> Self {
        Self::new(
            "too_large",
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("not run: the body is over {limit_bytes} bytes"),
            "send a smaller body, or have body_limit_bytes raised in the document",
        )
    }

    /// The request ran, but its response exceeds the limit.
    #[must_use]
    pub fn response_too_large(limit_bytes: u64) -> Self {
        Self::new(
            "answer_too_large",
            StatusCode::BAD_GATEWAY,
            format!("the request ran, but its response is over {limit_bytes} bytes"),
            "ask for less, or have response_limit_bytes raised in the document",
        )
    }

    /// The service is not defined in the document.
    #[must_use]
    pub fn unknown_service(name: &str) -> Self {
        Self::new(
            "unknown_service",
            StatusCode::NOT_FOUND,
            format!("not run: no service is named \"{name}\""),
            "use a service of the document in force",
        )
    }

    /// A header or the body is malformed.
    #[must_use]
    pub fn bad_request(detail: impl Into<String>) -> Self {
        let remedy = "correct the request; docs/reference.md lists the headers";
        Self::new("bad_request", StatusCode::BAD_REQUEST, detail, remedy)
    }

    /// The dispatcher rejected the request as malformed.
    #[must_use]
    pub fn invalid(invalid: &InvalidRequest) -> Self {
        match invalid {
            InvalidRequest::UnknownClass(class) => {
                Self::bad_request(format!("not run: no work class is named \"{class}\""))
            }
            InvalidRequest::KeyExpired => Self::new(
                "key_expired",
                StatusCode::UNPROCESSABLE_ENTITY,
                "not run: the idempotency key is no UUID of version 7 or is too old",
                "make a new UUID of version 7 for each new request",
            ),
            InvalidRequest::KeyReused => Self::new(
                "key_reused",
                StatusCode::UNPROCESSABLE_ENTITY,
                "this request did not run: its idempotency key was used with another body",
                "make a new UUID of version 7 for each new request",
            ),
        }
    }

    /// The daemon is not ready.
    #[must_use]
    pub fn not_ready(reason: &str) -> Self {
        let detail = format!("not run: the daemon is not ready: {reason}");
        let remedy = "send it again after the time in Retry-After";
        let problem = Self::new("not_run", StatusCode::SERVICE_UNAVAILABLE, detail, remedy);
        Self {
            retry_after_s: Some(RETRY_AFTER_S),
            ..problem
        }
    }

    /// Converts the problem into the response to the request `request_id`.
    #[must_use]
    pub fn into_response(mut self, request_id: &str) -> Response<Body> {
        request_id.clone_into(&mut self.request_id);
        let text = serde_json::to_string(&self).unwrap_or_default();
        let mut response = Response::new(Body::from(text));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(retry_after_s) = self.retry_after_s {
            headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_s));
        }
        response
    }
}
