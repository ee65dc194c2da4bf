//! Runs commands against the operator API.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::Method;
use rosemaryscale_ports::event::EventKind;
use rosemaryscale_ports::fleet::PoolsReport;
use rosemaryscale_ports::operator::{
    Applied, ApplyRequest, CheckRequest, EnvironmentsReport, HistoryReport, PromoteRequest,
    StatusReport, TimelineReport,
};
use snafu::ResultExt;
use tokio::time::Instant;
use uuid::Uuid;

use crate::cli::{ChangeOptions, ExitStatus, Operation, Options};
use crate::client::{Client, ClientError, ReadFileSnafu};
use crate::output;
use crate::progress::RolloutProgress;

const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Result of a command that ran.
#[derive(Clone, Debug)]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Exit status of the process.
    pub status: ExitStatus,
}

impl CommandOutput {
    fn success(text: String) -> Self {
        Self {
            text,
            status: ExitStatus::Done,
        }
    }
}

/// Runs a command. `report_progress` receives a line whenever the progress of the rollout changes.
///
/// # Errors
///
/// Fails when no daemon answers, when one refuses the call, or when the document cannot be read.
pub async fn run(
    client: &Client,
    options: &Options,
    mut report_progress: impl FnMut(&str),
) -> Result<CommandOutput, ClientError> {
    let json = options.json;
    match &options.operation {
        Operation::Check { file } => {
            let request = CheckRequest {
                text: read_document(file)?,
            };
            let _: serde_json::Value = client
                .send(Method::POST, "/v1/document/check", &request)
                .await?;
            let name = file.display().to_string();
            Ok(CommandOutput::success(output::document_valid(&name, json)))
        }
        Operation::Apply { file, change } => {
            let request = ApplyRequest {
                text: read_document(file)?,
                change_id: change_id(change),
                expected_version: change.expected_version,
                author: Arc::clone(&change.author),
            };
            let applied = client
                .submit_change("/v1/document", &request, &request.change_id)
                .await?;
            report_change(client, &applied, change.wait, json, &mut report_progress).await
        }
        Operation::Promote {
            source,
            digest,
            change,
        } => {
            let request = promotion_request(client, source, digest.clone(), change).await?;
            let path = "/v1/document/promotion";
            let applied = client
                .submit_change(path, &request, &request.change_id)
                .await?;
            report_change(client, &applied, change.wait, json, &mut report_progress).await
        }
        Operation::Status => {
            let report: StatusReport = client.get("/v1/status").await?;
            let environments: EnvironmentsReport = client.get("/v1/environments").await?;
            Ok(CommandOutput::success(output::status(
                &report,
                &environments,
                json,
            )))
        }
        Operation::Pools => {
            let report: PoolsReport = client.get("/v1/pools").await?;
            Ok(CommandOutput::success(output::pools(&report, json)))
        }
        Operation::Fleet(operation) => {
            let _: serde_json::Value = client.send(Method::POST, "/v1/fleet", operation).await?;
            Ok(CommandOutput::success(output::fleet_operation(
                operation, json,
            )))
        }
        Operation::History => {
            let report: HistoryReport = client.get("/v1/history").await?;
            Ok(CommandOutput::success(output::history(&report, json)))
        }
        Operation::Timeline {
            kind,
            subject,
            since,
        } => {
            let path = timeline_path(*kind, subject.as_deref(), *since);
            let report: TimelineReport = client.get(&path).await?;
            Ok(CommandOutput::success(output::timeline(&report, json)))
        }
    }
}

fn change_id(change: &ChangeOptions) -> Arc<str> {
    let generate = || Uuid::now_v7().to_string().into();
    change.change_id.clone().unwrap_or_else(generate)
}

/// Builds a promotion request from the current source digest and target version, so that the daemon
/// refuses it if either document changes before the promotion.
async fn promotion_request(
    client: &Client,
    source: &Arc<str>,
    digest: Option<Arc<str>>,
    change: &ChangeOptions,
) -> Result<PromoteRequest, ClientError> {
    let report: EnvironmentsReport = client.get("/v1/environments").await?;
    let target_change = report
        .environments
        .first()
        .and_then(|target| target.change.as_ref());
    let source_digest = report
        .environments
        .iter()
        .find(|environment| environment.environment == *source)
        .and_then(|environment| environment.change.as_ref())
        .map(|change| Arc::clone(&change.digest));
    Ok(PromoteRequest {
        source: Arc::clone(source),
        digest: digest.or(source_digest).unwrap_or_default(),
        expected_version: change
            .expected_version
            .or_else(|| target_change.map(|change| change.version)),
        change_id: change_id(change),
        author: Arc::clone(&change.author),
    })
}

/// Reports an accepted change, after waiting for its rollout if `wait` is set.
async fn report_change(
    client: &Client,
    applied: &Applied,
    wait: Option<Duration>,
    json: bool,
    report_progress: &mut impl FnMut(&str),
) -> Result<CommandOutput, ClientError> {
    let Some(timeout) = wait else {
        return Ok(CommandOutput::success(output::change_applied(
            applied, None, json,
        )));
    };
    let rollout = wait_until_in_force(client, applied.version, timeout, report_progress).await;
    let status = if rollout.is_complete() {
        ExitStatus::Done
    } else {
        ExitStatus::Pending
    };
    let text = output::change_applied(applied, Some(&rollout), json);
    Ok(CommandOutput { text, status })
}

/// Polls the status until every member has `version` in force or the timeout expires. The change is
/// already accepted, so an unreachable daemon only prolongs the wait.
async fn wait_until_in_force(
    client: &Client,
    version: u64,
    timeout: Duration,
    report_progress: &mut impl FnMut(&str),
) -> RolloutProgress {
    let deadline = Instant::now() + timeout;
    let mut last_line = String::new();
    let mut rollout = RolloutProgress::default();
    loop {
        let poll = client.get::<StatusReport>("/v1/status");
        if let Ok(Ok(report)) = tokio::time::timeout_at(deadline, poll).await {
            rollout = RolloutProgress::new(&report, version);
            let line = rollout.describe();
            if line != last_line {
                report_progress(&line);
                last_line = line;
            }
        }
        if rollout.is_complete() || Instant::now() + STATUS_POLL_INTERVAL >= deadline {
            return rollout;
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}

fn timeline_path(
    kind: Option<EventKind>,
    subject: Option<&str>,
    since: Option<Duration>,
) -> String {
    let mut path = "/v1/timeline?".to_owned();
    let kind = kind.and_then(|kind| serde_json::to_value(kind).ok());
    if let Some(kind) = kind.as_ref().and_then(serde_json::Value::as_str) {
        path.push_str(&format!("kind={kind}&"));
    }
    if let Some(subject) = subject {
        path.push_str(&format!("subject={}&", percent_encode(subject)));
    }
    if let Some(since) = since {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let start_ms = now.saturating_sub(since).as_millis();
        path.push_str(&format!("since_wall_ms={start_ms}&"));
    }
    path.pop();
    path
}

fn percent_encode(text: &str) -> String {
    let encode_byte = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' => {
            char::from(byte).to_string()
        }
        _ => format!("%{byte:02X}"),
    };
    text.bytes().map(encode_byte).collect()
}

fn read_document(path: &Path) -> Result<String, ClientError> {
    let bytes = std::fs::read(path).context(ReadFileSnafu {
        path: path.display().to_string(),
    })?;
    String::from_utf8(bytes).map_err(|error| {
        let valid_bytes = error.utf8_error().valid_up_to();
        ClientError::invalid_utf8(&path.display().to_string(), valid_bytes)
    })
}
