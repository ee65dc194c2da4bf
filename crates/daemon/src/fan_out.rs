//! Distributes the events of the daemon's prefix watch to the tasks that subscribe to them.

use std::sync::Arc;

use rosemaryscale_ports::kv::WatchEvent;
use rosemaryscale_ports::prelude::*;

/// Number of events by which a consumer may lag behind before it blocks the others.
pub const CHANNEL_CAPACITY: usize = 256;

/// Sends each event of the watch to every consumer.
#[derive(Debug, Default)]
pub struct FanOut {
    consumers: Vec<mpsc::Sender<Arc<WatchEvent>>>,
}

impl FanOut {
    /// Adds a consumer and returns its events.
    pub fn subscribe(&mut self) -> mpsc::Receiver<Arc<WatchEvent>> {
        let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
        self.consumers.push(sender);
        receiver
    }

    /// Distributes events until every consumer has dropped its receiver or the watch ends.
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
