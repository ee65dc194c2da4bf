//! Roll-out of accepted documents: which version a daemon has in force, and which peers it asks.

use crate::document::Accepted;
use crate::{Document, prelude::*};

/// Peers asked in one round. Each daemon asks a different part of its peers every round, so that
/// the messages of a daemon do not grow with the number of daemons.
pub const PEERS_PER_ROUND: usize = 3;

/// Result of handing a document to [`InForce::adopt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The document is newer and now in force.
    Adopted,
    /// This document is already in force.
    Known,
    /// A newer document is in force.
    Older,
    /// Another document is in force under the same version: the store was set back and written
    /// again. The document in force stays until a higher version is accepted.
    Diverged,
}

/// The document that one daemon has in force. Its version never decreases.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    document: Option<Arc<Document<Accepted>>>,
    heard: u64,
    unreadable: u64,
}

impl InForce {
    /// The document, if there is one.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document<Accepted>>> {
        self.document.as_ref()
    }

    /// Version of the document; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.document
            .as_ref()
            .map_or(0, |document| document.state.version)
    }

    /// The highest version that this daemon has heard of. A new change gets a higher one.
    #[must_use]
    pub fn known_version(&self) -> u64 {
        self.heard.max(self.version())
    }

    /// The newest accepted version if this daemon cannot read it, otherwise `None`.
    #[must_use]
    pub fn unreadable_version(&self) -> Option<u64> {
        (self.unreadable > self.version()).then_some(self.unreadable)
    }

    /// Notes that somebody has `version`; tells whether this daemon should read its text.
    pub fn offered(&mut self, version: u64) -> bool {
        self.heard = self.heard.max(version);
        version > self.version().max(self.unreadable)
    }

    /// Puts a document in force if it is newer than the one in force.
    pub fn adopt(&mut self, document: Arc<Document<Accepted>>) -> Adoption {
        let version = document.state.version;
        self.heard = self.heard.max(version);
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

    /// Notes that this daemon cannot read the document of `version`; true the first time. The
    /// document in force stays, and the text is not read again.
    pub fn note_unreadable(&mut self, version: u64) -> bool {
        self.heard = self.heard.max(version);
        let first = version > self.version().max(self.unreadable);
        self.unreadable = self.unreadable.max(version);
        first
    }
}

/// Selects the peers of each round in turns.
#[derive(Clone, Debug, Default)]
pub struct PeerRotation {
    last: Option<Arc<str>>,
}

impl PeerRotation {
    /// The peers to ask in the next round: up to [`PEERS_PER_ROUND`] names that follow the last
    /// one asked. `names` is in order and without duplicates.
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

/// Whether the platform's store answers, as last seen by the watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// No reply and no failure yet.
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

/// Result of the last round of digests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundResult {
    /// Peers asked.
    pub asked: usize,
    /// Peers that answered.
    pub answered: usize,
}

/// Why a daemon without a document is not ready, and what to do.
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
    let RoundResult { asked, answered } = round;
    let platform = match platform {
        Reachability::Reachable => {
            return format!(
                "no document is accepted in {environment}; accept one with rosemaryscale apply"
            );
        }
        Reachability::Unknown => return "the platform has not answered yet; wait".to_owned(),
        Reachability::Unreachable { reason } => reason,
    };
    let peers = match (asked, answered) {
        (0, _) => "no peer is known; restore the platform or list \"peers\" in the settings".into(),
        (_, 0) => format!("none of {asked} peers answers; restore the platform or a peer"),
        _ => format!("none of {answered} peers that answer has a document; restore the platform"),
    };
    format!("the platform is not reachable ({platform}) and {peers}")
}
