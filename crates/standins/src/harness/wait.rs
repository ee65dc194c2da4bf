//! Waiting for conditions.

use std::future::Future;
use std::time::Duration;

pub(super) const CONDITION_POLL: Duration = Duration::from_millis(20);
/// Longest wait for a condition; far above every bound that a test checks.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics when it does not hold within [`PATIENCE`].
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let started = tokio::time::Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < PATIENCE,
            "not within {PATIENCE:?}: {what}"
        );
        tokio::time::sleep(CONDITION_POLL).await;
    }
}
