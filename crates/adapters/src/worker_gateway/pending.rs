//! Calls that were passed to a gateway.

use rosemaryscale_domain::schedule::order::{OrderResult, PaceOrder, PollReception, PollResult};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::worker::WorkerEvent;

/// A call that a gateway has not answered.
pub(super) struct PendingCall {
    pub(super) gateway: GatewayKey,
    pub(super) worker: WorkerKey,
    pub(super) kind: PendingKind,
}

pub(super) enum PendingKind {
    Start(RunKey),
    Stop(Option<RunKey>),
    Pace(PaceOrder),
    Poll,
}

impl PendingCall {
    pub(super) fn order_event(self, result: OrderResult) -> WorkerEvent {
        let worker = self.worker;
        match self.kind {
            PendingKind::Start(run) => WorkerEvent::Started {
                worker,
                run,
                result,
            },
            PendingKind::Stop(run) => WorkerEvent::Stopped {
                worker,
                run,
                result,
            },
            PendingKind::Pace(order) => WorkerEvent::Paced {
                worker,
                order,
                result,
            },
            PendingKind::Poll => WorkerEvent::Polled {
                worker,
                result: PollResult::LinkClosed(PollReception::Unknown),
            },
        }
    }

    pub(super) fn poll_event(self, result: PollResult) -> WorkerEvent {
        WorkerEvent::Polled {
            worker: self.worker,
            result,
        }
    }
}
