//! The operators' tool with daemon processes: concurrent changes, waiting for a roll-out, promotion,
//! and a daemon that was killed.

use http::{Method, StatusCode};
use rosemaryscale_cli::cli::ExitStatus;
use rosemaryscale_standins::harness::{Harness, ProcessSignal, wait_until};
use serde_json::json;

mod common;

use common::*;

/// Guards against concurrent changes that are both accepted, and against a conflict reply that does
/// not name the accepted change.
#[tokio::test]
async fn of_two_concurrent_changes_one_is_accepted_and_the_other_learns_which() {
    let harness = start(2).await;
    harness.apply(DOCUMENT).await;
    for round in 1..=10 {
        let left = change_request(&variant(10 + round), &format!("left-{round}"), Some(round));
        let right = change_request(&variant(30 + round), &format!("right-{round}"), Some(round));
        let (left, right) = tokio::join!(
            put_document(&harness, 0, left),
            put_document(&harness, 1, right)
        );
        let (winner, loser, winner_id) = match (left.0, right.0) {
            (StatusCode::OK, _) => (left.1, right, format!("left-{round}")),
            _ => (right.1, left, format!("right-{round}")),
        };
        assert_eq!(winner["version"], round + 1, "{winner}");
        assert_eq!(loser.0, StatusCode::CONFLICT, "{}", loser.1);
        assert_eq!(loser.1["winner"]["change_id"], *winner_id);
        assert_eq!(loser.1["winner"]["author"], "test");
        let detail = loser.1["detail"].as_str().unwrap_or_default();
        assert!(
            detail.contains(&format!("--expect {}", round + 1)),
            "{detail}"
        );
        for index in 0..2 {
            wait_for_version(&harness, index, round + 1).await;
        }
    }
    harness.stop().await;
}

/// Guards against a change that is reported as in force while a member does not have it, and against
/// a resumed daemon that keeps the old version.
#[tokio::test]
async fn apply_reports_a_frozen_daemon_and_reaches_it_when_it_resumes() {
    let harness = start(3).await;
    harness.apply(DOCUMENT).await;
    wait_for_members(&harness, 3).await;
    harness.signal(2, ProcessSignal::Freeze);
    let file = document_file(&harness, &variant(2));
    let file = file.to_str().expect("the path is text");
    let daemon = [harness.operator_address(0)];
    let (status, text) = run_command(&daemon, &["apply", file, "--wait", "--within", "4"]).await;
    assert_eq!(status, ExitStatus::Pending, "{text}");
    assert!(
        text.contains("entry-3") && text.contains("does not answer"),
        "{text}"
    );
    assert!(!text.contains("entry-2"), "{text}");
    harness.signal(2, ProcessSignal::Resume);
    wait_for_version(&harness, 2, 2).await;
    let (status, text) = run_command(&daemon, &["apply", file, "--wait"]).await;
    assert_eq!(status, ExitStatus::Done, "{text}");
    std::fs::remove_file(file).expect("the file exists");
    harness.stop().await;
}

/// Starts three daemons and moves daemons 1 and 2 to the trial environment.
async fn start_with_trial_environment() -> Harness {
    let mut harness = start(3).await;
    for index in 1..3 {
        stop_daemon(&mut harness, index).await;
        harness.set_environment(index, "trial");
        harness.spawn(index);
    }
    for index in 1..3 {
        wait_until("both trial members are listed", || async {
            let reply = harness
                .call_operator_api(index, Method::GET, "/v1/status", None)
                .await;
            let report = reply.map(|reply| reply.json()).unwrap_or_default();
            report["daemons"].as_array().map_or(0, Vec::len) == 2
        })
        .await;
    }
    harness
}

/// Guards against a promotion of a document that a trial member does not have, or that changed after
/// the operator read it; against promoted bytes that differ; and against a repeated promotion that
/// is applied twice.
#[tokio::test]
async fn a_promotion_copies_a_document_that_is_in_force_on_every_trial_member() {
    let harness = start_with_trial_environment().await;
    let daemon = [harness.operator_address(0)];
    let (_, first) = put_document(&harness, 0, change_request(DOCUMENT, "first", None)).await;
    wait_for_version(&harness, 0, 1).await;
    harness.signal(2, ProcessSignal::Freeze);
    let (_, trial) = put_document(&harness, 1, change_request(&variant(2), "trial", None)).await;
    let (status, text) = run_command(&daemon, &["promote"]).await;
    assert_eq!(status, ExitStatus::Refused, "{text}");
    assert!(text.contains("entry-3 (does not answer)"), "{text}");
    harness.signal(2, ProcessSignal::Resume);
    wait_for_version(&harness, 2, 1).await;

    let old_digest = first["digest"].as_str().expect("a digest");
    let (status, text) = run_command(&daemon, &["promote", "--digest", old_digest]).await;
    assert_eq!(status, ExitStatus::Refused, "{text}");
    assert!(text.contains("looked at"), "{text}");
    let (status, text) = run_command(&daemon, &["promote", "--expect", "7"]).await;
    assert_eq!(status, ExitStatus::Conflict, "{text}");

    let promote = ["promote", "--change-id", "promotion", "--wait"];
    let (status, text) = run_command(&daemon, &promote).await;
    assert_eq!(status, ExitStatus::Done, "{text}");
    let production = own_status(&harness, 0).await;
    assert_eq!(
        (&production["version"], &production["digest"]),
        (&json!(2), &trial["digest"])
    );

    put_document(&harness, 1, change_request(&variant(3), "trial-3", None)).await;
    let (status, text) = run_command(&daemon, &promote).await;
    assert_eq!(status, ExitStatus::Done, "{text}");
    assert_eq!(own_status(&harness, 0).await["version"], 2);
    harness.stop().await;
}

/// Guards against a tool that gives up, or makes a change twice, when the first daemon on its list
/// was killed; and against a change id that is reported as accepted when it is reused for another
/// document.
#[tokio::test]
async fn the_tool_fails_over_to_the_next_daemon() {
    let mut harness = start(2).await;
    harness.apply(DOCUMENT).await;
    wait_for_members(&harness, 2).await;
    let daemons = [harness.operator_address(0), harness.operator_address(1)];
    harness.signal(0, ProcessSignal::Kill);
    harness.wait_for_exit(0).await;
    let file = document_file(&harness, &variant(2));
    let file = file.to_str().expect("the path is text");
    let apply = ["apply", file, "--expect", "1", "--change-id", "once"];
    for _ in 0..2 {
        let (status, text) = run_command(&daemons, &apply).await;
        assert_eq!(status, ExitStatus::Done, "{text}");
        assert!(text.contains("\"version\": 2"), "{text}");
    }
    std::fs::write(file, variant(3)).expect("the file is writable");
    let (status, text) = run_command(&daemons, &apply).await;
    assert_eq!(status, ExitStatus::Refused, "{text}");
    assert!(text.contains("new change id"), "{text}");
    let author = "x".repeat(129);
    for invalid in ["", "a\nb", &author] {
        let (status, text) = run_command(&daemons, &["apply", file, "--author", invalid]).await;
        assert_eq!(status, ExitStatus::Refused, "{text}");
    }
    let (status, text) = run_command(&daemons, &["promote", "--from", "../trial"]).await;
    assert_eq!(status, ExitStatus::Refused, "{text}");
    let (status, text) = run_command(&daemons, &["history"]).await;
    assert_eq!(status, ExitStatus::Done, "{text}");
    assert_eq!(text.matches("\"version\"").count(), 2, "{text}");
    let (status, text) = run_command(
        &daemons,
        &["timeline", "--kind", "config", "--subject", "2"],
    )
    .await;
    assert_eq!(status, ExitStatus::Done, "{text}");
    assert!(
        text.contains("in force") && !text.contains("\"member\""),
        "{text}"
    );
    std::fs::remove_file(file).expect("the file exists");
    harness.stop().await;
}

/// Guards against a refused document that takes effect, and against the acceptance of a document that
/// does not have the daemon's environment.
#[tokio::test]
async fn a_refused_document_changes_nothing() {
    let harness = start(1).await;
    harness.apply(DOCUMENT).await;
    let daemon = [harness.operator_address(0)];
    let other_environment = DOCUMENT.replace("\"production\"", "\"staging\"");
    let wrong_type = DOCUMENT.replace("\"format\": 1", "\"format\": \"1\"");
    let documents = [
        (other_environment.into_bytes(), "environments"),
        (wrong_type.into_bytes(), "format"),
        (Vec::new(), "empty"),
        (vec![b'{', 0xff], "UTF-8"),
    ];
    let file = document_file(&harness, "");
    for (bytes, reason) in documents {
        std::fs::write(&file, bytes).expect("the file is writable");
        for command in ["check", "apply"] {
            let arguments = [command, file.to_str().expect("the path is text")];
            let (status, text) = run_command(&daemon, &arguments).await;
            assert_eq!(status, ExitStatus::Refused, "{text}");
            assert!(text.contains(reason), "{text}");
        }
    }
    std::fs::remove_file(&file).expect("the file exists");
    let history = harness
        .call_operator_api(0, Method::GET, "/v1/history", None)
        .await;
    let history = history.expect("the daemon replies").json();
    assert_eq!(history["changes"].as_array().map(Vec::len), Some(1));
    assert_eq!(own_status(&harness, 0).await["version"], 1);
    harness.stop().await;
}
