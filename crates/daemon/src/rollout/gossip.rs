//! Exchanges digests with peers and fetches the newest document among them.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryscale_domain::rollout::RoundResult;
use rosemaryscale_ports::peer::{ConfigDigest, ConfigText, PeerReply, PeerRequest, Peers};
use tokio::task::JoinSet;

/// A peer to query in a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Target {
    /// A member.
    Member(Arc<str>),
    /// The address of a daemon from the settings.
    Address(SocketAddr),
}

impl Target {
    async fn call(&self, peers: &Peers, request: PeerRequest) -> Option<PeerReply> {
        match self {
            Self::Member(name) => peers.call(Arc::clone(name), request).await.ok(),
            Self::Address(address) => peers.call_at(*address, request).await.ok(),
        }
    }
}

/// Result of a round.
#[derive(Clone, Debug, Default)]
pub(super) struct RoundOutcome {
    /// Number of peers that were queried and that answered.
    pub(super) result: RoundResult,
    /// The newest document that could be fetched, if any is newer than this daemon's.
    pub(super) text: Option<ConfigText>,
}

/// Exchanges digests with `targets` and fetches the newest document whose version is above
/// `newer_than`. All digests are collected before a document is fetched, so a starting daemon adopts
/// the highest version.
pub(super) async fn round(
    peers: Peers,
    targets: Vec<Target>,
    own: ConfigDigest,
    newer_than: u64,
) -> RoundOutcome {
    let environment = Arc::clone(&own.environment);
    let queried = targets.len();
    let mut calls = JoinSet::new();
    for target in targets {
        let (peers, own) = (peers.clone(), own.clone());
        calls.spawn(async move {
            let reply = target.call(&peers, PeerRequest::Digest(own)).await;
            (target, reply)
        });
    }
    let mut offers: Vec<(u64, Target)> = Vec::new();
    while let Some(result) = calls.join_next().await {
        if let Ok((target, Some(PeerReply::Digest(digest)))) = result
            && digest.environment == environment
        {
            offers.push((digest.version, target));
        }
    }
    let answered = offers.len();
    offers.retain(|(version, _)| *version > newer_than);
    offers.sort_by_key(|(version, _)| std::cmp::Reverse(*version));
    let mut outcome = RoundOutcome {
        result: RoundResult { queried, answered },
        text: None,
    };
    for (_, target) in offers {
        outcome.text = fetch(&peers, &target, &environment).await;
        if outcome.text.is_some() {
            break;
        }
    }
    outcome
}

/// Fetches a peer's document if it belongs to `environment`.
pub(super) async fn fetch(peers: &Peers, target: &Target, environment: &str) -> Option<ConfigText> {
    match target.call(peers, PeerRequest::Document).await? {
        PeerReply::Document(text) => text.filter(|text| &*text.environment == environment),
        _ => None,
    }
}
