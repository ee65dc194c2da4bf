//! Progress of a change: which members have it in force.

use rosemaryscale_ports::operator::StatusReport;
use serde::Serialize;

/// Members of one status report against one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Progress {
    /// Members that have the version or a newer one in force.
    pub in_force: usize,
    /// The other members.
    pub lagging: Vec<Lagging>,
}

/// A member that does not have the version in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Lagging {
    /// Name of the member.
    pub name: String,
    /// What is known of it.
    pub reason: String,
}

impl Progress {
    /// Compares a report with a version.
    #[must_use]
    pub fn new(report: &StatusReport, version: u64) -> Self {
        let behind = report
            .daemons
            .iter()
            .filter(|daemon| daemon.version < version);
        let mut lagging: Vec<Lagging> = behind
            .map(|daemon| Lagging {
                name: daemon.name.to_string(),
                reason: format!("has version {}", daemon.version),
            })
            .collect();
        lagging.extend(report.unreachable.iter().map(|name| Lagging {
            name: name.to_string(),
            reason: "does not answer".into(),
        }));
        let answered = report.daemons.len() + report.unreachable.len();
        Self {
            in_force: answered - lagging.len(),
            lagging,
        }
    }

    /// Whether every member has the version in force.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.in_force > 0 && self.lagging.is_empty()
    }

    /// One line for a reader.
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
