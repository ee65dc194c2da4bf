//! The advice port: asks the advisor which workers may run a step of certain queues.

use rosemaryscale_domain::schedule::order::{AdviceOrder, AdviceResult};
use tokio::sync::mpsc;

/// Sends requests to the advisor.
pub type AdviceCalls = mpsc::Sender<AdviceOrder>;

/// Receives the advisor's answers.
pub type AdviceEvents = mpsc::Receiver<AdviceResult>;
