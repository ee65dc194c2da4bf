//! The way back to a caller, which also tells that the caller went away.

use rosemaryscale_ports::dispatch::Outcome;
use rosemaryscale_ports::prelude::*;
use tokio::task::JoinSet;

/// Where the outcome of a request goes.
#[derive(Debug)]
pub enum Reply {
    /// To the caller's task.
    Direct(oneshot::Sender<Outcome>),
    /// To a task that also waits for the caller to go away.
    Watched(oneshot::Sender<Outcome>),
}

impl Reply {
    /// Sends the outcome. A caller that went away needs none.
    pub fn send(self, outcome: Outcome) {
        let (Self::Direct(sender) | Self::Watched(sender)) = self;
        let _ = sender.send(outcome);
    }

    /// Whether the caller went away.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        let (Self::Direct(sender) | Self::Watched(sender)) = self;
        sender.is_closed()
    }

    /// Starts a task that ends with `key` as soon as the caller goes away, and with `None` once the
    /// outcome was sent. Requests that are sent on arrival need no such task.
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
