//! Consistency checks between the fields of a document.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{DOCUMENT_FORMAT, DocumentFields, PoolFields, ServiceFields};
use crate::prelude::*;

const PPM: u64 = 1_000_000;
const BODY_LIMIT_MAX_BYTES: u64 = 64 << 20;
const CLASSES_MAX: usize = 16;

/// An error in a document or in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Problem {
    /// Path of the field, such as `services.quotes.pool`.
    pub path: String,
    /// Description of the error.
    pub reason: String,
    /// How to fix it.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.reason, self.remedy)
    }
}

/// Collects the problems below one path.
struct Checker<'a> {
    problems: &'a mut Vec<Problem>,
    prefix: String,
}

impl Checker<'_> {
    fn require(&mut self, holds: bool, field: &str, reason: &str, remedy: &str) {
        if !holds {
            let path = format!("{}{field}", self.prefix);
            self.problems.push(Problem {
                path,
                reason: reason.into(),
                remedy: remedy.into(),
            });
        }
    }
}

/// Returns all consistency problems of a document.
pub(super) fn problems(fields: &DocumentFields) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut root = Checker {
        problems: &mut problems,
        prefix: String::new(),
    };
    root.require(
        fields.format == DOCUMENT_FORMAT,
        "format",
        &format!("format {} is not known", fields.format),
        &format!("set it to {DOCUMENT_FORMAT}"),
    );
    root.require(
        !fields.environments.is_empty(),
        "environments",
        "no environment is defined",
        "add at least one, such as \"trial\"",
    );
    root.require(
        !fields.services.is_empty(),
        "services",
        "no service is defined",
        "add at least one",
    );
    root.require(
        fields.maintenance.parallel_per_pool <= fields.maintenance.parallel_instances,
        "maintenance.parallel_per_pool",
        "the limit of one pool is above the limit of all pools",
        "lower it to parallel_instances or below",
    );
    for (name, pool) in &fields.pools {
        let prefix = format!("pools.{name}.");
        check_pool(
            &mut Checker {
                problems: &mut problems,
                prefix,
            },
            pool,
        );
    }
    for (name, service) in &fields.services {
        let prefix = format!("services.{name}.");
        let mut checker = Checker {
            problems: &mut problems,
            prefix,
        };
        check_service(&mut checker, fields, service);
    }
    check_pool_owners(&mut problems, fields);
    problems
}

fn check_pool(checker: &mut Checker<'_>, pool: &PoolFields) {
    checker.require(
        pool.min_instances <= pool.max_instances,
        "min_instances",
        &format!(
            "{} is above max_instances {}",
            pool.min_instances, pool.max_instances
        ),
        "lower min_instances or raise max_instances",
    );
}

fn check_service(checker: &mut Checker<'_>, fields: &DocumentFields, service: &ServiceFields) {
    checker.require(
        fields.pools.contains_key(&service.pool),
        "pool",
        &format!("pool \"{}\" does not exist", service.pool),
        "use a pool from \"pools\" or add it there",
    );
    checker.require(
        u64::from(service.availability_budget_ppm) < PPM,
        "availability_budget_ppm",
        "the budget must be below 1000000",
        "set the fraction of requests that may fail, such as 1000 for 0.1%",
    );
    let positive = [
        ("slots_per_instance", u64::from(service.slots_per_instance)),
        (
            "connections_per_instance",
            u64::from(service.connections_per_instance),
        ),
        ("request_limit_ms", service.request_limit_ms),
        ("default_deadline_ms", service.default_deadline_ms),
        ("body_limit_bytes", service.body_limit_bytes),
        ("response_limit_bytes", service.response_limit_bytes),
        ("queue_limit", u64::from(service.queue_limit)),
        (
            "queue_limit_per_caller",
            u64::from(service.queue_limit_per_caller),
        ),
    ];
    for (field, value) in positive {
        checker.require(value > 0, field, "the value is 0", "set it to at least 1");
    }
    checker.require(
        service.connections_per_instance >= service.slots_per_instance,
        "connections_per_instance",
        "there are fewer connections than slots, so slots would stay idle",
        "raise it to at least slots_per_instance",
    );
    checker.require(
        service.default_deadline_ms <= service.request_limit_ms,
        "default_deadline_ms",
        "the default is above request_limit_ms",
        "lower it to request_limit_ms or below",
    );
    for (field, value) in [
        ("body_limit_bytes", service.body_limit_bytes),
        ("response_limit_bytes", service.response_limit_bytes),
    ] {
        checker.require(
            value <= BODY_LIMIT_MAX_BYTES,
            field,
            "bodies are buffered in memory while they are forwarded",
            &format!("lower it to {BODY_LIMIT_MAX_BYTES} or below"),
        );
    }
    checker.require(
        u64::from(service.retry_budget_ppm) <= PPM,
        "retry_budget_ppm",
        "the budget is above 1000000, one retry for each first attempt",
        "lower it, such as to 100000",
    );
    check_classes(checker, service);
    for (index, route) in service.repeatable.iter().enumerate() {
        checker.require(
            route.path_prefix.starts_with('/'),
            &format!("repeatable[{index}].path_prefix"),
            "the prefix does not start with a slash",
            "start it with \"/\"",
        );
        checker.require(
            !route.method.is_empty() && route.method.bytes().all(|b| b.is_ascii_uppercase()),
            &format!("repeatable[{index}].method"),
            "the method is not in upper case",
            "write it in upper case, such as \"GET\"",
        );
    }
}

fn check_classes(checker: &mut Checker<'_>, service: &ServiceFields) {
    checker.require(
        !service.classes.is_empty() && service.classes.len() <= CLASSES_MAX,
        "classes",
        "the number of classes is not between 1 and 16",
        "define 1 to 16 work classes",
    );
    checker.require(
        service.classes.contains_key(&service.default_class),
        "default_class",
        &format!("class \"{}\" does not exist", service.default_class),
        "use a class from \"classes\"",
    );
    for (name, class) in &service.classes {
        checker.require(
            class.weight > 0,
            &format!("classes.{name}.weight"),
            "the weight is 0, so the class would never be served under load",
            "set it to at least 1",
        );
        checker.require(
            class.queue_limit > 0,
            &format!("classes.{name}.queue_limit"),
            "the limit is 0, so every request of the class would be refused",
            "set it to at least 1",
        );
    }
    let floors: u64 = service
        .classes
        .values()
        .map(|class| u64::from(class.floor_ppm))
        .sum();
    checker.require(
        floors <= PPM,
        "classes",
        &format!("the floors add up to {floors} ppm, more than all slots"),
        "lower floor_ppm until the sum is at most 1000000",
    );
}

/// Rejects pools that several services use, because these would run on the same instances.
fn check_pool_owners(problems: &mut Vec<Problem>, fields: &DocumentFields) {
    let mut owners: FastMap<&str, &str> = FastMap::default();
    for (name, service) in &fields.services {
        if let Some(other) = owners.insert(&service.pool, name) {
            problems.push(Problem {
                path: format!("services.{name}.pool"),
                reason: format!("pool \"{}\" already runs service \"{other}\"", service.pool),
                remedy: "give each service its own pool".into(),
            });
        }
    }
}
