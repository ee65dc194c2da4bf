//! Types that most modules of this package and its dependents use.

pub use crate::key::{
    CallerKey, ClaimKey, ConnectionKey, DaemonKey, FleetInstanceKey, GatewayKey, InstanceKey,
    JobKey, PoolKey, RackKey, RequestKey, RunKey, ServiceKey, SlotKey, TaskKey, TeamKey, WaiterKey,
    WorkerKey, WorkspaceKey, ZoneKey,
};
pub use crate::map::{FastMap, FastSet};
pub use crate::millis::Millis;
pub use slotmap::{SecondaryMap, SlotMap};
pub use std::sync::Arc;
