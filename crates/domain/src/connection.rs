//! Connections to an upstream instance: their life cycle as typestates (`Idle`, `Busy`, `Idle`) and
//! the pool of connections.
//!
//! A connection carries one exchange at a time and becomes idle again only after a complete
//! response. In every other case it is dropped, so a late response cannot be matched to another
//! request.

use crate::prelude::*;

/// State of a connection that may carry the next exchange.
#[derive(Clone, Copy, Debug)]
pub struct Idle {
    /// Time at which it last completed an exchange, or was opened.
    pub since: Millis,
}

/// State of a connection that carries an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Busy {
    /// The request that it carries.
    pub request: RequestKey,
}

/// A connection in one state of its life cycle; `T` is the transport supplied by the adapter.
#[derive(Debug)]
pub struct Connection<S, T> {
    /// Time at which it was opened.
    pub opened: Millis,
    /// Data of the current state.
    pub state: S,
    /// The transport.
    pub transport: T,
}

impl<T> Connection<Idle, T> {
    /// Creates a connection that has just been opened.
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
    /// Ends the exchange after the complete response was read.
    pub fn complete(self, now: Millis) -> Connection<Idle, T> {
        Connection {
            opened: self.opened,
            state: Idle { since: now },
            transport: self.transport,
        }
    }
}

/// A connection counts as recently used for this time after a complete response.
const RECENT_USE_MS: u64 = 1_000;
/// Idle connections are closed after this time.
const IDLE_TIMEOUT_MS: u64 = 10_000;

/// Result of requesting a connection for an exchange.
#[derive(Debug)]
pub enum Lease<T> {
    /// An idle connection.
    Reuse(Connection<Idle, T>),
    /// Permission to open a new connection.
    Open,
    /// No connection, because the limit of busy connections is reached.
    Full,
}

/// Connection pool of one instance: the idle connections and the number of busy ones.
#[derive(Debug)]
pub struct ConnectionPool<T> {
    /// Ordered by the time at which they became idle.
    idle: Vec<Connection<Idle, T>>,
    busy: u32,
    limit: u32,
    /// Connections opened at or before this time are not reused.
    suspect_until: Option<Millis>,
}

impl<T> ConnectionPool<T> {
    /// Creates an empty pool for at most `limit` connections.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self {
            idle: Vec::new(),
            busy: 0,
            limit,
            suspect_until: None,
        }
    }

    /// Returns the number of connections that are open or being opened.
    #[must_use]
    pub fn open(&self) -> usize {
        self.idle.len() + self.busy as usize
    }

    /// Returns whether any connection is idle.
    #[must_use]
    pub const fn has_idle(&self) -> bool {
        !self.idle.is_empty()
    }

    /// Sets the maximum number of connections; excess idle ones are closed.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        let excess = self.open().saturating_sub(limit as usize);
        self.idle.drain(..excess.min(self.idle.len()));
    }

    /// Acquires a connection for an exchange. The caller must call [`Self::release`] afterwards,
    /// except after [`Lease::Full`]. If `recently_used` is set, a connection is reused only if it
    /// completed a response within the last second.
    pub fn acquire(&mut self, recently_used: bool, now: Millis) -> Lease<T> {
        self.close_expired(now);
        let newest = self.idle.last();
        let reusable = newest.is_some_and(|connection| {
            !recently_used || now.ms_since(connection.state.since) <= RECENT_USE_MS
        });
        if reusable && let Some(connection) = self.idle.pop() {
            self.busy += 1;
            return Lease::Reuse(connection);
        }
        self.acquire_new()
    }

    /// Acquires permission to open a new connection; excess idle connections are closed.
    pub fn acquire_new(&mut self) -> Lease<T> {
        if self.busy >= self.limit {
            return Lease::Full;
        }
        self.busy += 1;
        let excess = self.open().saturating_sub(self.limit as usize);
        self.idle.drain(..excess.min(self.idle.len()));
        Lease::Open
    }

    /// Ends a lease. The connection is kept if it is returned idle, is not suspect, and the limit
    /// permits it.
    pub fn release(&mut self, connection: Option<Connection<Idle, T>>) {
        self.busy = self.busy.saturating_sub(1);
        let Some(connection) = connection else { return };
        let is_suspect = self
            .suspect_until
            .is_some_and(|until| connection.opened <= until);
        if !is_suspect && self.open() < self.limit as usize {
            self.idle.push(connection);
            self.idle.sort_by_key(|idle| idle.state.since);
        }
    }

    /// Records a timeout. Every connection opened so far may be permanently unresponsive, so idle
    /// ones are closed and busy ones are not reused.
    pub fn mark_suspect(&mut self, now: Millis) {
        self.suspect_until = Some(now);
        self.idle.clear();
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&mut self, now: Millis) {
        self.idle
            .retain(|idle| now.ms_since(idle.state.since) < IDLE_TIMEOUT_MS);
    }

    /// Closes all idle connections.
    pub fn close_idle(&mut self) {
        self.idle.clear();
    }
}
