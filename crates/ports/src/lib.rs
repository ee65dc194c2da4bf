//! Ports of rosemaryscale: the messages between tasks and the interfaces that adapters implement.
//!
//! A port is a typed channel with a handle. Users of the port hold the handle and the task that
//! implements the port holds the receiver, so a test can implement a port in a few lines:
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
pub mod config_link;
pub mod dispatch;
pub mod event;
pub mod fleet;
pub mod instance;
pub mod instance_order;
pub mod job;
pub mod kv;
pub mod link;
pub mod member;
pub mod metric;
pub mod operator;
pub mod peer;
pub mod prelude;
pub mod slots;
pub mod worker;

pub use clock::Clock;
pub use dispatch::DispatcherHandle;
pub use event::EventSink;
pub use kv::KeyValue;
pub use metric::Metrics;
pub use peer::Peers;
