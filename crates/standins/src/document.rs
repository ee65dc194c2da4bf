//! Configuration documents for tests and benchmarks.

use serde_json::{Map, Value, json};

/// Returns a document with one service `quotes` and three work classes.
#[must_use]
pub fn with_three_classes(slots: u32) -> String {
    build_document(
        &["quotes"],
        service_fields(slots, &three_classes(), "normal"),
    )
}

/// Returns a document with one service `quotes` and one work class, so that all requests share one
/// first-in-first-out queue.
#[must_use]
pub fn with_one_class(slots: u32) -> String {
    let classes = json!({"all": {"weight": 1, "floor_ppm": 0, "queue_limit": 10_000}});
    let mut service = service_fields(slots, &classes, "all");
    service["request_limit_ms"] = json!(15_000);
    build_document(&["quotes"], service)
}

/// Returns a document with the given services, each on a pool of the same name.
#[must_use]
pub fn with_services(names: &[&str]) -> String {
    build_document(names, service_fields(8, &three_classes(), "normal"))
}

fn three_classes() -> Value {
    json!({
        "urgent": {"weight": 4, "floor_ppm": 200_000, "queue_limit": 500},
        "normal": {"weight": 2, "floor_ppm": 300_000, "queue_limit": 500},
        "bulk": {"weight": 1, "floor_ppm": 100_000, "queue_limit": 500},
    })
}

fn build_document(names: &[&str], service_fields: Value) -> String {
    let mut pools = Map::new();
    let mut services = Map::new();
    for name in names {
        pools.insert(
            (*name).into(),
            json!({"min_instances": 0, "max_instances": 200}),
        );
        let mut service = service_fields.clone();
        service["pool"] = json!(name);
        services.insert((*name).into(), service);
    }
    json!({
        "format": 1,
        "environments": {"trial": {"spare_instances": 1}, "production": {"spare_instances": 1}},
        "pools": pools,
        "services": services,
    })
    .to_string()
}

fn service_fields(slots: u32, classes: &Value, default_class: &str) -> Value {
    json!({
        "pool": "",
        "availability_budget_ppm": 1000,
        "slots_per_instance": slots,
        "connections_per_instance": slots * 8,
        "request_limit_ms": 5_000,
        "default_deadline_ms": 5_000,
        "body_limit_bytes": 1_048_576,
        "response_limit_bytes": 1_048_576,
        "queue_limit": 10_000,
        "queue_limit_per_caller": 10_000,
        "retry_budget_ppm": 100_000,
        "classes": classes,
        "default_class": default_class,
        "repeatable": [{"method": "GET", "path_prefix": "/"}],
    })
}
