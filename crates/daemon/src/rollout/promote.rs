//! Promotion: accepts the unmodified document of another environment.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryscale_domain::name;
use rosemaryscale_domain::promotion::{MemberState, PromotionInput};
use rosemaryscale_ports::config::ApplyError;
use rosemaryscale_ports::kv::{Compare, KeyRange, KvError, KvResult};
use rosemaryscale_ports::member::MemberRecord;
use rosemaryscale_ports::operator::{Applied, PromoteRequest};
use rosemaryscale_ports::peer::{ConfigDigest, PeerReply, PeerRequest};
use tokio::task::JoinSet;

use super::change::{Change, NewDocument, Operations, validate_change_text};
use crate::config_record::{self, ConfigKeys};

impl Operations {
    /// Applies the document of the source environment if it is in force on every member there.
    pub(super) async fn promote(
        &self,
        request: PromoteRequest,
        known_version: u64,
    ) -> Result<Change, ApplyError> {
        if request.source == self.environment {
            return Err(ApplyError::Refused {
                reason: format!(
                    "{} is the daemon's own environment; name a daemon of another one with --daemon",
                    request.source
                ),
            });
        }
        validate_change_text("change_id", &request.change_id)?;
        validate_change_text("author", &request.author)?;
        if let Some(reason) = name::validation_error(&request.source) {
            return Err(ApplyError::Refused {
                reason: format!(
                    "source \"{}\": {reason}; {}",
                    request.source,
                    name::NAME_REMEDY
                ),
            });
        }
        // A repeated request must return the result of the first one, even if the source environment has
        // changed since.
        if let Some(change) = self.find_applied_change(&request).await? {
            return Ok(change);
        }
        let keys = ConfigKeys::new(&request.source);
        let source = self.read_document(&keys).await.map_err(unavailable)?;
        let members = self.source_members(&keys).await.map_err(unavailable)?;
        let input = PromotionInput {
            source: Arc::clone(&request.source),
            reviewed_digest: Arc::clone(&request.digest),
            accepted: source
                .as_ref()
                .map(|(_, record)| (record.change.version, Arc::clone(&record.change.digest))),
            members: self.member_states(&request.source, members).await,
        };
        input.decide().map_err(|refusal| ApplyError::Refused {
            reason: refusal.to_string(),
        })?;
        let Some((revision, record)) = source else {
            return Err(ApplyError::Refused {
                reason: "the source document no longer exists; check rosemaryscale status".into(),
            });
        };
        let document = self.check(&record.text)?;
        if document.digest != request.digest {
            return Err(ApplyError::Refused {
                reason:
                    "the source document's text does not match its digest; apply it again there"
                        .into(),
            });
        }
        let new = NewDocument {
            document,
            change_id: request.change_id,
            author: request.author,
            expected_version: request.expected_version,
            // The write fails if the source document has changed in the meantime.
            conditions: vec![Compare {
                key: keys.document,
                mod_revision: revision,
            }],
        };
        self.propose(new, known_version).await
    }

    async fn find_applied_change(
        &self,
        request: &PromoteRequest,
    ) -> Result<Option<Change>, ApplyError> {
        let history = self.read_history().await.map_err(unavailable)?;
        let own = history
            .into_iter()
            .find(|change| change.change_id == request.change_id);
        Ok(own.map(|change| Change {
            applied: Applied {
                environment: Arc::clone(&self.environment),
                version: change.version,
                digest: change.digest,
            },
            document: None,
        }))
    }

    async fn source_members(&self, keys: &ConfigKeys) -> KvResult<Vec<(Arc<str>, SocketAddr)>> {
        let range = KeyRange::Prefix(Arc::clone(&keys.members));
        let entries = self.kv.range(range).await?;
        entries
            .iter()
            .map(|entry| {
                let record: MemberRecord = config_record::decode(entry)?;
                Ok((record.name, record.peer_address))
            })
            .collect()
    }

    /// Queries every member of the source environment for the document that it has in force.
    async fn member_states(
        &self,
        source: &Arc<str>,
        members: Vec<(Arc<str>, SocketAddr)>,
    ) -> Vec<MemberState> {
        let mut calls = JoinSet::new();
        for (name, address) in members {
            let (peers, source) = (self.peers.clone(), Arc::clone(source));
            let own = ConfigDigest {
                environment: Arc::clone(&self.environment),
                ..ConfigDigest::default()
            };
            calls.spawn(async move {
                let in_force = match peers.call_at(address, PeerRequest::Digest(own)).await {
                    Ok(PeerReply::Digest(digest)) if digest.environment == source => {
                        Some((digest.version, digest.digest))
                    }
                    _ => None,
                };
                MemberState { name, in_force }
            });
        }
        let mut states = Vec::new();
        while let Some(result) = calls.join_next().await {
            states.extend(result.ok());
        }
        states
    }
}

fn unavailable(error: KvError) -> ApplyError {
    ApplyError::Unavailable {
        reason: error.to_string(),
    }
}
