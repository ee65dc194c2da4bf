//! Rollout progress of a change: which members have it in force.

use rosemaryscale_ports::operator::StatusReport;
use serde::Serialize;

/// Rollout of one version according to one status report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RolloutProgress {
    /// Number of members that have this version or a newer one in force.
    pub in_force: usize,
    /// Members that do not have it in force yet.
    pub lagging: Vec<LaggingMember>,
}

/// A member that does not have the version in force yet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct LaggingMember {
    /// Name of the member.
    pub name: String,
    /// Why it counts as lagging.
    pub reason: String,
}

impl RolloutProgress {
    /// Computes the progress of `version` from a status report.
    #[must_use]
    pub fn new(report: &StatusReport, version: u64) -> Self {
        let outdated = report
            .daemons
            .iter()
            .filter(|daemon| daemon.version < version);
        let mut lagging: Vec<LaggingMember> = outdated
            .map(|daemon| LaggingMember {
                name: daemon.name.to_string(),
                reason: format!("has version {}", daemon.version),
            })
            .collect();
        lagging.extend(report.unreachable.iter().map(|name| LaggingMember {
            name: name.to_string(),
            reason: "does not answer".into(),
        }));
        let members = report.daemons.len() + report.unreachable.len();
        Self {
            in_force: members - lagging.len(),
            lagging,
        }
    }

    /// Whether every member has the version in force.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.in_force > 0 && self.lagging.is_empty()
    }

    /// Summary in one line.
    #[must_use]
    pub fn describe(&self) -> String {
        let members = self.in_force + self.lagging.len();
        let mut text = format!("in force on {} of {members} members", self.in_force);
        for (index, member) in self.lagging.iter().enumerate() {
            text.push_str(if index == 0 { "; waiting for " } else { ", " });
            text.push_str(&format!("{} ({})", member.name, member.reason));
        }
        text
    }
}
