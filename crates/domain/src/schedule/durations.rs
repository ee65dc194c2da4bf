//! Run times learned from ends.
//!
//! Load pattern: declared run times are wrong by a factor that differs by queue, step and image, and a few
//! tasks of every hundred take several times as long as the rest. For each such class the scheduler keeps a
//! bounded, decaying distribution of the ratio of actual to declared run time, and for each step of a running
//! job the run times of the tasks that have ended, which say most about the remaining tasks. The state lives
//! and ends with the leader.

mod ratios;

use super::Scheduler;
use super::job_table::Job;
use super::order::StepKey;
use super::run::PlacedRun;
use super::view::PlacementView;
use crate::job::StepSpec;
use crate::prelude::*;
use ratios::Ratios;

/// Maximum number of classes; the least recently used one is removed first.
const CLASSES_MAX: usize = 256;
/// Run times kept for a step; their median hardly changes with more.
const SIBLINGS_MAX: usize = 32;
/// Run times of a step from which on they decide instead of the class.
const SIBLINGS_MIN: usize = 3;
/// Steps of a job for which run times are kept, since repeated jobs have a step for each occurrence.
const STEPS_MAX: usize = 32;
/// Weight of the declared run time, in observations.
const DECLARED_WEIGHT: f32 = 8.0;
/// Confidence of a remaining time that follows from reported progress.
const PROGRESS_CONFIDENCE_PERCENT: u32 = 90;
/// Observations of a class from which on its distribution says how long unusually long runs last.
const SHAPE_WEIGHT_MIN: f32 = 16.0;

/// An expected time, and how far it rests on observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Estimate {
    pub ms: u64,
    /// 0 for a declared value; it approaches 100 with the number of observations.
    pub confidence_percent: u32,
}

/// Tasks that are expected to be declared wrongly by the same factor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClassName {
    queue: Arc<str>,
    step: u16,
    image: Arc<str>,
}

impl ClassName {
    fn of(job: &Job, number: u16, step: &StepSpec) -> Self {
        Self {
            queue: Arc::clone(&job.record.queue),
            step: number,
            image: Arc::clone(&step.image),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Class {
    ratios: Ratios,
    used_at: Millis,
}

/// Run times of the tasks of a step that have ended.
#[derive(Clone, Debug)]
struct StepEnds {
    occurrence: u32,
    step: u16,
    /// Sorted.
    run_times_ms: Vec<u64>,
}

/// Distributions by class, and run times by step of the running jobs.
#[derive(Debug, Default)]
pub(super) struct Durations {
    classes: FastMap<ClassName, Class>,
    by_job: SecondaryMap<JobKey, Vec<StepEnds>>,
}

impl Durations {
    /// Records the run time of a task that has completed.
    fn add_end(&mut self, step: StepKey, run_ms: u64) {
        let Some(entry) = self.by_job.entry(step.job) else {
            return;
        };
        let steps = entry.or_default();
        let position = steps
            .iter()
            .position(|ends| (ends.occurrence, ends.step) == (step.occurrence, step.step));
        let index = position.unwrap_or_else(|| {
            if steps.len() >= STEPS_MAX {
                steps.remove(0);
            }
            steps.push(StepEnds {
                occurrence: step.occurrence,
                step: step.step,
                run_times_ms: Vec::new(),
            });
            steps.len() - 1
        });
        let times = &mut steps[index].run_times_ms;
        if times.len() < SIBLINGS_MAX {
            times.insert(times.partition_point(|time| *time < run_ms), run_ms);
        }
    }

    fn class_mut(&mut self, name: ClassName, now: Millis) -> &mut Class {
        if self.classes.len() >= CLASSES_MAX && !self.classes.contains_key(&name) {
            let oldest = self.classes.iter().min_by_key(|(_, class)| class.used_at);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.classes.remove(&oldest);
            }
        }
        let class = self.classes.entry(name).or_default();
        class.used_at = now;
        class
    }

    /// Removes the run times of a job that has ended.
    pub(super) fn remove_job(&mut self, job: JobKey) {
        self.by_job.remove(job);
    }

    /// Median run time of the tasks of a step that have ended, and their number.
    fn sibling_median(&self, step: StepKey) -> Option<(u64, usize)> {
        let ends = self
            .by_job
            .get(step.job)?
            .iter()
            .find(|ends| (ends.occurrence, ends.step) == (step.occurrence, step.step))?;
        let times = &ends.run_times_ms;
        (times.len() >= SIBLINGS_MIN).then(|| (times[times.len() / 2], times.len()))
    }

    fn ratios(&self, job: &Job, number: u16, step: &StepSpec) -> Option<&Ratios> {
        let class = self.classes.get(&ClassName::of(job, number, step))?;
        Some(&class.ratios)
    }

    /// Expected run time of a task of a class, without the ends of its step.
    pub(super) fn class_ms(&self, job: &Job, number: u16, step: &StepSpec) -> Estimate {
        let Some(ratios) = self.ratios(job, number, step) else {
            return Estimate {
                ms: step.estimate_ms,
                confidence_percent: 0,
            };
        };
        blend(step.estimate_ms, ratios.median(), ratios.weight())
    }

    /// Expected mean run time of the tasks of a class, which the tail of its distribution raises.
    pub(super) fn class_mean_ms(&self, job: &Job, number: u16, step: &StepSpec) -> u64 {
        self.ratios(job, number, step)
            .map_or(step.estimate_ms, |ratios| {
                blend(step.estimate_ms, ratios.mean(), ratios.weight()).ms
            })
    }
}

/// Mean of the declared and the learned run time, weighted by the number of observations.
fn blend(declared_ms: u64, ratio: f32, weight: f32) -> Estimate {
    let learned_share = weight / (weight + DECLARED_WEIGHT);
    let factor = learned_share * ratio + (1.0 - learned_share);
    Estimate {
        ms: (declared_ms as f32 * factor) as u64,
        confidence_percent: (learned_share * 100.0) as u32,
    }
}

impl PlacementView<'_> {
    /// Expected run time of a task of the step.
    pub(super) fn expected_run(&self, key: StepKey) -> Option<Estimate> {
        let job = self.job_table.jobs.get(key.job)?;
        if let Some((median_ms, count)) = self.durations.sibling_median(key) {
            return Some(Estimate {
                ms: median_ms,
                confidence_percent: u32::try_from(100 * count / (count + 1)).unwrap_or(100),
            });
        }
        Some(self.durations.class_ms(job, key.step, job.step(key.step)?))
    }

    /// Expected time from the start of a step to the end of its job.
    pub(super) fn remaining_path_ms(&self, key: StepKey, job: &Job) -> u64 {
        if !self.uneven_work.learned_durations {
            let declared = job.remaining_paths_ms.get(usize::from(key.step));
            return declared.copied().unwrap_or(0);
        }
        let expected_ms = |number: u16, step: &StepSpec| {
            let key = StepKey {
                step: number,
                ..key
            };
            self.expected_run(key)
                .map_or(step.estimate_ms, |expected| expected.ms)
        };
        let paths = job.record.spec.remaining_paths_with(expected_ms);
        paths.get(usize::from(key.step)).copied().unwrap_or(0)
    }

    /// Expected time until a confirmed run ends, given that it has lasted until now.
    pub(super) fn remaining(&self, key: RunKey) -> Option<Estimate> {
        let run = self.runs.get(key)?;
        let age_ms = self.now.ms_since(run.confirmed_since()?);
        if let Some(ms) = remaining_by_progress(run, self.now) {
            return Some(Estimate {
                ms,
                confidence_percent: PROGRESS_CONFIDENCE_PERCENT,
            });
        }
        let step_key = self.job_table.step_key(run.info().task)?;
        let job = self.job_table.jobs.get(step_key.job)?;
        let expected = self.expected_run(step_key)?;
        let ratios = self
            .durations
            .ratios(job, step_key.step, job.step(step_key.step)?)
            .filter(|ratios| ratios.weight() >= SHAPE_WEIGHT_MIN);
        let ms = match ratios {
            // The distribution of the class, centred at the expected run time.
            Some(ratios) => {
                let unit_ms = expected.ms.max(1) as f32 / ratios.median();
                ratios
                    .mean_excess(age_ms as f32 / unit_ms)
                    .map_or(age_ms, |excess| (excess * unit_ms) as u64)
            }
            // Longer than anything seen: it may last as long again.
            None if age_ms >= 2 * expected.ms => age_ms,
            None => expected.ms.saturating_sub(age_ms),
        };
        Some(Estimate { ms, ..expected })
    }
}

/// Remaining time by the rate at which the reported progress has changed.
fn remaining_by_progress(run: &PlacedRun, now: Millis) -> Option<u64> {
    let progress = run.progress;
    let (first_percent, first_at) = progress.first?;
    let gained = progress
        .percent
        .checked_sub(first_percent)
        .filter(|gained| *gained > 0)?;
    let left = 100_u32.checked_sub(progress.percent)?;
    let took_ms = progress.percent_changed_at.ms_since(first_at);
    let left_ms = took_ms * u64::from(left) / u64::from(gained);
    Some(left_ms.saturating_sub(now.ms_since(progress.percent_changed_at)))
}

impl Scheduler {
    const fn learns_durations(&self) -> bool {
        let uneven_work = &self.settings.uneven_work;
        uneven_work.learned_durations
            || uneven_work.learned_speed
            || uneven_work.copy_budget_percent > 0
    }

    /// Learns from the end of a run that completed its task.
    pub(super) fn learn_end(&mut self, key: RunKey, now: Millis) {
        let Some((step, run_ms)) = self.learnable(key, now) else {
            return;
        };
        self.compare_speed(key, step, run_ms, now);
        self.durations.add_end(step, run_ms);
        self.add_ratio(step, run_ms, Ratios::add, now);
    }

    /// Learns from a run that is stopped before its end: it would have lasted longer.
    pub(super) fn learn_unfinished(&mut self, key: RunKey, now: Millis) {
        if let Some((step, run_ms)) = self.learnable(key, now) {
            self.add_ratio(step, run_ms, Ratios::add_censored, now);
        }
    }

    fn add_ratio(&mut self, key: StepKey, run_ms: u64, add: fn(&mut Ratios, f32), now: Millis) {
        let Some(job) = self.job_table.jobs.get(key.job) else {
            return;
        };
        let Some(step) = job.step(key.step).filter(|step| step.estimate_ms > 0) else {
            return;
        };
        let ratio = run_ms as f32 / step.estimate_ms as f32;
        let class = self
            .durations
            .class_mut(ClassName::of(job, key.step, step), now);
        add(&mut class.ratios, ratio);
    }

    /// Step and age of a confirmed run whose whole run time is known.
    fn learnable(&self, key: RunKey, now: Millis) -> Option<(StepKey, u64)> {
        if !self.learns_durations() {
            return None;
        }
        let run = self.runs.get(key)?;
        let since = run.confirmed_since()?;
        let info = run.info();
        let step = self.job_table.step_of(info.task)?;
        let task = self.job_table.tasks.get(info.task)?;
        let is_adopted = run.start_attempts == 0;
        // A run from a checkpoint does only the rest of the work.
        let is_resumed = step.checkpointing && !task.checkpoint.is_empty();
        if is_adopted || is_resumed || step.long_running || step.fills {
            return None;
        }
        Some((self.job_table.step_key(info.task)?, now.ms_since(since)))
    }
}
