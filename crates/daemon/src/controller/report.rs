//! Report of the pools for operators.

use std::sync::Arc;

use rosemaryscale_domain::assignment::Phase;
use rosemaryscale_domain::fleet::MoveStatus;
use rosemaryscale_ports::fleet::{AssignmentView, InstanceReport, PoolsReport};

/// Reports the assignments. Only the controller has `moves`.
pub(super) fn pools_report(
    view: &AssignmentView,
    controller: Option<Arc<str>>,
    moves: Option<&[MoveStatus]>,
) -> PoolsReport {
    let mut instances: Vec<InstanceReport> = view
        .zones
        .iter()
        .flat_map(|(zone, stored)| {
            stored
                .assignments
                .instances
                .iter()
                .map(move |(name, record)| {
                    let status = moves
                        .unwrap_or_default()
                        .iter()
                        .find(|status| status.instance == *name);
                    InstanceReport {
                        name: Arc::clone(name),
                        pool: Arc::clone(&record.pool),
                        zone: Arc::clone(zone),
                        phase: record.phase.as_str().into(),
                        to: match &record.phase {
                            Phase::Leaving { to } => to.clone(),
                            _ => None,
                        },
                        epoch: record.epoch,
                        waiting_for: status
                            .map(|status| status.waiting_for.clone())
                            .unwrap_or_default(),
                        vanished_wait_ms: status.map_or(0, |status| status.vanished_wait_ms),
                    }
                })
        })
        .collect();
    instances.sort_by(|left, right| (&left.pool, &left.name).cmp(&(&right.pool, &right.name)));
    PoolsReport {
        controller,
        instances,
    }
}
