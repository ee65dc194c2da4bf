//! Pacing: spreads maintenance evenly over the period.

use super::InstanceRecord;
use crate::document::MaintenanceFields;
use crate::prelude::*;

const DAY_MS: u64 = 86_400_000;
const HOUR_MS: u64 = 3_600_000;
/// Maintenance is planned to end this fraction (1/8) of the period early, which absorbs pauses of
/// 3.5 days in 28.
const SLACK_DIVISOR: u64 = 8;
/// Limit on the start rate after a pause, as a multiple of the evenly spread rate.
const MAX_CATCH_UP_FACTOR: u64 = 3;

/// Returns for how long in total the daily maintenance window was open up to `at`.
fn open_ms(fields: &MaintenanceFields, at: Millis) -> u64 {
    let shifted = at.as_ms() + DAY_MS - u64::from(fields.window_start_hour) * HOUR_MS;
    let window_ms = u64::from(fields.window_hours) * HOUR_MS;
    shifted / DAY_MS * window_ms + (shifted % DAY_MS).min(window_ms)
}

/// Returns whether `now` is within the daily maintenance window, so that drains may start.
pub(super) fn in_window(fields: &MaintenanceFields, now: Millis) -> bool {
    let shifted = now.as_ms() + DAY_MS - u64::from(fields.window_start_hour) * HOUR_MS;
    shifted % DAY_MS < u64::from(fields.window_hours) * HOUR_MS
}

/// Returns the time by which an instance should be maintained: 1/8 of the period before its end.
pub(super) const fn target(fields: &MaintenanceFields, last: Millis) -> Millis {
    let period_ms = fields.period_ms();
    last.after_ms(period_ms - period_ms / SLACK_DIVISOR)
}

/// Returns whether the instance may be maintained again. Without this bound, the few instances that
/// may be drained would be rebooted far too early while the rest of the fleet is blocked. Instances
/// that were never maintained have no such bound, so that the first period of a new fleet is spread
/// evenly as well.
pub(super) const fn is_repeatable(
    fields: &MaintenanceFields,
    record: &InstanceRecord,
    now: Millis,
) -> bool {
    !record.maintained || now.ms_since(record.last_wall_ms) >= fields.period_ms() / 2
}

/// Returns the time between two starts, counted within the daily windows. `last` holds the times of
/// the last maintenance of the eligible instances, oldest first; including ineligible ones would only
/// shorten the interval for the others. `count` is the number of all instances. The first `k`
/// instances must start before the target of the `k`th, so the interval is the smallest quotient of
/// the remaining time and `k`.
pub(super) fn interval_ms(
    fields: &MaintenanceFields,
    last: &[Millis],
    count: usize,
    now: Millis,
) -> u64 {
    let elapsed_ms = open_ms(fields, now);
    let remaining_ms =
        |last: &Millis| open_ms(fields, target(fields, *last)).saturating_sub(elapsed_ms);
    let intervals = last.iter().zip(1..).map(|(last, k)| remaining_ms(last) / k);
    let window_total_ms = fields.period_ms() * u64::from(fields.window_hours) / 24;
    let count = count.max(1) as u64;
    intervals
        .min()
        .unwrap_or(window_total_ms)
        .max(window_total_ms / count / MAX_CATCH_UP_FACTOR)
}

/// Returns whether the interval has passed since the last start, counted within the daily windows.
pub(super) fn interval_passed(
    fields: &MaintenanceFields,
    started: Option<Millis>,
    interval_ms: u64,
    now: Millis,
) -> bool {
    started.is_none_or(|at| open_ms(fields, now).saturating_sub(open_ms(fields, at)) >= interval_ms)
}
