//! Job scheduling: assigns tasks to workers and recovers the runs of a previous scheduler.
//!
//! The scheduler runs in one daemon, the leader: the daemon that holds the scheduler key is the
//! leader. It polls the workers, renews their leases, starts and stops runs, and determines what
//! must be stored before the end of a run is acknowledged.

mod advice;
mod arrivals;
mod backlog;
mod checkpoints;
mod choice;
mod configuration;
mod copies;
mod crashes;
mod cut_ends;
mod durations;
mod ends;
mod entry;
pub mod failure;
mod fleet;
mod gang;
mod held_job;
mod hold;
mod job_table;
mod late_polls;
mod late_starts;
mod load;
pub mod locality;
mod lost_workers;
mod observe;
pub mod order;
mod pace;
mod persist;
mod place;
pub mod pressure;
mod quarantine;
mod quota;
mod rack_room;
mod rank;
mod rate;
mod ready;
mod recovery;
mod retention;
mod room_index;
pub mod room_times;
mod roster;
mod run;
mod run_table;
mod runs;
mod settings;
mod share;
pub mod share_status;
mod speed;
mod start;
pub mod status;
pub mod stop_reason;
mod unknown_runs;
mod unreadable_rows;
mod view;
mod worker;
mod workspace_table;

use crate::job::{JOB_TASKS_MAX, JobProgress, JobRecord, JobState, QueuePolicy};
use crate::placement::Resources;
use crate::prelude::*;
use crate::workspace::Caller;
use advice::Advice;
use arrivals::Arrivals;
use copies::Copies;
use durations::Durations;
use fleet::Fleet;
pub use fleet::{InstanceOrderRecord, WaveRecord};
use job_table::{JobOwner, JobTable, TaskStatus};
use late_polls::LatePolls;
use late_starts::LateStarts;
use load::LoadForecast;
use locality::Locality;
use order::{Action, SchedulerEvent};
use persist::BatchQueue;
pub use persist::{Batch, JobWrite, RecordedWorker};
pub use place::PlacementEffort;
use quota::UnseenUse;
pub use quota::WorkspaceUse;
use ready::ReadyQueue;
use recovery::Recovery;
use retention::Retention;
use run_table::RunTable;
pub use settings::{ScheduleSettings, UnevenWork};
use share::Shares;
use speed::Speeds;
use status::Exclusion;
use stop_reason::StopReason;
use worker::Worker;
use workspace_table::WorkspaceTable;

/// Run numbers reserved for each term of a leader; far more than a task needs in a day.
const RUN_NUMBERS_PER_TERM: u32 = 1_000;
/// Safety margin added to a lease, for a worker whose clock runs slow.
const LEASE_MARGIN_MS: u64 = 500;
/// Amount by which the clock of a worker may be slow, in percent.
const CLOCK_DRIFT_PERCENT: u64 = 2;
/// Age of a reading of a worker's clock after which another one is asked for. Until then the estimate of a clock that
/// is slow may be too low by 400 ms, which shortens a lease.
const CLOCK_READING_AGE_MAX_MS: u64 = 20_000;
/// Time for which an order without an answer may still be carried out. The platform says only that this may be
/// seconds.
const LATE_ORDER_MS: u64 = 12_500;
/// Delay before an unresponsive worker is polled again.
const UNRESPONSIVE_POLL_INTERVAL_MS: u64 = 250;
/// Delay between polls of a worker, so that one poll reports several ends.
const POLL_INTERVAL_MS: u64 = 25;
/// Delay before the next poll of a worker that has ends still to be stored.
const UNWRITTEN_ENDS_POLL_INTERVAL_MS: u64 = 250;
/// Delay before an idle worker is polled only to acknowledge its ends.
const ACK_DELAY_MS: u64 = 500;
/// Delay before an unanswered stop is sent again.
const STOP_RESEND_DELAY_MS: u64 = 300;
/// Delay before a long-running task is restarted, unless its workers have crashed one after the other.
const RESTART_DELAY_MS: u64 = 50;
/// Interval between passes over all workers and runs. An event arrives up to a thousand times a second
/// in a large fleet, and these passes read the state of every worker.
const CHECK_INTERVAL_MS: u64 = 5;
/// Tasks of a repeated job that are created at once. A schedule that begins long ago has a backlog of
/// occurrences, and all other work waits while their tasks are created.
const TASKS_CREATED_PER_CHECK: usize = 200;
/// Batching delay of changes that nothing waits for, such as the first start of a job.
const LOW_PRIORITY_BATCH_DELAY_MS: u64 = 400;
/// Batching delay of run ends that do not end a job.
const RUN_END_BATCH_DELAY_MS: u64 = 60;
/// Batching delay of changes that end a job.
const JOB_END_BATCH_DELAY_MS: u64 = 15;

/// Whether a job was accepted before or during the term of this leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// Before the term: a former leader may know the job and may still start its tasks.
    BeforeTerm,
    /// During the term: no former leader starts its tasks.
    InTerm,
}

/// State that the former leader stored for its successor.
#[derive(Clone, Debug, Default)]
pub struct FormerTerm {
    /// Workers that may have runs.
    pub workers: Vec<RecordedWorker>,
    /// Whether other workers may have runs, too, because the record of the workers could not be read.
    pub unknown_workers: bool,
    /// Queues that have been routed to more than one service.
    pub rerouted: Vec<Arc<str>>,
    /// Orders to instances that may still be carried out.
    pub instance_orders: Vec<InstanceOrderRecord>,
    /// Whether the former leader has stored all that it knew and then sent no more orders.
    pub released: bool,
    /// Time for which a gateway may still carry out an order of the former leader.
    pub order_age_max_ms: u64,
}

/// A job read from the store by a new leader.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// The job's id.
    pub id: Arc<str>,
    /// The job as accepted.
    pub record: JobRecord,
    /// Stored progress, if any.
    pub progress: Option<JobProgress>,
    /// Whether the stored progress cannot be decoded, so that only the state in `progress` is known.
    pub is_progress_unreadable: bool,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether it was accepted before or during this term.
    pub acceptance: Acceptance,
}

/// Resource usage of a service's pool.
#[derive(Clone, Debug)]
pub struct PoolUse {
    /// The service.
    pub service: Arc<str>,
    /// Listed workers that have answered this leader.
    pub workers: usize,
    /// Total capacity of these workers.
    pub capacity: Resources,
    /// Capacity reserved by runs.
    pub used: Resources,
    /// Ready tasks that wait for a worker.
    pub tasks_waiting: usize,
    /// Workers that take no work, by reason.
    pub excluded: Vec<(Exclusion, usize)>,
}

/// A service, its workers, its ready tasks and its recent load.
#[derive(Debug)]
struct Service {
    name: Arc<str>,
    workers: Vec<WorkerKey>,
    load: LoadForecast,
    arrivals: Arrivals,
    ready: ReadyQueue,
    /// Whether tasks or room have been added since the last placement pass.
    placement_due: bool,
    /// Earliest time of the next placement pass.
    next_placement_at: Millis,
}

/// Schedules the tasks of all jobs on all workers. It performs no I/O: [`Scheduler::advance`]
/// returns the orders to send, and the results come back through its methods.
#[derive(Debug)]
pub struct Scheduler {
    settings: ScheduleSettings,
    job_table: JobTable,
    retention: Retention,
    runs: RunTable,
    late_polls: LatePolls,
    late_starts: LateStarts,
    durations: Durations,
    speeds: Speeds,
    copies: Copies,
    workers: SlotMap<WorkerKey, Worker>,
    workers_by_id: FastMap<Arc<str>, WorkerKey>,
    /// Workers by the name of the instance that they report.
    workers_by_instance: FastMap<Arc<str>, Vec<WorkerKey>>,
    services: SlotMap<ServiceKey, Service>,
    services_by_name: FastMap<Arc<str>, ServiceKey>,
    workspaces: WorkspaceTable,
    shares: Shares,
    unseen_use: UnseenUse,
    fleet: Fleet,
    advice: Advice,
    locality: Locality,
    placement_effort: PlacementEffort,
    recovery: Option<Recovery>,
    rerouted: FastSet<Arc<str>>,
    /// Policies in force, by queue.
    policies: FastMap<Arc<str>, QueuePolicy>,
    /// Polls wait for a shorter time until then, because answers were lost.
    short_polls_until: Millis,
    /// Whether another daemon may have become the leader.
    leadership_unconfirmed: bool,
    /// Runs are not stopped for maintenance or moves before this time.
    interruptions_allowed_from: Millis,
    repeated: Vec<JobKey>,
    /// Tasks that are to be given up, since too many workers have crashed under them.
    crashing_tasks: Vec<TaskKey>,
    /// When the workers, unanswered stops and repeated jobs are next checked.
    next_check_at: Millis,
    /// When all services with ready tasks are next due for a placement pass.
    next_full_placement_at: Millis,
    actions: Vec<Action>,
    events: Vec<SchedulerEvent>,
    batches: BatchQueue,
    fenced: bool,
}

impl Scheduler {
    /// Creates a scheduler that waits for the workers of the former leader.
    #[must_use]
    pub fn new(settings: ScheduleSettings, mut former: FormerTerm, now: Millis) -> Self {
        let mut scheduler = Self {
            settings,
            job_table: JobTable::default(),
            retention: Retention::default(),
            runs: RunTable::default(),
            late_polls: LatePolls::default(),
            late_starts: LateStarts::default(),
            durations: Durations::default(),
            speeds: Speeds::default(),
            copies: Copies::default(),
            workers: SlotMap::with_key(),
            workers_by_id: FastMap::default(),
            workers_by_instance: FastMap::default(),
            services: SlotMap::with_key(),
            services_by_name: FastMap::default(),
            workspaces: WorkspaceTable::default(),
            shares: Shares::default(),
            unseen_use: UnseenUse::default(),
            fleet: Fleet::default(),
            advice: Advice::default(),
            locality: Locality::new(settings.placement_wait),
            placement_effort: PlacementEffort::default(),
            recovery: None,
            rerouted: former.rerouted.iter().cloned().collect(),
            policies: FastMap::default(),
            short_polls_until: Millis::ZERO,
            leadership_unconfirmed: false,
            interruptions_allowed_from: Millis::ZERO,
            repeated: Vec::new(),
            crashing_tasks: Vec::new(),
            next_check_at: now,
            next_full_placement_at: now,
            actions: Vec::new(),
            events: Vec::new(),
            batches: BatchQueue::new(now),
            fenced: false,
        };
        let instance_orders = std::mem::take(&mut former.instance_orders);
        scheduler.inherit_instance_orders(instance_orders, now);
        scheduler.begin_recovery(former, now);
        scheduler
    }

    /// Adds a job that was read from the store at the start of the term.
    pub fn restore(&mut self, stored: StoredJob, now: Millis, wall: Millis) {
        let received = job_table::received_at(&stored.record, now, wall);
        let owner = self.owner_of(&stored.record);
        let Some(key) =
            self.job_table
                .add(stored.id, stored.record, owner, received, stored.acceptance)
        else {
            return;
        };
        self.check_rate(key, now, wall);
        if stored.is_progress_unreadable {
            self.hold_job(key);
        }
        let restored =
            stored.acceptance == Acceptance::BeforeTerm || self.job_table.jobs[key].is_held;
        let unseen_ms = self.settings.leader_grace_ms + self.settings.longest_lease_ms();
        let is_final = stored.progress.as_ref().is_some_and(|p| p.state.is_final());
        if !is_final && !stored.cancelled && self.end_refused_job(key, now, wall) {
            return;
        }
        if !is_final
            && self.job_table.jobs[key].refusal.is_none()
            && self.job_table.jobs[key].record.spec.repeat.is_none()
        {
            self.job_table.create_occurrence(key, restored);
            self.queue_ready(key);
        }
        if let Some(progress) = stored.progress {
            self.job_table.restore(key, &progress);
            if wall.ms_since(Millis::from_ms(progress.ended_wall_ms)) <= unseen_ms {
                self.record_ended_job(key);
            }
        }
        let job = &self.job_table.jobs[key];
        if job.record.spec.repeat.is_some() && !job.is_held {
            self.repeated.push(key);
        }
        if stored.cancelled {
            self.finish_job(key, JobState::Cancelled, now, wall);
        }
    }

    /// Adds a newly accepted job. A job that has ended and was removed is not added again.
    pub fn submit(
        &mut self,
        id: Arc<str>,
        record: JobRecord,
        acceptance: Acceptance,
        now: Millis,
        wall: Millis,
    ) {
        if self.retention.was_removed(&id) {
            return;
        }
        let received = job_table::received_at(&record, now, wall);
        let repeated = record.spec.repeat.is_some();
        let owner = self.owner_of(&record);
        let Some(key) = self
            .job_table
            .add(Arc::clone(&id), record, owner, received, acceptance)
        else {
            return;
        };
        self.apply_policy(key);
        self.check_rate(key, now, wall);
        let cancelled_by = self.retention.claim_cancellation(&id);
        let record = &self.job_table.jobs[key].record;
        if cancelled_by
            .iter()
            .any(|caller| caller.may_access_job(record))
        {
            self.finish_job(key, JobState::Cancelled, now, wall);
            return;
        }
        if self.end_refused_job(key, now, wall) {
            return;
        }
        if repeated {
            self.repeated.push(key);
            return;
        }
        self.record_arrival(key, now);
        let listed = self.has_unknown_runs(&id) || self.has_unknown_ends(&id);
        let unaccounted = self.recovery.is_some() && acceptance == Acceptance::BeforeTerm;
        self.job_table.create_occurrence(key, unaccounted || listed);
        if listed {
            self.adopt_unknown_runs(&id, now);
            self.apply_unknown_ends(&id, now, wall);
        }
        if unaccounted {
            self.recheck_recovery();
        } else if listed {
            self.release_job(key);
        }
        self.queue_ready(key);
    }

    fn owner_of(&mut self, record: &JobRecord) -> JobOwner {
        JobOwner {
            service: self.service_key(&record.policy.service),
            workspace: self.workspaces.key_of(record),
        }
    }

    /// Cancels a job, also one that becomes known later, unless the caller may not access it.
    pub fn cancel(&mut self, id: &str, caller: &Caller, now: Millis, wall: Millis) {
        match self.job_table.jobs_by_id.get(id).copied() {
            Some(key) if caller.may_access_job(&self.job_table.jobs[key].record) => {
                self.finish_job(key, JobState::Cancelled, now, wall);
            }
            Some(_) => {}
            None => self.retention.cancel_early(id, caller, now),
        }
    }

    /// Requests a placement pass for a service.
    pub(super) fn request_placement(&mut self, service: ServiceKey) {
        if let Some(service) = self.services.get_mut(service) {
            service.placement_due = true;
        }
    }

    /// Requests a placement pass for every service.
    pub(super) fn request_full_placement(&mut self) {
        for service in self.services.values_mut() {
            service.placement_due = true;
        }
    }

    /// Sets whether the scheduler key may have passed to another daemon, as far as this one knows.
    pub fn set_leadership_unconfirmed(&mut self, leadership_unconfirmed: bool) {
        if self.leadership_unconfirmed && !leadership_unconfirmed {
            self.request_full_placement();
        }
        self.leadership_unconfirmed = leadership_unconfirmed;
    }

    /// Whether a worker has refused an order because it has seen a higher fencing token.
    #[must_use]
    pub const fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the events since the last call, for the log.
    pub fn take_events(&mut self) -> Vec<SchedulerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Runs all work that is due and returns the actions to carry out.
    pub fn advance(&mut self, now: Millis, wall: Millis) -> Vec<Action> {
        self.check_recovery(now);
        self.give_up_crashing_tasks(now, wall);
        let check_due = self.next_check_at <= now;
        if check_due {
            self.next_check_at = now.after_ms(CHECK_INTERVAL_MS);
            self.create_due_occurrences(wall);
            self.check_workers(now);
            self.resend_stops(now);
        }
        self.place_ready_tasks(now);
        self.start_copies(now);
        self.advance_fleet(now);
        if check_due {
            self.poll_workers(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Creates the occurrences that are due, a backlog of them in portions.
    fn create_due_occurrences(&mut self, wall: Millis) {
        let mut repeated = std::mem::take(&mut self.repeated);
        repeated.retain(|key| {
            let mut created_tasks = 0;
            while let Some(job) = self.job_table.jobs.get(*key)
                && let Some(due) = job.next_due_wall_ms()
            {
                if due > wall.as_ms()
                    || created_tasks >= TASKS_CREATED_PER_CHECK
                    || job.unfinished_tasks as u64 >= JOB_TASKS_MAX
                {
                    return true;
                }
                let restored = self.recovery.is_some();
                self.job_table.create_occurrence(*key, restored);
                self.recheck_recovery();
                let tasks = self.job_table.newest_tasks(*key);
                created_tasks += tasks.len();
                for task in tasks {
                    if self.job_table.is_ready(task) {
                        self.push_ready(task);
                    }
                }
            }
            false
        });
        self.repeated = repeated;
    }

    /// Ends a job that is beyond the limits before any of its tasks exist. Returns whether it is.
    fn end_refused_job(&mut self, key: JobKey, now: Millis, wall: Millis) -> bool {
        let job = &self.job_table.jobs[key];
        let Some(reason) = job.refusal.filter(|_| !job.state.is_final()) else {
            return false;
        };
        self.events.push(SchedulerEvent::JobRefused {
            job: Arc::clone(&job.id),
            reason,
        });
        self.finish_job(key, JobState::Failed, now, wall);
        true
    }

    pub(super) fn queue_ready(&mut self, key: JobKey) {
        for task in self.job_table.tasks_with_status(key, TaskStatus::Ready) {
            self.push_ready(task);
        }
    }

    fn push_ready(&mut self, task: TaskKey) {
        let (Some(step), Some(service)) = (self.job_table.step_key(task), self.service_of(task))
        else {
            return;
        };
        let service = &mut self.services[service];
        service.ready.push(step, task);
        service.placement_due = true;
    }

    /// Updates the status of a task without a run, and queues the task if it is ready.
    pub(super) fn release_task(&mut self, key: TaskKey) {
        let mut status = self.job_table.status_without_run(key);
        if status == TaskStatus::Ready && self.former_leader_may_start(key) {
            status = TaskStatus::AwaitingRecovery;
            self.unseen_use.request_renewal();
        }
        if let Some(task) = self.job_table.tasks.get_mut(key) {
            task.status = status;
        }
        if status == TaskStatus::Ready {
            self.push_ready(key);
        }
    }

    /// Sets the final state of a job and stops its runs.
    fn finish_job(&mut self, key: JobKey, state: JobState, now: Millis, wall: Millis) {
        let Some(job) = self.job_table.jobs.get_mut(key) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        job.ended_wall_ms = wall.as_ms();
        job.dirty = true;
        let tasks: Vec<TaskKey> = job
            .occurrences
            .iter()
            .flatten()
            .flatten()
            .copied()
            .collect();
        for task in tasks {
            self.stop_copy(task, StopReason::of_ended_job(state), now);
            let Some(task) = self.job_table.tasks.get_mut(task) else {
                continue;
            };
            if let TaskStatus::Placed(run) = task.status {
                self.stop_run(run, StopReason::of_ended_job(state), now);
            } else {
                task.status = TaskStatus::Finished;
            }
        }
        self.advice.remove_job(key);
        self.durations.remove_job(key);
        self.record_ended_job(key);
        self.request_batch(now.after_ms(JOB_END_BATCH_DELAY_MS));
    }

    pub(super) fn request_batch(&mut self, at: Millis) {
        self.batches.request(at);
    }
}
