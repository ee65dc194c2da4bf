//! Invalid settings: each is refused with its path, a reason and a remedy.

#![allow(clippy::expect_used, clippy::panic, reason = "tests panic on failure")]

use rosemaryscale_daemon::Config;
use rosemaryscale_daemon::jobs::JobServiceConfig;

const SETTINGS: &str = include_str!("../../../examples/kalahari/entry-1.jsonc");

/// The example with one part replaced.
fn example_with(from: &str, to: &str) -> String {
    assert!(SETTINGS.contains(from), "the example has no {from}");
    SETTINGS.replacen(from, to, 1)
}

fn assert_refused(text: &str, path: &str, reason: &str) {
    let error = Config::parse(text).expect_err(text).to_string();
    assert!(error.contains(path) && error.contains(reason), "{error}");
    let remedy = error.split("; ").nth(1).unwrap_or_default();
    assert!(!remedy.is_empty(), "{error} has no remedy");
}

/// Guards against a daemon that starts with invalid settings.
#[test]
fn invalid_settings_are_refused_with_path_reason_and_remedy() {
    Config::parse(SETTINGS).expect("the example is valid");
    assert_refused("", "document", "empty");
    assert_refused(&example_with("\"entry-1\"", "\"entry/1\""), "name", "'/'");
    assert_refused(
        &example_with("\"production\"", "\"\""),
        "environment",
        "empty",
    );
    let zone = "z".repeat(64);
    assert_refused(
        &example_with("khomas-1\"", &format!("{zone}\"")),
        "availability_zone",
        "bytes",
    );
    assert_refused(
        &example_with("127.0.0.1:7001", "127.0.0.1"),
        "caller_address",
        "invalid",
    );
    assert_refused(
        &example_with("127.0.0.1:7001", "localhost:7001"),
        "caller_address",
        "invalid",
    );
    assert_refused(
        &example_with("127.0.0.1:7001", "127.0.0.1:0"),
        "caller_address",
        "port is 0",
    );
    assert_refused(
        &example_with("127.0.0.1:7001", "127.0.0.1:70001"),
        "caller_address",
        "invalid",
    );
    assert_refused(
        &example_with("127.0.0.1:7003", "127.0.0.1:7002"),
        "peer_address",
        "operator_address",
    );
    assert_refused(
        &example_with("127.0.0.1:7003", "0.0.0.0:7003"),
        "peer_address",
        "cannot connect",
    );
    assert_refused(
        &example_with("127.0.0.1:7013", "127.0.0.1:7003"),
        "peers[0]",
        "own",
    );
    assert_refused(
        &example_with("\"name\"", "\"names\""),
        "names",
        "unknown field",
    );
    assert_refused(
        &example_with("\"name\": \"entry-1\",", ""),
        "",
        "missing field `name`",
    );
    assert_refused(
        &example_with("\"name\"", "\"environment\": \"trial\", \"name\""),
        "environment",
        "twice",
    );
    let unknown_format = example_with(
        "\"platform\"",
        "\"log\": { \"format\": \"yaml\" }, \"platform\"",
    );
    assert_refused(&unknown_format, "log.format", "unknown variant");
    let peers: Vec<String> = (0..65)
        .map(|port| format!("\"127.0.0.2:{}\"", port + 1))
        .collect();
    let too_many_peers = example_with("\"127.0.0.1:7013\"", &peers.join(", "));
    assert_refused(&too_many_peers, "peers", "listed");
}

/// Guards against an error about an unreadable file that does not name the invalid byte.
#[test]
fn a_file_that_is_not_utf8_is_refused() {
    let path = std::env::temp_dir().join(format!("rosemaryscale-{}.jsonc", std::process::id()));
    std::fs::write(&path, b"{ \"name\": \"\xff\" }").expect("the directory is writable");
    let error = Config::read(&path)
        .expect_err("the file is not text")
        .to_string();
    std::fs::remove_file(&path).expect("the file exists");
    assert!(
        error.contains("byte 11") && error.contains("save the file as UTF-8"),
        "{error}"
    );
}

/// Guards against a daemon of the job service that starts with an impossible share of a processor, link or
/// gateway address, and against settings of the version before that are no longer accepted.
#[test]
fn invalid_settings_of_the_job_service_are_refused() {
    let with = |more: &str| {
        format!(
            r#"{{"name": "one", "availability_zone": "z", "caller_address": "127.0.0.1:1",
                "ready_address": "127.0.0.1:2", "store_address": "127.0.0.1:3",
                "machines_address": "127.0.0.1:4", "run_lease_max_ms": 10000, "stop_grace_ms": 200,
                "status_kept_ms": 120000, "stop_ms": 6000{more}}}"#
        )
    };
    let before = JobServiceConfig::parse(&with("")).expect("the settings before gateways");
    assert!(before.gateway_address.is_none() && before.peer_address.is_none());
    assert!(before.revoke_ms.is_none() && !before.strict_revoke);
    assert!(before.gateway_address.is_none());
    assert!(!before.learned_durations && !before.learned_speed);
    assert_eq!(before.copy_budget_percent, 0);
    for (more, path, reason) in [
        (r#", "processor_share": 0"#, "processor_share", "above 0"),
        (r#", "link_mbps": -1"#, "link_mbps", "above 0"),
        (r#", "remote_factor": 0.5"#, "remote_factor", "faster"),
        (
            r#", "gateway_address": "here""#,
            "gateway_address",
            "address",
        ),
        (
            r#", "copy_budget_percent": 101"#,
            "copy_budget_percent",
            "up to 100",
        ),
        (r#", "gateway_port": 1"#, "gateway_port", "unknown"),
        (r#", "peer_address": 4"#, "peer_address", "address"),
        (
            r#", "strict_revoke": true"#,
            "strict_revoke",
            "set revoke_ms",
        ),
    ] {
        let error = JobServiceConfig::parse(&with(more))
            .expect_err(more)
            .to_string();
        assert!(error.contains(path) && error.contains(reason), "{error}");
    }
}
