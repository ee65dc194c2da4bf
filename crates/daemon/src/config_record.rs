//! Keys and values of accepted documents in the platform's store.

use std::sync::Arc;

use rosemaryscale_adapters::document_text;
use rosemaryscale_domain::Document;
use rosemaryscale_domain::document::{Accepted, Checked, Problem};
use rosemaryscale_domain::proposal::{AcceptedChange, Draft, StoredHead};
use rosemaryscale_ports::kv::{Change, Compare, KvEntry, KvError, KvResult, Transaction};
use rosemaryscale_ports::operator::ChangeReport;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Value of the document key.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ConfigRecord {
    /// The change that wrote the document.
    #[serde(flatten)]
    pub change: ChangeReport,
    /// Text of the document.
    pub text: Arc<str>,
}

/// Keys of an environment.
#[derive(Clone, Debug)]
pub struct ConfigKeys {
    /// Key of the document.
    pub document: Arc<str>,
    /// Prefix of the history records.
    pub history: Arc<str>,
    /// Prefix of the member records.
    pub members: Arc<str>,
}

impl ConfigKeys {
    /// Returns the keys of an environment.
    #[must_use]
    pub fn new(environment: &str) -> Self {
        let prefix = format!("/rosemaryscale/{environment}");
        Self {
            document: format!("{prefix}/config").into(),
            history: format!("{prefix}/history/").into(),
            members: format!("{prefix}/members/").into(),
        }
    }

    /// Returns the key of a version's history record.
    #[must_use]
    pub fn history_record(&self, version: u64) -> Arc<str> {
        format!("{}{version}", self.history).into()
    }
}

/// Returns the transaction that replaces the stored document with `record`. The document and its
/// history record are written together, so that a change id can be looked up even after later changes.
///
/// # Errors
///
/// Fails when the record cannot be encoded.
pub fn transaction(
    keys: &ConfigKeys,
    record: &ConfigRecord,
    draft: Draft,
    conditions: &[Compare],
) -> KvResult<Transaction> {
    let mut compares = vec![Compare {
        key: Arc::clone(&keys.document),
        mod_revision: draft.revision,
    }];
    compares.extend_from_slice(conditions);
    let mut changes = vec![
        put(Arc::clone(&keys.document), record)?,
        put(keys.history_record(draft.version), &record.change)?,
    ];
    changes.extend(draft.expired_history().map(|version| Change::Delete {
        key: keys.history_record(version),
    }));
    Ok(Transaction { compares, changes })
}

fn put(key: Arc<str>, value: &impl Serialize) -> KvResult<Change> {
    let value = serde_json::to_vec(value).map_err(|error| KvError::Rejected {
        reason: error.to_string(),
    })?;
    Ok(Change::Put {
        key,
        value: value.into(),
        lease: 0,
    })
}

/// Decodes the value of a key.
///
/// # Errors
///
/// Fails when the value is malformed or was written in a newer format.
pub fn decode<T: DeserializeOwned>(entry: &KvEntry) -> KvResult<T> {
    serde_json::from_slice(&entry.value).map_err(|error| KvError::Rejected {
        reason: format!(
            "the value of {} is malformed or of a newer version ({error})",
            entry.key
        ),
    })
}

/// Converts the stored document to the input of a proposal.
#[must_use]
pub fn head(revision: u64, change: &ChangeReport) -> StoredHead {
    StoredHead {
        revision,
        change: accepted_change(change),
    }
}

/// Converts a reported change to the input of a proposal.
#[must_use]
pub fn accepted_change(change: &ChangeReport) -> AcceptedChange {
    AcceptedChange {
        version: change.version,
        digest: Arc::clone(&change.digest),
        change_id: Arc::clone(&change.change_id),
        author: Arc::clone(&change.author),
        accepted_wall_ms: change.accepted_wall_ms,
    }
}

/// Converts an accepted change to the report for operators.
#[must_use]
pub fn report(change: AcceptedChange) -> ChangeReport {
    ChangeReport {
        version: change.version,
        digest: change.digest,
        change_id: change.change_id,
        author: change.author,
        accepted_wall_ms: change.accepted_wall_ms,
    }
}

/// Parses and validates the text of a document.
///
/// # Errors
///
/// Returns the validation errors.
pub fn check(text: &str) -> Result<Document<Checked>, Vec<Problem>> {
    document_text::parse(text)?.check()
}

/// Parses the text of a document that was accepted before.
///
/// # Errors
///
/// Returns the validation errors: a newer daemon may have accepted a document that this one cannot
/// read.
pub fn accepted(text: &str, version: u64) -> Result<Arc<Document<Accepted>>, Vec<Problem>> {
    Ok(Arc::new(check(text)?.accept(version)))
}
