//! Speed of instances, learned from the run times of similar work.
//!
//! Load pattern: some instances are slow for a while or for good, so that every task on them takes longer, but
//! none fails. Quarantine ([`super::worker`]) answers failures; this module answers slow ends. Estimates belong
//! to instances, not to workers, since a restart does not make an instance faster. A slow one is the last
//! choice. It is tried again with one run at a time, since only ends show that it has recovered.

use super::Scheduler;
use super::order::StepKey;
use super::view::PlacementView;
use super::worker::Worker;
use crate::prelude::*;

/// Maximum number of instances; the one seen longest ago is removed first.
const INSTANCES_MAX: usize = 4_096;
/// Share of the newest end in the estimate.
const NEWEST_SHARE: f32 = 0.125;
/// Bound of the logarithm of a ratio, a factor of 2: a single task that takes far longer says little about
/// its instance.
const LOG_RATIO_MAX: f32 = 1.0;
/// Logarithm of the ratio above which an instance is slow, a factor of 1.3. Run times of the tasks of a step
/// differ by as much, but the estimate is a mean of several ends.
const SLOW_LOG_RATIO: f32 = 0.38;
/// Logarithm of the ratio below which an end is a normal one.
const NORMAL_LOG_RATIO: f32 = 0.2;
/// Ends of an instance before it may count as slow or quick.
const ENDS_MIN: u32 = 6;
/// Time after the last end after which a slow instance without runs is tried again.
const RETRY_DELAY_MS: u64 = 5_000;
/// Confidence of an expected run time below which an end says nothing about its instance.
const CONFIDENCE_MIN_PERCENT: u32 = 50;
/// Unfinished tasks of a step up to which they are its last ones.
const LAST_TASKS_MAX: u64 = 2;

/// Order in which workers are chosen by speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SpeedClass {
    /// Quicker than others; distinguished only for the last tasks of a step.
    Quick,
    /// As quick as others, not known, or to be tried again.
    Normal,
    /// Slower than others.
    Slow,
}

/// Mean logarithm of the ratio of actual to expected run time on an instance.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    log_ratio: f32,
    ends: u32,
    seen_at: Millis,
}

/// Speeds by the name of the instance.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    by_instance: FastMap<Arc<str>, Speed>,
}

impl Speeds {
    fn add(&mut self, instance: &Arc<str>, log_ratio: f32, now: Millis) {
        if self.by_instance.len() >= INSTANCES_MAX && !self.by_instance.contains_key(instance) {
            let oldest = self
                .by_instance
                .iter()
                .min_by_key(|(_, speed)| speed.seen_at);
            if let Some(oldest) = oldest.map(|(name, _)| Arc::clone(name)) {
                self.by_instance.remove(&oldest);
            }
        }
        let speed = self.by_instance.entry(Arc::clone(instance)).or_default();
        let was_slow = speed.class() == SpeedClass::Slow;
        let log_ratio = log_ratio.clamp(-LOG_RATIO_MAX, LOG_RATIO_MAX);
        speed.log_ratio += (log_ratio - speed.log_ratio) * NEWEST_SHARE;
        if was_slow && log_ratio <= NORMAL_LOG_RATIO {
            // Normal ends are rare evidence while the instance gets one run at a time.
            speed.log_ratio /= 2.0;
        }
        speed.ends = speed.ends.saturating_add(1);
        speed.seen_at = now;
    }
}

impl Speed {
    fn class(&self) -> SpeedClass {
        if self.ends < ENDS_MIN || self.log_ratio.abs() <= SLOW_LOG_RATIO {
            SpeedClass::Normal
        } else if self.log_ratio > 0.0 {
            SpeedClass::Slow
        } else {
            SpeedClass::Quick
        }
    }
}

/// Name under which the speed of a worker is kept: its instance, or its id if the platform reports none.
fn instance_of(worker: &Worker) -> &Arc<str> {
    let report = &worker.report;
    if report.instance.is_empty() {
        &report.id
    } else {
        &report.instance
    }
}

impl PlacementView<'_> {
    /// Speed class of a worker for a task of the step; always normal unless speeds are learned.
    pub(super) fn speed_class(&self, worker: &Worker, step: StepKey) -> SpeedClass {
        if !self.uneven_work.learned_speed {
            return SpeedClass::Normal;
        }
        let Some(speed) = self.speeds.by_instance.get(instance_of(worker)) else {
            return SpeedClass::Normal;
        };
        match speed.class() {
            SpeedClass::Slow
                if worker.runs().is_empty()
                    && self.now.ms_since(speed.seen_at) >= RETRY_DELAY_MS
                    && !self.is_last_of_step(step) =>
            {
                SpeedClass::Normal
            }
            SpeedClass::Quick if !self.is_last_of_step(step) => SpeedClass::Normal,
            class => class,
        }
    }

    fn is_last_of_step(&self, step: StepKey) -> bool {
        let job = self.job_table.jobs.get(step.job);
        let unfinished = job.and_then(|job| job.unfinished_by_step.get(usize::from(step.step)));
        unfinished.is_some_and(|unfinished| *unfinished <= LAST_TASKS_MAX)
    }
}

impl Scheduler {
    /// Compares the run time of a task that has completed with the expected one.
    pub(super) fn compare_speed(&mut self, run: RunKey, step: StepKey, run_ms: u64, now: Millis) {
        let expected = self.view(now).expected_run(step);
        let Some(expected) = expected.filter(|expected| {
            expected.confidence_percent >= CONFIDENCE_MIN_PERCENT && expected.ms > 0
        }) else {
            return;
        };
        let worker = self.runs.get(run).map(|run| run.info().worker);
        if let Some(worker) = worker.and_then(|worker| self.workers.get(worker)) {
            let ratio = run_ms.max(1) as f32 / expected.ms as f32;
            self.speeds.add(instance_of(worker), ratio.log2(), now);
        }
    }
}
