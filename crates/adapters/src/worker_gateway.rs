//! Links to workers that are held by other daemons, the gateways, for the leader.
//!
//! The leader connects to each gateway and sends the orders of a scheduling cycle in one frame; the
//! gateway makes the requests and returns the results, several in one frame. A stream of small messages
//! in both directions fits neither a request protocol nor its cost, so the frames are length-delimited
//! and encoded with postcard.

mod pending;
pub mod router;
pub mod server;
mod session;
mod wire;

pub use router::{Router, RouterOptions};
pub use server::{GatewayOptions, GatewayServer};
pub use wire::ORDER_AGE_MAX_MS;
