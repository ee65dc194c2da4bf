//! When the next instance is due, so that the work spreads evenly over the period.

use super::InstanceRecord;
use crate::document::MaintenanceFields;
use crate::prelude::*;

const DAY_MS: u64 = 86_400_000;
const HOUR_MS: u64 = 3_600_000;
/// The plan ends this part of the period early, which absorbs pauses of 3.5 days in 28.
const SLACK_PART: u64 = 8;
/// After a pause, instances follow each other at most this many times as fast as when evenly spread.
const CATCH_UP: u64 = 3;

/// Time within the daily windows up to `at`.
fn work_ms(fields: &MaintenanceFields, at: Millis) -> u64 {
    let shifted = at.as_ms() + DAY_MS - u64::from(fields.window_start_hour) * HOUR_MS;
    let window_ms = u64::from(fields.window_hours) * HOUR_MS;
    shifted / DAY_MS * window_ms + (shifted % DAY_MS).min(window_ms)
}

/// Whether drains may begin now.
pub(super) fn in_window(fields: &MaintenanceFields, now: Millis) -> bool {
    let shifted = now.as_ms() + DAY_MS - u64::from(fields.window_start_hour) * HOUR_MS;
    shifted % DAY_MS < u64::from(fields.window_hours) * HOUR_MS
}

/// Time by which an instance is to be maintained: somewhat before the period ends.
pub(super) const fn target(fields: &MaintenanceFields, last: Millis) -> Millis {
    let period_ms = fields.period_ms();
    last.after_ms(period_ms - period_ms / SLACK_PART)
}

/// Whether the instance may be maintained again. Without a bound, a few instances that are free to
/// go would be rebooted far too early while the others of the fleet are blocked. A new fleet has no
/// such bound, so that its first period is spread as well.
pub(super) const fn is_ripe(
    fields: &MaintenanceFields,
    record: &InstanceRecord,
    now: Millis,
) -> bool {
    !record.maintained || now.ms_since(record.last_wall_ms) >= fields.period_ms() / 2
}

/// Time within the windows between two starts. `last` holds the last maintenance of the instances
/// that may start, oldest first; instances that may not would only hurry the others. `count` is the
/// number of all instances. The first `k` instances must start before the target of the `k`th, so the interval
/// is the smallest share that any of these leaves.
pub(super) fn interval_ms(
    fields: &MaintenanceFields,
    last: &[Millis],
    count: usize,
    now: Millis,
) -> u64 {
    let worked = work_ms(fields, now);
    let left = |last: &Millis| work_ms(fields, target(fields, *last)).saturating_sub(worked);
    let shares = last.iter().zip(1..).map(|(last, k)| left(last) / k);
    let even_ms = fields.period_ms() * u64::from(fields.window_hours) / 24;
    let count = count.max(1) as u64;
    shares
        .min()
        .unwrap_or(even_ms)
        .max(even_ms / count / CATCH_UP)
}

/// Whether the interval has passed since the last start.
pub(super) fn may_start(
    fields: &MaintenanceFields,
    started: Option<Millis>,
    interval_ms: u64,
    now: Millis,
) -> bool {
    started.is_none_or(|at| work_ms(fields, now).saturating_sub(work_ms(fields, at)) >= interval_ms)
}
