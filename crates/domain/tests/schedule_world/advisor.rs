//! An advisor that allows some workers, and the check that workers make of its tickets.

use rosemaryscale_domain::job::AdvicePolicy;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{AdviceOrder, AdviceResult, StartOrder};

pub(crate) const VALID_MS: u64 = 1_000;

/// The advisor. Without allowed workers no start needs a ticket.
#[derive(Default)]
pub(crate) struct Advisor {
    pub(crate) allowed: FastSet<Arc<str>>,
    /// Workers that each call named.
    pub(crate) calls: Vec<Vec<Arc<str>>>,
    /// Calls that get no answer.
    pub(crate) lose_calls: usize,
    /// Starts whose ticket is refused although it is valid.
    pub(crate) refuse_starts: usize,
    /// Starts that were refused for want of a valid ticket.
    pub(crate) refused: usize,
    issued: FastMap<Arc<str>, Millis>,
}

impl Advisor {
    pub(crate) const POLICY: AdvicePolicy = AdvicePolicy {
        decision_ms: 100,
        per_worker_us: 5_000,
        valid_ms: VALID_MS,
    };

    pub(super) fn answer(&mut self, order: &AdviceOrder, now: Millis) -> AdviceResult {
        self.calls.push(order.workers.clone());
        if self.lose_calls > 0 {
            self.lose_calls -= 1;
            return AdviceResult::Unanswered;
        }
        let step = format!(
            "{}.{}.{}",
            order.job, order.step.occurrence, order.step.step
        );
        let allowed = order.workers.iter().filter(|id| self.allowed.contains(*id));
        let rows: Vec<(Arc<str>, Arc<str>)> = allowed
            .map(|id| (Arc::clone(id), format!("{step} on {id} at {now:?}").into()))
            .collect();
        for (_, ticket) in &rows {
            self.issued
                .insert(Arc::clone(ticket), now.after_ms(VALID_MS));
        }
        AdviceResult::Answered {
            allowed: rows,
            valid_ms: VALID_MS,
        }
    }

    pub(super) fn accepts(&mut self, order: &StartOrder, worker: &str, now: Millis) -> bool {
        if self.allowed.is_empty() {
            return true;
        }
        let at = order.task.position;
        let prefix = format!(
            "{}.{}.{} on {worker} at",
            order.task.job, at.occurrence, at.step
        );
        let is_valid = order.ticket.as_ref().is_some_and(|ticket| {
            ticket.starts_with(&prefix) && self.issued.get(ticket).is_some_and(|until| now < *until)
        });
        if !is_valid {
            self.refused += 1;
            return false;
        }
        if self.refuse_starts > 0 {
            self.refuse_starts -= 1;
            return false;
        }
        true
    }
}
