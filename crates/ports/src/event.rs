//! The event port: records and reads the timeline of a daemon.

use std::fmt;
use std::sync::Arc;

use rosemaryscale_domain::Millis;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// Kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The daemon changed its lifecycle state.
    Daemon,
    /// A document was accepted or took effect.
    Config,
    /// The platform became reachable or unreachable.
    Platform,
    /// A member joined or left.
    Member,
    /// An instance joined, left, was ejected or returned to service.
    Instance,
    /// A move of an instance between pools entered another phase.
    Move,
    /// Another daemon took over the controller lease.
    Controller,
    /// A request ended with an unknown outcome.
    Request,
    /// Slots were withheld or released.
    Slots,
    /// A job changed its state.
    Job,
}

/// Writes the words of log lines, which operators search for.
impl fmt::Display for EventKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Daemon => "Daemon",
            Self::Config => "Config",
            Self::Platform => "Platform",
            Self::Member => "Member",
            Self::Instance => "Instance",
            Self::Move => "Move",
            Self::Controller => "Controller",
            Self::Request => "Request",
            Self::Slots => "Slots",
            Self::Job => "Job",
        })
    }
}

/// An event of the timeline.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct Event {
    /// Wall-clock time, in milliseconds since the Unix epoch; never less than that of an event that
    /// caused this one.
    pub wall_ms: u64,
    /// Sequence number among the events of the daemon.
    pub sequence: u64,
    /// The daemon that recorded the event.
    pub daemon: Arc<str>,
    /// Kind of the event.
    pub kind: EventKind,
    /// The request, instance, member or version that the event concerns.
    pub subject: Arc<str>,
    /// Human-readable description of the change.
    pub detail: Arc<str>,
}

/// Selects events; the default selects all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct EventFilter {
    /// Select only events of this kind.
    pub kind: Option<EventKind>,
    /// Select only events of this subject.
    pub subject: Option<Arc<str>>,
    /// Select only events at or after this wall-clock time, in milliseconds since the Unix epoch.
    pub since_wall_ms: Option<u64>,
}

impl EventFilter {
    /// Returns whether the filter selects an event.
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

    /// Returns the newest `limit` events that the filter selects, oldest first.
    #[must_use]
    pub fn newest(&self, mut events: Vec<Event>, limit: usize) -> Vec<Event> {
        events.retain(|event| self.matches(event));
        let skip = events.len().saturating_sub(limit);
        events.drain(..skip);
        events
    }
}

/// An event to be recorded; the event log adds the time and the sequence number.
#[derive(Clone, Debug)]
pub struct NewEvent {
    /// Kind of the event.
    pub kind: EventKind,
    /// The request, instance, member or version that the event concerns.
    pub subject: Arc<str>,
    /// Human-readable description of the change.
    pub detail: Arc<str>,
}

/// A message to the event log.
#[derive(Debug)]
pub enum EventMessage {
    /// Record an event.
    Record(NewEvent),
    /// Advance the log's clock to at least this wall-clock time, received in a peer's message.
    Observe(Millis),
    /// Return the newest events, oldest first.
    Read {
        /// Maximum number of events.
        limit: usize,
        /// Receives the events.
        reply: tokio::sync::oneshot::Sender<Vec<Event>>,
    },
}

/// Handle to the event log. Recording never blocks: an event is dropped if the log's queue is full.
#[derive(Clone, Debug)]
pub struct EventSink {
    messages: mpsc::Sender<EventMessage>,
}

impl EventSink {
    /// Creates a handle and the receiver for the event log.
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

    /// Advances the log's clock to at least `wall`.
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
