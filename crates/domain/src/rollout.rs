//! Roll-out of accepted documents: the version in force on a daemon, and the peers it polls.

use crate::document::Accepted;
use crate::{Document, prelude::*};

/// Number of peers polled per round. Each round polls the next peers in turn, so the message rate
/// of a daemon does not grow with the number of daemons.
pub const PEERS_PER_ROUND: usize = 3;

/// Result of handing a document to [`InForce::adopt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The document is newer and is now in force.
    Adopted,
    /// This document is already in force.
    Known,
    /// A newer document is in force.
    Older,
    /// Another document is in force under the same version, because the store was rolled back and
    /// then written again. The document in force stays until a higher version is accepted.
    Diverged,
}

/// The document in force on one daemon. Its version never decreases.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    document: Option<Arc<Document<Accepted>>>,
    highest_known: u64,
    highest_unreadable: u64,
}

impl InForce {
    /// Returns the document, if there is one.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document<Accepted>>> {
        self.document.as_ref()
    }

    /// Returns the version of the document; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.document
            .as_ref()
            .map_or(0, |document| document.state.version)
    }

    /// Returns the highest version known to this daemon. A new change gets a higher one.
    #[must_use]
    pub fn known_version(&self) -> u64 {
        self.highest_known.max(self.version())
    }

    /// Returns the newest accepted version if this daemon cannot read its format, otherwise `None`.
    #[must_use]
    pub fn unreadable_version(&self) -> Option<u64> {
        (self.highest_unreadable > self.version()).then_some(self.highest_unreadable)
    }

    /// Records that a peer or the store has `version`; returns whether this daemon should fetch it.
    pub fn record_offer(&mut self, version: u64) -> bool {
        self.highest_known = self.highest_known.max(version);
        version > self.version().max(self.highest_unreadable)
    }

    /// Puts a document in force if it is newer than the one in force.
    pub fn adopt(&mut self, document: Arc<Document<Accepted>>) -> Adoption {
        let version = document.state.version;
        self.highest_known = self.highest_known.max(version);
        let Some(current) = &self.document else {
            self.document = Some(document);
            return Adoption::Adopted;
        };
        if version > current.state.version {
            self.document = Some(document);
            return Adoption::Adopted;
        }
        if version < current.state.version {
            return Adoption::Older;
        }
        if document.digest == current.digest {
            Adoption::Known
        } else {
            Adoption::Diverged
        }
    }

    /// Records that this daemon cannot read the document of `version`; returns true the first time.
    /// The document in force stays, and `version` is not fetched again.
    pub fn record_unreadable(&mut self, version: u64) -> bool {
        self.highest_known = self.highest_known.max(version);
        let first = version > self.version().max(self.highest_unreadable);
        self.highest_unreadable = self.highest_unreadable.max(version);
        first
    }
}

/// Selects the peers of each polling round in rotation.
#[derive(Clone, Debug, Default)]
pub struct PeerRotation {
    last: Option<Arc<str>>,
}

impl PeerRotation {
    /// Returns the peers to poll in the next round: up to [`PEERS_PER_ROUND`] names after the last
    /// one polled. `names` must be sorted and without duplicates.
    pub fn next_round(&mut self, names: &[Arc<str>]) -> Vec<Arc<str>> {
        let start = self.last.as_ref().map_or(0, |last| {
            names.partition_point(|name| name.as_ref() <= last.as_ref())
        });
        let round: Vec<Arc<str>> = names
            .iter()
            .cycle()
            .skip(start)
            .take(PEERS_PER_ROUND.min(names.len()))
            .map(Arc::clone)
            .collect();
        self.last = round.last().cloned().or_else(|| self.last.take());
        round
    }
}

/// Reachability of the platform's store, as last observed by the watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// No call has been answered or has failed yet.
    #[default]
    Unknown,
    /// The last call was answered.
    Reachable,
    /// The last call failed.
    Unreachable {
        /// What failed.
        reason: Arc<str>,
    },
}

/// Result of the last round of peer polling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundResult {
    /// Number of peers polled.
    pub queried: usize,
    /// Number of peers that answered.
    pub answered: usize,
}

/// Explains why a daemon without a document is not ready, and what the operator can do.
#[must_use]
pub fn not_ready_reason(
    environment: &str,
    in_force: &InForce,
    platform: &Reachability,
    round: RoundResult,
) -> String {
    if let Some(version) = in_force.unreadable_version() {
        return format!(
            "version {version} is accepted, but this daemon cannot read its format; upgrade the daemon"
        );
    }
    let RoundResult { queried, answered } = round;
    let platform = match platform {
        Reachability::Reachable => {
            return format!(
                "no document is accepted in {environment}; accept one with rosemaryscale apply"
            );
        }
        Reachability::Unknown => return "the platform has not answered yet; wait".to_owned(),
        Reachability::Unreachable { reason } => reason,
    };
    let peers = match (queried, answered) {
        (0, _) => "no peer is known; restore the platform or list \"peers\" in the settings".into(),
        (_, 0) => format!("none of {queried} peers answers; restore the platform or a peer"),
        _ => format!("none of {answered} peers that answer has a document; restore the platform"),
    };
    format!("the platform is not reachable ({platform}) and {peers}")
}
