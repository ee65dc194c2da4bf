//! Instances in the platform's list and in the views of services.

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
    /// It accepts requests.
    Live,
    /// It is about to be removed and must not receive new requests.
    Leaving,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name, unique on the platform.
    pub name: Arc<str>,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    /// Pool in which it was created.
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

/// The instances that are assumed to exist after the last read of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct InstanceSnapshot {
    /// The instances.
    pub instances: Arc<[InstanceRecord]>,
    /// Names of the instances that were missing from the last read.
    pub unlisted: Arc<[Arc<str>]>,
    /// Number of reads of the list; 0 before the first read.
    pub reads: u64,
}

/// Receives the newest list of instances.
pub type InstanceList = watch::Receiver<InstanceSnapshot>;

/// The configuration and the instances of a service, as its dispatcher needs them.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Name of the service.
    pub name: Arc<str>,
    /// Version of the document.
    pub version: u64,
    /// Limits and other settings of the service.
    pub fields: ServiceFields,
    /// Instances of the service's pool that may receive requests.
    pub instances: Vec<InstanceRecord>,
    /// Names of the instances that were missing from the platform's last list.
    pub unlisted: Arc<[Arc<str>]>,
}
