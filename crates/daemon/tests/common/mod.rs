//! Helpers shared by the tests of the document roll-out and of the operators' tool.

#![allow(
    clippy::expect_used,
    clippy::panic,
    dead_code,
    unreachable_pub,
    reason = "tests panic on failure, and each test file uses only some of the helpers"
)]

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use rosemaryscale_cli::cli::{self, Command, ExitStatus};
use rosemaryscale_cli::{Client, run};
use rosemaryscale_standins::harness::{Harness, HarnessOptions, ProcessSignal, wait_until};
use serde_json::{Value, json};

pub const DOCUMENT: &str = include_str!("../../../../examples/kalahari/document.jsonc");
/// Longest time from the acceptance of a change until it is in force at every daemon.
pub const ROLLOUT_LIMIT: Duration = Duration::from_secs(19);

pub const DOCUMENT_KEY: &str = "/rosemaryscale/production/config";

/// Record of a document version, as a daemon stores it under [`DOCUMENT_KEY`].
pub fn record(version: u64, text: &str) -> String {
    json!({
        "version": version, "digest": "", "change_id": format!("record-{version}"), "author": "",
        "accepted_wall_ms": 0, "text": text,
    })
    .to_string()
}

pub async fn start(daemons: usize) -> Harness {
    Harness::start(HarnessOptions {
        daemon_binary: env!("CARGO_BIN_EXE_rosemaryscaled").into(),
        daemons,
        environment: "production".into(),
        upstreams: Vec::new(),
    })
    .await
}

/// The document with an added comment, which changes its digest.
pub fn variant(number: u64) -> String {
    format!("{DOCUMENT}\n// variant {number}\n")
}

pub fn change_request(text: &str, change_id: &str, expected_version: Option<u64>) -> Value {
    json!({
        "text": text,
        "change_id": change_id,
        "expected_version": expected_version,
        "author": "test",
    })
}

pub async fn put_document(harness: &Harness, index: usize, body: Value) -> (StatusCode, Value) {
    let reply = harness
        .call_operator_api(index, Method::PUT, "/v1/document", Some(body))
        .await
        .expect("the daemon replies");
    (reply.status, reply.json())
}

/// A daemon's entry about itself in its status report.
pub async fn own_status(harness: &Harness, index: usize) -> Value {
    let reply = harness
        .call_operator_api(index, Method::GET, "/v1/status", None)
        .await;
    let report = reply.expect("the daemon replies").json();
    let name = harness.daemon_name(index);
    let daemons = report["daemons"].as_array().cloned().unwrap_or_default();
    let own = daemons.into_iter().find(|daemon| daemon["name"] == name);
    own.expect("a daemon reports itself")
}

pub async fn wait_for_version(harness: &Harness, index: usize, version: u64) {
    wait_until("the version is in force", || async move {
        own_status(harness, index).await["version"] == version
    })
    .await;
}

/// Waits until every daemon lists all members, so that they can exchange digests.
pub async fn wait_for_members(harness: &Harness, daemons: usize) {
    for index in 0..daemons {
        wait_until("all members are listed", || async move {
            let reply = harness
                .call_operator_api(index, Method::GET, "/v1/status", None)
                .await;
            let report = reply.map(|reply| reply.json()).unwrap_or_default();
            report["daemons"].as_array().map_or(0, Vec::len) == daemons
        })
        .await;
    }
}

pub async fn stop_daemon(harness: &mut Harness, index: usize) {
    harness.signal(index, ProcessSignal::Terminate);
    harness.wait_for_exit(index).await;
}

/// Runs a command of the operators' tool and returns its exit status and output.
pub async fn run_command(daemons: &[SocketAddr], arguments: &[&str]) -> (ExitStatus, String) {
    let daemons: Vec<String> = daemons.iter().map(ToString::to_string).collect();
    let list = daemons.join(",");
    let command_line = ["--daemon", &list, "--json"]
        .into_iter()
        .chain(arguments.iter().copied());
    let command = cli::parse(command_line.map(str::to_owned)).expect("the command line is valid");
    let Command::Run(options) = command else {
        panic!("the arguments name a command");
    };
    let client = Client::new(options.daemons.clone());
    match run::run(&client, &options, |_| {}).await {
        Ok(outcome) => (outcome.status, outcome.text),
        Err(error) => (error.exit_status(), error.to_string()),
    }
}

pub fn document_file(harness: &Harness, text: &str) -> std::path::PathBuf {
    let port = harness.operator_address(0);
    let path = std::env::temp_dir().join(format!("rosemaryscale-document-{port}.jsonc"));
    std::fs::write(&path, text).expect("the temporary directory is writable");
    path
}
