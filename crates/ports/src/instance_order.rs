//! The instance order port: reads the platform's list of instances and sends orders to them.

use std::sync::Arc;

use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{InstanceOrderResult, InstanceReport};
use tokio::sync::{mpsc, watch};

use crate::clock::ClockHandle;

/// Tells whether this daemon certainly holds the scheduler key at the moment. An order may wait for others, or the
/// process may be stopped, between the decision and the moment at which the order is sent.
#[derive(Clone)]
pub struct OrderPermit {
    clock: ClockHandle,
    valid_until: watch::Receiver<Millis>,
}

impl OrderPermit {
    /// Creates a permit, and the sender that prolongs it.
    #[must_use]
    pub fn new(clock: ClockHandle, valid_until: Millis) -> (watch::Sender<Millis>, Self) {
        let (sender, valid_until) = watch::channel(valid_until);
        (sender, Self { clock, valid_until })
    }

    /// Whether an order may be sent now.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.clock.now() <= *self.valid_until.borrow()
    }
}

/// A call to the platform.
#[derive(Clone, Debug)]
pub enum InstanceOrderCall {
    /// Read the list of instances.
    List,
    /// Move an instance to a pool.
    Move {
        /// Key of the instance, returned with the result.
        instance: FleetInstanceKey,
        /// Name of the instance.
        name: Arc<str>,
        /// Service to whose pool the instance is moved.
        pool: Arc<str>,
        /// Fencing token of the leader.
        fencing_token: u64,
    },
    /// Start the maintenance of an instance.
    Maintain {
        /// Key of the instance, returned with the result.
        instance: FleetInstanceKey,
        /// Name of the instance.
        name: Arc<str>,
        /// Number of the maintenance wave.
        wave: u64,
        /// Fencing token of the leader.
        fencing_token: u64,
    },
}

/// The platform's list of instances.
#[derive(Clone, Debug)]
pub struct InstanceList {
    /// The instances.
    pub reports: Vec<InstanceReport>,
    /// Number of rows that could not be decoded, whose instances are missing from the reports.
    pub unreadable_rows: u32,
    /// Why the first of them could not be decoded; empty if there is none.
    pub reason: Arc<str>,
}

/// Result of a call.
#[derive(Clone, Debug)]
pub enum InstanceOrderEvent {
    /// The list, or `None` if it could not be read.
    ListRead(Option<InstanceList>),
    /// An order ended.
    OrderEnded {
        /// The instance.
        instance: FleetInstanceKey,
        /// The result.
        result: InstanceOrderResult,
    },
}

/// Sends calls to the platform.
pub type InstanceOrderCalls = mpsc::Sender<InstanceOrderCall>;

/// Receives the results of calls.
pub type InstanceOrderEvents = mpsc::UnboundedReceiver<InstanceOrderEvent>;
