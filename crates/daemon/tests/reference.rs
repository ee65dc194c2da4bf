//! Compares the reference page with the code, so that the page stays complete and current.

#![allow(clippy::expect_used, clippy::panic, reason = "tests panic on failure")]

use std::collections::BTreeSet;

use rosemaryscale_adapters::document_text;
use rosemaryscale_cli::cli::{self, Command};
use rosemaryscale_daemon::Config;
use rosemaryscale_domain::document::bounds::{self, Bound};

const REFERENCE: &str = include_str!("../../../docs/reference.md");
const DOCUMENT: &str = include_str!("../../../examples/kalahari/document.jsonc");
const SETTINGS: &str = include_str!("../../../examples/kalahari/entry-1.jsonc");

/// Text of the section under a heading, up to the next heading.
fn section(heading: &str) -> &'static str {
    let start = REFERENCE
        .find(&format!("\n{heading}\n"))
        .unwrap_or_else(|| panic!("{heading}"));
    let rest = &REFERENCE[start + heading.len() + 2..];
    rest.split("\n#").next().unwrap_or(rest)
}

/// Names in the first column of a section's table.
fn table_rows(heading: &str) -> BTreeSet<&'static str> {
    let lines = section(heading).lines();
    lines
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .collect()
}

/// Fields that a decoder lists in its error message for an unknown field.
fn expected_fields(message: &str) -> BTreeSet<String> {
    let (_, list) = message
        .split_once("expected")
        .expect("the message lists the fields");
    list.split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Fields of the document's object that starts with `anchor`, taken from the error for an unknown
/// field.
fn document_fields(anchor: &str) -> BTreeSet<String> {
    let text = DOCUMENT.replacen(anchor, &format!("{anchor} \"zzz\": 0,"), 1);
    let problems = document_text::parse(&text).expect_err("an unknown field is refused");
    expected_fields(&problems[0].reason)
}

fn settings_fields(text: &str) -> BTreeSet<String> {
    expected_fields(
        &Config::parse(text)
            .expect_err("an unknown field is refused")
            .to_string(),
    )
}

fn assert_documented(heading: &str, fields: &BTreeSet<String>) {
    let fields: BTreeSet<&str> = fields.iter().map(String::as_str).collect();
    assert_eq!(table_rows(heading), fields, "{heading}");
}

/// Guards against document fields that are missing on the page, and rows for removed fields.
#[test]
fn the_page_lists_exactly_the_fields_of_the_document() {
    assert_documented("## Document", &document_fields("{\n"));
    assert_documented(
        "### `environments.<environment>`",
        &document_fields("\"trial\": {"),
    );
    assert_documented("### `maintenance`", &document_fields("\"maintenance\": {"));
    assert_documented("### `pools.<pool>`", &document_fields("\"quotes\": {"));
    assert_documented(
        "### `services.<service>`",
        &document_fields("\"quotes\": {\n"),
    );
    assert_documented(
        "### `services.<service>.classes.<class>`",
        &document_fields("\"urgent\": {"),
    );
    assert_documented(
        "### `services.<service>.repeatable[]`",
        &document_fields("\"repeatable\": [{"),
    );
}

/// Guards against settings that are missing on the page, and rows for removed settings.
#[test]
fn the_page_lists_exactly_the_settings() {
    let insert =
        |anchor: &str, field: &str| SETTINGS.replacen(anchor, &format!("{anchor} {field}"), 1);
    assert_documented(
        "## Settings of a daemon",
        &settings_fields(&insert("{\n", "\"zzz\": 0,")),
    );
    assert_documented(
        "### `platform`",
        &settings_fields(&insert("\"platform\": {", "\"zzz\": 0,")),
    );
    assert_documented(
        "### `log`",
        &settings_fields(&insert("{\n", "\"log\": { \"zzz\": 0 },")),
    );
}

/// Guards against bounds on the page that differ from those in the code.
#[test]
fn the_page_lists_the_bounds_of_the_code() {
    let tables: [(&str, &[Bound]); 5] = [
        (
            "### `environments.<environment>`",
            &[bounds::SPARE_INSTANCES],
        ),
        ("### `maintenance`", &bounds::MAINTENANCE),
        ("### `pools.<pool>`", &bounds::POOL),
        ("### `services.<service>`", &bounds::SERVICE),
        ("### `services.<service>.classes.<class>`", &bounds::CLASS),
    ];
    for (heading, bounds) in tables {
        for Bound { field, min, max } in bounds {
            let row = format!("| `{field}` | {min} to {max} |");
            assert!(section(heading).contains(&row), "{heading} lacks {row}");
        }
    }
}

/// String literals of a source text that look like names of the wire protocol.
fn literals(source: &str) -> BTreeSet<&str> {
    let is_wire_name = |text: &&str| {
        !text.is_empty()
            && text
                .bytes()
                .all(|b| b.is_ascii_lowercase() || b"_-".contains(&b))
    };
    source
        .split('"')
        .skip(1)
        .step_by(2)
        .filter(is_wire_name)
        .collect()
}

/// Guards against headers, problem kinds and calls that are missing on the page.
#[test]
fn the_page_lists_the_headers_problem_kinds_and_calls_of_the_apis() {
    let caller_api = include_str!("../../adapters/src/caller_api.rs");
    let headers = literals(caller_api);
    let headers = headers
        .iter()
        .filter(|name| name.starts_with("x-") || name.contains("-key"));
    for header in headers {
        assert!(table_rows("## Callers").contains(header), "{header}");
    }
    let problem_source = include_str!("../../adapters/src/problem.rs");
    let kinds: Vec<&str> = literals(problem_source)
        .into_iter()
        .filter(|name| name.contains('_'))
        .collect();
    assert!(kinds.contains(&"not_run"), "{kinds:?}");
    for kind in kinds {
        assert!(table_rows("## Callers").contains(kind), "{kind}");
    }
    let operator_api = include_str!("../../adapters/src/operator_api.rs");
    for endpoint in operator_api.split("#[endpoint { method = ").skip(1) {
        let (method, rest) = endpoint.split_once(',').expect("a method");
        let path = rest.split('"').nth(1).expect("a path");
        let row = format!("| `{method} {path}` |");
        assert!(section("### HTTP calls").contains(&row), "{row}");
    }
    let error_response = operator_api
        .split("fn apply_error_response(")
        .nth(1)
        .expect("the function exists");
    let error_kinds = error_response
        .split("let winner")
        .next()
        .expect("the kinds");
    let kinds = literals(error_kinds);
    assert!(kinds.contains("conflict"), "{kinds:?}");
    for kind in kinds {
        assert!(table_rows("### HTTP calls").contains(kind), "{kind}");
    }
}

/// Guards against metrics of the job service that are missing on the page, and rows for removed metrics.
#[test]
fn the_page_lists_the_metrics_of_the_job_service() {
    let sources = [
        include_str!("../src/jobs/config_sync.rs"),
        include_str!("../src/jobs/frontend.rs"),
        include_str!("../src/jobs/frontend/calls.rs"),
        include_str!("../src/jobs/frontend/refusal.rs"),
        include_str!("../src/jobs/batch.rs"),
        include_str!("../src/jobs/leader/actions.rs"),
        include_str!("../src/jobs/leader/held_jobs.rs"),
        include_str!("../src/jobs/leader/load.rs"),
        include_str!("../src/jobs/leader/share_status.rs"),
        include_str!("../../adapters/src/config_link.rs"),
        include_str!("../src/jobs/leader/workspaces.rs"),
        include_str!("../../adapters/src/metrics_registry.rs"),
        include_str!("../../adapters/src/worker_gateway/router.rs"),
        include_str!("../../adapters/src/worker_gateway/server.rs"),
        include_str!("../../../platform/src/store.rs"),
    ];
    let is_name = |text: &&str| {
        text.bytes()
            .all(|b| b.is_ascii_lowercase() || b"._".contains(&b))
    };
    let texts = sources.iter().flat_map(|source| source.split('"'));
    let names: BTreeSet<&str> = texts.filter(is_name).collect();
    let documented: BTreeSet<String> = table_rows("## Metrics of the job service")
        .into_iter()
        .map(|row| row.trim_start_matches("rosemaryscale_").to_owned())
        .collect();
    let in_code: BTreeSet<String> = names.iter().map(|name| name.replace('.', "_")).collect();
    for name in names.iter().filter(|name| name.contains('.')) {
        assert!(documented.contains(&name.replace('.', "_")), "{name}");
    }
    for name in documented {
        assert!(in_code.contains(&name), "{name}");
    }
}

/// Guards against commands and options that are missing on the page.
#[test]
fn the_page_lists_the_commands_and_options_of_the_tool() {
    let Ok(Command::Help(help)) = cli::parse(["--help".to_owned()]) else {
        panic!("--help prints the help");
    };
    let options: BTreeSet<&str> = help
        .lines()
        .filter_map(|line| line.trim_start().split("--").nth(1)?.split(' ').next())
        .collect();
    let documented: BTreeSet<&str> = table_rows("### Command line")
        .into_iter()
        .map(|row| row.trim_start_matches("--"))
        .collect();
    assert_eq!(documented, options);
    let commands = help
        .split("Commands:")
        .nth(1)
        .and_then(|text| text.split("\n\n").next());
    for line in commands
        .expect("the help lists commands")
        .lines()
        .filter(|line| !line.is_empty())
    {
        let command = line.split_whitespace().next().expect("a command");
        assert!(
            section("### Command line").contains(&format!("`{command}")),
            "{command}"
        );
    }
}
