//! From where a daemon learns the configuration: when the store or a peer last confirmed the version in
//! force, and which peer to ask while the store does not answer.
//!
//! A confirmation says that no newer version was known at a point in time. It counts from the time at which
//! the request was sent, so that an answer that was under way for long, also while the process was
//! suspended, proves no more than it can.

use std::hash::BuildHasher;
use std::net::SocketAddr;

use rustc_hash::FxBuildHasher;

use crate::prelude::*;

/// Interval between two questions to peers.
pub const ASK_INTERVAL_MS: u64 = 1_000;
/// Time without an answer after which the store counts as silent. A watch that works answers within 1.2 s.
const SILENT_AFTER_MS: u64 = 2_000;
/// Age of a confirmation up to which the same peer is asked again. The store answers a peer's watch at
/// least every 1.2 s.
const FRESH_AGE_MS: u64 = 2_000;

/// Time without an answer, a part of one, or a failure of the store after which this process must have been
/// suspended: each call to the store is silent for 1.2 s at most, with 0.5 s between two calls. It is also the time
/// within which a withdrawn key must be refused.
const SUSPENDED_AFTER_MS: u64 = 3_000;

/// How current the version in force is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// When the version was last confirmed.
    pub confirmed_at: Option<Millis>,
    /// When the store last answered, sent a part of an answer, or failed.
    pub store_event_at: Millis,
}

/// Why calls that need a key are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The last confirmation is too long ago.
    Unconfirmed,
    /// The process was suspended, and has not yet tried to learn what it missed.
    Suspended,
}

/// Bound on the time for which keys are honoured while the configuration is not confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevocationBound {
    /// Longest time since the last confirmation; `None` means no limit.
    pub revoke_ms: Option<u64>,
    /// Whether calls that need a key are refused beyond it.
    pub is_strict: bool,
}

impl RevocationBound {
    /// Whether the last confirmation is too long ago.
    #[must_use]
    pub fn is_exceeded(&self, confirmation: Confirmation, now: Millis) -> bool {
        self.revoke_ms.is_some_and(|revoke_ms| {
            let confirmed_at = confirmation.confirmed_at;
            confirmed_at.is_none_or(|confirmed_at| now.ms_since(confirmed_at) > revoke_ms)
        })
    }

    /// Why calls that need a key are refused; `None` if they are not.
    #[must_use]
    pub fn refusal(&self, confirmation: Confirmation, now: Millis) -> Option<KeyRefusal> {
        if now.ms_since(confirmation.store_event_at) > SUSPENDED_AFTER_MS {
            return Some(KeyRefusal::Suspended);
        }
        let refuses = self.is_strict && self.is_exceeded(confirmation, now);
        refuses.then_some(KeyRefusal::Unconfirmed)
    }
}

/// A daemon that can be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigPeer {
    /// Its name.
    pub name: Arc<str>,
    /// Where it answers.
    pub address: SocketAddr,
}

/// What a peer says about its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatement {
    /// Version that it has in force; 0 if none.
    pub version: u64,
    /// Time since that version was confirmed; `None` if it never was.
    pub confirmed_age_ms: Option<u64>,
}

/// What follows from a peer's statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerVerdict {
    /// The peer has a newer version, confirmed at this time.
    Newer(Option<Millis>),
    /// The peer has the same version.
    Same,
    /// The peer has an older version, which says nothing.
    Older,
}

/// A question that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct Question {
    peer: DaemonKey,
    asked_at: Millis,
}

/// State of the sources of the configuration.
#[derive(Debug)]
pub struct ConfigSource {
    /// Part of the interval by which this daemon asks later than others.
    ask_offset_ms: u64,
    version: u64,
    confirmed_at: Option<Millis>,
    /// Version that the store last reported, if it was readable.
    store_version: Option<u64>,
    /// Time of the last answer or failure of the store; the next request was sent after it.
    store_event_at: Millis,
    /// When a part of the answer to that request last arrived.
    receiving_at: Option<Millis>,
    /// Since when the store has confirmed nothing.
    failing_since: Option<Millis>,
    peers: SlotMap<DaemonKey, ConfigPeer>,
    /// The peers by name.
    order: Vec<DaemonKey>,
    /// Position in the order of the peer to ask next.
    position: usize,
    question: Option<Question>,
    asked_at: Option<Millis>,
}

impl ConfigSource {
    /// Sources of a daemon that has no configuration yet.
    #[must_use]
    pub fn new(daemon: &str, now: Millis) -> Self {
        let hash = FxBuildHasher.hash_one(daemon);
        Self {
            ask_offset_ms: hash % ASK_INTERVAL_MS,
            version: 0,
            confirmed_at: None,
            store_version: None,
            store_event_at: now,
            receiving_at: None,
            failing_since: None,
            peers: SlotMap::default(),
            order: Vec::new(),
            // Daemons begin with different peers.
            position: (hash / ASK_INTERVAL_MS) as usize,
            question: None,
            asked_at: None,
        }
    }

    /// How current the version in force is.
    #[must_use]
    pub fn confirmation(&self) -> Confirmation {
        Confirmation {
            confirmed_at: self.confirmed_at,
            store_event_at: self.receiving_at.unwrap_or(self.store_event_at),
        }
    }

    /// What this daemon tells its peers.
    #[must_use]
    pub fn statement(&self, now: Millis) -> PeerStatement {
        PeerStatement {
            version: self.version,
            confirmed_age_ms: self.confirmed_at.map(|at| now.ms_since(at)),
        }
    }

    /// Puts a newer version in force. Returns false, and changes nothing, for any other version.
    pub fn put_in_force(&mut self, version: u64, confirmed_at: Option<Millis>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.confirmed_at = confirmed_at;
        true
    }

    /// Applies an answer of the store that reports this version, or no change. The answer confirms the version
    /// in force unless the store's own is older. Call it after the reported version was put in force.
    pub fn store_answered(&mut self, reported: Option<u64>, now: Millis) {
        self.store_version = reported.or(self.store_version);
        if self
            .store_version
            .is_none_or(|version| version >= self.version)
        {
            self.confirmed_at = self.confirmed_at.max(Some(self.store_event_at));
            self.failing_since = None;
        } else {
            self.failing_since = self.failing_since.or(Some(now));
        }
        self.end_request(now);
    }

    /// Applies a part of an answer of the store. What the answer confirms is known when it is complete.
    pub fn store_sending(&mut self, now: Millis) {
        self.receiving_at = Some(now);
    }

    /// Applies a failure of the store.
    pub fn store_failed(&mut self, now: Millis) {
        // The next answer lists the store's version again.
        self.store_version = None;
        self.failing_since = self.failing_since.or(Some(now));
        self.end_request(now);
    }

    fn end_request(&mut self, now: Millis) {
        self.store_event_at = now;
        self.receiving_at = None;
    }

    /// Replaces the daemons that can be asked.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = ConfigPeer>) {
        let next = self.next_peer().map(|(_, peer)| Arc::clone(&peer.name));
        let mut listed: Vec<ConfigPeer> = peers.into_iter().collect();
        listed.sort_by(|left, right| left.name.cmp(&right.name));
        self.peers.clear();
        self.order = listed
            .into_iter()
            .map(|peer| self.peers.insert(peer))
            .collect();
        let same = next.and_then(|name| {
            self.order
                .iter()
                .position(|key| self.peers[*key].name == name)
        });
        self.position = same.unwrap_or(self.position);
    }

    /// When a peer is to be asked; `None` while the store answers, a question is open or no peer is known. While an
    /// answer of the store is arriving, that of a peer would only take a part of the link.
    #[must_use]
    pub fn ask_at(&self) -> Option<Millis> {
        if self.question.is_some() || self.order.is_empty() {
            return None;
        }
        let silent_from = match (self.receiving_at, self.failing_since) {
            (Some(receiving_at), _) => receiving_at.after_ms(SILENT_AFTER_MS),
            (None, Some(failing_since)) => failing_since,
            (None, None) => self.store_event_at.after_ms(SILENT_AFTER_MS),
        };
        let next = self.asked_at.map(|at| at.after_ms(ASK_INTERVAL_MS));
        Some(
            silent_from
                .after_ms(self.ask_offset_ms)
                .max(next.unwrap_or_default()),
        )
    }

    /// Begins a question if it is time for one. Returns the peer to ask.
    pub fn ask(&mut self, now: Millis) -> Option<ConfigPeer> {
        if self.ask_at().is_none_or(|at| now < at) {
            return None;
        }
        let (key, peer) = self.next_peer()?;
        let peer = peer.clone();
        self.question = Some(Question {
            peer: key,
            asked_at: now,
        });
        self.asked_at = Some(now);
        Some(peer)
    }

    /// Applies the answer to the open question.
    pub fn peer_answered(&mut self, statement: PeerStatement, now: Millis) -> PeerVerdict {
        let confirmed_at = self.question.and_then(|question| {
            let asked_at_ms = question.asked_at.as_ms();
            let confirmed_ms = asked_at_ms.checked_sub(statement.confirmed_age_ms?)?;
            Some(Millis::from_ms(confirmed_ms))
        });
        let is_fresh = confirmed_at.is_some_and(|at| now.ms_since(at) <= FRESH_AGE_MS);
        self.end_question(is_fresh && statement.version >= self.version);
        if statement.version > self.version {
            return PeerVerdict::Newer(confirmed_at);
        }
        if statement.version < self.version {
            return PeerVerdict::Older;
        }
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        PeerVerdict::Same
    }

    /// Ends the open question, which was not answered or not usefully. The next one goes to another peer.
    pub fn peer_failed(&mut self) {
        self.end_question(false);
    }

    fn end_question(&mut self, keeps_peer: bool) {
        let asked = self.question.take().map(|question| question.peer);
        let next = self.next_peer().map(|(key, _)| key);
        if !keeps_peer && asked == next {
            self.position = self.position.wrapping_add(1);
        }
    }

    fn next_peer(&self) -> Option<(DaemonKey, &ConfigPeer)> {
        let index = self.position.checked_rem(self.order.len())?;
        let key = self.order[index];
        Some((key, self.peers.get(key)?))
    }
}
