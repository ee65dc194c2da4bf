//! Usage reports of the daemons, and the pool usage derived from them.

use crate::member::MemberId;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A usage report expires if it is not renewed within this time, which covers two renewals and a call
/// that timed out.
pub(super) const REPORT_EXPIRY_MS: u64 = 6_000;

/// Usage of one service by one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceUsage {
    /// Number of requests in flight.
    pub busy: u32,
    /// Number of queued requests.
    pub queued: u32,
}

/// Usage of all services by one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// Incarnation of the daemon process.
    pub incarnation: Arc<str>,
    /// Sequence number, which increases with every report of the incarnation.
    pub sequence: u64,
    /// Usage of the services that have requests; all other services have none.
    pub services: BTreeMap<Arc<str>, ServiceUsage>,
}

/// Usage of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// The usage of every daemon is known.
    Known {
        /// Number of requests in flight.
        busy: u32,
        /// Number of queued requests.
        queued: u32,
    },
    /// The report of a daemon that used the pool has expired.
    Unknown,
}

/// The latest report of one member.
#[derive(Debug)]
struct ReceivedReport {
    sequence: u64,
    received_at: Millis,
    services: BTreeMap<Arc<str>, ServiceUsage>,
}

/// The latest usage report of each member.
#[derive(Debug, Default)]
pub struct UsageReports {
    reports: FastMap<MemberId, ReceivedReport>,
}

impl UsageReports {
    /// Records a report. Duplicates and reports older than the recorded one are ignored.
    pub fn record(&mut self, from: Arc<str>, report: UsageReport, now: Millis) {
        let member = MemberId {
            name: from,
            incarnation: report.incarnation,
        };
        let recorded = self.reports.get(&member);
        if recorded.is_some_and(|recorded| recorded.sequence >= report.sequence) {
            return;
        }
        let received_report = ReceivedReport {
            sequence: report.sequence,
            received_at: now,
            services: report.services,
        };
        self.reports.insert(member, received_report);
    }

    /// Removes the reports of processes that are no longer members.
    pub fn retain_members(&mut self, members: &[MemberId]) {
        self.reports.retain(|member, _| members.contains(member));
    }

    /// Returns the total usage of services that share a pool. A member without a report has no
    /// requests, because a daemon with requests reports unasked.
    pub fn usage<'a>(&self, services: impl Iterator<Item = &'a Arc<str>>, now: Millis) -> Usage {
        let (mut busy, mut queued) = (0_u32, 0_u32);
        for service in services {
            for received_report in self.reports.values() {
                let Some(usage) = received_report.services.get(service) else {
                    continue;
                };
                if now.ms_since(received_report.received_at) > REPORT_EXPIRY_MS {
                    return Usage::Unknown;
                }
                busy = busy.saturating_add(usage.busy);
                queued = queued.saturating_add(usage.queued);
            }
        }
        Usage::Known { busy, queued }
    }
}
