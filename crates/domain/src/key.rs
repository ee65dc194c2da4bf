//! Small `Copy` keys into arenas. Keys are local to a process; messages between processes use names
//! instead.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a service.
    pub struct ServiceKey;
    /// Key of a pool.
    pub struct PoolKey;
    /// Key of an upstream instance.
    pub struct InstanceKey;
    /// Key of a rack.
    pub struct RackKey;
    /// Key of an availability zone.
    pub struct ZoneKey;
    /// Key of a caller.
    pub struct CallerKey;
    /// Key of a request.
    pub struct RequestKey;
    /// Key of a connection to an upstream instance.
    pub struct ConnectionKey;
    /// Key of a daemon.
    pub struct DaemonKey;
    /// Key of a job.
    pub struct JobKey;
    /// Key of a claim in the claim table of its daemon.
    pub struct ClaimKey;
    /// Key of a request that waits for the outcome of a claim.
    pub struct WaiterKey;
    /// Key of the slots of one service on one instance.
    pub struct SlotKey;
    /// Key of a team.
    pub struct TeamKey;
    /// Key of a workspace.
    pub struct WorkspaceKey;
    /// Key of a worker.
    pub struct WorkerKey;
    /// Key of a gateway, a daemon that holds links to workers for the leader.
    pub struct GatewayKey;
    /// Key of a task of a job.
    pub struct TaskKey;
    /// Key of a run of a task.
    pub struct RunKey;
    /// Key of an instance that the platform can move or maintain.
    pub struct FleetInstanceKey;
}
