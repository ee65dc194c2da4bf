//! Polling for conditions.

use std::future::Future;
use std::task::Poll;
use std::time::Duration;

pub(super) const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for a condition, far above every time limit that a test asserts.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics when it does not hold within [`CONDITION_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(
    description: &str,
    mut condition: impl FnMut() -> F,
) {
    let started = tokio::time::Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "not within {CONDITION_TIMEOUT:?}: {description}"
        );
        tokio::time::sleep(CONDITION_POLL_INTERVAL).await;
    }
}

/// Runs futures concurrently on the current task and returns their outputs in order.
pub async fn join_all<F: Future>(futures: impl IntoIterator<Item = F>) -> Vec<F::Output> {
    let mut futures: Vec<_> = futures.into_iter().map(|future| Box::pin(future)).collect();
    let mut outputs: Vec<Option<F::Output>> = futures.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        for (future, output) in futures.iter_mut().zip(&mut outputs) {
            if output.is_none()
                && let Poll::Ready(value) = future.as_mut().poll(context)
            {
                *output = Some(value);
            }
        }
        if outputs.iter().all(Option::is_some) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
    outputs.into_iter().flatten().collect()
}
