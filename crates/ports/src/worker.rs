//! The worker port: orders to workers and their results.

use std::sync::Arc;

use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{
    OrderResult, PaceOrder, PollOrder, PollResult, StartOrder, StopOrder,
};
use tokio::sync::mpsc;

/// A call to the links.
#[derive(Debug)]
pub enum WorkerCall {
    /// Open a link; orders carry the fence number from now on.
    Open {
        /// The worker.
        worker: WorkerKey,
        /// Name of its incarnation.
        id: Arc<str>,
        /// Its address.
        address: Arc<str>,
        /// Fence number of the leader.
        fence: u64,
    },
    /// Close a link.
    Close(WorkerKey),
    /// Start a task.
    Start(WorkerKey, StartOrder),
    /// Stop a run.
    Stop(WorkerKey, StopOrder),
    /// Pace a run.
    Pace(WorkerKey, PaceOrder),
    /// Poll a worker.
    Poll(WorkerKey, PollOrder),
}

/// What came of an order.
#[derive(Debug)]
pub enum WorkerEvent {
    /// Of a start.
    Started {
        /// The worker.
        worker: WorkerKey,
        /// The run.
        run: RunKey,
        /// The result.
        result: OrderResult,
    },
    /// Of a stop.
    Stopped {
        /// The worker.
        worker: WorkerKey,
        /// The run, if this leader knows it.
        run: Option<RunKey>,
        /// The result.
        result: OrderResult,
    },
    /// Of a pace.
    Paced {
        /// The worker.
        worker: WorkerKey,
        /// The order.
        order: PaceOrder,
        /// The result.
        result: OrderResult,
    },
    /// Of a poll.
    Polled {
        /// The worker.
        worker: WorkerKey,
        /// The result.
        result: PollResult,
    },
}

/// Handle of the links.
pub type WorkerCalls = mpsc::Sender<WorkerCall>;

/// Where results arrive.
pub type WorkerEvents = mpsc::Receiver<WorkerEvent>;
