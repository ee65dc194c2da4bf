//! The reply channel to a caller, which also signals that the caller has disconnected.

use rosemaryscale_ports::dispatch::Outcome;
use rosemaryscale_ports::prelude::*;
use tokio::task::JoinSet;

/// Reply channel of a request.
#[derive(Debug)]
pub enum Reply {
    /// Sends directly to the caller's task.
    Direct(oneshot::Sender<Outcome>),
    /// Sends to a task that also waits for the caller to disconnect.
    Watched(oneshot::Sender<Outcome>),
}

impl Reply {
    /// Sends the outcome. It is discarded if the caller has disconnected.
    pub fn send(self, outcome: Outcome) {
        let (Self::Direct(sender) | Self::Watched(sender)) = self;
        let _ = sender.send(outcome);
    }

    /// Whether the caller has disconnected.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        let (Self::Direct(sender) | Self::Watched(sender)) = self;
        sender.is_closed()
    }

    /// Starts a task that returns `key` when the caller disconnects, or `None` after the outcome
    /// has been sent. Only queued requests need it.
    pub fn watch(&mut self, key: RequestKey, watches: &mut JoinSet<Option<RequestKey>>) {
        let (sender, outcome) = oneshot::channel();
        match std::mem::replace(self, Self::Watched(sender)) {
            Self::Direct(caller) => {
                watches.spawn(watch(key, caller, outcome));
            }
            watched @ Self::Watched(_) => *self = watched,
        }
    }
}

async fn watch(
    key: RequestKey,
    mut caller: oneshot::Sender<Outcome>,
    outcome: oneshot::Receiver<Outcome>,
) -> Option<RequestKey> {
    tokio::select! {
        biased;
        outcome = outcome => {
            if let Ok(outcome) = outcome {
                let _ = caller.send(outcome);
            }
            None
        }
        () = caller.closed() => Some(key),
    }
}
