//! The election: takes the scheduler's key when nobody holds it, and schedules while it is held.

use std::hash::{BuildHasher, BuildHasherDefault};
use std::time::Duration;

use rustc_hash::FxHasher;
use slog::{info, warn};
use tokio::sync::watch;

use super::front::LeaderSeen;
use super::leader::{Leader, LeaderEnd, LeaderOptions};
use super::lease;

/// Daemons that see the key lapse try in turn within this time, so that one call mostly decides.
const STAGGER_MS: u64 = 60;
/// Pause after an attempt that failed.
const RETRY: Duration = Duration::from_millis(300);

/// Runs until the daemon stops.
pub(super) async fn run(
    options: LeaderOptions,
    mut seen: watch::Receiver<LeaderSeen>,
    mut stop: watch::Receiver<bool>,
) {
    let stagger = stagger(&options.own.daemon);
    loop {
        tokio::select! {
            changed = seen.wait_for(|seen| {
                matches!(seen, LeaderSeen::None | LeaderSeen::FormerProcess(_))
            }) => {
                if changed.is_err() { return }
            }
            _ = stop.wait_for(|stop| *stop) => return,
        }
        let found = *seen.borrow();
        if let LeaderSeen::FormerProcess(lease) = found {
            // Nobody has to wait until the lease of a process that has ended lapses.
            info!(options.log, "scheduler key of an earlier process of this daemon"; "lease" => lease);
            if let Err(error) = options.kv.revoke(lease).await {
                warn!(options.log, "lease not ended"; "lease" => lease, "reason" => %error);
            }
        } else {
            tokio::time::sleep(stagger).await;
            if *seen.borrow() != LeaderSeen::None {
                continue;
            }
        }
        match lease::acquire(&options.kv, &options.clock, &options.own).await {
            Ok(Some(held)) => {
                info!(options.log, "scheduler key taken"; "fence" => held.fence);
                let end = Leader::recover(options.clone(), held, stop.clone()).await;
                match end {
                    LeaderEnd::Stopped => return,
                    LeaderEnd::Lost(reason) => {
                        warn!(options.log, "scheduler key lost"; "reason" => reason);
                    }
                }
            }
            Ok(None) => {}
            Err(error) => {
                warn!(options.log, "scheduler key not taken"; "reason" => %error);
            }
        }
        tokio::time::sleep(RETRY).await;
    }
}

fn stagger(name: &str) -> Duration {
    let hash = BuildHasherDefault::<FxHasher>::default().hash_one(name);
    Duration::from_millis(hash % STAGGER_MS)
}
