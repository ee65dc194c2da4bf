//! The job service: jobs of steps on the users' platform.
//!
//! Every daemon runs the front and the election; the daemon that holds the scheduler's key also
//! runs the scheduler.

mod batch;
pub mod config;
mod election;
mod front;
mod leader;
mod lease;
mod records;
mod service;

pub use config::JobServiceConfig;
pub use service::{JobService, JobServiceError};
