//! Tells peers which instances refuse this daemon's connections.

use std::sync::Arc;

use rosemaryscale_ports::member::MemberWatch;
use rosemaryscale_ports::peer::{PeerRequest, Peers, RefusingInstance};
use rosemaryscale_ports::prelude::*;
use tokio::task::JoinSet;

/// Calls to peers at once; observations beyond it are dropped, since peers also observe themselves.
const CALLS_MAX: usize = 64;

/// Sends this daemon's observations to the live members.
pub struct Observations {
    name: Arc<str>,
    members: MemberWatch,
    peers: Peers,
    calls: JoinSet<()>,
}

impl Observations {
    /// Makes the task's state; `name` is that of this daemon.
    #[must_use]
    pub fn new(name: Arc<str>, members: MemberWatch, peers: Peers) -> Self {
        Self {
            name,
            members,
            peers,
            calls: JoinSet::new(),
        }
    }

    /// Serves until every sender is dropped.
    pub async fn serve(mut self, mut refusing: mpsc::Receiver<RefusingInstance>) {
        loop {
            tokio::select! {
                instance = refusing.recv() => match instance {
                    Some(instance) => self.tell_peers(&instance),
                    None => break,
                },
                Some(_) = self.calls.join_next() => {}
            }
        }
        self.calls.shutdown().await;
    }

    fn tell_peers(&mut self, instance: &RefusingInstance) {
        let live = self.members.borrow().live();
        for member in live.into_iter().filter(|member| *member != self.name) {
            if self.calls.len() >= CALLS_MAX {
                return;
            }
            let peers = self.peers.clone();
            let request = PeerRequest::Refusing(instance.clone());
            self.calls.spawn(async move {
                let _ = peers.call(member, request).await;
            });
        }
    }
}
