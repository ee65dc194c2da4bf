//! The HTTP API for callers, implemented with dropshot.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::{
    ApiDescription, Body, HttpError, HttpServer, Path, RequestContext, StreamingBody, endpoint,
};
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_ports::claim::{ClaimHandle, KeyedSubmission};
use rosemaryscale_ports::dispatch::{DispatchMessage, DispatcherHandle, Outcome, Submission};
use rosemaryscale_ports::link::{self, OutboundRequest};
use rosemaryscale_ports::prelude::*;
use schemars::JsonSchema;
use serde::Deserialize;
use slog::Logger;
use tokio::sync::watch;

use crate::caller_request::{deadline_ms, single_header, upstream_target};
use crate::problem::ProblemDocument;
use crate::server::{self, ServerError};
use crate::upstream_link::remove_hop_by_hop_headers;

/// Exceeds the largest body limit that a document may set.
const BODY_MAX_BYTES: usize = 65 << 20;

/// Response header with the id of the request that the caller sent or the daemon generated. It is
/// separate from `x-request-id`, which dropshot overwrites in every response with its own id.
const CALLER_REQUEST_ID: &str = "x-caller-request-id";

/// Dispatchers by name of the service.
pub type Routes = Arc<FastMap<Arc<str>, DispatcherHandle>>;

/// Whether the daemon accepts requests; the error is the reason if it does not.
pub type Readiness = Result<(), Arc<str>>;

/// State shared by the handlers.
pub struct CallerContext {
    /// Dispatchers by name of the service.
    pub routes: watch::Receiver<Routes>,
    /// The claim task, for requests with an idempotency key.
    pub claims: ClaimHandle,
    /// Whether the daemon accepts requests.
    pub readiness: watch::Receiver<Readiness>,
    /// Handle of the metrics port.
    pub metrics: Metrics,
}

/// The running API server.
pub struct CallerApi {
    server: HttpServer<CallerContext>,
}

impl CallerApi {
    /// Starts the server.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot listen on the address.
    pub fn start(
        address: SocketAddr,
        context: CallerContext,
        log: &Logger,
    ) -> Result<Self, ServerError> {
        let server = server::start(api_description()?, context, address, BODY_MAX_BYTES, log)?;
        Ok(Self { server })
    }

    /// Returns the address on which the server listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops accepting connections and waits until the requests in flight have ended.
    ///
    /// # Errors
    ///
    /// Returns the server's error message when its task failed.
    pub async fn stop(self) -> Result<(), String> {
        self.server.close().await
    }
}

fn api_description() -> Result<ApiDescription<CallerContext>, ServerError> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(ready)
        .and_then(|()| api.register(forward_get))
        .and_then(|()| api.register(forward_head))
        .and_then(|()| api.register(forward_post))
        .and_then(|()| api.register(forward_put))
        .and_then(|()| api.register(forward_patch))
        .and_then(|()| api.register(forward_delete))
        .and_then(|()| api.register(forward_options));
    registered.map_err(|error| ServerError::Describe {
        reason: error.to_string(),
    })?;
    Ok(api)
}

/// Path of a request to a service.
#[derive(Deserialize, JsonSchema)]
struct ServicePath {
    service: String,
    #[serde(rename = "path")]
    _path: Vec<String>,
}

type HandlerResult = Result<Response<Body>, HttpError>;

/// Returns whether the daemon accepts requests.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn ready(context: RequestContext<CallerContext>) -> HandlerResult {
    let readiness = context.context().readiness.borrow().clone();
    Ok(match readiness {
        Ok(()) => Response::new(Body::from("{\"ready\":true}")),
        Err(reason) => ProblemDocument::not_ready(&reason).into_response(&context.request_id),
    })
}

macro_rules! forward {
    ($name:ident, $method:ident) => {
        #[endpoint {
                                                    method = $method,
                                                    path = "/v1/services/{service}/{path:.*}",
                                                    unpublished = true,
                                                }]
        async fn $name(
            context: RequestContext<CallerContext>,
            path: Path<ServicePath>,
            body: StreamingBody,
        ) -> HandlerResult {
            Ok(forward(&context, &path.into_inner().service, body).await)
        }
    };
}

forward!(forward_get, GET);
forward!(forward_head, HEAD);
forward!(forward_post, POST);
forward!(forward_put, PUT);
forward!(forward_patch, PATCH);
forward!(forward_delete, DELETE);
forward!(forward_options, OPTIONS);

async fn forward(
    context: &RequestContext<CallerContext>,
    service: &str,
    body: StreamingBody,
) -> Response<Body> {
    let state = context.context();
    state.metrics.count("caller.requests", 1);
    let stated = single_header(context.request.headers(), "x-request-id");
    let (request_id, malformed) = match stated {
        Ok(stated) => (stated.unwrap_or_else(|| context.request_id.clone()), None),
        Err(problem) => (context.request_id.clone(), Some(problem)),
    };
    let result = match malformed {
        None => submit(context, service, &request_id, body).await,
        Some(problem) => Err(problem),
    };
    let mut response = match result {
        Ok(response) => into_http_response(response),
        Err(problem) => {
            state.metrics.count("caller.problems", 1);
            problem.into_response(&request_id)
        }
    };
    if let Ok(request_id) = HeaderValue::from_str(&request_id) {
        response.headers_mut().insert(CALLER_REQUEST_ID, request_id);
    }
    response
}

async fn submit(
    context: &RequestContext<CallerContext>,
    service: &str,
    request_id: &str,
    body: StreamingBody,
) -> Result<link::Response, ProblemDocument> {
    let state = context.context();
    let readiness = state.readiness.borrow().clone();
    readiness.map_err(|reason| ProblemDocument::not_ready(&reason))?;
    let dispatch = state.routes.borrow().get(service).cloned();
    let dispatch = dispatch.ok_or_else(|| ProblemDocument::unknown_service(service))?;
    let headers = context.request.headers();
    let caller = caller_name(context)?;
    let class = single_header(headers, "x-work-class")?;
    let idempotency_key = single_header(headers, "idempotency-key")?;
    let deadline_ms = deadline_ms(headers)?;
    let path = upstream_target(context.request.uri())?;
    let body = read_body(body, dispatch.body_limit_bytes).await?;
    let (reply, outcome) = oneshot::channel();
    let submission = Submission {
        caller: caller.into(),
        class: class.map(Into::into),
        deadline_ms,
        idempotency_key: idempotency_key.map(Into::into),
        outbound: outbound_request(context, &path, request_id, body)?,
        reply,
    };
    if !send_submission(&state.claims, dispatch, service, submission).await {
        return Err(ProblemDocument::not_ready("the service was removed"));
    }
    match outcome.await {
        Ok(Outcome::Answered(response)) => Ok(response),
        Ok(Outcome::NotRun(proof)) => Err(ProblemDocument::not_run(proof)),
        Ok(Outcome::Unknown(unknown)) => Err(ProblemDocument::unknown(unknown)),
        Ok(Outcome::ResponseTooLarge { limit_bytes }) => {
            Err(ProblemDocument::response_too_large(limit_bytes))
        }
        Ok(Outcome::Invalid(invalid)) => Err(ProblemDocument::invalid(&invalid)),
        Err(_) => Err(ProblemDocument::unknown(OUTCOME_LOST)),
    }
}

/// Sends a request to its dispatcher, or to the claim task if it has an idempotency key. Returns
/// false if the receiver has stopped, in which case the request did not run.
async fn send_submission(
    claims: &ClaimHandle,
    dispatch: DispatcherHandle,
    service: &str,
    submission: Submission,
) -> bool {
    let Some(key) = submission.idempotency_key.clone() else {
        let message = DispatchMessage::Submit(submission);
        return dispatch.messages.send(message).await.is_ok();
    };
    let service = service.into();
    let keyed = KeyedSubmission {
        service,
        dispatch,
        key,
        submission,
    };
    claims.submit(keyed).await
}

/// Outcome if the dispatcher ended without reporting one; the request may have been sent.
const OUTCOME_LOST: rosemaryscale_domain::OutcomeUnknown = rosemaryscale_domain::OutcomeUnknown {
    reason: rosemaryscale_domain::outcome::UnknownReason::HolderGone,
};

/// Returns the name of the caller from the header `x-caller`, or its IP address if it sent none.
fn caller_name(context: &RequestContext<CallerContext>) -> Result<String, ProblemDocument> {
    let stated = single_header(context.request.headers(), "x-caller")?;
    Ok(stated.unwrap_or_else(|| context.request.remote_addr().ip().to_string()))
}

async fn read_body(body: StreamingBody, limit_bytes: u64) -> Result<Bytes, ProblemDocument> {
    let stream = body.into_stream();
    let mut stream = std::pin::pin!(stream);
    let mut buffer = bytes::BytesMut::new();
    while let Some(chunk) = next_chunk(&mut stream).await {
        let chunk = chunk.map_err(|error| {
            ProblemDocument::bad_request(format!("not run: {}", error.external_message))
        })?;
        if (buffer.len() + chunk.len()) as u64 > limit_bytes {
            return Err(ProblemDocument::too_large(limit_bytes));
        }
        buffer.extend_from_slice(&chunk);
    }
    Ok(buffer.freeze())
}

async fn next_chunk<S: futures_core::Stream>(
    stream: &mut std::pin::Pin<&mut S>,
) -> Option<S::Item> {
    std::future::poll_fn(|context| stream.as_mut().poll_next(context)).await
}

fn outbound_request(
    context: &RequestContext<CallerContext>,
    path: &str,
    request_id: &str,
    body: Bytes,
) -> Result<OutboundRequest, ProblemDocument> {
    let request = &context.request;
    let mut headers = remove_hop_by_hop_headers(request.headers().clone());
    for name in [HOST, CONTENT_LENGTH, EXPECT] {
        headers.remove(name);
    }
    let request_id = HeaderValue::from_str(request_id)
        .map_err(|_| ProblemDocument::bad_request("not run: x-request-id is malformed"))?;
    headers.insert("x-request-id", request_id);
    Ok(OutboundRequest {
        method: request.method().clone(),
        path: path.into(),
        headers,
        body,
    })
}

fn into_http_response(response: link::Response) -> Response<Body> {
    let mut http_response =
        Response::new(Body::wrap(http_body_util::Full::new(response.body).boxed()));
    *http_response.status_mut() = response.status;
    *http_response.headers_mut() = response.headers;
    if response.status == StatusCode::NO_CONTENT {
        http_response.headers_mut().remove(CONTENT_LENGTH);
    }
    http_response
}
