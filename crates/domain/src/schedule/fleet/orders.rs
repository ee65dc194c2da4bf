//! Orders to the platform for moves and maintenance: sending, retries and completion.

use super::{ACTIVE_LIST_INTERVAL_MS, Operation, OperationState};
use crate::prelude::*;
use crate::schedule::order::{Action, InstanceOrderResult, InstanceState};
use crate::schedule::run::EndEvidence;
use crate::schedule::worker::IncarnationEnd;
use crate::schedule::{LATE_ORDER_MS, Scheduler};

/// Delay before an order without a response is sent again.
const ORDER_RETRY_DELAY_MS: u64 = 300;
/// Time that a worker may take to register after its instance has moved.
const WORKER_ARRIVAL_TIMEOUT_MS: u64 = 2_000;
/// Time after an accepted order during which the list may still show the state before it.
const LIST_LAG_MS: u64 = 150;

impl Scheduler {
    /// Ends an operation that the list shows as completed, or whose order is abandoned.
    pub(super) fn settle_operation(&mut self, key: FleetInstanceKey, now: Millis) {
        let instance = &self.fleet.instances[key];
        let OperationState::Ordered {
            operation,
            previous_worker,
            accepted_at,
            abandoned_at,
            ..
        } = &instance.operation_state
        else {
            return;
        };
        let report = &instance.report;
        let up = report.state == InstanceState::Up;
        let list_is_current = accepted_at.is_some_and(|at| now.ms_since(at) > LIST_LAG_MS);
        let list_was_requested_later =
            accepted_at.is_some_and(|at| self.fleet.list_requested_at > at.after_ms(LIST_LAG_MS));
        let (done, has_effect) = match operation {
            // A repeated order of maintenance that a former leader had carried out is accepted without
            // effect, so that the worker stays the same.
            Operation::Maintain(_) => {
                let done = list_is_current
                    && up
                    && (previous_worker.is_none()
                        || report.worker != *previous_worker
                        || list_was_requested_later);
                (done, true)
            }
            // An accepted order may have been carried out before, or be followed by a late one of a former
            // leader, so that the instance is up in another pool.
            Operation::Move(service) => {
                let done = up && instance.pool == *service;
                (done, !(up && list_was_requested_later))
            }
        };
        if done {
            self.release_instance(key, now);
            let instance = &mut self.fleet.instances[key];
            instance.not_before = instance.in_doubt_until.max(now);
            instance.arrival_deadline = now.after_ms(WORKER_ARRIVAL_TIMEOUT_MS);
        } else if !has_effect || (accepted_at.is_none() && *abandoned_at < now) {
            self.release_instance(key, now);
        }
    }

    /// Applies the result of an order to an instance.
    pub fn instance_ordered(
        &mut self,
        key: FleetInstanceKey,
        result: InstanceOrderResult,
        now: Millis,
    ) {
        let Some(instance) = self.fleet.instances.get_mut(key) else {
            return;
        };
        let OperationState::Ordered {
            operation,
            previous_worker,
            accepted_at,
            retry_at,
            ..
        } = &mut instance.operation_state
        else {
            return;
        };
        let operation = *operation;
        let earlier_order_in_doubt = instance.in_doubt_until > now;
        match result {
            InstanceOrderResult::Accepted => {
                *accepted_at = Some(now);
                let previous_worker = previous_worker.clone();
                let name = Arc::clone(&instance.report.name);
                if let Some(worker) =
                    previous_worker.and_then(|id| self.workers_by_id.get(&id).copied())
                {
                    self.end_incarnation(
                        worker,
                        IncarnationEnd::Planned,
                        EndEvidence::Listing,
                        now,
                    );
                }
                self.drop_inherited_order(&name);
                if let Operation::Maintain(number) = operation {
                    self.mark_maintenance_begun(number, name, now);
                }
                self.fleet.next_list_at =
                    self.fleet.next_list_at.min(now.after_ms(LIST_LAG_MS + 50));
            }
            // An earlier order without a response may have caused this.
            InstanceOrderResult::Busy | InstanceOrderResult::NotSent if earlier_order_in_doubt => {
                *retry_at = Some(now.after_ms(ORDER_RETRY_DELAY_MS));
            }
            InstanceOrderResult::Busy | InstanceOrderResult::NotSent => {
                self.release_instance(key, now)
            }
            InstanceOrderResult::NotInWave => {
                let name = Arc::clone(&instance.report.name);
                self.release_instance(key, now);
                if let Operation::Maintain(number) = operation {
                    self.mark_maintenance_begun(number, name, now);
                }
            }
            InstanceOrderResult::Fenced => self.fenced = true,
            InstanceOrderResult::Unanswered => {
                *retry_at = Some(now.after_ms(ORDER_RETRY_DELAY_MS));
                instance.in_doubt_until = now.after_ms(LATE_ORDER_MS);
            }
        }
    }

    /// Sends orders without a response again. Repeating an order that was carried out has no further
    /// effect.
    pub(super) fn retry_orders(&mut self, now: Millis) {
        let due: Vec<(FleetInstanceKey, Operation)> = self
            .fleet
            .instances
            .iter_mut()
            .filter_map(|(key, instance)| match &mut instance.operation_state {
                OperationState::Ordered {
                    operation,
                    retry_at,
                    ..
                } => {
                    retry_at.take_if(|at| *at <= now)?;
                    Some((key, *operation))
                }
                _ => None,
            })
            .collect();
        for (key, operation) in due {
            self.send_instance_order(key, operation);
        }
    }

    fn send_instance_order(&mut self, key: FleetInstanceKey, operation: Operation) -> bool {
        let action = match operation {
            Operation::Maintain(wave) => Action::Maintain(key, wave),
            Operation::Move(service) => {
                let Some(service) = self.services.get(service) else {
                    return false;
                };
                Action::Move(key, Arc::clone(&service.name))
            }
        };
        self.actions.push(action);
        true
    }

    pub(super) fn order_instance(
        &mut self,
        key: FleetInstanceKey,
        operation: Operation,
        now: Millis,
    ) {
        if !self.send_instance_order(key, operation) {
            return;
        }
        self.set_cordon(key, true);
        let instance = &mut self.fleet.instances[key];
        instance.operation_state = OperationState::Ordered {
            operation,
            previous_worker: instance.report.worker.clone(),
            accepted_at: None,
            abandoned_at: now.after_ms(LATE_ORDER_MS),
            retry_at: None,
        };
        self.fleet.next_list_at = self
            .fleet
            .next_list_at
            .min(now.after_ms(ACTIVE_LIST_INTERVAL_MS));
    }
}
