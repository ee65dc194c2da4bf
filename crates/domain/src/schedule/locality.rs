//! How long a task waits for room in the rack of its data or group instead of starting elsewhere.
//!
//! Load pattern: a few hundred workers in racks of 8 to 12, tasks of 0.1 to 60 s, up to a thousand ends of runs a
//! second, and a few hundred ready steps, of which some name a rack. A placement pass decides for each of their
//! tasks in rank order, at most every 10 ms for a service under load. One decision reads the runs of one rack.
//!
//! A wait pays if the expected time until the rack has room is shorter than the time that is lost by running
//! elsewhere. Nothing is reserved: a task with a higher rank may take the room.

use super::Scheduler;
use super::order::SchedulerEvent;
use super::view::PlacementView;
use crate::placement::Resources;
use crate::prelude::*;

/// Time from the end of a run until its room is given away: a poll and a placement pass.
const MARGIN_MS: u64 = 50;
/// Time constant of the rate at which runs end in a rack; several runs of a short step end in it.
const RATE_WINDOW_MS: f64 = 5_000.0;
/// Ends, after decay, below which the rate of a rack is unknown.
const ENDS_MIN: f64 = 3.0;
/// Interval between log events of waits.
const EVENT_INTERVAL_MS: u64 = 1_000;
/// Factor of the run time elsewhere at which placement doesn't matter, in thousandths.
const FACTOR_NONE_PERMILLE: u64 = 1_000;

/// How long tasks wait for a place near their data or group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementWait {
    /// They never wait; among workers with room the preferred rack comes first.
    #[default]
    Off,
    /// They wait while that is expected to be shorter than the time lost elsewhere.
    Expected {
        /// Run time elsewhere in relation to the run time in the preferred rack, in thousandths.
        remote_factor_permille: u64,
    },
    /// They wait for up to a fixed time, as in delay scheduling. A baseline for comparisons; no setting selects it.
    Fixed {
        /// Longest wait.
        wait_ms: u64,
    },
}

impl PlacementWait {
    /// The wait for a factor of the run time elsewhere; off for factors up to 1.
    #[must_use]
    pub fn from_factor(remote_factor: f64) -> Self {
        let remote_factor_permille = (remote_factor * 1_000.0).round() as u64;
        if remote_factor_permille <= FACTOR_NONE_PERMILLE {
            return Self::Off;
        }
        Self::Expected {
            remote_factor_permille,
        }
    }
}

/// Counts of waits for a place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementWaitCounts {
    /// Waits that have begun.
    pub begun: u64,
    /// Waits after which the task started in the preferred rack.
    pub paid: u64,
    /// Waits after which the task started elsewhere.
    pub expired: u64,
}

/// Whether a task starts outside the preferred rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    StartElsewhere,
    /// It waits for the rack until this time, unless a later pass decides otherwise.
    WaitUntil(Millis),
}

/// What a decision compares.
#[derive(Clone, Copy, Debug)]
pub(super) struct Comparison {
    /// Expected wait for room in the rack; `None` if it is not known.
    pub wait_ms: Option<u64>,
    /// Time lost by running elsewhere.
    pub loss_ms: u64,
    /// Share of the rack that is used by the tasks that prefer it. A task that waits takes room that one of them
    /// would use later, so this share of the loss is only passed on.
    pub load_percent: u64,
    /// Time until the wait itself makes the job miss its objective; `None` if there is no such time.
    pub slack_ms: Option<u64>,
}

/// Decaying sum of the ends of runs in a rack and of the room that they freed.
#[derive(Clone, Copy, Debug, Default)]
struct RackEnds {
    ends: f64,
    processors_milli: f64,
    memory_mb: f64,
    updated_at: Millis,
}

/// Decaying sum of the work of started tasks that prefer a rack, in milliseconds of the whole rack.
#[derive(Clone, Copy, Debug, Default)]
struct RackDemand {
    work_ms: f64,
    updated_at: Millis,
}

impl RackEnds {
    fn add(&mut self, need: Resources, now: Millis) {
        let decay = decay(self.updated_at, now);
        self.ends = self.ends * decay + 1.0;
        self.processors_milli = self.processors_milli * decay + need.processors_milli as f64;
        self.memory_mb = self.memory_mb * decay + need.memory_mb as f64;
        self.updated_at = now;
    }

    /// Mean time until the rack frees room for one more task; `None` if too few runs have ended.
    fn interval_ms(&self, need: Resources, now: Millis) -> Option<f64> {
        let decay = decay(self.updated_at, now);
        if self.ends * decay < ENDS_MIN {
            return None;
        }
        let processors = self.processors_milli / need.processors_milli.max(1) as f64;
        let memory = self.memory_mb / need.memory_mb.max(1) as f64;
        Some(RATE_WINDOW_MS / (processors.min(memory) * decay).max(f64::MIN_POSITIVE))
    }
}

/// A task that waits for a rack.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: Millis,
}

/// Waits for a place near the data or the group of a task.
#[derive(Debug, Default)]
pub(super) struct Locality {
    policy: PlacementWait,
    racks: FastMap<Arc<str>, RackEnds>,
    demand: FastMap<Arc<str>, RackDemand>,
    waits: FastMap<TaskKey, Wait>,
    counts: PlacementWaitCounts,
    /// Tasks that wait for each rack in the current placement pass, by decreasing rank.
    claims: FastMap<Arc<str>, u64>,
    next_event_at: Millis,
}

impl Locality {
    pub(super) fn new(policy: PlacementWait) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    pub(super) fn is_on(&self) -> bool {
        self.policy != PlacementWait::Off
    }

    pub(super) const fn counts(&self) -> PlacementWaitCounts {
        self.counts
    }

    /// Records the end of a run in a rack.
    pub(super) fn record_end(&mut self, rack: Option<&Arc<str>>, need: Resources, now: Millis) {
        if let (true, Some(rack)) = (self.is_on(), rack) {
            let ends = self.racks.entry(Arc::clone(rack)).or_default();
            ends.add(need, now);
        }
    }

    /// Records the start of a task that prefers the rack, wherever it starts.
    fn record_demand(&mut self, rack: &Arc<str>, work_ms: f64, now: Millis) {
        let demand = self.demand.entry(Arc::clone(rack)).or_default();
        demand.work_ms = demand.work_ms * decay(demand.updated_at, now) + work_ms;
        demand.updated_at = now;
    }

    /// Share of the rack that is used by the tasks that prefer it, if all of them start there.
    fn load_percent(&self, rack: &str, now: Millis) -> u64 {
        self.demand.get(rack).map_or(0, |demand| {
            let work_ms = demand.work_ms * decay(demand.updated_at, now);
            (work_ms / RATE_WINDOW_MS * 100.0) as u64
        })
    }

    /// Begins a placement pass. `is_ready` tells whether a task still waits for a worker.
    pub(super) fn begin_pass(&mut self, is_ready: impl Fn(TaskKey) -> bool) {
        self.claims.clear();
        self.waits.retain(|task, _| is_ready(*task));
    }

    /// Number of tasks that wait for the rack in this pass; they get its room first.
    pub(super) fn claims(&self, rack: &str) -> u64 {
        self.claims.get(rack).copied().unwrap_or(0)
    }

    pub(super) fn claim(&mut self, rack: &Arc<str>, tasks: u64) {
        *self.claims.entry(Arc::clone(rack)).or_default() += tasks;
    }

    /// Time lost by a run of this expected duration outside its rack.
    pub(super) const fn loss_ms(&self, expected_run_ms: u64) -> u64 {
        match self.policy {
            PlacementWait::Expected {
                remote_factor_permille,
            } => {
                expected_run_ms
                    .saturating_mul(remote_factor_permille.saturating_sub(FACTOR_NONE_PERMILLE))
                    / 1_000
            }
            PlacementWait::Off | PlacementWait::Fixed { .. } => 0,
        }
    }

    /// Mean time until the rack frees room for one more task, from the ends observed there.
    pub(super) fn freed_interval_ms(
        &self,
        rack: &str,
        need: Resources,
        now: Millis,
    ) -> Option<f64> {
        self.racks.get(rack)?.interval_ms(need, now)
    }

    /// Decides whether the task waits for its rack. The first time of waiting is kept.
    pub(super) fn decide(
        &mut self,
        task: TaskKey,
        comparison: Comparison,
        now: Millis,
    ) -> Decision {
        let since = self.waits.get(&task).map_or(now, |wait| wait.since);
        let waited_ms = now.ms_since(since);
        let limit_ms = match (self.policy, comparison.wait_ms) {
            (PlacementWait::Fixed { wait_ms }, _) if waited_ms < wait_ms => wait_ms - waited_ms,
            (PlacementWait::Expected { .. }, Some(wait_ms)) => {
                let gain_ms =
                    comparison.loss_ms * 100_u64.saturating_sub(comparison.load_percent) / 100;
                let slack_ms = comparison.slack_ms.unwrap_or(u64::MAX);
                // What was waited so far is lost either way; it only bounds the whole wait.
                let left_ms = comparison.loss_ms.saturating_sub(waited_ms).min(slack_ms);
                if wait_ms + MARGIN_MS >= gain_ms.min(slack_ms) || left_ms == 0 {
                    return Decision::StartElsewhere;
                }
                left_ms
            }
            _ => return Decision::StartElsewhere,
        };
        if self.waits.insert(task, Wait { since }).is_none() {
            self.counts.begun += 1;
        }
        Decision::WaitUntil(now.after_ms(limit_ms))
    }

    /// Counts the end of a wait, if the task has waited.
    pub(super) fn started(&mut self, task: TaskKey, in_rack: bool) {
        match self.waits.remove(&task) {
            Some(_) if in_rack => self.counts.paid += 1,
            Some(_) => self.counts.expired += 1,
            None => {}
        }
    }

    /// Whether the log gets an event for a wait that begins now.
    pub(super) fn takes_event(&mut self, now: Millis) -> bool {
        let is_due = self.next_event_at <= now;
        if is_due {
            self.next_event_at = now.after_ms(EVENT_INTERVAL_MS);
        }
        is_due
    }

    pub(super) fn is_waiting(&self, task: TaskKey) -> bool {
        self.waits.contains_key(&task)
    }
}

/// What is left at `now` of a decaying sum of `at`.
fn decay(at: Millis, now: Millis) -> f64 {
    (-(now.ms_since(at) as f64) / RATE_WINDOW_MS).exp()
}

impl Scheduler {
    /// Whether a task waits for its preferred rack although the chosen worker has room.
    pub(super) fn waits_for_rack(
        &mut self,
        key: TaskKey,
        chosen: WorkerKey,
        service: ServiceKey,
        now: Millis,
    ) -> bool {
        if !self.locality.is_on() {
            return false;
        }
        let view = self.view(now);
        let Some((step_key, step)) = self
            .job_table
            .step_key(key)
            .zip(self.job_table.step_of(key))
        else {
            return false;
        };
        let Some(rack) = step.affinity.clone() else {
            return false;
        };
        let in_rack = |worker: WorkerKey| view.workers[worker].rack() == Some(&rack);
        let is_settled = in_rack(chosen)
            || step.long_running
            || self.job_table.advice_of(key).is_some()
            || view.fitting_workers(key, service, &[]).any(in_rack)
            || !view.is_on_critical_path(step_key)
                && view.is_wanted_by_others(service, &rack, step_key);
        let run_ms = PlacementView::expected_run_ms(step);
        let work_ms = view.share_of_rack(service, &rack, step.need()) * run_ms as f64;
        if is_settled {
            let in_rack = in_rack(chosen);
            self.locality.record_demand(&rack, work_ms, now);
            self.locality.started(key, in_rack);
            return false;
        }
        let loss_ms = self.locality.loss_ms(run_ms);
        let ahead = self.locality.claims(&rack);
        let comparison = Comparison {
            wait_ms: view.expected_wait_ms(&self.locality, service, &rack, step, ahead),
            loss_ms,
            load_percent: self.locality.load_percent(&rack, now),
            slack_ms: view.slack_ms(step_key, loss_ms),
        };
        let waits = self.wait_or_start(key, &rack, 1, comparison, now);
        if !waits {
            self.locality.record_demand(&rack, work_ms, now);
        }
        waits
    }

    /// Applies the comparison for a task, or for a gang by its first member.
    pub(super) fn wait_or_start(
        &mut self,
        key: TaskKey,
        rack: &Arc<str>,
        tasks: u64,
        comparison: Comparison,
        now: Millis,
    ) -> bool {
        let has_waited = self.locality.is_waiting(key);
        let Decision::WaitUntil(until) = self.locality.decide(key, comparison, now) else {
            self.locality.started(key, false);
            return false;
        };
        self.locality.claim(rack, tasks);
        if !has_waited
            && self.locality.takes_event(now)
            && let Some(task) = self.job_table.name(key)
        {
            self.events.push(SchedulerEvent::PlacementWaitBegan {
                task,
                rack: Arc::clone(rack),
                expected_ms: comparison.wait_ms,
                loss_ms: comparison.loss_ms,
                load_percent: comparison.load_percent,
                until_ms: until.ms_since(now),
                counts: self.locality.counts(),
            });
        }
        true
    }

    /// Counts of waits for a place in this term.
    #[must_use]
    pub const fn placement_wait_counts(&self) -> PlacementWaitCounts {
        self.locality.counts()
    }
}
