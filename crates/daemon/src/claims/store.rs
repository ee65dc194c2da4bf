//! Store calls of the claim task.

use std::ops::Range;

use rosemaryscale_domain::claim::{
    BUCKET_MS, ReadResult, SHARDS, ShardId, ShardValue, WriteResult,
};
use rosemaryscale_ports::kv::{Change, Compare, KeyValue, KvError, Transaction};
use rosemaryscale_ports::prelude::*;

use super::Completion;

/// Builds the store keys of the claim shards of one environment.
pub(super) struct ClaimKeys {
    prefix: String,
}

impl ClaimKeys {
    pub(super) fn new(environment: &str) -> Self {
        Self {
            prefix: format!("/rosemaryscale/claims/{environment}"),
        }
    }

    pub(super) fn key(&self, id: ShardId) -> Arc<str> {
        let start_ms = id.bucket * BUCKET_MS;
        format!("{}/{start_ms}/{}", self.prefix, id.shard).into()
    }

    pub(super) fn deletion(&self, buckets: Range<u64>) -> Transaction {
        let ids =
            buckets.flat_map(|bucket| (0..SHARDS).map(move |shard| ShardId { bucket, shard }));
        let changes = ids.map(|id| Change::Delete { key: self.key(id) }).collect();
        Transaction {
            compares: Vec::new(),
            changes,
        }
    }
}

/// Transaction that replaces a shard's value if its revision is unchanged.
pub(super) fn compare_and_swap(key: Arc<str>, revision: u64, value: Vec<u8>) -> Transaction {
    let compare = Compare {
        key: Arc::clone(&key),
        mod_revision: revision,
    };
    let put = Change::Put {
        key,
        value: value.into(),
        lease: 0,
    };
    Transaction {
        compares: vec![compare],
        changes: vec![put],
    }
}

pub(super) async fn read(kv: KeyValue, key: Arc<str>, shard: ShardId) -> Completion {
    let result = match kv.get(&key).await {
        Ok(None) => ReadResult::Absent,
        Ok(Some(entry)) => match ShardValue::decode(&entry.value) {
            Ok(value) => ReadResult::Found(entry.mod_revision, value),
            Err(_) => ReadResult::Malformed,
        },
        Err(_) => ReadResult::Failed,
    };
    Completion::Read(shard, result)
}

pub(super) async fn write(kv: KeyValue, change: Transaction, shard: ShardId) -> Completion {
    let result = match kv.transact(change).await {
        Ok(result) if result.succeeded => WriteResult::Written(result.revision),
        Ok(_) => WriteResult::Conflict,
        Err(KvError::OutcomeUnknown { .. }) => WriteResult::Unknown,
        Err(
            KvError::Unavailable { .. } | KvError::Rejected { .. } | KvError::LeaseExpired { .. },
        ) => WriteResult::Failed,
    };
    Completion::Write(shard, result)
}

pub(super) async fn sweep(kv: KeyValue, transaction: Transaction, end: u64) -> Completion {
    let deleted = kv.transact(transaction).await.is_ok();
    Completion::Swept(deleted.then_some(end))
}
