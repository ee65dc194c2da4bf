//! Adapters of rosemaryscale: the implementations of the ports, one per module.
//!
//! ```
//! use rosemaryscale_adapters::document_text;
//!
//! let problems = document_text::parse("{ \"format\": 1 }").unwrap_err();
//! assert!(problems[0].reason.contains("missing field"));
//! ```

pub mod caller_api;
pub mod caller_request;
pub mod clock;
pub mod config_link;
pub mod document_text;
pub mod event_log;
pub mod http_client;
pub mod instance_poller;
pub mod kv_client;
pub mod log;
pub mod metrics;
pub mod metrics_registry;
pub mod operator_api;
pub mod peer_link;
pub mod problem;
pub mod reply;
mod rpc_client;
pub mod server;
pub mod upstream_link;
pub mod worker_gateway;

pub use caller_api::CallerApi;
pub use clock::SystemClock;
pub use operator_api::OperatorApi;
