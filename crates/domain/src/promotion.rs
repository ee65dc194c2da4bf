//! Promotion: decides whether the document of one environment may be copied unchanged to another.

use snafu::Snafu;

use crate::prelude::*;

/// The document in force on one member of the source environment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberState {
    /// Name of the member.
    pub name: Arc<str>,
    /// Version and digest in force; `None` if the member does not answer.
    pub in_force: Option<(u64, Arc<str>)>,
}

/// The state on which a promotion is decided.
#[derive(Clone, Debug)]
pub struct PromotionInput {
    /// The source environment.
    pub source: Arc<str>,
    /// Digest that the operator reviewed.
    pub reviewed_digest: Arc<str>,
    /// Version and digest accepted in the source environment, if there is a document.
    pub accepted: Option<(u64, Arc<str>)>,
    /// Every registered member of the source environment, with or without a heartbeat.
    pub members: Vec<MemberState>,
}

/// Why a promotion was refused; nothing changed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum PromotionRefusal {
    /// The source environment has no document.
    #[snafu(display("{source_environment} has no document; apply it there first"))]
    NoDocument {
        /// The source environment.
        source_environment: Arc<str>,
    },
    /// The source document is not the one that the operator reviewed.
    #[snafu(display(
        "{source_environment} now has version {version} with digest {digest}, not the digest {reviewed_digest} that \
         was looked at; check rosemaryscale status and promote again"
    ))]
    Changed {
        /// The source environment.
        source_environment: Arc<str>,
        /// Current version in the source environment.
        version: u64,
        /// Current digest in the source environment.
        digest: Arc<str>,
        /// Digest that the operator reviewed.
        reviewed_digest: Arc<str>,
    },
    /// The source environment has no members, so no daemon has run the document.
    #[snafu(display(
        "{source_environment} has no members, so no daemon has run the document; start one there"
    ))]
    NoMembers {
        /// The source environment.
        source_environment: Arc<str>,
    },
    /// Some members do not have the document in force.
    #[snafu(display(
        "version {version} of {source_environment} is not in force on {}; wait for them or remove them, then \
         promote again",
        members.join(", ")
    ))]
    NotInForce {
        /// The source environment.
        source_environment: Arc<str>,
        /// Version that the members do not have in force.
        version: u64,
        /// The members, sorted by name.
        members: Vec<String>,
    },
}

impl PromotionInput {
    /// Checks whether the document may be promoted; returns its version in the source environment.
    ///
    /// # Errors
    ///
    /// Fails with the first condition that is not met.
    pub fn decide(&self) -> Result<u64, PromotionRefusal> {
        let source_environment = Arc::clone(&self.source);
        let Some((version, digest)) = self.accepted.clone() else {
            return Err(PromotionRefusal::NoDocument { source_environment });
        };
        if digest != self.reviewed_digest {
            let reviewed_digest = Arc::clone(&self.reviewed_digest);
            return Err(PromotionRefusal::Changed {
                source_environment,
                version,
                digest,
                reviewed_digest,
            });
        }
        if self.members.is_empty() {
            return Err(PromotionRefusal::NoMembers { source_environment });
        }
        let accepted = Some((version, digest));
        let mut members: Vec<String> = self
            .members
            .iter()
            .filter(|member| member.in_force != accepted)
            .map(|member| match &member.in_force {
                Some((version, _)) => format!("{} (version {version})", member.name),
                None => format!("{} (does not answer)", member.name),
            })
            .collect();
        if members.is_empty() {
            return Ok(version);
        }
        members.sort();
        Err(PromotionRefusal::NotInForce {
            source_environment,
            version,
            members,
        })
    }
}
