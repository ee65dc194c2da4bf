//! Usage as daemons report it, and what may be concluded from it.

use crate::member::MemberId;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A report of use that was not renewed for this time says nothing any more. It covers two renewals
/// and a call that timed out.
pub(super) const USAGE_LIFE_MS: u64 = 6_000;

/// Use of one service by one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceUsage {
    /// Requests in flight.
    pub busy: u32,
    /// Requests queued.
    pub queued: u32,
}

/// Use of every service by one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// Incarnation of the daemon.
    pub incarnation: Arc<str>,
    /// Rises with every report of the incarnation.
    pub sequence: u64,
    /// Services in use; every other service is at rest.
    pub services: BTreeMap<Arc<str>, ServiceUsage>,
}

/// Use of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// Every daemon's use is known.
    Known {
        /// Requests in flight.
        busy: u32,
        /// Requests queued.
        queued: u32,
    },
    /// A daemon that used the pool has stopped to report.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    sequence: u64,
    received: Millis,
    services: BTreeMap<Arc<str>, ServiceUsage>,
}

/// The newest report of each member.
#[derive(Debug, Default)]
pub struct UsageBook {
    entries: FastMap<MemberId, Entry>,
}

impl UsageBook {
    /// Records a report. Duplicates and reports older than a known one change nothing.
    pub fn observe(&mut self, from: Arc<str>, report: UsageReport, now: Millis) {
        let member = MemberId {
            name: from,
            incarnation: report.incarnation,
        };
        let known = self.entries.get(&member);
        if known.is_some_and(|known| known.sequence >= report.sequence) {
            return;
        }
        let entry = Entry {
            sequence: report.sequence,
            received: now,
            services: report.services,
        };
        self.entries.insert(member, entry);
    }

    /// Forgets processes that are no longer members.
    pub fn follow(&mut self, members: &[MemberId]) {
        self.entries.retain(|member, _| members.contains(member));
    }

    /// Use of services that share a pool. A member without a report is at rest: a daemon in use
    /// reports by itself.
    pub fn usage<'a>(&self, services: impl Iterator<Item = &'a Arc<str>>, now: Millis) -> Usage {
        let (mut busy, mut queued) = (0_u32, 0_u32);
        for service in services {
            for entry in self.entries.values() {
                let Some(used) = entry.services.get(service) else {
                    continue;
                };
                if now.ms_since(entry.received) > USAGE_LIFE_MS {
                    return Usage::Unknown;
                }
                busy = busy.saturating_add(used.busy);
                queued = queued.saturating_add(used.queued);
            }
        }
        Usage::Known { busy, queued }
    }
}
