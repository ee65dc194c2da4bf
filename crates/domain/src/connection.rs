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
