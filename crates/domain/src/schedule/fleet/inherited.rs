//! Orders to instances that a former leader sent and whose effect is not known.
//!
//! Such an order may still be carried out, and ends whatever runs on its instance by then. The platform refuses it only
//! after this leader has sent an order for the same instance.

use serde::{Deserialize, Serialize};

use super::{Operation, OperationState};
use crate::prelude::*;
use crate::schedule::order::InstanceState;
use crate::schedule::{LATE_ORDER_MS, Scheduler};

/// An order to an instance that may still be carried out, as stored for the next leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceOrderRecord {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// The worker that ran on it when the order was sent.
    #[serde(default)]
    pub worker: Option<Arc<str>>,
    /// Number of the wave, if the order is one of maintenance.
    #[serde(default)]
    pub wave: Option<u64>,
}

/// The orders of former leaders that may still be carried out.
#[derive(Debug, Default)]
pub(super) struct InheritedOrders {
    records: Vec<InstanceOrderRecord>,
    /// When none of them can be carried out any more.
    expires_at: Millis,
    /// Lists that were requested before this time may show the state before an order.
    began_at: Millis,
}

impl InheritedOrders {
    /// Whether an order for this instance may still be carried out.
    pub(super) fn contains(&self, instance: &str) -> bool {
        let mut records = self.records.iter();
        records.any(|record| &*record.instance == instance)
    }

    /// Instances whose maintenance for the wave may still begin.
    pub(super) fn of_wave(&self, wave: u64) -> impl Iterator<Item = &Arc<str>> {
        let records = self.records.iter();
        records
            .filter(move |record| record.wave == Some(wave))
            .map(|record| &record.instance)
    }
}

impl Scheduler {
    /// Takes over the orders of the former leader. Must be called before its workers are added.
    pub(in crate::schedule) fn inherit_instance_orders(
        &mut self,
        records: Vec<InstanceOrderRecord>,
        now: Millis,
    ) {
        self.fleet.inherited = InheritedOrders {
            records,
            // A leader sends no order to an instance once its lease is not certain, so none is sent after this.
            expires_at: now.after_ms(LATE_ORDER_MS),
            began_at: now,
        };
    }

    /// The orders of this leader and its predecessors that may still be carried out.
    pub(in crate::schedule) fn instance_order_records(&self) -> Vec<InstanceOrderRecord> {
        let instances = self.fleet.instances.values();
        let own = instances.filter_map(|instance| match &instance.operation_state {
            OperationState::Ordered {
                operation,
                previous_worker,
                ..
            } => Some(InstanceOrderRecord {
                instance: Arc::clone(&instance.report.name),
                worker: previous_worker.clone(),
                wave: match operation {
                    Operation::Maintain(wave) => Some(*wave),
                    Operation::Move(_) => None,
                },
            }),
            OperationState::Inactive | OperationState::Evacuating(_) => None,
        });
        let mut records: Vec<InstanceOrderRecord> = own.collect();
        for record in &self.fleet.inherited.records {
            if !records.iter().any(|own| own.instance == record.instance) {
                records.push(record.clone());
            }
        }
        records
    }

    /// Whether an order of a former leader for the instance may still be carried out.
    pub(super) fn has_inherited_order(&self, key: FleetInstanceKey) -> bool {
        let instance = self.fleet.instances.get(key);
        instance.is_some_and(|instance| self.fleet.inherited.contains(&instance.report.name))
    }

    /// Drops the inherited orders that the latest list shows as carried out, and all once they have expired.
    pub(super) fn settle_inherited_orders(&mut self, now: Millis) {
        let inherited = &self.fleet.inherited;
        if inherited.records.is_empty() {
            return;
        }
        let is_expired = now >= inherited.expires_at;
        let is_list_later = self.fleet.list_requested_at > inherited.began_at;
        let is_carried_out = |record: &InstanceOrderRecord| {
            self.fleet.listed(&record.instance).is_some_and(|instance| {
                instance.report.state != InstanceState::Up
                    || instance.report.worker != record.worker
            })
        };
        let settled = inherited.records.iter();
        let settled = settled
            .filter(|record| is_expired || (is_list_later && is_carried_out(record)))
            .map(|record| Arc::clone(&record.instance));
        for instance in settled.collect::<Vec<_>>() {
            self.drop_inherited_order(&instance);
        }
    }

    /// Drops the inherited order for an instance: it has been carried out, or would be refused.
    pub(super) fn drop_inherited_order(&mut self, instance: &str) {
        let records = &mut self.fleet.inherited.records;
        let count = records.len();
        records.retain(|record| &*record.instance != instance);
        if records.len() == count {
            return;
        }
        let workers = self.workers_by_instance.get(instance);
        for key in workers.into_iter().flatten().copied().collect::<Vec<_>>() {
            let is_reserved = self.is_instance_reserved(key);
            if let Some(worker) = self.workers.get_mut(key) {
                worker.cordoned = is_reserved;
            }
            self.request_worker_placement(key);
        }
    }
}
