//! A harness with the example document.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]
#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "test support fails loudly"
)]

use std::sync::Arc;

use rosemaryscale_standins::harness::{Harness, HarnessOptions, UpstreamSpec};

pub const DOCUMENT: &str = include_str!("../../../../examples/kalahari/document.jsonc");
pub const PATH: &str = "/v1/services/quotes/x";

/// Starts a daemon with upstreams and applies the document.
pub async fn start(upstreams: usize) -> Harness {
    start_daemons(1, upstreams).await
}

pub async fn start_daemons(daemons: usize, upstreams: usize) -> Harness {
    let harness = Harness::start(HarnessOptions {
        daemon_binary: env!("CARGO_BIN_EXE_rosemaryscaled").into(),
        daemons,
        environment: "production".into(),
        upstreams: (0..upstreams)
            .map(|number| UpstreamSpec::numbered("quotes", number))
            .collect(),
    })
    .await;
    harness.apply(DOCUMENT).await;
    harness
}

/// Stops everything; the clients have ended.
pub async fn stop(harness: Arc<Harness>) {
    let harness = Arc::try_unwrap(harness).expect("the clients have ended");
    harness.stop().await;
}
