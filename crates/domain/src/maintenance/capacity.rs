//! Decides whether a pool still meets its demand when one more instance is drained.

use super::{FleetInstance, InstancePhase, MaintenanceSnapshot, PauseReason, Stage};
use crate::prelude::*;

/// A rack is down if it has at least this many unhealthy instances outside maintenance and drains.
const RACK_DOWN_THRESHOLD: u32 = 2;

/// Instance counts of one pool.
#[derive(Clone, Debug, Default)]
struct PoolCounts {
    available: u32,
    available_by_rack: FastMap<RackKey, u32>,
    racks: FastSet<RackKey>,
    zones: FastSet<ZoneKey>,
    under_maintenance: u32,
}

/// Remaining capacity of every pool, and unplanned losses by rack and zone.
#[derive(Debug, Default)]
pub(super) struct Capacity {
    pools: FastMap<PoolKey, PoolCounts>,
    unplanned_down_by_rack: FastMap<RackKey, u32>,
    /// All instances and those that are down unplanned, by zone.
    by_zone: FastMap<ZoneKey, (u32, u32)>,
}

impl Capacity {
    /// Counts the instances of the snapshot; `stage` returns the maintenance stage of an instance.
    pub(super) fn count(
        snapshot: &MaintenanceSnapshot<'_>,
        stage: impl Fn(&FleetInstance) -> Option<Stage>,
    ) -> Self {
        let mut capacity = Self::default();
        for instance in snapshot.instances.values() {
            let stage = stage(instance);
            let serving = instance.phase == InstancePhase::Serving;
            let under_maintenance = match stage {
                Some(Stage::Verified) => !serving,
                stage => stage.is_some(),
            };
            if under_maintenance || !serving {
                capacity.count_out_of_service(instance, under_maintenance);
            } else if instance.available() {
                let pool = capacity.pools.entry(instance.pool).or_default();
                pool.available += 1;
                *pool.available_by_rack.entry(instance.rack).or_default() += 1;
            }
            let zone = capacity.by_zone.entry(instance.zone).or_default();
            zone.0 += 1;
            // A failure after an instance's own reboot does not indicate a fault of its rack.
            if !instance.healthy && stage.is_none() && serving {
                zone.1 += 1;
                *capacity
                    .unplanned_down_by_rack
                    .entry(instance.rack)
                    .or_default() += 1;
            }
        }
        capacity
    }

    /// Counts an instance that is out of service. Instances that an operator drains or that move to
    /// another pool count towards the racks and zones of the pool, but not towards the parallel limit,
    /// which they could block.
    fn count_out_of_service(&mut self, instance: &FleetInstance, under_maintenance: bool) {
        let pool = self.pools.entry(instance.pool).or_default();
        pool.under_maintenance += u32::from(under_maintenance);
        pool.racks.insert(instance.rack);
        pool.zones.insert(instance.zone);
    }

    /// Returns the reason for a pause if a rack or zone is down. Its pools use their reserve capacity
    /// until it is back, so no drain may start.
    pub(super) fn outage(&self) -> Option<PauseReason> {
        if self.by_zone.keys().any(|zone| self.zone_down(*zone)) {
            return Some(PauseReason::ZoneLost);
        }
        let rack_is_down = self
            .unplanned_down_by_rack
            .keys()
            .any(|rack| self.rack_down(*rack));
        rack_is_down.then_some(PauseReason::RackLost)
    }

    /// Returns whether the instance is down because its rack or zone is.
    pub(super) fn explains_failure(&self, instance: &FleetInstance) -> bool {
        self.rack_down(instance.rack) || self.zone_down(instance.zone)
    }

    fn rack_down(&self, rack: RackKey) -> bool {
        let down = self.unplanned_down_by_rack.get(&rack);
        down.is_some_and(|down| *down >= RACK_DOWN_THRESHOLD)
    }

    fn zone_down(&self, zone: ZoneKey) -> bool {
        let counts = self.by_zone.get(&zone);
        counts.is_some_and(|(all, down)| *down >= RACK_DOWN_THRESHOLD && down * 2 > *all)
    }

    /// Returns whether the available instances of the pool meet its demand.
    pub(super) fn meets_demand(&self, snapshot: &MaintenanceSnapshot<'_>, pool: PoolKey) -> bool {
        let available = self.pools.get(&pool).map_or(0, |count| count.available);
        let limits = snapshot.pools.get(pool);
        limits.is_some_and(|limits| available >= limits.required_instances())
    }

    /// Returns whether the instance may be drained now.
    pub(super) fn may_drain(
        &self,
        snapshot: &MaintenanceSnapshot<'_>,
        instance: &FleetInstance,
        parallel_per_pool: u32,
    ) -> bool {
        let Some(limits) = snapshot.pools.get(instance.pool) else {
            return false;
        };
        let Some(pool) = self.pools.get(&instance.pool) else {
            return false;
        };
        let required_instances = limits.required_instances();
        let remaining = pool.available.saturating_sub(1);
        if pool.under_maintenance >= parallel_per_pool || remaining < required_instances {
            return false;
        }
        let new_zone = !pool.zones.contains(&instance.zone);
        if new_zone && pool.zones.len() >= 2 {
            return false;
        }
        if pool.racks.iter().any(|rack| *rack != instance.rack) {
            // Maintenance spans more than one rack only while the pool could also lose any other rack.
            let largest_rack = pool.available_by_rack.values().max().copied().unwrap_or(0);
            return remaining >= required_instances + largest_rack;
        }
        true
    }
}
