//! Orders and answers on their way.

use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::Batch;
use rosemaryscale_domain::schedule::order::{
    LookOrder, LookResult, OrderResult, StartOrder, StopOrder,
};

#[derive(Clone, Debug)]
pub(super) enum Order {
    Start(StartOrder),
    Stop(StopOrder),
    Look(LookOrder),
}

#[derive(Debug)]
pub(super) enum Answer {
    Order(OrderResult),
    Look(LookResult),
}

/// What happens to an order on its way.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fate {
    Answered,
    Lost,
    AnswerLost,
    Late,
}

#[derive(Debug)]
pub(super) enum Event {
    /// An order reaches its worker, if that still lives the life that it is meant for.
    Arrives {
        life: u64,
        order: Order,
        answers: bool,
    },
    /// A holder hears of an order.
    Answered { order: Order, answer: Answer },
    /// A batch was written.
    Written(Box<Batch>),
}

#[derive(Debug)]
pub(super) struct Pending {
    pub(super) due: Millis,
    pub(super) holder: usize,
    pub(super) worker: (WorkerKey, usize),
    pub(super) event: Event,
}
