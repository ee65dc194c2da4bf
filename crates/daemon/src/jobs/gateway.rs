//! Offers this daemon to the leader as a gateway, a holder of links to workers.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_ports::kv::{Change, KeyValue, KvError, Transaction};
use slog::{Logger, info, warn};
use tokio::sync::watch;

use super::records::{self, GATEWAY_PREFIX, GatewayRecord};

/// Time to live of an offer. A leader keeps a connected gateway whose offer has expired.
const OFFER_TTL_MS: u64 = 10_000;
const RENEW_INTERVAL: Duration = Duration::from_millis(3_000);
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Keeps the offer in the store until the daemon stops, then withdraws it.
pub(super) async fn offer(
    kv: KeyValue,
    daemon: Arc<str>,
    record: GatewayRecord,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let mut lease = None;
    loop {
        let delay = match keep(&kv, &daemon, &record, lease).await {
            Ok(kept) => {
                if lease != Some(kept) {
                    info!(log, "gateway offered"; "address" => &*record.address);
                }
                lease = Some(kept);
                RENEW_INTERVAL
            }
            Err(KvError::LeaseExpired { .. }) => {
                lease = None;
                continue;
            }
            Err(error) => {
                if lease.is_none() {
                    warn!(log, "gateway not offered"; "reason" => %error);
                }
                RETRY_DELAY
            }
        };
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            _ = stop.wait_for(|stop| *stop) => break,
        }
    }
    if let Some(lease) = lease {
        // If this call is lost, the offer expires.
        let _ = kv.revoke(lease).await;
    }
}

/// Renews the lease, or stores the offer under a new one. Returns the lease.
async fn keep(
    kv: &KeyValue,
    daemon: &str,
    record: &GatewayRecord,
    lease: Option<u64>,
) -> Result<u64, KvError> {
    if let Some(lease) = lease {
        kv.keep_alive(lease).await?;
        return Ok(lease);
    }
    let lease = kv.grant(OFFER_TTL_MS).await?;
    let put = Change::Put {
        key: format!("{GATEWAY_PREFIX}{daemon}").into(),
        value: records::encode(record),
        lease,
    };
    let transaction = Transaction {
        compares: Vec::new(),
        changes: vec![put],
    };
    kv.transact(transaction).await?;
    Ok(lease)
}
