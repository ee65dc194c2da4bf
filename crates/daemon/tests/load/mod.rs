//! Starts a harness whose document has one service.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only some of the helpers"
)]
#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "test support panics on failure"
)]

use std::sync::Arc;

use http::Method;
use rosemaryscale_standins::harness::{Harness, HarnessOptions, UpstreamSpec, wait_until};

/// A document with one service whose requests are all of one class, so that they can use every slot:
/// the floors of other classes would keep slots free while long requests run.
pub const DOCUMENT: &str = r#"{
  "format": 1,
  "environments": {
    "trial": { "spare_instances": 1 },
    "production": { "spare_instances": 8 }
  },
  "pools": {
    "quotes": { "min_instances": 0, "max_instances": 17 }
  },
  "services": {
    "quotes": {
      "pool": "quotes",
      "availability_budget_ppm": 1000,
      "slots_per_instance": 8,
      "connections_per_instance": 64,
      "request_limit_ms": 15000,
      "default_deadline_ms": 5000,
      "body_limit_bytes": 8388608,
      "response_limit_bytes": 1048576,
      "queue_limit": 2000,
      "queue_limit_per_caller": 2000,
      "retry_budget_ppm": 100000,
      "classes": {
        "all": { "weight": 1, "floor_ppm": 0, "queue_limit": 2000 }
      },
      "default_class": "all",
      "repeatable": [{ "method": "GET", "path_prefix": "/" }]
    }
  }
}
"#;
pub const PATH: &str = "/v1/services/quotes/x";

/// Starts one daemon and upstreams, and applies the document.
pub async fn start(upstreams: usize) -> Harness {
    start_daemons(1, upstreams).await
}

/// Starts daemons and upstreams, applies the document and waits until every daemon lists all
/// instances as assigned.
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
    for daemon in 0..daemons {
        wait_until("the instances are assigned", || async {
            let reply = harness
                .call_operator_api(daemon, Method::GET, "/v1/pools", None)
                .await;
            let pools = reply.map(|reply| reply.json()).unwrap_or_default();
            let instances = pools["instances"].as_array().cloned().unwrap_or_default();
            let assigned = instances.iter().filter(|one| one["pool"] == "quotes");
            assigned.count() == upstreams
        })
        .await;
    }
    harness
}

/// Stops the harness; the clients must have ended.
pub async fn stop(harness: Arc<Harness>) {
    let harness = Arc::try_unwrap(harness).expect("the clients have ended");
    harness.stop().await;
}
