//! Checks of single values of a document: names and numeric ranges.

use super::{ClassFields, DocumentFields, MaintenanceFields, PoolFields, Problem, ServiceFields};
use crate::name;

/// Permitted range of a numeric field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Field name, relative to its pool, service or class.
    pub field: &'static str,
    /// Smallest value.
    pub min: u64,
    /// Largest value.
    pub max: u64,
}

const fn bound(field: &'static str, min: u64, max: u64) -> Bound {
    Bound { field, min, max }
}

const PPM: u64 = 1_000_000;
/// Work that takes longer than a day should be a job, not a request that holds a connection.
const REQUEST_LIMIT_MAX_MS: u64 = 86_400_000;
const INSTANCES_MAX: u64 = 100_000;
/// Queued requests are held in the memory of an entry instance.
const QUEUE_MAX: u64 = 1_000_000;
/// Bodies are buffered in memory while they are forwarded.
const BODY_MAX_BYTES: u64 = 64 << 20;

/// Bounds of an environment's spare instances.
pub const SPARE_INSTANCES: Bound = bound("spare_instances", 0, INSTANCES_MAX);

/// Bounds of a pool, in the order of [`pool_values`].
pub const POOL: [Bound; 2] = [
    bound("min_instances", 0, INSTANCES_MAX),
    bound("max_instances", 1, INSTANCES_MAX),
];

/// Bounds of a service, in the order of [`service_values`].
pub const SERVICE: [Bound; 10] = [
    bound("availability_budget_ppm", 0, PPM - 1),
    bound("slots_per_instance", 1, 4_096),
    bound("connections_per_instance", 1, 65_535),
    bound("request_limit_ms", 1, REQUEST_LIMIT_MAX_MS),
    bound("default_deadline_ms", 1, REQUEST_LIMIT_MAX_MS),
    bound("body_limit_bytes", 1, BODY_MAX_BYTES),
    bound("response_limit_bytes", 1, BODY_MAX_BYTES),
    bound("queue_limit", 1, QUEUE_MAX),
    bound("queue_limit_per_caller", 1, QUEUE_MAX),
    bound("retry_budget_ppm", 0, PPM),
];

/// Bounds of a work class, in the order of [`class_values`].
pub const CLASS: [Bound; 3] = [
    bound("weight", 1, PPM),
    bound("floor_ppm", 0, PPM),
    bound("queue_limit", 1, QUEUE_MAX),
];

/// Bounds of the maintenance section, in the order of [`maintenance_values`].
pub const MAINTENANCE: [Bound; 9] = [
    bound("period_days", 1, 365),
    bound("parallel_instances", 1, INSTANCES_MAX),
    bound("parallel_per_pool", 1, INSTANCES_MAX),
    bound("window_start_hour", 0, 23),
    bound("window_hours", 1, 24),
    bound("drain_limit_ms", 60_000, REQUEST_LIMIT_MAX_MS),
    bound("return_limit_ms", 60_000, REQUEST_LIMIT_MAX_MS),
    bound("pause_budget_ppm", 1, PPM),
    bound("stop_failures", 1, 100),
];

fn maintenance_values(maintenance: &MaintenanceFields) -> [u64; 9] {
    [
        maintenance.period_days.into(),
        maintenance.parallel_instances.into(),
        maintenance.parallel_per_pool.into(),
        maintenance.window_start_hour.into(),
        maintenance.window_hours.into(),
        maintenance.drain_limit_ms,
        maintenance.return_limit_ms,
        maintenance.pause_budget_ppm.into(),
        maintenance.stop_failures.into(),
    ]
}

fn pool_values(pool: &PoolFields) -> [u64; 2] {
    [pool.min_instances.into(), pool.max_instances.into()]
}

fn service_values(service: &ServiceFields) -> [u64; 10] {
    [
        service.availability_budget_ppm.into(),
        service.slots_per_instance.into(),
        service.connections_per_instance.into(),
        service.request_limit_ms,
        service.default_deadline_ms,
        service.body_limit_bytes,
        service.response_limit_bytes,
        service.queue_limit.into(),
        service.queue_limit_per_caller.into(),
        service.retry_budget_ppm.into(),
    ]
}

fn class_values(class: &ClassFields) -> [u64; 3] {
    [
        class.weight.into(),
        class.floor_ppm.into(),
        class.queue_limit.into(),
    ]
}

/// Returns a problem for each invalid name and each number that is out of bounds.
pub(super) fn problems(fields: &DocumentFields) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_values(
        &mut problems,
        "maintenance",
        &MAINTENANCE,
        &maintenance_values(&fields.maintenance),
    );
    for (name, environment) in &fields.environments {
        let path = check_name(&mut problems, "environments", name);
        let values = [environment.spare_instances.into()];
        check_values(&mut problems, &path, &[SPARE_INSTANCES], &values);
    }
    for (name, pool) in &fields.pools {
        let path = check_name(&mut problems, "pools", name);
        check_values(&mut problems, &path, &POOL, &pool_values(pool));
    }
    for (name, service) in &fields.services {
        let path = check_name(&mut problems, "services", name);
        check_values(&mut problems, &path, &SERVICE, &service_values(service));
        let classes = format!("{path}.classes");
        for (name, class) in &service.classes {
            let path = check_name(&mut problems, &classes, name);
            check_values(&mut problems, &path, &CLASS, &class_values(class));
        }
    }
    problems
}

/// Checks the name of an element and returns the path of that element.
fn check_name(problems: &mut Vec<Problem>, parent: &str, name: &str) -> String {
    let path = format!("{parent}.{name}");
    if let Some(reason) = name::validation_error(name) {
        problems.push(Problem {
            path: path.clone(),
            reason,
            remedy: name::NAME_REMEDY.into(),
        });
    }
    path
}

fn check_values(problems: &mut Vec<Problem>, path: &str, bounds: &[Bound], values: &[u64]) {
    for (bound, value) in bounds.iter().zip(values) {
        let Bound { field, min, max } = *bound;
        if (min..=max).contains(value) {
            continue;
        }
        problems.push(Problem {
            path: format!("{path}.{field}"),
            reason: format!("the value is {value}"),
            remedy: format!("set it between {min} and {max}"),
        });
    }
}
