//! Decides when a daemon reports its usage to the controller.

use std::collections::BTreeMap;

use super::usage::{ServiceUsage, UsageReport};
use crate::prelude::*;

/// Minimum interval between reports: at most two a second.
const REPORT_INTERVAL_MS: u64 = 500;
/// Unchanged usage is reported again after this time, because a new controller has no reports yet.
const RENEWAL_INTERVAL_MS: u64 = 2_000;
/// Smallest change of a service's usage that is reported; a smaller one would move no instance.
const MIN_CHANGE: u32 = 2;

/// Decides when a daemon reports its usage. A daemon without requests reports nothing once its
/// report of zero usage was acknowledged.
#[derive(Debug)]
pub struct UsageReporter {
    incarnation: Arc<str>,
    sequence: u64,
    last_sent_at: Option<Millis>,
    last_sent: BTreeMap<Arc<str>, ServiceUsage>,
    acknowledged: bool,
}

impl UsageReporter {
    /// Creates the reporter of a daemon that has served no request yet.
    #[must_use]
    pub const fn new(incarnation: Arc<str>) -> Self {
        Self {
            incarnation,
            sequence: 0,
            last_sent_at: None,
            last_sent: BTreeMap::new(),
            acknowledged: true,
        }
    }

    /// Returns the report to send now, if one is due. It leaves out services without requests.
    pub fn next_report(
        &mut self,
        mut services: BTreeMap<Arc<str>, ServiceUsage>,
        now: Millis,
    ) -> Option<UsageReport> {
        services.retain(|_, usage| *usage != ServiceUsage::default());
        let age_ms = self
            .last_sent_at
            .map_or(u64::MAX, |last_sent| now.ms_since(last_sent));
        let renewal_due = !services.is_empty() && age_ms >= RENEWAL_INTERVAL_MS;
        let due = renewal_due || !self.acknowledged || self.changed(&services);
        if !due || age_ms < REPORT_INTERVAL_MS {
            return None;
        }
        self.sequence += 1;
        self.last_sent_at = Some(now);
        self.acknowledged = false;
        self.last_sent.clone_from(&services);
        Some(UsageReport {
            incarnation: Arc::clone(&self.incarnation),
            sequence: self.sequence,
            services,
        })
    }

    /// Records that the controller has received the report with this sequence number.
    pub const fn acknowledge(&mut self, sequence: u64) {
        if sequence == self.sequence {
            self.acknowledged = true;
        }
    }

    fn changed(&self, services: &BTreeMap<Arc<str>, ServiceUsage>) -> bool {
        let names = services.keys().chain(self.last_sent.keys());
        names.into_iter().any(|name| {
            let before = self
                .last_sent
                .get(name)
                .map_or(0, |usage| total_requests(*usage));
            let after = services.get(name).map_or(0, |usage| total_requests(*usage));
            let started_or_stopped = (before == 0) != (after == 0);
            started_or_stopped || before.abs_diff(after) >= MIN_CHANGE.max(before / 4)
        })
    }
}

const fn total_requests(usage: ServiceUsage) -> u32 {
    usage.busy.saturating_add(usage.queued)
}
