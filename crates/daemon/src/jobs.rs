//! The job service, which runs multi-step jobs on the users' platform.
//!
//! Every daemon serves callers and takes part in the leader election. The daemon that holds the
//! scheduler key also runs the scheduler.

mod batch;
pub mod config;
mod config_sync;
mod election;
mod frontend;
mod leader;
mod lease;
mod offers;
mod records;
mod service;

pub use config::JobServiceConfig;
pub use service::{JobService, JobServiceError};
