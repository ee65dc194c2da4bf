//! Proposes an operator's change to the platform's store.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_domain::Document;
use rosemaryscale_domain::document::{Accepted, Checked, Problem};
use rosemaryscale_domain::proposal::{
    AcceptedChange, Draft, Proposal, ProposalEnd, ProposalEvent, ProposalStep, StoredHead,
};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::config::ApplyError;
use rosemaryscale_ports::kv::{Compare, KeyRange, KeyValue, KvError, KvResult};
use rosemaryscale_ports::member::MemberWatch;
use rosemaryscale_ports::operator::{Applied, ApplyRequest, ChangeReport};
use rosemaryscale_ports::peer::{ConfigDigest, PeerReply, PeerRequest, Peers};
use tokio::task::JoinSet;

use crate::config_record::{self, ConfigKeys, ConfigRecord};

/// Delay after a failed call, multiplied by the number of failures.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum length of a change id and of an author; each is stored in up to 200 history records.
const MAX_CHANGE_TEXT_BYTES: usize = 128;

/// Context of the operations on the store. Each operation runs in its own task, so that a slow
/// platform delays only the operator who requested it.
#[derive(Clone)]
pub(super) struct Operations {
    /// Name of this daemon.
    pub(super) name: Arc<str>,
    /// Environment of the daemon.
    pub(super) environment: Arc<str>,
    /// Keys of the environment.
    pub(super) keys: ConfigKeys,
    /// The platform's store.
    pub(super) kv: KeyValue,
    /// Clock of the process.
    pub(super) clock: ClockHandle,
    /// Client for calls to peers.
    pub(super) peers: Peers,
    /// The members.
    pub(super) members: MemberWatch,
}

/// An accepted change: the reply to the operator, and the document if this change wrote it.
pub(super) struct Change {
    pub(super) applied: Applied,
    pub(super) document: Option<Arc<Document<Accepted>>>,
}

/// Content of a proposal without its version.
pub(super) struct NewDocument {
    pub(super) document: Document<Checked>,
    pub(super) change_id: Arc<str>,
    pub(super) author: Arc<str>,
    pub(super) expected_version: Option<u64>,
    /// Additional conditions of the write.
    pub(super) conditions: Vec<Compare>,
}

/// Refuses texts that are too long for the history or contain control characters, which would garble
/// its display.
pub(super) fn validate_change_text(field: &str, text: &str) -> Result<(), ApplyError> {
    let printable = text.chars().all(|character| !character.is_control());
    if printable && (1..=MAX_CHANGE_TEXT_BYTES).contains(&text.len()) {
        return Ok(());
    }
    Err(ApplyError::Refused {
        reason: format!(
            "{field} must have 1 to {MAX_CHANGE_TEXT_BYTES} bytes and no control characters"
        ),
    })
}

impl Operations {
    /// Applies a document that an operator submitted.
    pub(super) async fn apply(
        &self,
        request: ApplyRequest,
        known_version: u64,
    ) -> Result<Change, ApplyError> {
        validate_change_text("change_id", &request.change_id)?;
        validate_change_text("author", &request.author)?;
        let document = self.check(&request.text)?;
        let new = NewDocument {
            document,
            change_id: request.change_id,
            author: request.author,
            expected_version: request.expected_version,
            conditions: Vec::new(),
        };
        self.propose(new, known_version).await
    }

    /// Parses and validates a text, and checks that it contains the daemon's environment.
    pub(super) fn check(&self, text: &str) -> Result<Document<Checked>, ApplyError> {
        let document =
            config_record::check(text).map_err(|problems| ApplyError::Invalid { problems })?;
        if document.fields.environments.contains_key(&self.environment) {
            return Ok(document);
        }
        let problem = Problem {
            path: "environments".into(),
            reason: format!(
                "environment \"{}\" is not in the document",
                self.environment
            ),
            remedy: "add it, or name a daemon of another environment with --daemon".into(),
        };
        Err(ApplyError::Invalid {
            problems: vec![problem],
        })
    }

    /// Runs a proposal to its end.
    pub(super) async fn propose(
        &self,
        new: NewDocument,
        known_version: u64,
    ) -> Result<Change, ApplyError> {
        let known_version = known_version.max(self.highest_peer_version().await);
        let mut proposal = Proposal::new(
            Arc::clone(&new.change_id),
            Arc::clone(&new.document.digest),
            new.expected_version,
            known_version,
        );
        let mut step = ProposalStep::Read;
        loop {
            let event = match step {
                ProposalStep::Read => self.read(&new.change_id).await,
                ProposalStep::Write(draft) => self.write(&new, draft).await,
                ProposalStep::End(end) => return self.proposal_result(end, &new.document),
            };
            let failures = proposal.failures();
            step = proposal.advance(event);
            if proposal.failures() > failures {
                tokio::time::sleep(RETRY_DELAY * proposal.failures()).await;
            }
        }
    }

    fn proposal_result(
        &self,
        end: ProposalEnd,
        document: &Document<Checked>,
    ) -> Result<Change, ApplyError> {
        match end {
            ProposalEnd::Accepted { version, digest } if digest == document.digest => Ok(Change {
                applied: Applied {
                    environment: Arc::clone(&self.environment),
                    version,
                    digest,
                },
                document: Some(Arc::new(document.clone().accept(version))),
            }),
            ProposalEnd::Accepted { version, .. } => Err(ApplyError::Refused {
                reason: format!(
                    "this change id was accepted as version {version} with another document; use a \
                     new change id"
                ),
            }),
            ProposalEnd::Conflict { winner, version } => Err(ApplyError::Conflict {
                winner: winner.map(config_record::report),
                version,
            }),
            ProposalEnd::ConditionFailed => Err(ApplyError::Refused {
                reason: "the source document changed in the meantime; check rosemaryscale status \
                         and promote again"
                    .into(),
            }),
            ProposalEnd::Unknown { reason } => Err(ApplyError::Unknown {
                reason: reason.to_string(),
            }),
            ProposalEnd::Unavailable { reason } => Err(ApplyError::Unavailable {
                reason: reason.to_string(),
            }),
        }
    }

    async fn read(&self, change_id: &str) -> ProposalEvent {
        match self.read_head_and_history(change_id).await {
            Ok((head, own)) => ProposalEvent::Read { head, own },
            Err(error) => ProposalEvent::Failed {
                reason: error.to_string().into(),
            },
        }
    }

    /// Reads the document key before the history: a change that is accepted between the two reads
    /// changes the key, so the condition of the write that follows fails.
    async fn read_head_and_history(
        &self,
        change_id: &str,
    ) -> KvResult<(Option<StoredHead>, Option<AcceptedChange>)> {
        let head = self
            .read_document(&self.keys)
            .await?
            .map(|(revision, record)| config_record::head(revision, &record.change));
        let history = self.read_history().await?;
        let own = history
            .iter()
            .find(|change| &*change.change_id == change_id)
            .map(config_record::accepted_change);
        Ok((head, own))
    }

    /// Returns the revision of the document key and the stored document.
    pub(super) async fn read_document(
        &self,
        keys: &ConfigKeys,
    ) -> KvResult<Option<(u64, ConfigRecord)>> {
        let Some(entry) = self.kv.get(&keys.document).await? else {
            return Ok(None);
        };
        Ok(Some((entry.mod_revision, config_record::decode(&entry)?)))
    }

    /// Returns the history of the environment, newest first. Records in a newer format are omitted.
    pub(super) async fn read_history(&self) -> KvResult<Vec<ChangeReport>> {
        let range = KeyRange::Prefix(Arc::clone(&self.keys.history));
        let entries = self.kv.range(range).await?;
        let mut changes: Vec<ChangeReport> = entries
            .iter()
            .filter_map(|entry| config_record::decode(entry).ok())
            .collect();
        changes.sort_by_key(|change| std::cmp::Reverse(change.version));
        Ok(changes)
    }

    async fn write(&self, new: &NewDocument, draft: Draft) -> ProposalEvent {
        let record = ConfigRecord {
            change: ChangeReport {
                version: draft.version,
                digest: Arc::clone(&new.document.digest),
                change_id: Arc::clone(&new.change_id),
                author: Arc::clone(&new.author),
                accepted_wall_ms: self.clock.wall().as_ms(),
            },
            text: Arc::clone(&new.document.text),
        };
        let transaction =
            match config_record::transaction(&self.keys, &record, draft, &new.conditions) {
                Ok(transaction) => transaction,
                Err(error) => {
                    let reason = error.to_string().into();
                    return ProposalEvent::Failed { reason };
                }
            };
        match self.kv.transact(transaction).await {
            Ok(result) if result.succeeded => ProposalEvent::Written,
            Ok(_) => ProposalEvent::NotWritten,
            Err(KvError::OutcomeUnknown { reason }) => ProposalEvent::Lost {
                reason: reason.into(),
            },
            Err(error) => ProposalEvent::Failed {
                reason: error.to_string().into(),
            },
        }
    }

    /// Returns the highest version that a live peer has in force. The store alone is not sufficient:
    /// its key may have been deleted or reset, and peers would never adopt a version that is not above
    /// their own.
    async fn highest_peer_version(&self) -> u64 {
        let mut names = self.members.borrow().live();
        names.retain(|name| *name != self.name);
        let mut calls = JoinSet::new();
        for name in names {
            let peers = self.peers.clone();
            let own = ConfigDigest {
                environment: Arc::clone(&self.environment),
                ..ConfigDigest::default()
            };
            calls.spawn(async move { peers.call(name, PeerRequest::Digest(own)).await });
        }
        let mut highest = 0;
        while let Some(result) = calls.join_next().await {
            if let Ok(Ok(PeerReply::Digest(digest))) = result
                && digest.environment == self.environment
            {
                highest = highest.max(digest.version);
            }
        }
        highest
    }
}
