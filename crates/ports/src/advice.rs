//! The advice port: which workers may run a step of some queues.

use rosemaryscale_domain::schedule::order::{AdviceOrder, AdviceResult};
use tokio::sync::mpsc;

/// Handle of the port.
pub type AdviceCalls = mpsc::Sender<AdviceOrder>;

/// Where answers arrive.
pub type AdviceEvents = mpsc::Receiver<AdviceResult>;
