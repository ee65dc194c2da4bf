//! Whether a pool carries its demand without one more instance.

use super::{FleetInstance, InstancePhase, MaintenanceSnapshot, PauseReason, Stage};
use crate::prelude::*;

/// A rack with this many unhealthy instances that nobody drained is lost.
const RACK_LOST_INSTANCES: u32 = 2;

/// Counts of one pool.
#[derive(Clone, Debug, Default)]
struct PoolCount {
    available: u32,
    available_by_rack: FastMap<RackKey, u32>,
    racks: FastSet<RackKey>,
    zones: FastSet<ZoneKey>,
    maintained: u32,
}

/// What every pool has left.
#[derive(Debug, Default)]
pub(super) struct Capacity {
    pools: FastMap<PoolKey, PoolCount>,
    unplanned_by_rack: FastMap<RackKey, u32>,
    by_zone: FastMap<ZoneKey, (u32, u32)>,
}

impl Capacity {
    /// Counts the instances; `stage` is that of an instance's maintenance.
    pub(super) fn count(
        snapshot: &MaintenanceSnapshot<'_>,
        stage: impl Fn(&FleetInstance) -> Option<Stage>,
    ) -> Self {
        let mut capacity = Self::default();
        for instance in snapshot.instances.values() {
            let stage = stage(instance);
            let serving = instance.phase == InstancePhase::Serving;
            let under_way = match stage {
                Some(Stage::Verified) => !serving,
                stage => stage.is_some(),
            };
            if under_way || !serving {
                capacity.take(instance, under_way);
            } else if instance.available() {
                let pool = capacity.pools.entry(instance.pool).or_default();
                pool.available += 1;
                *pool.available_by_rack.entry(instance.rack).or_default() += 1;
            }
            let zone = capacity.by_zone.entry(instance.zone).or_default();
            zone.0 += 1;
            // Instances that fail after their own reboot say nothing about their rack.
            if !instance.healthy && stage.is_none() && serving {
                zone.1 += 1;
                *capacity.unplanned_by_rack.entry(instance.rack).or_default() += 1;
            }
        }
        capacity
    }

    /// Counts an instance that does not serve. What operators drain and what moves counts against
    /// the racks and zones of the pool but not against the parallel limit, which it could block.
    fn take(&mut self, instance: &FleetInstance, under_way: bool) {
        let pool = self.pools.entry(instance.pool).or_default();
        pool.maintained += u32::from(under_way);
        pool.racks.insert(instance.rack);
        pool.zones.insert(instance.zone);
    }

    /// A lost rack or zone: its pools live on their reserve until it is back.
    pub(super) fn lost(&self) -> Option<PauseReason> {
        if self.by_zone.keys().any(|zone| self.zone_lost(*zone)) {
            return Some(PauseReason::ZoneLost);
        }
        let lost = self
            .unplanned_by_rack
            .keys()
            .any(|rack| self.rack_lost(*rack));
        lost.then_some(PauseReason::RackLost)
    }

    /// Whether the loss of its rack or zone explains why the instance is down.
    pub(super) fn explains(&self, instance: &FleetInstance) -> bool {
        self.rack_lost(instance.rack) || self.zone_lost(instance.zone)
    }

    fn rack_lost(&self, rack: RackKey) -> bool {
        let down = self.unplanned_by_rack.get(&rack);
        down.is_some_and(|down| *down >= RACK_LOST_INSTANCES)
    }

    fn zone_lost(&self, zone: ZoneKey) -> bool {
        let counts = self.by_zone.get(&zone);
        counts.is_some_and(|(all, down)| *down >= RACK_LOST_INSTANCES && down * 2 > *all)
    }

    /// Whether the pool carries its demand with what is available now.
    pub(super) fn carries(&self, snapshot: &MaintenanceSnapshot<'_>, pool: PoolKey) -> bool {
        let available = self.pools.get(&pool).map_or(0, |count| count.available);
        let limits = snapshot.pools.get(pool);
        limits.is_some_and(|limits| available >= limits.needed())
    }

    /// Whether the instance may leave its pool now.
    pub(super) fn allows(
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
        let needed = limits.needed();
        let left = pool.available.saturating_sub(1);
        if pool.maintained >= parallel_per_pool || left < needed {
            return false;
        }
        let new_zone = !pool.zones.contains(&instance.zone);
        if new_zone && pool.zones.len() >= 2 {
            return false;
        }
        if pool.racks.iter().any(|rack| *rack != instance.rack) {
            // More than one rack is open only while the loss of any other one is bearable.
            let largest = pool.available_by_rack.values().max().copied().unwrap_or(0);
            return left >= needed + largest;
        }
        true
    }
}
