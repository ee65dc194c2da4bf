//! Carries commands out.

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
use crate::client::{Client, ClientError, FileSnafu};
use crate::output;
use crate::progress::Progress;

const STATUS_INTERVAL: Duration = Duration::from_millis(300);

/// What a command has to say.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What to print.
    pub text: String,
    /// Exit status of the process.
    pub status: ExitStatus,
}

impl Outcome {
    fn done(text: String) -> Self {
        Self {
            text,
            status: ExitStatus::Done,
        }
    }
}

/// Carries a command out and returns what to print; `progress` takes lines on the way.
///
/// # Errors
///
/// Fails when no daemon answers or one refuses.
pub async fn run(
    client: &Client,
    options: &Options,
    mut progress: impl FnMut(&str),
) -> Result<Outcome, ClientError> {
    let json = options.json;
    match &options.operation {
        Operation::Check { file } => {
            let request = CheckRequest { text: read(file)? };
            let _: serde_json::Value = client
                .send(Method::POST, "/v1/document/check", &request)
                .await?;
            let name = file.display().to_string();
            Ok(Outcome::done(output::valid(&name, json)))
        }
        Operation::Apply { file, change } => {
            let request = ApplyRequest {
                text: read(file)?,
                change_id: change_id(change),
                expected_version: change.expected_version,
                author: Arc::clone(&change.author),
            };
            let applied = client
                .change("/v1/document", &request, &request.change_id)
                .await?;
            follow(client, &applied, change.wait, json, &mut progress).await
        }
        Operation::Promote {
            source,
            digest,
            change,
        } => {
            let request = promotion(client, source, digest.clone(), change).await?;
            let path = "/v1/document/promotion";
            let applied = client.change(path, &request, &request.change_id).await?;
            follow(client, &applied, change.wait, json, &mut progress).await
        }
        Operation::Status => {
            let report: StatusReport = client.get("/v1/status").await?;
            let environments: EnvironmentsReport = client.get("/v1/environments").await?;
            Ok(Outcome::done(output::status(&report, &environments, json)))
        }
        Operation::Pools => {
            let report: PoolsReport = client.get("/v1/pools").await?;
            Ok(Outcome::done(output::pools(&report, json)))
        }
        Operation::Fleet(operation) => {
            let _: serde_json::Value = client.send(Method::POST, "/v1/fleet", operation).await?;
            Ok(Outcome::done(output::fleet(operation, json)))
        }
        Operation::History => {
            let report: HistoryReport = client.get("/v1/history").await?;
            Ok(Outcome::done(output::history(&report, json)))
        }
        Operation::Timeline {
            kind,
            subject,
            since,
        } => {
            let path = timeline_path(*kind, subject.as_deref(), *since);
            let report: TimelineReport = client.get(&path).await?;
            Ok(Outcome::done(output::timeline(&report, json)))
        }
    }
}

fn change_id(change: &ChangeOptions) -> Arc<str> {
    let new = || Uuid::now_v7().to_string().into();
    change.change_id.clone().unwrap_or_else(new)
}

/// Looks at both documents, so that the daemon refuses if one of them changes until it acts.
async fn promotion(
    client: &Client,
    source: &Arc<str>,
    digest: Option<Arc<str>>,
    change: &ChangeOptions,
) -> Result<PromoteRequest, ClientError> {
    let looked: EnvironmentsReport = client.get("/v1/environments").await?;
    let target = looked
        .environments
        .first()
        .and_then(|own| own.change.as_ref());
    let found = looked
        .environments
        .iter()
        .find(|report| report.environment == *source)
        .and_then(|report| report.change.as_ref())
        .map(|change| Arc::clone(&change.digest));
    Ok(PromoteRequest {
        source: Arc::clone(source),
        digest: digest.or(found).unwrap_or_default(),
        expected_version: change
            .expected_version
            .or_else(|| target.map(|change| change.version)),
        change_id: change_id(change),
        author: Arc::clone(&change.author),
    })
}

/// Reports an accepted change, after waiting for it if that was asked.
async fn follow(
    client: &Client,
    applied: &Applied,
    wait: Option<Duration>,
    json: bool,
    progress: &mut impl FnMut(&str),
) -> Result<Outcome, ClientError> {
    let Some(within) = wait else {
        return Ok(Outcome::done(output::applied(applied, None, json)));
    };
    let last = wait_in_force(client, applied.version, within, progress).await;
    let status = if last.is_complete() {
        ExitStatus::Done
    } else {
        ExitStatus::Pending
    };
    let text = output::applied(applied, Some(&last), json);
    Ok(Outcome { text, status })
}

/// Polls the status until every member has `version` in force or the time is over. A daemon that
/// does not answer meanwhile does not undo the accepted change, so it only prolongs the wait.
async fn wait_in_force(
    client: &Client,
    version: u64,
    within: Duration,
    progress: &mut impl FnMut(&str),
) -> Progress {
    let deadline = Instant::now() + within;
    let mut shown = String::new();
    let mut last = Progress::default();
    loop {
        let polled = client.get::<StatusReport>("/v1/status");
        if let Ok(Ok(report)) = tokio::time::timeout_at(deadline, polled).await {
            last = Progress::new(&report, version);
            let line = last.describe();
            if line != shown {
                progress(&line);
                shown = line;
            }
        }
        if last.is_complete() || Instant::now() + STATUS_INTERVAL >= deadline {
            return last;
        }
        tokio::time::sleep(STATUS_INTERVAL).await;
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
        path.push_str(&format!("subject={}&", percent_encoded(subject)));
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

fn percent_encoded(text: &str) -> String {
    let encode = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' => {
            char::from(byte).to_string()
        }
        _ => format!("%{byte:02X}"),
    };
    text.bytes().map(encode).collect()
}

fn read(path: &Path) -> Result<String, ClientError> {
    let bytes = std::fs::read(path).context(FileSnafu {
        path: path.display().to_string(),
    })?;
    String::from_utf8(bytes).map_err(|error| {
        let valid_bytes = error.utf8_error().valid_up_to();
        ClientError::not_utf8(&path.display().to_string(), valid_bytes)
    })
}
