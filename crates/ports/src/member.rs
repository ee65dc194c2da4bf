//! The members of an environment: its daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryscale_domain::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// What a daemon writes of itself; the value of its member key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Availability zone.
    pub availability_zone: Arc<str>,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Distinguishes processes that used the same name.
    pub incarnation: Arc<str>,
}

/// A member as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// What it wrote of itself.
    pub record: MemberRecord,
    /// Whether its heartbeat key exists and belongs to this incarnation.
    pub heartbeat: bool,
    /// Revision at which the heartbeat key was written; 0 without one.
    pub registered: u64,
}

/// The members as last seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Revision of the store that the view reflects; 0 before the first.
    pub revision: u64,
    /// Members by name.
    pub members: FastMap<Arc<str>, Member>,
}

impl MemberView {
    /// Names of the members that have a heartbeat, in order.
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

/// Handle of the membership port: the newest view.
pub type MemberWatch = watch::Receiver<Arc<MemberView>>;
