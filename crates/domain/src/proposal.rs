//! A proposal: one change on its way to the platform's store.
//!
//! The store's compare-and-swap decides which of several proposals wins. A proposal whose reply is
//! lost is settled by reading its change id back, and is written again under the same condition if
//! it has not taken effect; the condition can hold only once, so it has one effect at most.

use std::ops::Range;

use crate::prelude::*;

/// Calls to the store that may fail before a proposal gives up. At 1.5 s a call this stays below the
/// 20 s that the command line waits.
pub const FAILURES_MAX: u32 = 5;
/// Records of past changes that are kept for each environment.
pub const HISTORY_MAX: u64 = 200;
/// Records deleted by one change; a transaction of the store holds 128 operations.
const EXPIRED_MAX: u64 = 64;

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// Version that it got.
    pub version: u64,
    /// Digest of the document.
    pub digest: Arc<str>,
    /// Identifies the change.
    pub change_id: Arc<str>,
    /// Who made it.
    pub author: Arc<str>,
    /// Wall-clock time when it was accepted, in milliseconds since the Unix epoch.
    pub accepted_wall_ms: u64,
}

/// The document key as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// Revision of the store at the last write of the key.
    pub revision: u64,
    /// The change that wrote it.
    pub change: AcceptedChange,
}

/// What a proposal writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draft {
    /// Version of the new document.
    pub version: u64,
    /// Revision that the document key must still have; 0 if it must not exist.
    pub revision: u64,
    /// Version in the store before the change; 0 if there is none.
    pub replaced_version: u64,
}

impl Draft {
    /// Versions whose history record is deleted together with the write.
    #[must_use]
    pub fn expired_history(&self) -> Range<u64> {
        let end = self.version.saturating_sub(HISTORY_MAX - 1).max(1);
        let start = self.replaced_version.saturating_sub(HISTORY_MAX - 1).max(1);
        start.max(end.saturating_sub(EXPIRED_MAX))..end
    }
}

/// What the caller of a proposal does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalStep {
    /// Read the document key, then the history.
    Read,
    /// Write the document and its history record under the draft's condition.
    Write(Draft),
    /// The proposal has ended.
    End(ProposalEnd),
}

/// What happened to the last step.
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
    /// There was no reply; a write may have taken effect or may still do so.
    Lost {
        /// What failed.
        reason: Arc<str>,
    },
    /// The call was certainly not carried out.
    Failed {
        /// What failed.
        reason: Arc<str>,
    },
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalEnd {
    /// It was accepted under this version, now or by an earlier try with the same change id.
    Accepted {
        /// Version that it got.
        version: u64,
        /// Digest that was accepted; that of this proposal unless an id was used twice.
        digest: Arc<str>,
    },
    /// Another change won, and this one has no effect.
    Conflict {
        /// The change in force, if the store has one.
        winner: Option<AcceptedChange>,
        /// Version that a rebased change must expect.
        version: u64,
    },
    /// It has no effect: a further condition of the write, such as the source document of a
    /// promotion, did not hold.
    ConditionFailed,
    /// It may or may not have taken effect.
    Unknown {
        /// What failed.
        reason: Arc<str>,
    },
    /// It has no effect.
    Unavailable {
        /// What failed.
        reason: Arc<str>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing was written yet.
    Reading,
    /// The write is under way.
    Writing(Draft),
    /// The write's outcome is being read back; `answered` if its condition did not hold, otherwise
    /// there was no reply.
    ReadingBack { draft: Draft, answered: bool },
}

/// One change on its way to the store.
#[derive(Clone, Debug)]
pub struct Proposal {
    change_id: Arc<str>,
    digest: Arc<str>,
    expected_version: Option<u64>,
    known_version: u64,
    phase: Phase,
    /// Whether a write got no reply, so that it may have taken effect.
    uncertain: bool,
    failures: u32,
}

impl Proposal {
    /// A proposal to put the document with `digest` in force; its first step is a read.
    ///
    /// `known_version` is the highest version that this daemon and its peers have heard of: the new
    /// version is above it even when the store lost the document or holds an older one.
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
            uncertain: false,
            failures: 0,
        }
    }

    /// Calls that failed so far; the caller waits longer before each new try.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Takes the result of the last step and returns the next one.
    pub fn advance(&mut self, event: ProposalEvent) -> ProposalStep {
        match (event, self.phase) {
            (ProposalEvent::Read { head, own }, Phase::Reading) => self.prepare(head, own),
            (ProposalEvent::Read { head, own }, Phase::ReadingBack { draft, answered }) => {
                self.settle(head, own, draft, answered)
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
                self.uncertain = true;
                self.phase = Phase::ReadingBack {
                    draft,
                    answered: false,
                };
                self.retry(&reason)
            }
            (ProposalEvent::Lost { reason } | ProposalEvent::Failed { reason }, phase) => {
                self.failed(&reason, phase)
            }
            (event, phase) => ProposalStep::End(ProposalEnd::Unknown {
                reason: format!("{event:?} does not follow {phase:?}; report this as a defect")
                    .into(),
            }),
        }
    }

    fn prepare(&mut self, head: Option<StoredHead>, own: Option<AcceptedChange>) -> ProposalStep {
        if let Some(end) = self.own_effect(head.as_ref(), own) {
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

    /// Decides after a write whose condition did not hold or whose reply was lost.
    fn settle(
        &mut self,
        head: Option<StoredHead>,
        own: Option<AcceptedChange>,
        draft: Draft,
        answered: bool,
    ) -> ProposalStep {
        if let Some(end) = self.own_effect(head.as_ref(), own) {
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

    /// The effect of an earlier try with the same change id.
    fn own_effect(
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

    fn failed(&mut self, reason: &Arc<str>, phase: Phase) -> ProposalStep {
        match phase {
            Phase::Writing(draft) if self.uncertain => {
                self.phase = Phase::ReadingBack {
                    draft,
                    answered: false,
                };
                self.retry(reason)
            }
            Phase::ReadingBack { .. } => self.retry(reason),
            Phase::Reading | Phase::Writing(_) => ProposalStep::End(ProposalEnd::Unavailable {
                reason: Arc::clone(reason),
            }),
        }
    }

    fn retry(&mut self, reason: &Arc<str>) -> ProposalStep {
        self.failures += 1;
        if self.failures < FAILURES_MAX {
            return ProposalStep::Read;
        }
        let reason = Arc::clone(reason);
        ProposalStep::End(if self.uncertain {
            ProposalEnd::Unknown { reason }
        } else {
            // The condition did not hold, so another change won, but it could not be read.
            ProposalEnd::Conflict {
                winner: None,
                version: self.known_version,
            }
        })
    }
}
