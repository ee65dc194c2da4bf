//! Reports instances that refuse this daemon's connections to its peers.

use std::sync::Arc;

use rosemaryscale_ports::member::MemberWatch;
use rosemaryscale_ports::peer::{PeerRequest, Peers, RefusingInstance};
use rosemaryscale_ports::prelude::*;
use tokio::task::JoinSet;

/// Maximum number of concurrent calls to peers. Further observations are dropped, since the peers
/// also observe the instances themselves.
const MAX_CONCURRENT_CALLS: usize = 64;

/// The task that sends this daemon's observations to the live members.
pub struct RefusalReporter {
    name: Arc<str>,
    members: MemberWatch,
    peers: Peers,
    calls: JoinSet<()>,
}

impl RefusalReporter {
    /// Creates the task; `name` is the name of this daemon.
    #[must_use]
    pub fn new(name: Arc<str>, members: MemberWatch, peers: Peers) -> Self {
        Self {
            name,
            members,
            peers,
            calls: JoinSet::new(),
        }
    }

    /// Reports observations until every sender is dropped.
    pub async fn serve(mut self, mut refusals: mpsc::Receiver<RefusingInstance>) {
        loop {
            tokio::select! {
                instance = refusals.recv() => match instance {
                    Some(instance) => self.report_to_peers(&instance),
                    None => break,
                },
                Some(_) = self.calls.join_next() => {}
            }
        }
        self.calls.shutdown().await;
    }

    fn report_to_peers(&mut self, instance: &RefusingInstance) {
        let live = self.members.borrow().live();
        for member in live.into_iter().filter(|member| *member != self.name) {
            if self.calls.len() >= MAX_CONCURRENT_CALLS {
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
