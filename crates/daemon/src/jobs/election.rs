//! Leader election: acquires the scheduler key when it is free, and runs the leader while it is held.

use std::hash::{BuildHasher, BuildHasherDefault};
use std::time::Duration;

use rustc_hash::FxHasher;
use slog::{error, info, warn};
use tokio::sync::watch;

use super::frontend::LeaderStatus;
use super::leader::{Leader, LeaderEnd, LeaderOptions};
use super::lease;

/// Daemons that see the key expire attempt to acquire it at staggered times up to this bound, so that
/// usually a single call decides the election.
const MAX_ACQUIRE_DELAY_MS: u64 = 60;
/// Additional delay of a daemon with a small share of a processor or a slow link, so that one with ample
/// resources becomes the leader if there is any. All daemons start within 300 ms of each other.
const SMALL_INSTANCE_DELAY: Duration = Duration::from_millis(400);
/// Delay after a failed attempt or the end of a term.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Runs until the daemon stops.
pub(super) async fn run(
    options: LeaderOptions,
    mut status: watch::Receiver<LeaderStatus>,
    mut stop: watch::Receiver<bool>,
) {
    let mut acquire_delay = acquire_delay(&options.identity.daemon);
    if !options.has_ample_resources {
        acquire_delay += SMALL_INSTANCE_DELAY;
    }
    loop {
        tokio::select! {
            changed = status.wait_for(|status| {
                matches!(status, LeaderStatus::None | LeaderStatus::FormerProcess(_))
            }) => {
                if changed.is_err() { return }
            }
            _ = stop.wait_for(|stop| *stop) => return,
        }
        let current = *status.borrow();
        if let LeaderStatus::FormerProcess(lease) = current {
            // Avoids waiting for the lease of a process that has ended to expire.
            info!(options.log, "scheduler key of an earlier process of this daemon"; "lease" => lease);
            if let Err(error) = options.kv.revoke(lease).await {
                warn!(options.log, "lease not ended"; "lease" => lease, "reason" => %error);
            }
        } else {
            tokio::time::sleep(acquire_delay).await;
            if *status.borrow() != LeaderStatus::None {
                continue;
            }
        }
        match lease::acquire(&options.kv, &options.clock, &options.identity).await {
            Ok(Some(lease)) => {
                info!(options.log, "scheduler key taken"; "fence" => lease.fencing_token,
                    "lease_age_ms" => options.clock.now().ms_since(lease.confirmed_at));
                let lease_id = lease.id;
                // A task of its own, so that this daemon remains a candidate if the term panics.
                let term = tokio::spawn(Leader::recover(options.clone(), lease, stop.clone()));
                match term.await {
                    Err(error) => {
                        error!(options.log, "term ended by a fault"; "reason" => %error);
                        // The tasks of its ports end with their handles.
                        let _ = options.kv.revoke(lease_id).await;
                    }
                    Ok(LeaderEnd::Stopped) => return,
                    Ok(LeaderEnd::Lost {
                        reason,
                        lease_age_ms,
                    }) => {
                        warn!(options.log, "scheduler key lost"; "reason" => reason,
                            "lease_age_ms" => lease_age_ms);
                    }
                }
            }
            Ok(None) => {}
            Err(error) => {
                warn!(options.log, "scheduler key not taken"; "reason" => %error);
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn acquire_delay(name: &str) -> Duration {
    let hash = BuildHasherDefault::<FxHasher>::default().hash_one(name);
    Duration::from_millis(hash % MAX_ACQUIRE_DELAY_MS)
}
