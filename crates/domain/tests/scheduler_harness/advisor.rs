//! A simulated advisor, and the validation of its tickets by workers.

use rosemaryscale_domain::job::AdvicePolicy;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{AdviceOrder, AdviceResult, StartOrder};

pub(crate) const VALID_MS: u64 = 1_000;

/// Issues tickets for the allowed workers. If none are set, starts need no ticket.
#[derive(Default)]
pub(crate) struct Advisor {
    pub(crate) allowed: FastSet<Arc<str>>,
    /// Candidate workers of each call.
    pub(crate) calls: Vec<Vec<Arc<str>>>,
    /// Number of next calls that get no response.
    pub(crate) lose_next_calls: usize,
    /// Number of next starts whose valid ticket is refused.
    pub(crate) refuse_next_tickets: usize,
    /// Number of starts that were refused because they had no valid ticket.
    pub(crate) invalid_tickets: usize,
    ticket_expiries: FastMap<Arc<str>, Millis>,
}

impl Advisor {
    pub(crate) const POLICY: AdvicePolicy = AdvicePolicy {
        decision_ms: 100,
        per_worker_us: 5_000,
        valid_ms: VALID_MS,
    };

    pub(super) fn answer(&mut self, order: &AdviceOrder, now: Millis) -> AdviceResult {
        self.calls.push(order.workers.clone());
        if self.lose_next_calls > 0 {
            self.lose_next_calls -= 1;
            return AdviceResult::Unanswered;
        }
        let step = format!(
            "{}.{}.{}",
            order.job, order.step.occurrence, order.step.step
        );
        let allowed = order.workers.iter().filter(|id| self.allowed.contains(*id));
        let tickets: Vec<(Arc<str>, Arc<str>)> = allowed
            .map(|id| (Arc::clone(id), format!("{step} on {id} at {now:?}").into()))
            .collect();
        for (_, ticket) in &tickets {
            self.ticket_expiries
                .insert(Arc::clone(ticket), now.after_ms(VALID_MS));
        }
        AdviceResult::Answered {
            allowed: tickets,
            valid_ms: VALID_MS,
        }
    }

    pub(super) fn accepts(&mut self, order: &StartOrder, worker: &str, now: Millis) -> bool {
        if self.allowed.is_empty() {
            return true;
        }
        let position = order.task.position;
        let prefix = format!(
            "{}.{}.{} on {worker} at",
            order.task.job, position.occurrence, position.step
        );
        let is_valid = order.ticket.as_ref().is_some_and(|ticket| {
            ticket.starts_with(&prefix)
                && self
                    .ticket_expiries
                    .get(ticket)
                    .is_some_and(|until| now < *until)
        });
        if !is_valid {
            self.invalid_tickets += 1;
            return false;
        }
        if self.refuse_next_tickets > 0 {
            self.refuse_next_tickets -= 1;
            return false;
        }
        true
    }
}
