//! The worker port: sends orders to workers and returns the results.

use std::sync::Arc;

use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{
    OrderResult, PaceOrder, PollOrder, PollReception, PollResult, StartOrder, StopOrder,
};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// A call to the worker links.
#[derive(Debug)]
pub enum WorkerCall {
    /// Open a link; all later orders to the worker carry the fencing token.
    Open {
        /// The worker.
        worker: WorkerKey,
        /// Name of the worker's incarnation.
        id: Arc<str>,
        /// Address of the worker.
        address: Arc<str>,
        /// Availability zone of the worker.
        availability_zone: Arc<str>,
        /// Fencing token of the leader.
        fencing_token: u64,
    },
    /// Close a link.
    Close(WorkerKey),
    /// Start a task.
    Start(WorkerKey, StartOrder),
    /// Stop a run.
    Stop(WorkerKey, StopOrder),
    /// Change the pace of a run.
    Pace(WorkerKey, PaceOrder),
    /// Poll a worker.
    Poll(WorkerKey, PollOrder),
}

impl WorkerCall {
    /// The event that reports the result of an order; a poll counts as unanswered. `None` for calls that
    /// have no result.
    #[must_use]
    pub fn ended_with(self, result: OrderResult) -> Option<WorkerEvent> {
        Some(match self {
            Self::Start(worker, order) => WorkerEvent::Started {
                worker,
                run: order.run,
                result,
            },
            Self::Stop(worker, order) => WorkerEvent::Stopped {
                worker,
                run: order.run,
                result,
            },
            Self::Pace(worker, order) => WorkerEvent::Paced {
                worker,
                order,
                result,
            },
            Self::Poll(worker, _) => WorkerEvent::Polled {
                worker,
                result: PollResult::Unanswered(match result {
                    OrderResult::NotSent => PollReception::Nowhere,
                    _ => PollReception::Unknown,
                }),
            },
            Self::Open { .. } | Self::Close(_) => return None,
        })
    }
}

/// Result of an order.
#[derive(Debug)]
pub enum WorkerEvent {
    /// Result of a start.
    Started {
        /// The worker.
        worker: WorkerKey,
        /// The run.
        run: RunKey,
        /// The result.
        result: OrderResult,
    },
    /// Result of a stop.
    Stopped {
        /// The worker.
        worker: WorkerKey,
        /// The run, if the leader knows it.
        run: Option<RunKey>,
        /// The result.
        result: OrderResult,
    },
    /// Result of a change of pace.
    Paced {
        /// The worker.
        worker: WorkerKey,
        /// The order.
        order: PaceOrder,
        /// The result.
        result: OrderResult,
    },
    /// Result of a poll.
    Polled {
        /// The worker.
        worker: WorkerKey,
        /// The result.
        result: PollResult,
    },
}

/// Sends calls to the worker links.
pub type WorkerCalls = mpsc::Sender<WorkerCall>;

/// Receives the results of orders. Unbounded, so that results never block the calls: each call has one
/// result, and the scheduler bounds the calls.
pub type WorkerEvents = mpsc::UnboundedReceiver<WorkerEvent>;

/// Starts the links to workers of one process: the call handle, the results, and the task that serves
/// them. The task ends when the handle is dropped.
pub type StartLinks = fn() -> (WorkerCalls, WorkerEvents, JoinHandle<()>);
