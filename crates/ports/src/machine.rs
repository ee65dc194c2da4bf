//! The machine port: the platform's list of instances, and orders to them.

use std::sync::Arc;

use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{MachineReport, MachineResult};
use tokio::sync::mpsc;

/// A call.
#[derive(Clone, Debug)]
pub enum MachineCall {
    /// Read the list.
    List,
    /// Move an instance to a pool.
    Move {
        /// Key of the instance, for the result.
        machine: MachineKey,
        /// Its name.
        name: Arc<str>,
        /// Service of the pool.
        pool: Arc<str>,
        /// Fence number of the leader.
        fence: u64,
    },
    /// Maintain an instance.
    Maintain {
        /// Key of the instance, for the result.
        machine: MachineKey,
        /// Its name.
        name: Arc<str>,
        /// Number of the wave.
        wave: u64,
        /// Fence number of the leader.
        fence: u64,
    },
}

/// What came of a call.
#[derive(Clone, Debug)]
pub enum MachineEvent {
    /// The list, or nothing if it could not be read.
    Listed(Option<Vec<MachineReport>>),
    /// How an order ended.
    Ordered {
        /// The instance.
        machine: MachineKey,
        /// The result.
        result: MachineResult,
    },
}

/// Handle of the port.
pub type MachineCalls = mpsc::Sender<MachineCall>;

/// Where results arrive.
pub type MachineEvents = mpsc::Receiver<MachineEvent>;
