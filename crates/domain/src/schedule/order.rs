//! Orders to workers, and what workers answer.

use crate::job::TaskName;
use crate::placement::Resources;
use crate::prelude::*;

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// Name of this life of the worker.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it takes orders.
    pub address: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Kind and rack.
    pub labels: Vec<Arc<str>>,
    /// What it has.
    pub capacity: Resources,
    /// The instance that it is a life of; empty if the platform does not say.
    pub machine: Arc<str>,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_wall_ms: u64,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// Starts a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The run.
    pub run: RunKey,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub number: u32,
    /// The job's text.
    pub text: Arc<str>,
    /// End of the worker's lease, on the worker's clock.
    pub deadline_ms: u64,
    /// Checkpoint to go on from; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Ticket of the advisor, for queues that have one.
    pub ticket: Option<Arc<str>>,
}

/// Stops a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The run, unless it is one that this holder does not know.
    pub run: Option<RunKey>,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub number: u32,
}

/// Sets the share at which a filling task works.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceOrder {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub number: u32,
    /// The share.
    pub percent: u32,
}

/// Prolongs a worker's lease and reads what it runs and what has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookOrder {
    /// New end of the lease, on the worker's clock.
    pub deadline_ms: Option<u64>,
    /// Ends up to this number may be forgotten.
    pub acknowledged: u64,
    /// Longest time that the worker waits for an end before it answers.
    pub wait_ms: u64,
}

/// A step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// The occurrence; 0 for jobs that are not repeated.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
}

/// Asks the advisor which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceOrder {
    /// The step.
    pub step: StepKey,
    /// The job's id.
    pub job: Arc<str>,
    /// The workers' ids.
    pub workers: Vec<Arc<str>>,
    /// Time that the answer takes.
    pub answer_ms: u64,
}

/// What the advisor answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceResult {
    /// Ids and tickets of the workers that may run the step.
    Answered {
        /// Id and ticket of each.
        allowed: Vec<(Arc<str>, Arc<str>)>,
        /// Time for which the tickets are valid.
        valid_ms: u64,
    },
    /// Too many calls wait, or no answer arrived in time.
    Unanswered,
}

/// What the task around the scheduler must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open the link to a worker.
    Connect(WorkerKey),
    /// Close the link to a worker.
    Disconnect(WorkerKey),
    /// Start a task.
    Start(WorkerKey, StartOrder),
    /// Stop a run.
    Stop(WorkerKey, StopOrder),
    /// Pace a run.
    Pace(WorkerKey, PaceOrder),
    /// Look at a worker.
    Look(WorkerKey, LookOrder),
    /// Ask the advisor.
    Advise(AdviceOrder),
    /// Read the platform's list of instances.
    ListMachines,
    /// Move an instance to the pool of a service.
    Move(MachineKey, Arc<str>),
    /// Maintain an instance, for a wave.
    Maintain(MachineKey, u64),
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It serves, or is off in a spare pool.
    Up,
    /// It moves to another pool.
    Moving,
    /// It is maintained.
    Maintenance,
    /// It is down, or in a state that is not known.
    Down,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineReport {
    /// Its name.
    pub name: Arc<str>,
    /// Service of its pool.
    pub pool: Arc<str>,
    /// Its state.
    pub state: MachineState,
    /// What it has.
    pub capacity: Resources,
    /// The worker that it is now, if any.
    pub worker: Option<Arc<str>>,
}

/// How an order to an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineResult {
    /// It is or was carried out.
    Accepted,
    /// The instance is not up, or leaves.
    Busy,
    /// The instance is not of the wave.
    NotInWave,
    /// The platform has seen a higher fence number.
    Fenced,
    /// It was certainly not carried out.
    NotSent,
    /// It may be carried out, now or later.
    Unanswered,
}

/// A wave of maintenance that the operators ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// Its number.
    pub number: u64,
    /// Instances that are due.
    pub machines: Vec<Arc<str>>,
    /// Time in which all must have had their turn.
    pub duration_ms: u64,
    /// Instances that may be down at once.
    pub down_max: u32,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// It was carried out, or had been before.
    Accepted {
        /// The worker's clock.
        clock_ms: u64,
    },
    /// The worker refused it and did nothing.
    Refused(Refusal),
    /// It certainly did not reach the worker, which listens no more.
    NotListening,
    /// It certainly was not sent.
    NotSent,
    /// It may be carried out, now or later.
    Unanswered,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher fence number.
    Fenced,
    /// The run is not above one that was stopped or has ended.
    OldRun,
    /// The deadline has passed.
    Late,
    /// No room.
    NoRoom,
    /// The ticket is not valid.
    Ticket,
    /// The worker is not healthy.
    Unhealthy,
    /// Another life answers at the address.
    OtherLife,
    /// The order is malformed to the worker.
    Malformed,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEndKind {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// The worker's lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub number: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// How far it is; 100 for a task that runs until cancelled means that it is at work.
    pub percent: u32,
    /// Tail latency in milliseconds of a serving task, processors in use of others.
    pub gauge: u64,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// Number of the end in this life of the worker.
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

/// What a look found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The worker's clock.
    pub clock_ms: u64,
    /// Start of the worker's process, in milliseconds since the Unix epoch; 0 if it did not say.
    pub started_wall_ms: u64,
    /// Runs.
    pub running: Vec<ListedRun>,
    /// Ends that are not acknowledged, in their order.
    pub ended: Vec<ListedEnd>,
}

/// How a look ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookResult {
    /// The worker answered.
    Listed(Listing),
    /// The worker refused.
    Refused(Refusal),
    /// Nothing listens at the worker's address.
    NotListening,
    /// No answer in time.
    Unanswered,
}

/// What the scheduler has come to believe, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
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
    /// All runs of a worker are over: it crashed, or was silent until its lease ended.
    WorkerLost {
        /// The worker.
        worker: Arc<str>,
        /// Runs that are over.
        runs: usize,
        /// Whether it was silent.
        silent: bool,
    },
    /// The platform lists an instance in another state, or as another worker.
    MachineChanged {
        /// The instance.
        machine: Arc<str>,
        /// Its state.
        state: MachineState,
        /// The worker that it is now, if any.
        worker: Option<Arc<str>>,
    },
    /// The platform lists an instance no longer.
    MachineUnlisted {
        /// The instance.
        machine: Arc<str>,
    },
}
