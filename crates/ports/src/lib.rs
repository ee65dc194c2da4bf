//! Ports of rosemaryscale: the messages between tasks and what adapters must provide.
//!
//! A port is a typed channel with a handle. The handle belongs to the user of the port, the receiver
//! to the task that implements it, so a test can serve a port with a few lines:
//!
//! ```
//! use rosemaryscale_ports::kv::{KeyValue, KvCall};
//!
//! let (handle, mut calls) = KeyValue::channel(8);
//! let server = async move {
//!     while let Some(KvCall::Range { reply, .. }) = calls.recv().await {
//!         let _ = reply.send(Ok(Vec::new()));
//!     }
//! };
//! # drop((handle, server));
//! ```

pub mod advice;
pub mod claim;
pub mod clock;
pub mod config;
pub mod dispatch;
pub mod event;
pub mod fleet;
pub mod instance;
pub mod job;
pub mod kv;
pub mod link;
pub mod machine;
pub mod member;
pub mod metric;
pub mod operator;
pub mod peer;
pub mod prelude;
pub mod slots;
pub mod worker;

pub use clock::Clock;
pub use dispatch::Dispatch;
pub use event::EventSink;
pub use kv::KeyValue;
pub use metric::Metrics;
pub use peer::Peers;
