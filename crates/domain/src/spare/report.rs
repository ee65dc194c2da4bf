//! When a daemon reports its usage.

use std::collections::BTreeMap;

use super::usage::{ServiceUsage, UsageReport};
use crate::prelude::*;

/// At most two reports a second.
const REPORT_INTERVAL_MS: u64 = 500;
/// Use that does not change is reported again after this time, since a new controller knows nothing.
const RENEW_INTERVAL_MS: u64 = 2_000;
/// A smaller change of a service's use moves no instance.
const CHANGE_MIN: u32 = 2;

/// Decides when a daemon reports. A daemon at rest whose rest was acknowledged reports nothing.
#[derive(Debug)]
pub struct UsageReporter {
    incarnation: Arc<str>,
    sequence: u64,
    sent_at: Option<Millis>,
    sent: BTreeMap<Arc<str>, ServiceUsage>,
    acknowledged: bool,
}

impl UsageReporter {
    /// A reporter of a daemon that has served nothing.
    #[must_use]
    pub const fn new(incarnation: Arc<str>) -> Self {
        Self {
            incarnation,
            sequence: 0,
            sent_at: None,
            sent: BTreeMap::new(),
            acknowledged: true,
        }
    }

    /// The report to send now, if one is due. Services at rest are left out.
    pub fn due(
        &mut self,
        mut services: BTreeMap<Arc<str>, ServiceUsage>,
        now: Millis,
    ) -> Option<UsageReport> {
        services.retain(|_, used| *used != ServiceUsage::default());
        let age_ms = self.sent_at.map_or(u64::MAX, |sent| now.ms_since(sent));
        let renew = !services.is_empty() && age_ms >= RENEW_INTERVAL_MS;
        let due = renew || !self.acknowledged || self.changed(&services);
        if !due || age_ms < REPORT_INTERVAL_MS {
            return None;
        }
        self.sequence += 1;
        self.sent_at = Some(now);
        self.acknowledged = false;
        self.sent.clone_from(&services);
        Some(UsageReport {
            incarnation: Arc::clone(&self.incarnation),
            sequence: self.sequence,
            services,
        })
    }

    /// Records that the controller has a report.
    pub const fn acknowledge(&mut self, sequence: u64) {
        if sequence == self.sequence {
            self.acknowledged = true;
        }
    }

    fn changed(&self, services: &BTreeMap<Arc<str>, ServiceUsage>) -> bool {
        let names = services.keys().chain(self.sent.keys());
        names.into_iter().any(|name| {
            let before = self.sent.get(name).map_or(0, |used| total(*used));
            let after = services.get(name).map_or(0, |used| total(*used));
            let rest_ended_or_began = (before == 0) != (after == 0);
            rest_ended_or_began || before.abs_diff(after) >= CHANGE_MIN.max(before / 4)
        })
    }
}

const fn total(used: ServiceUsage) -> u32 {
    used.busy.saturating_add(used.queued)
}
