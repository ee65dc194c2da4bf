//! Proposals: the compare-and-swap protocol that writes a change to the platform's store.
//!
//! The store's compare-and-swap decides which of several concurrent proposals wins. If the reply to
//! a write is lost, the proposal reads the store to look for its change id, and repeats the write
//! under the same condition if it has not taken effect. The condition can hold only once, so the
//! change takes effect at most once.

use std::ops::Range;

use crate::prelude::*;

/// Failed calls to the store after which a proposal gives up. With a time limit of 1.5 s per call,
/// this stays below the 20 s that the command line waits.
pub const FAILURES_MAX: u32 = 5;
/// History records kept for each environment.
pub const HISTORY_MAX: u64 = 200;
/// History records deleted by one change; the store accepts 128 operations per transaction.
const EXPIRED_PER_CHANGE_MAX: u64 = 64;

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// Version assigned to it.
    pub version: u64,
    /// Digest of the document.
    pub digest: Arc<str>,
    /// Identifies the change.
    pub change_id: Arc<str>,
    /// Author of the change.
    pub author: Arc<str>,
    /// Wall-clock time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_wall_ms: u64,
}

/// The document key as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// Store revision of the last write to the key.
    pub revision: u64,
    /// The change that wrote it.
    pub change: AcceptedChange,
}

/// The write of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draft {
    /// Version of the new document.
    pub version: u64,
    /// Revision that the document key must have at the write; 0 if it must not exist.
    pub revision: u64,
    /// Version in the store before the change; 0 if there is none.
    pub replaced_version: u64,
}

impl Draft {
    /// Returns the versions whose history records are deleted in the same transaction.
    #[must_use]
    pub fn expired_history(&self) -> Range<u64> {
        let end = self.version.saturating_sub(HISTORY_MAX - 1).max(1);
        let start = self.replaced_version.saturating_sub(HISTORY_MAX - 1).max(1);
        start.max(end.saturating_sub(EXPIRED_PER_CHANGE_MAX))..end
    }
}

/// The next operation that the caller of a proposal performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalStep {
    /// Read the document key, then the history.
    Read,
    /// Write the document and its history record under the condition of the draft.
    Write(Draft),
    /// The proposal has ended.
    End(ProposalEnd),
}

/// Result of the last step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalEvent {
    /// The store was read.
    Read {
        /// The document key, if it exists.
        head: Option<StoredHead>,
        /// The history record with this proposal's change id, if there is one.
        own: Option<AcceptedChange>,
    },
    /// The write took effect.
    Written,
    /// The write's condition did not hold.
    NotWritten,
    /// There was no reply; a write may have taken effect, or may do so later.
    Lost {
        /// What failed.
        reason: Arc<str>,
    },
    /// The call definitely had no effect.
    Failed {
        /// What failed.
        reason: Arc<str>,
    },
}

/// Final result of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalEnd {
    /// The change was accepted under this version, now or by an earlier attempt with the same
    /// change id.
    Accepted {
        /// Version assigned to the change.
        version: u64,
        /// Digest that was accepted; differs from the proposed one only if a change id was reused.
        digest: Arc<str>,
    },
    /// Another change was accepted first, and this one has no effect.
    Conflict {
        /// The change in force, if the store has one.
        winner: Option<AcceptedChange>,
        /// Version that a rebased change must be based on.
        version: u64,
    },
    /// The change has no effect: an additional condition of the write, such as the source document
    /// of a promotion, did not hold.
    ConditionFailed,
    /// The change may or may not have taken effect.
    Unknown {
        /// What failed.
        reason: Arc<str>,
    },
    /// The change has no effect because the store could not be reached.
    Unavailable {
        /// What failed.
        reason: Arc<str>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing has been written yet.
    Reading,
    /// The write is in flight.
    Writing(Draft),
    /// The result of the write is being read back. `answered` is true if the write was rejected
    /// because its condition did not hold, and false if there was no reply.
    ReadingBack { draft: Draft, answered: bool },
}

/// State machine that writes one change to the store.
#[derive(Clone, Debug)]
pub struct Proposal {
    change_id: Arc<str>,
    digest: Arc<str>,
    expected_version: Option<u64>,
    known_version: u64,
    phase: Phase,
    /// Whether a write got no reply and may therefore have taken effect.
    write_unconfirmed: bool,
    failures: u32,
}

impl Proposal {
    /// Creates a proposal to put the document with `digest` in force; its first step is a read.
    ///
    /// `known_version` is the highest version known to this daemon and its peers. The new version
    /// is above it even if the store lost the document or was restored to an older one.
    #[must_use]
    pub fn new(
        change_id: Arc<str>,
        digest: Arc<str>,
        expected_version: Option<u64>,
        known_version: u64,
    ) -> Self {
        Self {
            change_id,
            digest,
            expected_version,
            known_version,
            phase: Phase::Reading,
            write_unconfirmed: false,
            failures: 0,
        }
    }

    /// Returns the number of failed calls; the caller backs off accordingly before the next
    /// attempt.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Processes the result of the last step and returns the next step.
    pub fn advance(&mut self, event: ProposalEvent) -> ProposalStep {
        match (event, self.phase) {
            (ProposalEvent::Read { head, own }, Phase::Reading) => self.prepare_write(head, own),
            (ProposalEvent::Read { head, own }, Phase::ReadingBack { draft, answered }) => {
                self.resolve_read_back(head, own, draft, answered)
            }
            (ProposalEvent::Written, Phase::Writing(draft)) => {
                ProposalStep::End(ProposalEnd::Accepted {
                    version: draft.version,
                    digest: Arc::clone(&self.digest),
                })
            }
            (ProposalEvent::NotWritten, Phase::Writing(draft)) => {
                self.phase = Phase::ReadingBack {
                    draft,
                    answered: true,
                };
                ProposalStep::Read
            }
            (ProposalEvent::Lost { reason }, Phase::Writing(draft)) => {
                self.write_unconfirmed = true;
                self.phase = Phase::ReadingBack {
                    draft,
                    answered: false,
                };
                self.retry_or_end(&reason)
            }
            (ProposalEvent::Lost { reason } | ProposalEvent::Failed { reason }, phase) => {
                self.handle_failure(&reason, phase)
            }
            (event, phase) => ProposalStep::End(ProposalEnd::Unknown {
                reason: format!(
                    "unexpected event {event:?} in phase {phase:?}; report this as a defect"
                )
                .into(),
            }),
        }
    }

    fn prepare_write(
        &mut self,
        head: Option<StoredHead>,
        own: Option<AcceptedChange>,
    ) -> ProposalStep {
        if let Some(end) = self.earlier_acceptance(head.as_ref(), own) {
            return ProposalStep::End(end);
        }
        let (revision, stored) = head
            .as_ref()
            .map_or((0, 0), |head| (head.revision, head.change.version));
        let current = stored.max(self.known_version);
        if self
            .expected_version
            .is_some_and(|expected| expected != current)
        {
            return ProposalStep::End(ProposalEnd::Conflict {
                winner: head.map(|head| head.change),
                version: current,
            });
        }
        let draft = Draft {
            version: current.saturating_add(1),
            revision,
            replaced_version: stored,
        };
        self.phase = Phase::Writing(draft);
        ProposalStep::Write(draft)
    }

    /// Resolves a write that was rejected or got no reply, after reading the store back.
    fn resolve_read_back(
        &mut self,
        head: Option<StoredHead>,
        own: Option<AcceptedChange>,
        draft: Draft,
        answered: bool,
    ) -> ProposalStep {
        if let Some(end) = self.earlier_acceptance(head.as_ref(), own) {
            return ProposalStep::End(end);
        }
        let revision = head.as_ref().map_or(0, |head| head.revision);
        if revision == draft.revision {
            if answered {
                return ProposalStep::End(ProposalEnd::ConditionFailed);
            }
            self.phase = Phase::Writing(draft);
            return ProposalStep::Write(draft);
        }
        match head {
            Some(head) => ProposalStep::End(ProposalEnd::Conflict {
                version: head.change.version.max(self.known_version),
                winner: Some(head.change),
            }),
            None => ProposalStep::End(ProposalEnd::Unknown {
                reason: "the document was deleted from the store during the change".into(),
            }),
        }
    }

    /// Returns the acceptance of an earlier attempt with the same change id, if there is one.
    fn earlier_acceptance(
        &self,
        head: Option<&StoredHead>,
        own: Option<AcceptedChange>,
    ) -> Option<ProposalEnd> {
        let own = own.or_else(|| {
            head.filter(|head| head.change.change_id == self.change_id)
                .map(|head| head.change.clone())
        })?;
        Some(ProposalEnd::Accepted {
            version: own.version,
            digest: own.digest,
        })
    }

    fn handle_failure(&mut self, reason: &Arc<str>, phase: Phase) -> ProposalStep {
        match phase {
            Phase::Writing(draft) if self.write_unconfirmed => {
                self.phase = Phase::ReadingBack {
                    draft,
                    answered: false,
                };
                self.retry_or_end(reason)
            }
            Phase::ReadingBack { .. } => self.retry_or_end(reason),
            Phase::Reading | Phase::Writing(_) => ProposalStep::End(ProposalEnd::Unavailable {
                reason: Arc::clone(reason),
            }),
        }
    }

    fn retry_or_end(&mut self, reason: &Arc<str>) -> ProposalStep {
        self.failures += 1;
        if self.failures < FAILURES_MAX {
            return ProposalStep::Read;
        }
        let reason = Arc::clone(reason);
        ProposalStep::End(if self.write_unconfirmed {
            ProposalEnd::Unknown { reason }
        } else {
            // The condition did not hold, so another change was accepted, but it could not be read.
            ProposalEnd::Conflict {
                winner: None,
                version: self.known_version,
            }
        })
    }
}
