//! The life cycle of a connection to an upstream instance: `Idle`, `Busy`, `Idle`.
//!
//! A connection carries one exchange at a time and becomes idle again only with a complete
//! response. Every other end drops it, so a late response has no reader.

use crate::prelude::*;

/// State of a connection that may carry the next exchange.
#[derive(Clone, Copy, Debug)]
pub struct Idle {
    /// When it last carried a complete exchange, or was opened.
    pub since: Millis,
}

/// State of a connection that carries an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Busy {
    /// The request that it carries.
    pub request: RequestKey,
}

/// A connection in one state of its life cycle; `T` is the transport that the adapter attaches.
#[derive(Debug)]
pub struct Connection<S, T> {
    /// When it was opened.
    pub opened: Millis,
    /// Data of the current state.
    pub state: S,
    /// The transport.
    pub transport: T,
}

impl<T> Connection<Idle, T> {
    /// A connection that has just been opened.
    pub const fn open(transport: T, now: Millis) -> Self {
        Self {
            opened: now,
            state: Idle { since: now },
            transport,
        }
    }

    /// Starts an exchange.
    pub fn start(self, request: RequestKey) -> Connection<Busy, T> {
        Connection {
            opened: self.opened,
            state: Busy { request },
            transport: self.transport,
        }
    }
}

impl<T> Connection<Busy, T> {
    /// Ends the exchange after its complete response was read.
    pub fn complete(self, now: Millis) -> Connection<Idle, T> {
        Connection {
            opened: self.opened,
            state: Idle { since: now },
            transport: self.transport,
        }
    }
}

/// A connection without a complete response for this long is not proven.
const PROVEN_MS: u64 = 1_000;
/// An idle connection is closed after this time.
const IDLE_LIMIT_MS: u64 = 10_000;

/// What an exchange gets.
#[derive(Debug)]
pub enum Lease<T> {
    /// An idle connection.
    Reuse(Connection<Idle, T>),
    /// The right to open a connection.
    Open,
    /// No connection, since as many as allowed carry an exchange.
    Full,
}

/// The connections to one instance: the idle ones, and the number of those in use.
#[derive(Debug)]
pub struct Connections<T> {
    /// Ordered by the time since which they are idle.
    idle: Vec<Connection<Idle, T>>,
    busy: u32,
    allowed: u32,
    /// Connections opened up to this time are not reused.
    suspect: Option<Millis>,
}

impl<T> Connections<T> {
    /// No connections yet, and at most `allowed`.
    #[must_use]
    pub const fn new(allowed: u32) -> Self {
        Self {
            idle: Vec::new(),
            busy: 0,
            allowed,
            suspect: None,
        }
    }

    /// Connections that are open or being opened.
    #[must_use]
    pub fn open(&self) -> usize {
        self.idle.len() + self.busy as usize
    }

    /// Whether a connection is idle.
    #[must_use]
    pub const fn has_idle(&self) -> bool {
        !self.idle.is_empty()
    }

    /// Sets how many may be open; idle ones beyond it are closed.
    pub fn allow(&mut self, allowed: u32) {
        self.allowed = allowed;
        let surplus = self.open().saturating_sub(allowed as usize);
        self.idle.drain(..surplus.min(self.idle.len()));
    }

    /// Gets a connection for an exchange. [`Self::give_back`] must follow, except after
    /// [`Lease::Full`]. With `proven`, only a connection with a complete response in the last
    /// second is reused.
    pub fn take(&mut self, proven: bool, now: Millis) -> Lease<T> {
        self.close_expired(now);
        let newest = self.idle.last();
        let fits = newest
            .is_some_and(|connection| !proven || now.ms_since(connection.state.since) <= PROVEN_MS);
        if fits && let Some(connection) = self.idle.pop() {
            self.busy += 1;
            return Lease::Reuse(connection);
        }
        self.take_fresh()
    }

    /// Gets the right to open a connection; an idle one is closed if too many are open.
    pub fn take_fresh(&mut self) -> Lease<T> {
        if self.busy >= self.allowed {
            return Lease::Full;
        }
        self.busy += 1;
        let surplus = self.open().saturating_sub(self.allowed as usize);
        self.idle.drain(..surplus.min(self.idle.len()));
        Lease::Open
    }

    /// Ends a lease; the connection is kept if it is given back idle, unsuspected and allowed.
    pub fn give_back(&mut self, connection: Option<Connection<Idle, T>>) {
        self.busy = self.busy.saturating_sub(1);
        let Some(connection) = connection else { return };
        let suspect = self.suspect.is_some_and(|until| connection.opened <= until);
        if !suspect && self.open() < self.allowed as usize {
            self.idle.push(connection);
            self.idle.sort_by_key(|idle| idle.state.since);
        }
    }

    /// Records a timeout: every connection opened so far may be silent for good, so the idle ones
    /// are closed and the others are not reused.
    pub fn suspect(&mut self, now: Millis) {
        self.suspect = Some(now);
        self.idle.clear();
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&mut self, now: Millis) {
        self.idle
            .retain(|idle| now.ms_since(idle.state.since) < IDLE_LIMIT_MS);
    }

    /// Closes every idle connection.
    pub fn close_idle(&mut self) {
        self.idle.clear();
    }
}
