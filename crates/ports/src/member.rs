//! The members of an environment: its daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryscale_domain::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Describes a daemon; stored as the value of its member key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Availability zone.
    pub availability_zone: Arc<str>,
    /// Address of the operator API.
    pub operator_address: SocketAddr,
    /// Address for calls from peers.
    pub peer_address: SocketAddr,
    /// Distinguishes successive processes of the same name.
    pub incarnation: Arc<str>,
}

/// A member as last read by this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The record that the member wrote.
    pub record: MemberRecord,
    /// Whether its heartbeat key exists and belongs to this incarnation.
    pub heartbeat: bool,
    /// Revision at which the heartbeat key was written; 0 if there is none.
    pub registered: u64,
}

/// The members as last read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Revision of the store that the view reflects; 0 before the first read.
    pub revision: u64,
    /// Members by name.
    pub members: FastMap<Arc<str>, Member>,
}

impl MemberView {
    /// Returns the sorted names of the members that have a heartbeat.
    #[must_use]
    pub fn live(&self) -> Vec<Arc<str>> {
        let mut names: Vec<Arc<str>> = self
            .members
            .values()
            .filter(|member| member.heartbeat)
            .map(|member| Arc::clone(&member.record.name))
            .collect();
        names.sort();
        names
    }
}

/// Receives the newest view of the members.
pub type MemberWatch = watch::Receiver<Arc<MemberView>>;
