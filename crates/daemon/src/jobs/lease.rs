//! Lease of the scheduler key: acquisition and renewal.

use std::sync::Arc;

use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::kv::{Change, Compare, KeyValue, KvError, Transaction};
use rosemaryscale_ports::prelude::*;

use super::records::{self, LEADER_KEY, LEADER_MARKER_KEY, LeaderRecord};

/// Time to live of the leader key, after which a lost leader is replaced. Short jobs have about 2 s from
/// submission to their latency objective.
const LEADER_TTL_MS: u64 = 1_500;
/// Renewal interval. Two answers may be lost before the key expires.
pub(super) const RENEW_INTERVAL_MS: u64 = 350;
/// Time for which a leader continues without the store. Outages of 4 to 9 s are common.
pub(super) const LEADER_GRACE_MS: u64 = 9_000;

/// Lease under which this daemon holds the scheduler key.
#[derive(Clone, Debug)]
pub(super) struct LeaderLease {
    /// Id of the lease in the store.
    pub(super) id: u64,
    /// Revision at which the key was created, used as the fencing token.
    pub(super) fencing_token: u64,
    /// When the latest call that confirmed the lease was sent.
    pub(super) confirmed_at: Millis,
}

impl LeaderLease {
    /// Until when no other daemon can hold the key.
    pub(super) const fn certain_until(&self) -> Millis {
        self.confirmed_at.after_ms(LEADER_TTL_MS)
    }
}

/// Result of a renewal.
#[derive(Clone, Copy, Debug)]
pub(super) enum Renewal {
    /// The lease is valid as of the time at which the call was sent.
    Confirmed(Millis),
    /// The lease has expired.
    Expired,
    /// The store did not answer, or refused the call for another reason.
    Unanswered,
}

/// Attempts to acquire the scheduler key; `None` if it was not acquired.
pub(super) async fn acquire(
    kv: &KeyValue,
    clock: &ClockHandle,
    identity: &LeaderRecord,
) -> Result<Option<LeaderLease>, KvError> {
    let confirmed_at = clock.now();
    let lease = kv.grant(LEADER_TTL_MS).await?;
    let key: Arc<str> = LEADER_KEY.into();
    // The leader key comes last, so that its revision is that of the transaction.
    let keys = [LEADER_MARKER_KEY.into(), Arc::clone(&key)];
    let key_absent = |key: &Arc<str>| Compare {
        key: Arc::clone(key),
        mod_revision: 0,
    };
    let put = |key: &Arc<str>| Change::Put {
        key: Arc::clone(key),
        value: records::encode(identity),
        lease,
    };
    let transaction = Transaction {
        compares: keys.iter().map(key_absent).collect(),
        changes: keys.iter().map(put).collect(),
    };
    let leader_lease = |fencing_token| LeaderLease {
        id: lease,
        fencing_token,
        confirmed_at,
    };
    match kv.transact(transaction).await {
        Ok(result) if result.succeeded => Ok(Some(leader_lease(result.revision))),
        Ok(_) => {
            // If this call is lost, the lease, which has no key, expires on its own.
            let _ = kv.revoke(lease).await;
            Ok(None)
        }
        Err(KvError::OutcomeUnknown { .. }) => {
            let entry = kv.get(&key).await?;
            Ok(entry
                .filter(|entry| entry.lease == lease)
                .map(|entry| leader_lease(entry.mod_revision)))
        }
        Err(error) => Err(error),
    }
}

/// Renews the lease.
pub(super) async fn renew(kv: KeyValue, clock: ClockHandle, lease: u64) -> Renewal {
    let sent_at = clock.now();
    match kv.keep_alive(lease).await {
        Ok(()) => Renewal::Confirmed(sent_at),
        Err(KvError::LeaseExpired { .. }) => Renewal::Expired,
        Err(_) => Renewal::Unanswered,
    }
}
