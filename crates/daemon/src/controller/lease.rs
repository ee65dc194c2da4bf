//! The controller lease: at most one daemon of an environment plans assignments at a time.
//!
//! Every write of the controller is conditional on the lease's key, so a holder that was paused past
//! the end of its lease cannot write. The check of the local clock only avoids writes that would fail.

use std::sync::Arc;

use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::kv::{Change, Compare, KeyValue, KvEntry, KvError, KvResult, Transaction};
use rosemaryscale_ports::prelude::*;
use serde::{Deserialize, Serialize};

const LEASE_TTL_MS: u64 = 5_000;
const RENEW_INTERVAL_MS: u64 = 1_600;
/// Time before the end of the lease at which the holder stops planning.
const EXPIRY_MARGIN_MS: u64 = 500;
/// Delay after a failed call.
const RETRY_INTERVAL_MS: u64 = 1_000;

/// Value of the controller key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct HolderRecord {
    holder: Arc<str>,
    incarnation: Arc<str>,
}

/// The lease holder according to the store.
#[derive(Clone, Debug)]
struct StoredHolder {
    record: HolderRecord,
    mod_revision: u64,
}

/// A lease that this daemon holds.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: u64,
    renewed_at: Millis,
}

/// This daemon's view of the lease.
#[derive(Debug)]
pub(super) struct ControllerLease {
    key: Arc<str>,
    own: HolderRecord,
    holder: Option<StoredHolder>,
    held: Option<HeldLease>,
    call_in_progress: bool,
    next_call_at: Millis,
}

/// A call to the store, which the controller task spawns.
pub(super) enum LeaseCall {
    Acquire { key: Arc<str>, own: HolderRecord },
    Renew { lease: u64 },
}

/// Outcome of a call. The time is that of the call's start, so that the remaining time of the lease is
/// never overestimated.
pub(super) enum LeaseOutcome {
    Acquired { lease: u64, started_at: Millis },
    NotAcquired { started_at: Millis },
    Renewed { started_at: Millis },
    Lost,
    Failed { started_at: Millis },
}

impl ControllerLease {
    pub(super) fn new(environment: &str, name: &Arc<str>, incarnation: &Arc<str>) -> Self {
        Self {
            key: format!("/rosemaryscale/{environment}/controller").into(),
            own: HolderRecord {
                holder: Arc::clone(name),
                incarnation: Arc::clone(incarnation),
            },
            holder: None,
            held: None,
            call_in_progress: false,
            next_call_at: Millis::ZERO,
        }
    }

    /// Updates the holder if `entry` is the lease's key; returns whether it is.
    pub(super) fn apply_put(&mut self, entry: &KvEntry) -> bool {
        if entry.key != self.key {
            return false;
        }
        self.holder = serde_json::from_slice(&entry.value)
            .ok()
            .map(|record| StoredHolder {
                record,
                mod_revision: entry.mod_revision,
            });
        true
    }

    /// Clears the holder if `key` is the lease's key; returns whether it is.
    pub(super) fn apply_delete(&mut self, key: &str) -> bool {
        let own = *key == *self.key;
        if own {
            self.holder = None;
        }
        own
    }

    pub(super) fn clear_holder(&mut self) {
        self.holder = None;
    }

    /// Returns the name of the daemon that holds the lease.
    pub(super) fn holder(&self) -> Option<Arc<str>> {
        self.holder
            .as_ref()
            .map(|holder| Arc::clone(&holder.record.holder))
    }

    /// Returns the id of the lease, for revoking it.
    pub(super) fn held_lease(&self) -> Option<u64> {
        self.held.map(|held| held.lease)
    }

    /// Returns whether this daemon holds the lease and may plan.
    pub(super) fn is_held(&self, now: Millis) -> bool {
        let own = self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.record == self.own);
        let valid =
            |held: HeldLease| now.ms_since(held.renewed_at) < LEASE_TTL_MS - EXPIRY_MARGIN_MS;
        own && self.held.is_some_and(valid)
    }

    /// Returns the condition of every write: the lease's key has not changed.
    pub(super) fn fencing_condition(&self, now: Millis) -> Option<Compare> {
        let holder = self.holder.as_ref().filter(|_| self.is_held(now))?;
        Some(Compare {
            key: Arc::clone(&self.key),
            mod_revision: holder.mod_revision,
        })
    }

    /// Returns the next call to the store, if one is due.
    pub(super) fn next_call(&mut self, now: Millis, registered: bool) -> Option<LeaseCall> {
        if self.call_in_progress || now < self.next_call_at {
            return None;
        }
        let call = match self.held {
            Some(held) => LeaseCall::Renew { lease: held.lease },
            None if self.holder.is_none() && registered => LeaseCall::Acquire {
                key: Arc::clone(&self.key),
                own: self.own.clone(),
            },
            None => return None,
        };
        self.call_in_progress = true;
        Some(call)
    }

    pub(super) fn complete(&mut self, outcome: LeaseOutcome) {
        self.call_in_progress = false;
        match outcome {
            LeaseOutcome::Acquired { lease, started_at } => {
                self.held = Some(HeldLease {
                    lease,
                    renewed_at: started_at,
                });
                self.next_call_at = started_at.after_ms(RENEW_INTERVAL_MS);
            }
            LeaseOutcome::Renewed { started_at } => {
                if let Some(held) = &mut self.held {
                    held.renewed_at = started_at;
                }
                self.next_call_at = started_at.after_ms(RENEW_INTERVAL_MS);
            }
            LeaseOutcome::Lost => self.held = None,
            LeaseOutcome::NotAcquired { started_at } | LeaseOutcome::Failed { started_at } => {
                self.next_call_at = started_at.after_ms(RETRY_INTERVAL_MS);
            }
        }
    }
}

impl LeaseCall {
    pub(super) async fn run(self, kv: &KeyValue, clock: &ClockHandle) -> LeaseOutcome {
        let started_at = clock.now();
        match self {
            Self::Renew { lease } => match kv.keep_alive(lease).await {
                Ok(()) => LeaseOutcome::Renewed { started_at },
                Err(KvError::LeaseExpired { .. }) => LeaseOutcome::Lost,
                Err(_) => LeaseOutcome::Failed { started_at },
            },
            Self::Acquire { key, own } => match acquire(kv, key, &own).await {
                Ok(Some(lease)) => LeaseOutcome::Acquired { lease, started_at },
                Ok(None) => LeaseOutcome::NotAcquired { started_at },
                Err(_) => LeaseOutcome::Failed { started_at },
            },
        }
    }
}

/// Acquires the lease if no daemon holds it. A lease whose key could not be written, or whose write
/// got no reply, is revoked; if the revocation fails, the lease expires.
async fn acquire(kv: &KeyValue, key: Arc<str>, own: &HolderRecord) -> KvResult<Option<u64>> {
    let value = serde_json::to_vec(own).map_err(|error| KvError::Rejected {
        reason: error.to_string(),
    })?;
    let lease = kv.grant(LEASE_TTL_MS).await?;
    let transaction = Transaction {
        compares: vec![Compare {
            key: Arc::clone(&key),
            mod_revision: 0,
        }],
        changes: vec![Change::Put {
            key,
            value: value.into(),
            lease,
        }],
    };
    let result = kv.transact(transaction).await;
    if let Ok(result) = &result
        && result.succeeded
    {
        return Ok(Some(lease));
    }
    let _ = kv.revoke(lease).await;
    result.map(|_| None)
}
