//! What an address at which no worker listens does with orders.

use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{OrderResult, PollReception, PollResult, Refusal};

use super::SchedulerHarness;

/// How orders to an address end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AddressAnswer {
    /// A server refuses them with a higher fencing token.
    Fenced,
    /// Connects are refused.
    NotListening,
    /// Nothing answers.
    Unanswered,
}

impl AddressAnswer {
    pub(crate) const ALL: [Self; 3] = [Self::Fenced, Self::NotListening, Self::Unanswered];

    pub(crate) const fn to_order(self) -> OrderResult {
        match self {
            Self::Fenced => OrderResult::Refused(Refusal::Fenced),
            Self::NotListening => OrderResult::NotListening,
            Self::Unanswered => OrderResult::Unanswered,
        }
    }

    pub(crate) const fn to_poll(self) -> PollResult {
        match self {
            Self::Fenced => PollResult::Refused(Refusal::Fenced),
            Self::NotListening => PollResult::NotListening,
            Self::Unanswered => PollResult::Unanswered(PollReception::Unknown),
        }
    }
}

impl SchedulerHarness {
    /// How orders over the link of a worker end if it leads to the address without a worker.
    pub(super) fn answer_without_worker(&self, key: WorkerKey) -> Option<AddressAnswer> {
        let (address, answer) = self.address_without_worker.as_ref()?;
        let link = self.scheduler.worker(key)?;
        (link.address == *address).then_some(*answer)
    }
}
