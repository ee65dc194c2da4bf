//! Re-exports the types that most users of this package need.

pub use crate::clock::Clock;
pub use crate::event::{Event, EventKind, EventSink};
pub use crate::metric::Metrics;
pub use bytes::Bytes;
pub use rosemaryscale_domain::prelude::*;
pub use tokio::sync::{mpsc, oneshot};
