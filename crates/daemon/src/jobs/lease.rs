//! The lease of the scheduler's key: how a daemon becomes the leader and how it stays so.

use std::sync::Arc;

use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::kv::{Change, Compare, KeyValue, KvError, Transaction};
use rosemaryscale_ports::prelude::*;

use super::records::{self, LEADER_KEY, LEADER_MARK_KEY, LeaderRecord};

/// Time to live of the leader's key; a lost leader is replaced after it. Quick work has about 2 s from
/// its submission to its objective.
pub(super) const LEADER_TTL_MS: u64 = 1_500;
/// Time between two renewals: two answers may be lost before the key is.
pub(super) const RENEW_MS: u64 = 350;
/// Time for which a leader goes on without the store. Outages of 4 to 9 s are usual.
pub(super) const LEADER_GRACE_MS: u64 = 9_000;

/// A daemon that holds the scheduler's key.
#[derive(Clone, Debug)]
pub(super) struct HeldLease {
    /// The lease.
    pub(super) lease: u64,
    /// Revision at which the key was created; the fence number.
    pub(super) fence: u64,
    /// When the newest call that proved the lease was sent.
    pub(super) proved_at: Millis,
}

/// Result of a renewal.
#[derive(Clone, Copy, Debug)]
pub(super) enum Renewal {
    /// The lease lives; the time is that of the call.
    Proved(Millis),
    /// The lease has ended.
    Lost,
    /// No answer.
    Unanswered,
}

/// Tries to become the leader.
pub(super) async fn acquire(
    kv: &KeyValue,
    clock: &ClockHandle,
    own: &LeaderRecord,
) -> Result<Option<HeldLease>, KvError> {
    let proved_at = clock.now();
    let lease = kv.grant(LEADER_TTL_MS).await?;
    let key: Arc<str> = LEADER_KEY.into();
    // The leader's key comes last, so that its revision is that of the transaction.
    let keys = [LEADER_MARK_KEY.into(), Arc::clone(&key)];
    let absent = |key: &Arc<str>| Compare {
        key: Arc::clone(key),
        mod_revision: 0,
    };
    let put = |key: &Arc<str>| Change::Put {
        key: Arc::clone(key),
        value: records::encode(own),
        lease,
    };
    let transaction = Transaction {
        compares: keys.iter().map(absent).collect(),
        changes: keys.iter().map(put).collect(),
    };
    let held = |fence| HeldLease {
        lease,
        fence,
        proved_at,
    };
    match kv.transact(transaction).await {
        Ok(result) if result.succeeded => Ok(Some(held(result.revision))),
        Ok(_) => {
            // The lease has no key and lapses by itself if this call is lost.
            let _ = kv.revoke(lease).await;
            Ok(None)
        }
        Err(KvError::OutcomeUnknown { .. }) => {
            let entry = kv.get(&key).await?;
            Ok(entry
                .filter(|entry| entry.lease == lease)
                .map(|entry| held(entry.mod_revision)))
        }
        Err(error) => Err(error),
    }
}

/// Renews the lease.
pub(super) async fn renew(kv: KeyValue, clock: ClockHandle, lease: u64) -> Renewal {
    let sent_at = clock.now();
    match kv.keep_alive(lease).await {
        Ok(()) => Renewal::Proved(sent_at),
        Err(KvError::LeaseExpired { .. }) => Renewal::Lost,
        Err(_) => Renewal::Unanswered,
    }
}
