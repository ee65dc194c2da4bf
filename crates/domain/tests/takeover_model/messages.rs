//! Orders, responses and store writes in transit.

use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::Batch;
use rosemaryscale_domain::schedule::order::{
    OrderResult, PollOrder, PollResult, StartOrder, StopOrder,
};

#[derive(Clone, Debug)]
pub(super) enum Order {
    Start(StartOrder),
    Stop(StopOrder),
    Poll(PollOrder),
}

#[derive(Debug)]
pub(super) enum Answer {
    Order(OrderResult),
    Poll(PollResult),
}

/// Outcome of sending an order.
#[derive(Clone, Copy, Debug)]
pub(super) enum Delivery {
    Answered,
    Lost,
    /// The order arrives, but its response does not.
    AnswerLost,
    /// The order arrives seconds after its sender has given up waiting.
    Late,
}

/// What happens to an order that arrives at the address of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reception {
    Accepted,
    NotListening,
    /// A worker with another id than the order names refuses it.
    OtherId,
}

#[derive(Debug)]
pub(super) enum Event {
    /// An order reaches its worker.
    OrderArrives {
        /// Id that the order names.
        id: Arc<str>,
        /// Incarnation that existed when it was sent.
        incarnation: u64,
        order: Order,
        is_answered: bool,
    },
    /// The sender gets the response to an order, or its timeout.
    Answered { order: Order, answer: Answer },
    /// The store has written a batch.
    BatchWritten(Box<Batch>),
}

/// A scheduled event.
#[derive(Debug)]
pub(super) struct InTransit {
    pub(super) due_at: Millis,
    pub(super) leader: usize,
    pub(super) worker: (WorkerKey, usize),
    pub(super) event: Event,
}
