//! Runs the spare policy on usage and assignments, and writes the moves that it proposes.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryscale_domain::assignment::Phase;
use rosemaryscale_domain::document::DocumentFields;
use rosemaryscale_domain::fleet::{FleetAction, FleetController, FleetRequest, StoredZone};
use rosemaryscale_domain::spare::{
    PoolInstance, PoolSnapshot, SpareMove, SparePolicy, SpareSettings, SpareSnapshot, UsageReport,
    UsageReports,
};
use rosemaryscale_ports::peer::{PeerReply, PeerRequest};
use rosemaryscale_ports::prelude::*;

use super::inputs::Inputs;
use super::{Completion, Controller};

/// State of the spare planner while this daemon holds the controller lease.
#[derive(Debug)]
pub(super) struct SparePlanner {
    policy: SparePolicy,
    usage_reports: UsageReports,
}

impl SparePlanner {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            policy: SparePolicy::new(SpareSettings::DEFAULT, now),
            usage_reports: UsageReports::default(),
        }
    }

    fn propose_moves(
        &mut self,
        fields: &DocumentFields,
        environment: &str,
        inputs: &Inputs,
        zones: &BTreeMap<Arc<str>, StoredZone>,
        now: Millis,
    ) -> Vec<SpareMove> {
        self.usage_reports.retain_members(&inputs.members);
        let mut snapshot = SpareSnapshot {
            pools: self.pools(fields, now),
            spare_instances: fields
                .environments
                .get(environment)
                .map_or(0, |environment| environment.spare_instances),
        };
        add_instances(&mut snapshot, inputs, zones);
        self.policy.propose_moves(&snapshot, now)
    }

    /// Returns the pools of the document with their usage. The smallest slot count among a pool's
    /// services applies, so that the capacity of the pool is not overestimated for any of them.
    fn pools(&self, fields: &DocumentFields, now: Millis) -> BTreeMap<Arc<str>, PoolSnapshot> {
        let pool = |(name, limits): (&Arc<str>, &_)| {
            let services = fields
                .services
                .iter()
                .filter(|(_, service)| service.pool == *name);
            let slots = services
                .clone()
                .map(|(_, service)| service.slots_per_instance);
            let snapshot = PoolSnapshot {
                limits: *limits,
                slots_per_instance: slots.min().unwrap_or(1),
                usage: self
                    .usage_reports
                    .usage(services.map(|(name, _)| name), now),
                assigned: Vec::new(),
                arriving: 0,
                out_of_service: 0,
            };
            (Arc::clone(name), snapshot)
        };
        fields.pools.iter().map(pool).collect()
    }
}

/// Adds each instance to its pool. An instance that the platform does not list is out of service.
fn add_instances(
    snapshot: &mut SpareSnapshot,
    inputs: &Inputs,
    zones: &BTreeMap<Arc<str>, StoredZone>,
) {
    let listed: FastSet<&Arc<str>> = inputs
        .listed
        .iter()
        .flatten()
        .map(|listed| &listed.name)
        .collect();
    for (zone, stored) in zones {
        for (name, record) in &stored.assignments.instances {
            if let Phase::Leaving { to: Some(to) } = &record.phase
                && let Some(pool) = snapshot.pools.get_mut(to)
            {
                pool.arriving += 1;
            }
            let Some(pool) = snapshot.pools.get_mut(&record.pool) else {
                continue;
            };
            if record.phase == Phase::Assigned && listed.contains(name) {
                pool.assigned.push(PoolInstance {
                    zone: Arc::clone(zone),
                    name: Arc::clone(name),
                });
            } else {
                pool.out_of_service += 1;
            }
        }
    }
}

impl Controller {
    /// Writes the moves that the policy proposes, with one write per zone.
    pub(super) fn balance_pools(&mut self, now: Millis) {
        let Some(document) = self.options.config.borrow().clone() else {
            return;
        };
        let inputs = Inputs::read(&self.options, &self.members);
        let Some((fleet, planner)) = self.fleet.as_ref().zip(self.spare.as_mut()) else {
            return;
        };
        let environment = &self.options.environment;
        let zones = &self.view.zones;
        let moves = planner.propose_moves(&document.fields, environment, &inputs, zones, now);
        let actions = zone_writes(fleet, &moves, &inputs, zones);
        let count = i64::try_from(moves.len()).unwrap_or(i64::MAX);
        if count > 0 {
            self.options.metrics.count("controller.spare_moves", count);
        }
        for action in actions {
            self.execute(action, None);
        }
    }

    /// Records a usage report, or forwards this daemon's own report to the controller.
    pub(super) fn record_usage(
        &mut self,
        from: Option<Arc<str>>,
        report: UsageReport,
        reply: oneshot::Sender<bool>,
    ) {
        let now = self.now();
        if let Some(planner) = &mut self.spare {
            let own = || Arc::clone(&self.options.name);
            planner
                .usage_reports
                .record(from.unwrap_or_else(own), report, now);
            let _ = reply.send(true);
            return;
        }
        let holder = self.lease.holder();
        let holder = holder.filter(|holder| from.is_none() && *holder != self.options.name);
        let Some(holder) = holder else {
            let _ = reply.send(false);
            return;
        };
        let peers = self.options.peers.clone();
        self.calls.spawn(async move {
            let result = peers.call(holder, PeerRequest::Usage(report)).await;
            let taken = matches!(result, Ok(PeerReply::Usage { taken: true }));
            let _ = reply.send(taken);
            Completion::Forwarded
        });
    }
}

/// Returns one write per zone with moves. A move that is no longer possible is left out.
fn zone_writes(
    fleet: &FleetController,
    moves: &[SpareMove],
    inputs: &Inputs,
    zones: &BTreeMap<Arc<str>, StoredZone>,
) -> Vec<FleetAction> {
    let mut planned_zones = zones.clone();
    let mut zone_writes = BTreeMap::new();
    for spare_move in moves {
        let request = FleetRequest::Move {
            instance: Arc::clone(&spare_move.instance),
            to: Arc::clone(&spare_move.to),
        };
        let action = fleet.request(&request, &inputs.snapshot(&planned_zones));
        if let Ok(FleetAction::Write {
            zone,
            assignments,
            mod_revision,
        }) = action
        {
            let stored = StoredZone {
                mod_revision,
                assignments: assignments.clone(),
            };
            planned_zones.insert(Arc::clone(&zone), stored);
            zone_writes.insert(
                Arc::clone(&zone),
                FleetAction::Write {
                    zone,
                    mod_revision,
                    assignments,
                },
            );
        }
    }
    zone_writes.into_values().collect()
}
