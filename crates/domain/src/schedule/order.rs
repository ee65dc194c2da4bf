//! Orders to workers, instances and the advisor, and their results.

use serde::{Deserialize, Serialize};

use super::locality::PlacementWaitCounts;
use super::stop_reason::StopCause;
use crate::job::TaskName;
use crate::placement::Resources;
use crate::prelude::*;

/// A worker as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// Id of the worker, which names one process of an instance.
    pub id: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Address for orders.
    pub address: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Kind and rack, in this order.
    pub labels: Vec<Arc<str>>,
    /// Total resources.
    pub capacity: Resources,
    /// The instance it runs on; empty if the platform does not report it.
    pub instance: Arc<str>,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_wall_ms: u64,
    /// Whether it accepts no new work.
    pub draining: bool,
}

/// Starts a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Key of the run.
    pub run: RunKey,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub number: u32,
    /// Text of the job, passed on unchanged.
    pub text: Arc<str>,
    /// End of the worker's lease, on the worker's clock.
    pub deadline_ms: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Ticket of the advisor, if the queue requires one.
    pub ticket: Option<Arc<str>>,
}

/// Stops a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// Key of the run; `None` for a run that this leader does not know.
    pub run: Option<RunKey>,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub number: u32,
}

/// Sets the CPU share of a backfill task.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PaceOrder {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub number: u32,
    /// The share in percent.
    pub percent: u32,
}

/// Polls a worker: renews its lease and reads which runs are active and which have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PollOrder {
    /// New end of the lease, on the worker's clock; `None` leaves the lease as it is.
    pub deadline_ms: Option<u64>,
    /// Ends up to this sequence number are acknowledged, so that the worker may drop them.
    pub acknowledged: u64,
    /// Longest time that the worker waits for a run to end before it answers.
    pub wait_ms: u64,
}

/// A step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Index of the occurrence; 0 for jobs that are not repeated.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u16,
}

/// Asks the advisor which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceOrder {
    /// The step to be run.
    pub step: StepKey,
    /// Id of the step's job.
    pub job: Arc<str>,
    /// Ids of the workers to decide about.
    pub workers: Vec<Arc<str>>,
    /// Expected time until the answer.
    pub expected_answer_ms: u64,
}

/// Answer of the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceResult {
    /// The advisor answered.
    Answered {
        /// Id and ticket of each worker that may run the step.
        allowed: Vec<(Arc<str>, Arc<str>)>,
        /// Time for which the tickets are valid.
        valid_ms: u64,
    },
    /// The advisor was overloaded or did not answer in time.
    Unanswered,
}

/// An action for the task that owns the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open the connection to a worker.
    Connect(WorkerKey),
    /// Close the connection to a worker.
    Disconnect(WorkerKey),
    /// Start a task.
    Start(WorkerKey, StartOrder),
    /// Stop a run.
    Stop(WorkerKey, StopOrder, StopCause),
    /// Set the CPU share of a run.
    Pace(WorkerKey, PaceOrder),
    /// Poll a worker.
    Poll(WorkerKey, PollOrder),
    /// Ask the advisor.
    Advise(AdviceOrder),
    /// Read the platform's list of instances.
    ListInstances,
    /// Move an instance to the pool of a service.
    Move(FleetInstanceKey, Arc<str>),
    /// Start the maintenance of an instance, as part of a wave.
    Maintain(FleetInstanceKey, u64),
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// In service, or switched off in a spare pool.
    Up,
    /// Moving to another pool.
    Moving,
    /// Under maintenance.
    Maintenance,
    /// Down, or in an unknown state.
    Down,
}

/// An instance as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceReport {
    /// Its name.
    pub name: Arc<str>,
    /// Service of its pool.
    pub pool: Arc<str>,
    /// Its state.
    pub state: InstanceState,
    /// Total resources.
    pub capacity: Resources,
    /// Id of the worker that currently runs on it, if any.
    pub worker: Option<Arc<str>>,
}

/// Result of an order to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceOrderResult {
    /// The order takes effect or already has.
    Accepted,
    /// The instance is not up, or is leaving.
    Busy,
    /// The instance is not part of the wave.
    NotInWave,
    /// The platform has seen a higher fencing token.
    Fenced,
    /// The order was certainly not carried out.
    NotSent,
    /// The outcome is unknown: the order may take effect now or later.
    Unanswered,
}

/// A maintenance wave requested by the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// Number of the wave.
    pub number: u64,
    /// Instances to maintain.
    pub instances: Vec<Arc<str>>,
    /// Time in which all of them must be maintained.
    pub duration_ms: u64,
    /// Maximum number of instances that may be down at once.
    pub down_max: u32,
}

/// Result of an order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum OrderResult {
    /// The order was carried out, now or earlier.
    Accepted {
        /// The worker's clock.
        clock_ms: u64,
    },
    /// The worker refused the order without effect.
    Refused(Refusal),
    /// Nothing listens at the worker's address, so the order certainly did not arrive.
    NotListening,
    /// The order was certainly not sent.
    NotSent,
    /// The outcome is unknown: the order may take effect now or later.
    Unanswered,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run number is not higher than that of a run that was stopped or has ended.
    OldRun,
    /// The lease deadline has passed.
    Late,
    /// Not enough free resources.
    NoRoom,
    /// The ticket is invalid.
    Ticket,
    /// The worker is not healthy.
    Unhealthy,
    /// Another process of the worker answers at the address.
    OtherIncarnation,
    /// The worker could not decode the order.
    Malformed,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RunEndKind {
    /// The work is complete.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// A stop order ended it.
    Stopped,
    /// The lease of the worker expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// What has shown that the runs of a worker are over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossEvidence {
    /// Another process has answered at its address.
    OtherProcess,
    /// Its address refuses connects, and the list of instances lacks it.
    RefusedAndListed,
    /// A list, or the entry or answer of its next process.
    Listed,
    /// Its lease has ended.
    LeaseEnded,
}

/// An active run in a worker's answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedRun {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub number: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Progress; for a long-running task, 100 means that it is in service.
    pub percent: u32,
    /// Tail latency in milliseconds for a latency-sensitive task, processors in use for others.
    pub gauge: u64,
}

/// An ended run in a worker's answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedEnd {
    /// Sequence number of the end, counted by this process of the worker.
    pub sequence: u64,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub number: u32,
    /// How it ended.
    pub kind: RunEndKind,
    /// Checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// The worker's clock.
    pub clock_ms: u64,
    /// Start of the worker's process, in milliseconds since the Unix epoch; 0 if not reported.
    pub started_wall_ms: u64,
    /// Active runs.
    pub running: Vec<ListedRun>,
    /// Ends that have not been acknowledged, in order.
    pub ended: Vec<ListedEnd>,
    /// Whether the worker may have ends after these: its answer holds as many as fit. Their runs are in neither list.
    pub has_more_ends: bool,
}

/// The platform's list of instances.
#[derive(Clone, Debug)]
pub struct InstanceListing {
    /// The instances.
    pub reports: Vec<InstanceReport>,
    /// Whether every row could be decoded. Otherwise the absence of an instance says nothing.
    pub is_complete: bool,
}

impl From<Vec<InstanceReport>> for InstanceListing {
    fn from(reports: Vec<InstanceReport>) -> Self {
        Self {
            reports,
            is_complete: true,
        }
    }
}

/// Rows of a worker's answer that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnreadableRows {
    /// Number of active runs.
    pub runs: u32,
    /// Number of ends.
    pub ends: u32,
    /// If ends are unreadable: sequence number of the last end before them, 0 if there is none.
    pub acknowledge_max: Option<u64>,
    /// Why the first of them could not be decoded.
    pub reason: Arc<str>,
}

/// Which process of a worker may have received a poll without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PollReception {
    /// None: the poll was not sent.
    Nowhere,
    /// One that existed when the poll got its connection: a connection ends with its process.
    Connected {
        /// Time since then.
        age_ms: u64,
    },
    /// Any until now.
    Unknown,
}

/// Result of a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PollResult {
    /// The worker answered.
    Listed(Listing),
    /// The worker refused.
    Refused(Refusal),
    /// Nothing listens at the worker's address.
    NotListening,
    /// No answer arrived in time.
    Unanswered(PollReception),
    /// The link was closed before an answer arrived, which says nothing about the worker.
    LinkClosed(PollReception),
    /// The worker answered, but some rows could not be decoded.
    ListedInPart(Listing, UnreadableRows),
}

/// What became of the second run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// It completed the task; the first run is stopped.
    Won,
    /// The first run ended without a result, and the second one continues alone.
    TookOver,
    /// The first run completed the task; the second one is stopped.
    Lost,
    /// It ended without a result, or the job has ended.
    Ended,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// A stored job is beyond the limits and has ended as failed.
    JobRefused {
        /// The job.
        job: Arc<str>,
        /// The limit.
        reason: &'static str,
    },
    /// A stored job starts no finite tasks, because its progress cannot be decoded.
    JobHeld {
        /// The job.
        job: Arc<str>,
    },
    /// A checkpoint beyond the bounds was dropped; its task keeps the one before.
    CheckpointDropped {
        /// The task.
        task: TaskName,
        /// Length of the checkpoint.
        bytes: usize,
        /// Whether it is the first one of the job in this term.
        is_first_of_job: bool,
    },
    /// A run has ended.
    RunEnded {
        /// The task.
        task: TaskName,
        /// Number of the run.
        number: u32,
        /// The worker.
        worker: Arc<str>,
        /// How it ended.
        kind: RunEndKind,
        /// Failed runs of the task so far.
        failed_runs: usize,
    },
    /// All runs of a worker have ended: it crashed, or was unresponsive until its lease expired.
    WorkerLost {
        /// The worker.
        worker: Arc<str>,
        /// Number of runs that ended with it.
        runs: usize,
        /// Whether it was unresponsive.
        unresponsive: bool,
        /// What showed it.
        evidence: LossEvidence,
        /// Time since the poll was sent that it answered last.
        answer_age_ms: u64,
    },
    /// A worker of the former leader has not answered this one, and the leases of its runs have ended.
    AwaitedWorkerGivenUp {
        /// The worker.
        worker: Arc<str>,
        /// Time since the recovery began.
        waited_ms: u64,
    },
    /// The address of a worker with runs has begun to refuse connects.
    WorkerRefusesConnects {
        /// The worker.
        worker: Arc<str>,
        /// Number of its runs.
        runs: usize,
    },
    /// The new process of a worker takes no tasks for a time, since it may carry out a late poll that acknowledges
    /// ends of the former one.
    WorkerHeld {
        /// The worker.
        worker: Arc<str>,
        /// The time.
        held_ms: u64,
    },
    /// Rows in the answer of a worker could not be decoded; the former answer was readable.
    WorkerRowsUnreadable {
        /// The worker.
        worker: Arc<str>,
        /// Number of active runs that could not be decoded.
        runs: u32,
        /// Number of ends that could not be decoded.
        ends: u32,
        /// Why the first of them could not be decoded.
        reason: Arc<str>,
    },
    /// An answer holds only the first of a worker's ends; the former answer held all.
    WorkerEndsCut {
        /// The worker.
        worker: Arc<str>,
        /// Number of ends that the answer holds.
        ends: usize,
        /// Number of the worker's runs that the answer doesn't name.
        unlisted_runs: usize,
    },
    /// An answer holds all ends of a worker again.
    WorkerEndsComplete {
        /// The worker.
        worker: Arc<str>,
        /// Time since an answer first left ends out.
        cut_ms: u64,
    },
    /// A task was given up, and its job fails: worker after worker crashed soon after starting it.
    TaskGivenUp {
        /// The task.
        task: TaskName,
        /// Workers that have crashed.
        crashes: u32,
    },
    /// A second run of a task was started, since the first one is expected to last far longer.
    CopyStarted {
        /// The task.
        task: TaskName,
        /// Number of the second run.
        number: u32,
        /// Its worker.
        worker: Arc<str>,
        /// Time since the first run was confirmed.
        age_ms: u64,
        /// Expected remaining time of the first run.
        remaining_ms: u64,
        /// Expected time of a new run with its start.
        new_run_ms: u64,
        /// How far the remaining time rests on observations.
        confidence_percent: u32,
    },
    /// A task with two runs has one or none left.
    CopySettled {
        /// The task.
        task: TaskName,
        /// Number of the second run.
        number: u32,
        /// What became of the second run.
        outcome: CopyOutcome,
        /// Time since the second run was started.
        age_ms: u64,
    },
    /// A task with room elsewhere waits for its rack. At most one event a second.
    PlacementWaitBegan {
        /// The task; the first one of a gang.
        task: TaskName,
        /// The rack.
        rack: Arc<str>,
        /// Expected wait; `None` with a fixed wait.
        expected_ms: Option<u64>,
        /// Time lost by running elsewhere.
        loss_ms: u64,
        /// Share of the rack that is used by the tasks that prefer it.
        load_percent: u64,
        /// Longest wait.
        until_ms: u64,
        /// Waits of this term so far.
        counts: PlacementWaitCounts,
    },
    /// The platform lists an instance with another state or worker.
    InstanceChanged {
        /// The instance.
        instance: Arc<str>,
        /// Its state.
        state: InstanceState,
        /// Id of the worker that currently runs on it, if any.
        worker: Option<Arc<str>>,
    },
    /// The platform no longer lists an instance.
    InstanceUnlisted {
        /// The instance.
        instance: Arc<str>,
    },
}
