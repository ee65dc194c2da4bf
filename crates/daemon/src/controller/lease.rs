//! The controller lease: at most one daemon of an environment plans at a time.
//!
//! The lease's key is compared in every write of the controller, so a holder that was paused past
//! its lease changes nothing. The local clock only saves needless writes.

use std::sync::Arc;

use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::kv::{Change, Compare, KeyValue, KvEntry, KvError, KvResult, Transaction};
use rosemaryscale_ports::prelude::*;
use serde::{Deserialize, Serialize};

const TTL_MS: u64 = 5_000;
const RENEW_INTERVAL_MS: u64 = 1_600;
/// Time before the end of the lease at which the holder stops to plan.
const GUARD_MS: u64 = 500;
/// Pause after a failed call.
const RETRY_MS: u64 = 1_000;

/// Value of the controller's key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct HolderRecord {
    holder: Arc<str>,
    incarnation: Arc<str>,
}

/// The holder as the store has it.
#[derive(Clone, Debug)]
struct Holder {
    record: HolderRecord,
    mod_revision: u64,
}

/// A lease that this daemon holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    lease: u64,
    renewed_at: Millis,
}

/// State of the lease as one daemon sees it.
#[derive(Debug)]
pub(super) struct ControllerLease {
    key: Arc<str>,
    own: HolderRecord,
    holder: Option<Holder>,
    held: Option<Held>,
    calling: bool,
    next_call: Millis,
}

/// A call that the task runs beside itself.
pub(super) enum LeaseCall {
    Acquire { key: Arc<str>, own: HolderRecord },
    Renew { lease: u64 },
}

/// How a call ended; the time is that of its start, so that a lease is never thought longer than
/// it is.
pub(super) enum LeaseOutcome {
    Acquired { lease: u64, at: Millis },
    NotAcquired { at: Millis },
    Renewed { at: Millis },
    Lost,
    Unanswered { at: Millis },
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
            calling: false,
            next_call: Millis::ZERO,
        }
    }

    /// Takes note of a written key; false if it is another one.
    pub(super) fn observe_put(&mut self, entry: &KvEntry) -> bool {
        if entry.key != self.key {
            return false;
        }
        self.holder = serde_json::from_slice(&entry.value)
            .ok()
            .map(|record| Holder {
                record,
                mod_revision: entry.mod_revision,
            });
        true
    }

    /// Takes note of a deleted key; false if it is another one.
    pub(super) fn observe_delete(&mut self, key: &str) -> bool {
        let own = *key == *self.key;
        if own {
            self.holder = None;
        }
        own
    }

    pub(super) fn clear_holder(&mut self) {
        self.holder = None;
    }

    /// Name of the daemon that holds the lease.
    pub(super) fn holder(&self) -> Option<Arc<str>> {
        self.holder
            .as_ref()
            .map(|holder| Arc::clone(&holder.record.holder))
    }

    /// The store's lease, to give it back.
    pub(super) fn held(&self) -> Option<u64> {
        self.held.map(|held| held.lease)
    }

    /// Whether this daemon plans now.
    pub(super) fn is_held(&self, now: Millis) -> bool {
        let own = self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.record == self.own);
        let valid = |held: Held| now.ms_since(held.renewed_at) < TTL_MS - GUARD_MS;
        own && self.held.is_some_and(valid)
    }

    /// Condition of every write: the lease's key has not changed.
    pub(super) fn fence(&self, now: Millis) -> Option<Compare> {
        let holder = self.holder.as_ref().filter(|_| self.is_held(now))?;
        Some(Compare {
            key: Arc::clone(&self.key),
            mod_revision: holder.mod_revision,
        })
    }

    /// The next call to the store, if one is due.
    pub(super) fn next_call(&mut self, now: Millis, registered: bool) -> Option<LeaseCall> {
        if self.calling || now < self.next_call {
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
        self.calling = true;
        Some(call)
    }

    pub(super) fn complete(&mut self, outcome: LeaseOutcome) {
        self.calling = false;
        match outcome {
            LeaseOutcome::Acquired { lease, at } => {
                self.held = Some(Held {
                    lease,
                    renewed_at: at,
                });
                self.next_call = at.after_ms(RENEW_INTERVAL_MS);
            }
            LeaseOutcome::Renewed { at } => {
                if let Some(held) = &mut self.held {
                    held.renewed_at = at;
                }
                self.next_call = at.after_ms(RENEW_INTERVAL_MS);
            }
            LeaseOutcome::Lost => self.held = None,
            LeaseOutcome::NotAcquired { at } | LeaseOutcome::Unanswered { at } => {
                self.next_call = at.after_ms(RETRY_MS);
            }
        }
    }
}

impl LeaseCall {
    pub(super) async fn run(self, kv: &KeyValue, clock: &ClockHandle) -> LeaseOutcome {
        let at = clock.now();
        match self {
            Self::Renew { lease } => match kv.keep_alive(lease).await {
                Ok(()) => LeaseOutcome::Renewed { at },
                Err(KvError::LeaseExpired { .. }) => LeaseOutcome::Lost,
                Err(_) => LeaseOutcome::Unanswered { at },
            },
            Self::Acquire { key, own } => match acquire(kv, key, &own).await {
                Ok(Some(lease)) => LeaseOutcome::Acquired { lease, at },
                Ok(None) => LeaseOutcome::NotAcquired { at },
                Err(_) => LeaseOutcome::Unanswered { at },
            },
        }
    }
}

/// Takes the lease if nobody has it. A lease whose write got no reply is given back; if that fails
/// too, it expires by itself.
async fn acquire(kv: &KeyValue, key: Arc<str>, own: &HolderRecord) -> KvResult<Option<u64>> {
    let value = serde_json::to_vec(own).map_err(|error| KvError::Rejected {
        reason: error.to_string(),
    })?;
    let lease = kv.grant(TTL_MS).await?;
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
