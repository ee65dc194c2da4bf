//! Offers this daemon to others under one lease: to the leader as a gateway, a holder of links to workers, and
//! to its peers as a source of the configuration.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_ports::job::QueueConfigWatch;
use rosemaryscale_ports::kv::{Change, KeyValue, KvError, Transaction};
use slog::{Logger, info, warn};
use tokio::sync::watch;

use super::records::{self, GatewayRecord, PeerRecord};

/// Time to live of an offer. A leader keeps a connected gateway whose offer has expired.
const OFFER_TTL_MS: u64 = 10_000;
const RENEW_INTERVAL: Duration = Duration::from_millis(3_000);
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// What a daemon offers.
pub(super) struct OfferOptions {
    pub(super) kv: KeyValue,
    /// Name of the daemon.
    pub(super) daemon: Arc<str>,
    /// Offer to the leader, if the daemon is a gateway.
    pub(super) gateway: Option<GatewayRecord>,
    /// Offer to the peers, which is stored only while the configuration has workspaces.
    pub(super) peer: Option<PeerRecord>,
    pub(super) config: QueueConfigWatch,
    pub(super) stop: watch::Receiver<bool>,
    pub(super) log: Logger,
}

/// Offers in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stored {
    lease: u64,
    /// Whether they include the offer to the peers.
    has_peer: bool,
}

/// What follows after the offers were stored or renewed.
#[derive(Clone, Copy, Debug)]
enum Next {
    /// Nothing, until the configuration asks for an offer.
    Idle,
    /// A renewal, or a change that the configuration asks for.
    Renew,
    /// Another attempt.
    Retry(Duration),
}

/// Task that keeps the offers in the store until the daemon stops, then withdraws them.
pub(super) struct Offers {
    options: OfferOptions,
    stored: Option<Stored>,
}

impl Offers {
    pub(super) const fn new(options: OfferOptions) -> Self {
        Self {
            options,
            stored: None,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            let next = self.keep().await;
            if !self.pause(next).await {
                break;
            }
        }
        if let Some(stored) = self.stored {
            // If this call is lost, the offers expire.
            let _ = self.options.kv.revoke(stored.lease).await;
        }
    }

    /// Stores or renews the offers.
    async fn keep(&mut self) -> Next {
        let has_peer = self.offers_peer();
        let kept = match self.stored {
            None if self.options.gateway.is_none() && !has_peer => return Next::Idle,
            None => self.store(has_peer).await,
            Some(stored) if stored.has_peer != has_peer => self.change(stored, has_peer).await,
            Some(stored) => {
                let renewed = self.options.kv.keep_alive(stored.lease).await;
                renewed.map(|()| stored)
            }
        };
        match kept {
            Ok(stored) => {
                self.log_new(stored);
                self.stored = Some(stored);
                Next::Renew
            }
            Err(KvError::LeaseExpired { .. }) if self.stored.is_some() => {
                self.stored = None;
                Next::Retry(Duration::ZERO)
            }
            Err(error) => {
                if self.stored.is_none() {
                    warn!(self.options.log, "{}", self.failure(); "reason" => %error);
                }
                Next::Retry(RETRY_DELAY)
            }
        }
    }

    /// Waits for the next step. Returns false if the daemon stops.
    async fn pause(&mut self, next: Next) -> bool {
        let has_peer = self.stored.is_some_and(|stored| stored.has_peer);
        let can_offer = self.options.peer.is_some();
        let config = &mut self.options.config;
        let changed =
            config.wait_for(|config| can_offer && config.workspaces.is_enabled() != has_peer);
        let (delay, sees_changes) = match next {
            Next::Renew => (Some(RENEW_INTERVAL), true),
            Next::Idle => (None, true),
            Next::Retry(delay) => (Some(delay), false),
        };
        tokio::select! {
            () = tokio::time::sleep(delay.unwrap_or_default()), if delay.is_some() => true,
            Ok(_) = changed, if sees_changes => true,
            _ = self.options.stop.wait_for(|stop| *stop) => false,
        }
    }

    fn offers_peer(&self) -> bool {
        self.options.peer.is_some() && self.options.config.borrow().workspaces.is_enabled()
    }

    /// Stores all offers under a new lease.
    async fn store(&self, has_peer: bool) -> Result<Stored, KvError> {
        let options = &self.options;
        let lease = options.kv.grant(OFFER_TTL_MS).await?;
        let gateway = options
            .gateway
            .iter()
            .map(|record| records::put_gateway(&options.daemon, record, lease));
        let peer = options
            .peer
            .iter()
            .filter(|_| has_peer)
            .map(|record| records::put_peer(&options.daemon, record, lease));
        self.write(gateway.chain(peer).collect()).await?;
        Ok(Stored { lease, has_peer })
    }

    /// Adds or withdraws the offer to the peers.
    async fn change(&self, stored: Stored, has_peer: bool) -> Result<Stored, KvError> {
        let options = &self.options;
        let change = match &options.peer {
            Some(record) if has_peer => records::put_peer(&options.daemon, record, stored.lease),
            _ => Change::Delete {
                key: records::peer_key(&options.daemon),
            },
        };
        self.write(vec![change]).await?;
        Ok(Stored { has_peer, ..stored })
    }

    async fn write(&self, changes: Vec<Change>) -> Result<(), KvError> {
        let transaction = Transaction {
            compares: Vec::new(),
            changes,
        };
        self.options.kv.transact(transaction).await.map(|_| ())
    }

    fn log_new(&self, stored: Stored) {
        let log = &self.options.log;
        let former = self.stored;
        let is_new_lease = former.map(|former| former.lease) != Some(stored.lease);
        if let Some(gateway) = self.options.gateway.as_ref().filter(|_| is_new_lease) {
            info!(log, "gateway offered"; "address" => &*gateway.address);
        }
        let had_peer = former.is_some_and(|former| former.has_peer) && !is_new_lease;
        if let Some(peer) = &self.options.peer
            && stored.has_peer
            && !had_peer
        {
            info!(log, "configuration offered to peers"; "address" => %peer.address);
        }
    }

    fn failure(&self) -> &'static str {
        if self.options.gateway.is_some() {
            "gateway not offered"
        } else {
            "configuration not offered to peers"
        }
    }
}
