//! One round of digests with peers, and the text of the newest document among them.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemaryscale_domain::rollout::RoundResult;
use rosemaryscale_ports::peer::{ConfigDigest, ConfigText, PeerReply, PeerRequest, Peers};
use tokio::task::JoinSet;

/// A peer of a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Target {
    /// A member.
    Member(Arc<str>),
    /// A daemon that the settings list.
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

/// What a round found.
#[derive(Clone, Debug, Default)]
pub(super) struct RoundFound {
    /// How many answered.
    pub(super) result: RoundResult,
    /// The newest document among those that this daemon wants.
    pub(super) text: Option<ConfigText>,
}

/// Exchanges digests with `targets` and reads the newest text that is above `wanted_above`. All
/// digests are collected before a text is read, so a daemon that starts takes the highest version.
pub(super) async fn round(
    peers: Peers,
    targets: Vec<Target>,
    own: ConfigDigest,
    wanted_above: u64,
) -> RoundFound {
    let environment = Arc::clone(&own.environment);
    let asked = targets.len();
    let mut calls = JoinSet::new();
    for target in targets {
        let (peers, own) = (peers.clone(), own.clone());
        calls.spawn(async move {
            let reply = target.call(&peers, PeerRequest::Digest(own)).await;
            (target, reply)
        });
    }
    let mut offers: Vec<(u64, Target)> = Vec::new();
    while let Some(called) = calls.join_next().await {
        if let Ok((target, Some(PeerReply::Digest(digest)))) = called
            && digest.environment == environment
        {
            offers.push((digest.version, target));
        }
    }
    let answered = offers.len();
    offers.retain(|(version, _)| *version > wanted_above);
    offers.sort_by_key(|(version, _)| std::cmp::Reverse(*version));
    let mut found = RoundFound {
        result: RoundResult { asked, answered },
        text: None,
    };
    for (_, target) in offers {
        found.text = fetch(&peers, &target, &environment).await;
        if found.text.is_some() {
            break;
        }
    }
    found
}

/// Reads a peer's document.
pub(super) async fn fetch(peers: &Peers, target: &Target, environment: &str) -> Option<ConfigText> {
    match target.call(peers, PeerRequest::Document).await? {
        PeerReply::Document(text) => text.filter(|text| &*text.environment == environment),
        _ => None,
    }
}
