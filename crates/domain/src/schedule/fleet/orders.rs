//! Orders to instances: how they are sent, repeated and settled.

use super::{Duty, LIST_MS, Purpose};
use crate::prelude::*;
use crate::schedule::Scheduler;
use crate::schedule::order::{Action, MachineResult, MachineState};

/// Pause before an order that got no answer is sent again.
const ORDER_AGAIN_MS: u64 = 300;
/// An order without an answer may be carried out this much later.
const LATE_ORDER_MS: u64 = 12_500;
/// A worker takes this long to appear after its instance has moved.
const ARRIVAL_MS: u64 = 2_000;
/// The list is read after an order was carried out before it is believed.
const SETTLE_MS: u64 = 150;

impl Scheduler {
    /// Ends a duty that the list shows as done, or that was given up.
    pub(super) fn settle(&mut self, key: MachineKey, now: Millis) {
        let machine = &self.fleet.machines[key];
        let Duty::Ordered {
            purpose,
            worker,
            accepted_at,
            until,
            ..
        } = &machine.duty
        else {
            return;
        };
        let report = &machine.report;
        let up = report.state == MachineState::Up;
        let settled = accepted_at.is_some_and(|at| now.ms_since(at) > SETTLE_MS);
        let done = match purpose {
            Purpose::Maintain(_) => settled && up && (worker.is_none() || report.worker != *worker),
            Purpose::Move(service) => {
                up && self.services_by_name.get(&report.pool) == Some(service)
            }
        };
        if done {
            self.release_machine(key, now);
            let machine = &mut self.fleet.machines[key];
            machine.not_before = machine.late_until.max(now);
            machine.arrives_until = now.after_ms(ARRIVAL_MS);
        } else if accepted_at.is_none() && *until < now {
            self.release_machine(key, now);
        }
    }

    /// Applies how an order to an instance ended.
    pub fn machine_ordered(&mut self, key: MachineKey, result: MachineResult, now: Millis) {
        let Some(machine) = self.fleet.machines.get_mut(key) else {
            return;
        };
        let Duty::Ordered {
            purpose,
            worker,
            accepted_at,
            again_at,
            ..
        } = &mut machine.duty
        else {
            return;
        };
        let purpose = *purpose;
        let was_lost = machine.late_until > now;
        match result {
            MachineResult::Accepted => {
                *accepted_at = Some(now);
                let worker = worker.clone();
                let name = Arc::clone(&machine.report.name);
                if let Some(worker) = worker.and_then(|id| self.workers_by_id.get(&id).copied()) {
                    self.end_life(worker, now);
                }
                if let Purpose::Maintain(number) = purpose {
                    self.note_begun(number, name, now);
                }
                self.fleet.next_list = self.fleet.next_list.min(now.after_ms(SETTLE_MS + 50));
            }
            // An earlier order without an answer may be the reason.
            MachineResult::Busy | MachineResult::NotSent if was_lost => {
                *again_at = Some(now.after_ms(ORDER_AGAIN_MS));
            }
            MachineResult::Busy | MachineResult::NotSent => self.release_machine(key, now),
            MachineResult::NotInWave => {
                let name = Arc::clone(&machine.report.name);
                self.release_machine(key, now);
                if let Purpose::Maintain(number) = purpose {
                    self.note_begun(number, name, now);
                }
            }
            MachineResult::Fenced => self.fenced = true,
            MachineResult::Unanswered => {
                *again_at = Some(now.after_ms(ORDER_AGAIN_MS));
                machine.late_until = now.after_ms(LATE_ORDER_MS);
            }
        }
    }

    /// Sends orders without an answer again: one that was carried out has no further effect.
    pub(super) fn repeat_orders(&mut self, now: Millis) {
        let due: Vec<(MachineKey, Purpose)> = self
            .fleet
            .machines
            .iter_mut()
            .filter_map(|(key, machine)| match &mut machine.duty {
                Duty::Ordered {
                    purpose, again_at, ..
                } => {
                    again_at.take_if(|at| *at <= now)?;
                    Some((key, *purpose))
                }
                _ => None,
            })
            .collect();
        for (key, purpose) in due {
            self.send_machine_order(key, purpose);
        }
    }

    fn send_machine_order(&mut self, key: MachineKey, purpose: Purpose) -> bool {
        let action = match purpose {
            Purpose::Maintain(wave) => Action::Maintain(key, wave),
            Purpose::Move(service) => {
                let Some(service) = self.services.get(service) else {
                    return false;
                };
                Action::Move(key, Arc::clone(&service.name))
            }
        };
        self.actions.push(action);
        true
    }

    pub(super) fn order_machine(&mut self, key: MachineKey, purpose: Purpose, now: Millis) {
        if !self.send_machine_order(key, purpose) {
            return;
        }
        self.set_cordon(key, true);
        let machine = &mut self.fleet.machines[key];
        machine.duty = Duty::Ordered {
            purpose,
            worker: machine.report.worker.clone(),
            accepted_at: None,
            until: now.after_ms(LATE_ORDER_MS),
            again_at: None,
        };
        self.fleet.next_list = self.fleet.next_list.min(now.after_ms(LIST_MS));
    }
}
