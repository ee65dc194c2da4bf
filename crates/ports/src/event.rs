//! The event port: the timeline of a daemon.

use std::sync::Arc;

use rosemaryscale_domain::Millis;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The daemon changed its life cycle state.
    Daemon,
    /// A document was accepted or came into force.
    Config,
    /// The platform became reachable or unreachable.
    Platform,
    /// A member joined or left.
    Member,
    /// An instance joined, left, was ejected or came back.
    Instance,
    /// A move between pools changed its phase.
    Move,
    /// The controller lease changed hands.
    Controller,
    /// A request ended with an unknown outcome.
    Request,
    /// Slots were withheld or released.
    Slots,
    /// A job changed its state.
    Job,
}

/// One event of the timeline.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct Event {
    /// Wall-clock time, in milliseconds since the Unix epoch, never below that of an event that
    /// caused it.
    pub wall_ms: u64,
    /// Position among the events of the daemon.
    pub sequence: u64,
    /// The daemon that saw it.
    pub daemon: Arc<str>,
    /// What happened.
    pub kind: EventKind,
    /// The request, instance, member or version that it belongs to.
    pub subject: Arc<str>,
    /// What changed, for a reader.
    pub detail: Arc<str>,
}

/// Which events a reader wants; the default is all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct EventFilter {
    /// Only events of this kind.
    pub kind: Option<EventKind>,
    /// Only events of this subject.
    pub subject: Option<Arc<str>>,
    /// Only events at or after this wall-clock time, in milliseconds since the Unix epoch.
    pub since_wall_ms: Option<u64>,
}

impl EventFilter {
    /// Whether the filter lets an event through.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        self.kind.is_none_or(|kind| kind == event.kind)
            && self
                .subject
                .as_ref()
                .is_none_or(|subject| *subject == event.subject)
            && self
                .since_wall_ms
                .is_none_or(|since| since <= event.wall_ms)
    }

    /// The newest events that the filter lets through, oldest first.
    #[must_use]
    pub fn newest(&self, mut events: Vec<Event>, limit: usize) -> Vec<Event> {
        events.retain(|event| self.matches(event));
        let skip = events.len().saturating_sub(limit);
        events.drain(..skip);
        events
    }
}

/// A new event on its way to the event log.
#[derive(Clone, Debug)]
pub struct NewEvent {
    /// What happened.
    pub kind: EventKind,
    /// What it belongs to.
    pub subject: Arc<str>,
    /// What changed.
    pub detail: Arc<str>,
}

/// Message to the event log.
#[derive(Debug)]
pub enum EventMessage {
    /// Record an event.
    Record(NewEvent),
    /// Advance the log's clock to at least this wall-clock time, seen in a peer's message.
    Observe(Millis),
    /// Return the newest events, oldest first.
    Read {
        /// Events at most.
        limit: usize,
        /// Where the events go.
        reply: tokio::sync::oneshot::Sender<Vec<Event>>,
    },
}

/// Handle of the event port. Recording never blocks: an event is dropped when the log is behind.
#[derive(Clone, Debug)]
pub struct EventSink {
    messages: mpsc::Sender<EventMessage>,
}

impl EventSink {
    /// Makes a handle and the receiver that the event log serves.
    #[must_use]
    pub fn channel(capacity: usize) -> (Self, mpsc::Receiver<EventMessage>) {
        let (messages, receiver) = mpsc::channel(capacity);
        (Self { messages }, receiver)
    }

    /// Records an event.
    pub fn record(
        &self,
        kind: EventKind,
        subject: impl Into<Arc<str>>,
        detail: impl Into<Arc<str>>,
    ) {
        let event = NewEvent {
            kind,
            subject: subject.into(),
            detail: detail.into(),
        };
        let _ = self.messages.try_send(EventMessage::Record(event));
    }

    /// Advances the log's clock.
    pub fn observe(&self, wall: Millis) {
        let _ = self.messages.try_send(EventMessage::Observe(wall));
    }

    /// Reads the newest events, oldest first.
    pub async fn read(&self, limit: usize) -> Vec<Event> {
        let (reply, events) = tokio::sync::oneshot::channel();
        if self
            .messages
            .send(EventMessage::Read { limit, reply })
            .await
            .is_err()
        {
            return Vec::new();
        }
        events.await.unwrap_or_default()
    }
}
