//! Unit tests of the roll-out: peer rotation, history, unreadable documents and promotion.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Gen, QuickCheck};
use rosemaryscale_domain::document::{Accepted, DocumentFields, EnvironmentFields};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::promotion::{MemberState, PromotionInput, PromotionRefusal};
use rosemaryscale_domain::proposal::{
    Draft, HISTORY_MAX, Proposal, ProposalEnd, ProposalEvent, ProposalStep,
};
use rosemaryscale_domain::rollout::{
    Adoption, PEERS_PER_ROUND, PeerRotation, Reachability, RoundResult, not_ready_reason,
};
use rosemaryscale_domain::{Document, InForce};

const SEED: u64 = 0x0005_5b02;

/// Returns an accepted document. Its fields are not checked, since validation is not under test
/// here.
fn document(version: u64, digest: &Arc<str>) -> Arc<Document<Accepted>> {
    let environment = EnvironmentFields { spare_instances: 0 };
    let fields = DocumentFields {
        format: 1,
        environments: BTreeMap::from([("production".into(), environment)]),
        pools: BTreeMap::new(),
        services: BTreeMap::new(),
        maintenance: Default::default(),
    };
    let parsed = Document::parsed(Arc::clone(digest), Arc::clone(digest), fields);
    Arc::new(Document {
        text: parsed.text,
        digest: parsed.digest,
        fields: parsed.fields,
        state: Accepted { version },
    })
}

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| format!("entry-{number:03}").into())
        .collect()
}

/// Guards against a peer that is never polled, and against rounds that grow with the number of
/// daemons.
#[test]
fn every_peer_is_polled_in_turn_while_peers_change() {
    fn property(count: u8, removed: Vec<u8>) -> Result<(), String> {
        let mut peers = names(usize::from(count % 40) + 1);
        let mut rotation = PeerRotation::default();
        for index in removed {
            let round = rotation.next_round(&peers);
            let unique: BTreeSet<&Arc<str>> = round.iter().collect();
            if round.len() > PEERS_PER_ROUND || unique.len() != round.len() {
                return Err(format!("round {round:?}"));
            }
            if peers.len() > 1 {
                peers.remove(usize::from(index) % peers.len());
            }
        }
        let rounds = peers.len().div_ceil(PEERS_PER_ROUND);
        let asked: BTreeSet<Arc<str>> = (0..rounds)
            .flat_map(|_| rotation.next_round(&peers))
            .collect();
        if asked.len() == peers.len() {
            Ok(())
        } else {
            Err(format!(
                "{rounds} rounds poll {} of {} peers",
                asked.len(),
                peers.len()
            ))
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, SEED))
        .tests(1_000)
        .quickcheck(property as fn(u8, Vec<u8>) -> Result<(), String>);
}

/// Guards against a history that grows without bound or loses records within its limit.
#[test]
fn the_history_keeps_a_bounded_number_of_records() {
    let mut kept = BTreeSet::new();
    let mut replaced_version = 0;
    for version in (1..=700).chain([730, 731, 900, 901]) {
        let draft = Draft {
            version,
            revision: 0,
            replaced_version,
        };
        for expired in draft.expired_history() {
            kept.remove(&expired);
        }
        kept.insert(version);
        replaced_version = version;
        assert!(
            kept.len() as u64 <= HISTORY_MAX,
            "{} records at {version}",
            kept.len()
        );
        if version <= 700 {
            assert_eq!(kept.len() as u64, version.min(HISTORY_MAX), "at {version}");
        }
    }
    let draft = Draft {
        version: u64::MAX,
        revision: 0,
        replaced_version: 0,
    };
    assert!(
        draft.expired_history().count() < 128,
        "more operations than one transaction may have"
    );
}

/// Guards against mishandling of a document that this daemon cannot read: it must not replace the
/// one in force or be fetched again in every round, and the next change must get a higher version.
#[test]
fn an_unreadable_version_is_recorded_once_and_counts_as_known() {
    let mut in_force = InForce::default();
    assert_eq!(
        in_force.adopt(document(3, &"three".into())),
        Adoption::Adopted
    );
    assert!(in_force.record_offer(5));
    assert!(in_force.record_unreadable(5));
    assert!(!in_force.record_unreadable(5));
    assert!(!in_force.record_offer(5));
    assert_eq!((in_force.version(), in_force.known_version()), (3, 5));
    assert_eq!(in_force.unreadable_version(), Some(5));
    assert!(in_force.record_offer(6));
    assert_eq!(
        in_force.adopt(document(6, &"six".into())),
        Adoption::Adopted
    );
    assert_eq!(in_force.unreadable_version(), None);
    assert_eq!(
        in_force.adopt(document(6, &"other".into())),
        Adoption::Diverged
    );
}

/// Guards against a daemon that is not ready and does not report what is missing.
#[test]
fn the_reason_names_the_platform_the_peers_or_the_missing_document() {
    let down = Reachability::Unreachable {
        reason: "refused".into(),
    };
    let none = InForce::default();
    let reason = |platform: &Reachability, queried, answered| {
        not_ready_reason("trial", &none, platform, RoundResult { queried, answered })
    };
    assert!(reason(&Reachability::Reachable, 0, 0).contains("rosemaryscale apply"));
    assert!(reason(&down, 0, 0).contains("list \"peers\" in the settings"));
    assert!(reason(&down, 2, 0).contains("none of 2 peers answers"));
    assert!(reason(&down, 2, 1).contains("none of 1 peers that answer has a document"));
    let mut unreadable = InForce::default();
    unreadable.record_unreadable(4);
    let round = RoundResult::default();
    let reason = not_ready_reason("trial", &unreadable, &down, round);
    assert!(
        reason.contains("version 4") && reason.contains("upgrade"),
        "{reason}"
    );
}

/// Guards against a promotion whose source document changes between the review and the write.
#[test]
fn a_write_whose_additional_condition_fails_is_reported_as_such() {
    let mut proposal = Proposal::new("id".into(), "digest".into(), Some(0), 0);
    let read = || ProposalEvent::Read {
        head: None,
        own: None,
    };
    assert!(matches!(proposal.advance(read()), ProposalStep::Write(_)));
    assert_eq!(
        proposal.advance(ProposalEvent::NotWritten),
        ProposalStep::Read
    );
    assert_eq!(
        proposal.advance(read()),
        ProposalStep::End(ProposalEnd::ConditionFailed)
    );
}

fn input(members: &[(&str, Option<(u64, &str)>)]) -> PromotionInput {
    PromotionInput {
        source: "trial".into(),
        reviewed_digest: "seen".into(),
        accepted: Some((4, "seen".into())),
        members: members
            .iter()
            .map(|(name, in_force)| MemberState {
                name: (*name).into(),
                in_force: in_force.map(|(version, digest)| (version, digest.into())),
            })
            .collect(),
    }
}

/// Guards against the promotion of a document that is not in force on every trial member, that no
/// daemon has run, or that is not the one that the operator reviewed.
#[test]
fn a_promotion_needs_the_document_in_force_on_every_member() {
    let in_force = Some((4, "seen"));
    assert_eq!(input(&[("a", in_force), ("b", in_force)]).decide(), Ok(4));
    for not_in_force in [
        None,
        Some((3, "old")),
        Some((4, "other")),
        Some((5, "seen")),
    ] {
        let refused = input(&[("a", in_force), ("b", not_in_force)]).decide();
        let Err(PromotionRefusal::NotInForce { members, .. }) = refused else {
            panic!("{not_in_force:?} gives {refused:?}");
        };
        assert!(
            members.len() == 1 && members[0].starts_with("b "),
            "{members:?}"
        );
    }
    let refused = input(&[]).decide();
    assert!(
        matches!(refused, Err(PromotionRefusal::NoMembers { .. })),
        "{refused:?}"
    );
    let reviewed_digest = "older".into();
    let refused = PromotionInput {
        reviewed_digest,
        ..input(&[("a", in_force)])
    }
    .decide();
    assert!(
        matches!(refused, Err(PromotionRefusal::Changed { .. })),
        "{refused:?}"
    );
    let refused = PromotionInput {
        accepted: None,
        ..input(&[("a", in_force)])
    }
    .decide();
    assert!(
        matches!(refused, Err(PromotionRefusal::NoDocument { .. })),
        "{refused:?}"
    );
}
