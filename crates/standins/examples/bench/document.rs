//! Documents for the measurements.

use serde_json::{Value, json};

/// A document with one service `quotes` and three classes.
pub(crate) fn classes(slots: u32) -> String {
    let classes = json!({
        "urgent": {"weight": 4, "floor_ppm": 200_000, "queue_limit": 500},
        "normal": {"weight": 2, "floor_ppm": 300_000, "queue_limit": 500},
        "bulk": {"weight": 1, "floor_ppm": 100_000, "queue_limit": 500},
    });
    document(slots, &classes, "normal")
}

/// A document with one class, in which every request waits in one first-in-first-out queue.
pub(crate) fn one_queue(slots: u32) -> String {
    let classes = json!({"all": {"weight": 1, "floor_ppm": 0, "queue_limit": 10_000}});
    document(slots, &classes, "all")
}

fn document(slots: u32, classes: &Value, default_class: &str) -> String {
    json!({
        "format": 1,
        "environments": {"trial": {"spare_instances": 1}, "production": {"spare_instances": 1}},
        "pools": {"quotes": {"min_instances": 1, "max_instances": 20}},
        "services": {"quotes": {
            "pool": "quotes",
            "availability_budget_ppm": 1000,
            "slots_per_instance": slots,
            "connections_per_instance": slots * 8,
            "request_limit_ms": 15_000,
            "default_deadline_ms": 5_000,
            "body_limit_bytes": 1_048_576,
            "response_limit_bytes": 1_048_576,
            "queue_limit": 10_000,
            "queue_limit_per_caller": 10_000,
            "retry_budget_ppm": 100_000,
            "classes": classes,
            "default_class": default_class,
            "repeatable": [{"method": "GET", "path_prefix": "/"}],
        }},
    })
    .to_string()
}
