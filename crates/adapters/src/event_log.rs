//! The event log: keeps a bounded number of the newest events and writes each one to the log.

use std::collections::VecDeque;
use std::sync::Arc;

use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::event::{EventMessage, NewEvent};
use rosemaryscale_ports::prelude::*;
use slog::{Logger, info};
use tokio::task::JoinHandle;

const QUEUE_CAPACITY: usize = 1_024;
const MAX_EVENTS: usize = 2_000;

/// Starts the task of the event log. It ends when every handle is dropped.
#[must_use]
pub fn start(daemon: Arc<str>, clock: ClockHandle, log: Logger) -> (EventSink, JoinHandle<()>) {
    let (handle, messages) = EventSink::channel(QUEUE_CAPACITY);
    let event_log = EventLog {
        daemon,
        clock,
        log,
        events: VecDeque::new(),
        latest_wall: Millis::ZERO,
        sequence: 0,
    };
    (handle, tokio::spawn(event_log.run(messages)))
}

/// State of the event log's task.
struct EventLog {
    daemon: Arc<str>,
    clock: ClockHandle,
    log: Logger,
    events: VecDeque<Event>,
    latest_wall: Millis,
    sequence: u64,
}

impl EventLog {
    async fn run(mut self, mut messages: mpsc::Receiver<EventMessage>) {
        while let Some(message) = messages.recv().await {
            match message {
                EventMessage::Record(event) => self.record(event),
                EventMessage::Observe(wall) => self.latest_wall = self.latest_wall.max(wall),
                EventMessage::Read { limit, reply } => {
                    let skip = self.events.len().saturating_sub(limit);
                    let _ = reply.send(self.events.iter().skip(skip).cloned().collect());
                }
            }
        }
    }

    fn record(&mut self, event: NewEvent) {
        self.latest_wall = self.latest_wall.max(self.clock.wall());
        self.sequence += 1;
        let NewEvent {
            kind,
            subject,
            detail,
        } = event;
        info!(self.log, "{detail}"; "kind" => %kind, "subject" => &*subject);
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            wall_ms: self.latest_wall.as_ms(),
            sequence: self.sequence,
            daemon: Arc::clone(&self.daemon),
            kind,
            subject,
            detail,
        });
    }
}
