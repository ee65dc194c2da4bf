//! Invalid documents: each is refused with its path, a reason and a remedy.

#![allow(clippy::panic, reason = "tests panic on failure")]

use rosemaryscale_adapters::document_text::{self, TEXT_MAX_BYTES};
use rosemaryscale_domain::document::Problem;

const DOCUMENT: &str = include_str!("../../../examples/kalahari/document.jsonc");

fn problems(text: &str) -> Vec<Problem> {
    match document_text::parse(text).and_then(|document| document.check()) {
        Ok(_) => Vec::new(),
        Err(problems) => problems,
    }
}

/// The example with one part replaced.
fn example_with(from: &str, to: &str) -> String {
    assert!(DOCUMENT.contains(from), "the example has no {from}");
    DOCUMENT.replacen(from, to, 1)
}

fn assert_refused(text: &str, path: &str, reason: &str) {
    let problems = problems(text);
    let found = problems
        .iter()
        .find(|problem| problem.path.contains(path) && problem.reason.contains(reason));
    let found = found.unwrap_or_else(|| panic!("{path}: {reason} is not in {problems:?}"));
    assert!(!found.remedy.is_empty(), "{found:?}");
}

/// Guards against checks that refuse the example: the other tests each change one part of it.
#[test]
fn the_example_is_accepted() {
    assert_eq!(problems(DOCUMENT), []);
}

/// Guards against syntax errors that are parsed as something else than the author meant.
#[test]
fn malformed_texts_are_refused_with_the_place_of_the_error() {
    assert_refused("", "document", "empty");
    assert_refused(" // only a comment\n", "document", "empty");
    assert_refused("{", "line 1", "");
    assert_refused("{} {}", "line 1", "");
    let missing_comma = example_with("\"slots_per_instance\": 8,", "\"slots_per_instance\": 8");
    assert_refused(&missing_comma, "line ", "comma");
    let hexadecimal = example_with("\"slots_per_instance\": 8,", "\"slots_per_instance\": 0x8,");
    assert_refused(&hexadecimal, "line ", "exadecimal");
    assert_refused("[]", "", "list");
    let list = example_with("{ \"spare_instances\": 1 }", "[1]");
    assert_refused(&list, "environments.trial", "list");
    let list = example_with(
        "{ \"method\": \"GET\", \"path_prefix\": \"/\" }",
        "[\"GET\", \"/\"]",
    );
    assert_refused(&list, "services.quotes.repeatable", "list");
    assert_refused("nul", "line 1", "");
}

/// Guards against a duplicate name whose value silently replaces the first one.
#[test]
fn duplicate_names_are_refused() {
    let twice = example_with(
        "\"slots_per_instance\": 8,",
        "\"slots_per_instance\": 8, \"slots_per_instance\": 9,",
    );
    assert_refused(&twice, "services.quotes.slots_per_instance", "twice");
    let service = example_with(
        "\"dispatch\": {\n      \"pool\"",
        "\"quotes\": {\n      \"pool\"",
    );
    assert_refused(&service, "services.quotes", "twice");
}

/// Guards against texts that exhaust a daemon's stack or memory.
#[test]
fn deep_nesting_and_long_texts_are_refused() {
    for depth in [20, 400, 100_000] {
        let deep = "[".repeat(depth) + &"]".repeat(depth);
        assert!(!problems(&deep).is_empty(), "{depth}");
        let deep = "{\"a\":".repeat(depth) + "1" + &"}".repeat(depth);
        assert!(!problems(&deep).is_empty(), "{depth}");
    }
    let long = format!("{DOCUMENT}//{}", "x".repeat(TEXT_MAX_BYTES));
    assert_refused(&long, "document", "bytes");
}

/// Guards against numbers that are truncated, rounded or wrapped instead of refused.
#[test]
fn numbers_out_of_range_are_refused() {
    for value in [
        "-1",
        "1.5",
        "4294967296",
        "18446744073709551616",
        "99999999999999999999999999999999",
        "\"8\"",
        "null",
        "true",
        "[8]",
    ] {
        let text = example_with(
            "\"slots_per_instance\": 8",
            &format!("\"slots_per_instance\": {value}"),
        );
        assert_refused(&text, "services.quotes.slots_per_instance", "");
    }
    let text = example_with("\"slots_per_instance\": 8", "\"slots_per_instance\": 1e400");
    assert_refused(&text, "line ", "out of range");
    for value in ["0", "86400001"] {
        let text = example_with(
            "\"request_limit_ms\": 15000",
            &format!("\"request_limit_ms\": {value}"),
        );
        assert_refused(&text, "services.quotes.request_limit_ms", "");
    }
    let huge = example_with("\"min_instances\": 6", "\"min_instances\": 4000000000");
    assert_refused(&huge, "pools.quotes.min_instances", "");
}

/// Guards against a misspelt field that has no effect, and a missing field that gets a default.
#[test]
fn unknown_and_missing_fields_are_refused() {
    let misspelt = example_with("\"queue_limit\": 2000", "\"queue_limits\": 2000");
    assert_refused(&misspelt, "services.quotes", "queue_limits");
    let missing = example_with("      \"default_class\": \"normal\",\n", "");
    assert_refused(&missing, "services.quotes", "default_class");
    assert_refused(
        &example_with("\"format\": 1", "\"format\": 2"),
        "format",
        "not known",
    );
}

/// Guards against names that are invalid in keys, URLs or headers.
#[test]
fn names_that_are_invalid_in_keys_urls_or_headers_are_refused() {
    let long = "x".repeat(64);
    for name in [
        "",
        "a/b",
        "a b",
        "Trial",
        "tri\u{e4}l",
        "-a",
        "a-",
        "a\\nb",
        "..",
        "a%2fb",
        &long,
    ] {
        let environment = example_with("\"trial\":", &format!("\"{name}\":"));
        assert_refused(&environment, "environments.", "the name");
        let pool = example_with("\"quotes\": { \"min", &format!("\"{name}\": {{ \"min"));
        assert_refused(&pool, "pools.", "the name");
        let class = example_with("\"urgent\": {", &format!("\"{name}\": {{"));
        assert_refused(&class, "services.quotes.classes.", "the name");
        let service = example_with("\"quotes\": {\n", &format!("\"{name}\": {{\n"));
        assert_refused(&service, "services.", "the name");
    }
}

/// Guards against values that contradict each other.
#[test]
fn values_that_contradict_each_other_are_refused() {
    let pool = example_with("\"pool\": \"dispatch\"", "\"pool\": \"quotes\"");
    assert_refused(&pool, "services.quotes.pool", "already runs");
    let pool = example_with("\"pool\": \"dispatch\"", "\"pool\": \"none\"");
    assert_refused(&pool, "services.dispatch.pool", "does not exist");
    let minimum = example_with("\"min_instances\": 6", "\"min_instances\": 18");
    assert_refused(
        &minimum,
        "pools.quotes.min_instances",
        "above max_instances",
    );
    let deadline = example_with(
        "\"default_deadline_ms\": 5000",
        "\"default_deadline_ms\": 15001",
    );
    assert_refused(
        &deadline,
        "services.quotes.default_deadline_ms",
        "above request_limit_ms",
    );
    let floors = example_with("\"floor_ppm\": 200000", "\"floor_ppm\": 700000");
    assert_refused(&floors, "services.quotes.classes", "add up");
}

/// Guards against maintenance settings that contradict each other or would never allow a drain.
#[test]
fn invalid_maintenance_settings_are_refused() {
    let path = "maintenance.window_hours";
    assert_refused(
        &example_with("\"window_hours\": 8", "\"window_hours\": 0"),
        path,
        "0",
    );
    let path = "maintenance.parallel_per_pool";
    let above = example_with("\"parallel_per_pool\": 1", "\"parallel_per_pool\": 3");
    assert_refused(&above, path, "above");
    let unknown = example_with("\"window_hours\": 8", "\"window_h\": 8");
    assert_refused(&unknown, "maintenance", "unknown field");
}
