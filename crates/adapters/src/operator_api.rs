//! The HTTP API for operators, implemented with dropshot.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::{
    ApiDescription, Body, HttpError, HttpServer, Query, RequestContext, TypedBody, endpoint,
};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use rosemaryscale_ports::config::{ApplyError, ConfigHandle};
use rosemaryscale_ports::event::EventFilter;
use rosemaryscale_ports::fleet::{FleetError, FleetHandle, FleetOperation};
use rosemaryscale_ports::member::MemberWatch;
use rosemaryscale_ports::operator::{
    ApplyRequest, CheckRequest, DaemonStatus, OperatorProblem, ProblemReport, PromoteRequest,
    StatusReport, TimelineReport,
};
use rosemaryscale_ports::peer::{PeerReply, PeerRequest, Peers};
use rosemaryscale_ports::prelude::*;
use serde::Serialize;
use slog::Logger;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::server::{self, ServerError};

/// Leaves room for a document of 900,000 bytes, which grows when it is escaped as a JSON string.
const BODY_MAX_BYTES: usize = 4 << 20;
const TIMELINE_MAX_EVENTS: usize = 500;

/// State shared by the handlers.
pub struct OperatorContext {
    /// Name of this daemon.
    pub name: Arc<str>,
    /// Handle to the configuration task.
    pub config: ConfigHandle,
    /// Status of this daemon.
    pub status: watch::Receiver<DaemonStatus>,
    /// Handle to the event log.
    pub events: EventSink,
    /// Members of the environment.
    pub members: MemberWatch,
    /// Handle to the peer link.
    pub peers: Peers,
    /// Handle to the controller task.
    pub fleet: FleetHandle,
}

impl OperatorContext {
    /// Calls all other members. Returns their replies and the sorted names of the members that did
    /// not reply or refused the call.
    async fn call_peers(&self, request: &PeerRequest) -> (Vec<PeerReply>, Vec<Arc<str>>) {
        let view = self.members.borrow().clone();
        let names = view.members.keys().filter(|name| **name != self.name);
        let mut calls = JoinSet::new();
        for name in names {
            let (peers, name, request) = (self.peers.clone(), Arc::clone(name), request.clone());
            calls.spawn(async move { (Arc::clone(&name), peers.call(name, request).await) });
        }
        let mut replies = Vec::new();
        let mut unreachable = Vec::new();
        while let Some(called) = calls.join_next().await {
            let Ok((name, result)) = called else { continue };
            match result {
                Ok(PeerReply::Refused(_)) | Err(_) => unreachable.push(name),
                Ok(reply) => replies.push(reply),
            }
        }
        unreachable.sort();
        (replies, unreachable)
    }
}

/// The running API server.
pub struct OperatorApi {
    server: HttpServer<OperatorContext>,
}

impl OperatorApi {
    /// Starts the server.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot listen on the address.
    pub fn start(
        address: SocketAddr,
        context: OperatorContext,
        log: &Logger,
    ) -> Result<Self, ServerError> {
        let server = server::start(api_description()?, context, address, BODY_MAX_BYTES, log)?;
        Ok(Self { server })
    }

    /// Stops the server.
    ///
    /// # Errors
    ///
    /// Returns the server's error message when its task failed.
    pub async fn stop(self) -> Result<(), String> {
        self.server.close().await
    }
}

fn api_description() -> Result<ApiDescription<OperatorContext>, ServerError> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(get_status)
        .and_then(|()| api.register(check_document))
        .and_then(|()| api.register(apply_document))
        .and_then(|()| api.register(promote_document))
        .and_then(|()| api.register(get_history))
        .and_then(|()| api.register(get_environments))
        .and_then(|()| api.register(get_timeline))
        .and_then(|()| api.register(get_pools))
        .and_then(|()| api.register(change_fleet));
    registered.map_err(|error| ServerError::Describe {
        reason: error.to_string(),
    })?;
    Ok(api)
}

type HandlerResult = Result<Response<Body>, HttpError>;

/// Returns the status of the daemons.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(context: RequestContext<OperatorContext>) -> HandlerResult {
    let state = context.context();
    let mut daemons = vec![state.status.borrow().clone()];
    let (replies, unreachable) = state.call_peers(&PeerRequest::Status).await;
    daemons.extend(replies.into_iter().filter_map(|reply| match reply {
        PeerReply::Status(status) => Some(status),
        _ => None,
    }));
    daemons.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(json_response(
        StatusCode::OK,
        &StatusReport {
            daemons,
            unreachable,
        },
    ))
}

/// Checks a document without applying it.
#[endpoint { method = POST, path = "/v1/document/check" }]
async fn check_document(
    context: RequestContext<OperatorContext>,
    request: TypedBody<CheckRequest>,
) -> HandlerResult {
    let checked = context
        .context()
        .config
        .check(request.into_inner().text)
        .await;
    Ok(checked.map_or_else(
        |error| apply_error_response(&error),
        |()| json_response(StatusCode::OK, &serde_json::json!({"valid": true})),
    ))
}

/// Applies a document to the daemon's environment.
#[endpoint { method = PUT, path = "/v1/document" }]
async fn apply_document(
    context: RequestContext<OperatorContext>,
    request: TypedBody<ApplyRequest>,
) -> HandlerResult {
    let applied = context.context().config.apply(request.into_inner()).await;
    Ok(apply_result_response(applied))
}

/// Applies the document of another environment to the daemon's environment.
#[endpoint { method = PUT, path = "/v1/document/promotion" }]
async fn promote_document(
    context: RequestContext<OperatorContext>,
    request: TypedBody<PromoteRequest>,
) -> HandlerResult {
    let promoted = context.context().config.promote(request.into_inner()).await;
    Ok(apply_result_response(promoted))
}

/// Returns the accepted changes, newest first.
#[endpoint { method = GET, path = "/v1/history" }]
async fn get_history(context: RequestContext<OperatorContext>) -> HandlerResult {
    Ok(apply_result_response(
        context.context().config.history().await,
    ))
}

/// Returns the newest change of each environment.
#[endpoint { method = GET, path = "/v1/environments" }]
async fn get_environments(context: RequestContext<OperatorContext>) -> HandlerResult {
    Ok(apply_result_response(
        context.context().config.environments().await,
    ))
}

/// Returns the events of the daemons, oldest first.
#[endpoint { method = GET, path = "/v1/timeline" }]
async fn get_timeline(
    context: RequestContext<OperatorContext>,
    filter: Query<EventFilter>,
) -> HandlerResult {
    let state = context.context();
    let filter = filter.into_inner();
    let mut events = filter.newest(state.events.read(usize::MAX).await, TIMELINE_MAX_EVENTS);
    let request = PeerRequest::Timeline {
        limit: TIMELINE_MAX_EVENTS,
        filter,
    };
    let (replies, unreachable) = state.call_peers(&request).await;
    events.extend(replies.into_iter().flat_map(|reply| match reply {
        PeerReply::Timeline(events) => events,
        _ => Vec::new(),
    }));
    events.sort_by(|left, right| {
        let order = |event: &Event| (event.wall_ms, Arc::clone(&event.daemon), event.sequence);
        order(left).cmp(&order(right))
    });
    Ok(json_response(
        StatusCode::OK,
        &TimelineReport {
            events,
            unreachable,
        },
    ))
}

/// Returns the pools and their instances.
#[endpoint { method = GET, path = "/v1/pools" }]
async fn get_pools(context: RequestContext<OperatorContext>) -> HandlerResult {
    Ok(json_response(
        StatusCode::OK,
        &context.context().fleet.report(false).await,
    ))
}

/// Drains, undrains or moves an instance.
#[endpoint { method = POST, path = "/v1/fleet" }]
async fn change_fleet(
    context: RequestContext<OperatorContext>,
    operation: TypedBody<FleetOperation>,
) -> HandlerResult {
    let result = context
        .context()
        .fleet
        .operate(operation.into_inner(), false)
        .await;
    Ok(result.map_or_else(
        |error| fleet_error_response(&error),
        |()| json_response(StatusCode::OK, &serde_json::json!({"accepted": true})),
    ))
}

fn fleet_error_response(error: &FleetError) -> Response<Body> {
    let (status, kind, remedy) = match error {
        FleetError::Refused { .. } => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "invalid",
            "see rosemaryscale pools",
        ),
        FleetError::NoController { .. } => (
            StatusCode::SERVICE_UNAVAILABLE,
            "unavailable",
            "send it again later",
        ),
        FleetError::Unknown { .. } => (
            StatusCode::GATEWAY_TIMEOUT,
            "unknown",
            "look at the pools before sending it again",
        ),
    };
    let (kind, detail, remedy) = (Arc::from(kind), error.to_string(), remedy.to_owned());
    json_response(
        status,
        &OperatorProblem {
            kind,
            detail,
            remedy,
            problems: Vec::new(),
            winner: None,
        },
    )
}

fn apply_result_response(result: Result<impl Serialize, ApplyError>) -> Response<Body> {
    match result {
        Ok(body) => json_response(StatusCode::OK, &body),
        Err(error) => apply_error_response(&error),
    }
}

fn apply_error_response(error: &ApplyError) -> Response<Body> {
    let (status, kind, remedy) = match error {
        ApplyError::Invalid { .. } => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "invalid",
            "correct the document and send it again",
        ),
        ApplyError::Conflict { .. } => (
            StatusCode::CONFLICT,
            "conflict",
            "rebase on the version in force",
        ),
        ApplyError::Refused { .. } => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "refused",
            "remove the reason and send it again",
        ),
        ApplyError::Unknown { .. } => (
            StatusCode::GATEWAY_TIMEOUT,
            "unknown",
            "send it again with the same change id, also to another daemon",
        ),
        ApplyError::Unavailable { .. } => (
            StatusCode::SERVICE_UNAVAILABLE,
            "unavailable",
            "send it again later",
        ),
    };
    let winner = match error {
        ApplyError::Conflict { winner, .. } => winner.clone(),
        _ => None,
    };
    let problems = match error {
        ApplyError::Invalid { problems } => problems
            .iter()
            .map(|problem| ProblemReport {
                path: problem.path.clone(),
                reason: problem.reason.clone(),
                remedy: problem.remedy.clone(),
            })
            .collect(),
        _ => Vec::new(),
    };
    let kind = Arc::from(kind);
    let (detail, remedy) = (error.to_string(), remedy.to_owned());
    json_response(
        status,
        &OperatorProblem {
            kind,
            detail,
            remedy,
            problems,
            winner,
        },
    )
}

fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
