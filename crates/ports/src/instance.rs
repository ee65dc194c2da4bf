//! Instances as the platform lists them and as services see them.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryscale_domain::document::ServiceFields;
use rosemaryscale_domain::roster::ListEntry;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It serves.
    Live,
    /// It leaves and must get no new work.
    Leaving,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name, unique in the platform.
    pub name: Arc<str>,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Pool that it was created in.
    pub pool_hint: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Rack.
    pub rack: Arc<str>,
    /// State.
    pub state: InstanceState,
}

impl ListEntry for InstanceRecord {
    fn name(&self) -> &Arc<str> {
        &self.name
    }

    fn pool(&self) -> &Arc<str> {
        &self.pool_hint
    }
}

/// The instances that are taken to exist after the last read of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct InstanceSnapshot {
    /// The instances.
    pub instances: Arc<[InstanceRecord]>,
    /// Names of those of the instances that the last read lacked.
    pub unlisted: Arc<[Arc<str>]>,
    /// How often the list was read; 0 before the first read.
    pub reads: u64,
}

/// Handle of the instance list port: the newest list.
pub type InstanceList = watch::Receiver<InstanceSnapshot>;

/// What a dispatcher needs to know of its service.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Name of the service.
    pub name: Arc<str>,
    /// Version of the document.
    pub version: u64,
    /// Limits.
    pub fields: ServiceFields,
    /// Instances of the service's pool that may get work.
    pub instances: Vec<InstanceRecord>,
    /// Names of those of the instances that the platform's last list lacked.
    pub unlisted: Arc<[Arc<str>]>,
}
