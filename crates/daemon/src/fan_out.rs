//! Distributes the events of the one prefix watch to the tasks that need them.

use std::sync::Arc;

use rosemaryscale_ports::kv::WatchEvent;
use rosemaryscale_ports::prelude::*;

/// Events that a consumer may be behind.
pub const EVENTS: usize = 256;

/// Consumers of the watch.
#[derive(Debug, Default)]
pub struct FanOut {
    consumers: Vec<mpsc::Sender<Arc<WatchEvent>>>,
}

impl FanOut {
    /// Adds a consumer.
    pub fn subscribe(&mut self) -> mpsc::Receiver<Arc<WatchEvent>> {
        let (sender, receiver) = mpsc::channel(EVENTS);
        self.consumers.push(sender);
        receiver
    }

    /// Distributes events until every consumer is gone or the watch ends.
    pub async fn serve(mut self, mut watched: mpsc::Receiver<WatchEvent>) {
        while !self.consumers.is_empty() {
            let event = tokio::select! {
                event = watched.recv() => event,
                () = all_closed(&self.consumers) => return,
            };
            let Some(event) = event else { return };
            let event = Arc::new(event);
            for consumer in &self.consumers {
                let _ = consumer.send(Arc::clone(&event)).await;
            }
            self.consumers.retain(|consumer| !consumer.is_closed());
        }
    }
}

async fn all_closed(consumers: &[mpsc::Sender<Arc<WatchEvent>>]) {
    for consumer in consumers {
        consumer.closed().await;
    }
}
