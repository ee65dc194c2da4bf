//! The event log: a bounded ring of the newest events, mirrored to the log.

use std::collections::VecDeque;
use std::sync::Arc;

use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::event::{EventMessage, NewEvent};
use rosemaryscale_ports::prelude::*;
use slog::{Logger, info};
use tokio::task::JoinHandle;

const MESSAGES: usize = 1_024;
const EVENTS_MAX: usize = 2_000;

/// Starts the event log's task. The task ends when every handle is dropped.
#[must_use]
pub fn start(daemon: Arc<str>, clock: ClockHandle, log: Logger) -> (EventSink, JoinHandle<()>) {
    let (handle, messages) = EventSink::channel(MESSAGES);
    let event_log = EventLog {
        daemon,
        clock,
        log,
        events: VecDeque::new(),
        newest: Millis::ZERO,
        sequence: 0,
    };
    (handle, tokio::spawn(event_log.serve(messages)))
}

/// State of the event log.
struct EventLog {
    daemon: Arc<str>,
    clock: ClockHandle,
    log: Logger,
    events: VecDeque<Event>,
    newest: Millis,
    sequence: u64,
}

impl EventLog {
    async fn serve(mut self, mut messages: mpsc::Receiver<EventMessage>) {
        while let Some(message) = messages.recv().await {
            match message {
                EventMessage::Record(event) => self.record(event),
                EventMessage::Observe(wall) => self.newest = self.newest.max(wall),
                EventMessage::Read { limit, reply } => {
                    let skip = self.events.len().saturating_sub(limit);
                    let _ = reply.send(self.events.iter().skip(skip).cloned().collect());
                }
            }
        }
    }

    fn record(&mut self, event: NewEvent) {
        self.newest = self.newest.max(self.clock.wall());
        self.sequence += 1;
        let NewEvent {
            kind,
            subject,
            detail,
        } = event;
        info!(self.log, "{detail}"; "kind" => ?kind, "subject" => &*subject);
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            wall_ms: self.newest.as_ms(),
            sequence: self.sequence,
            daemon: Arc::clone(&self.daemon),
            kind,
            subject,
            detail,
        });
    }
}
