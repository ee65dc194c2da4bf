//! The daemon of rosemaryscale: settings, tasks and their wiring.
//!
//! ```
//! use rosemaryscale_daemon::Config;
//!
//! let problem = Config::parse("{}").unwrap_err();
//! assert!(problem.to_string().contains("name"));
//! ```

pub mod claims;
pub mod cli;
pub mod config;
pub mod config_record;
pub mod controller;
pub mod daemon;
pub mod dispatcher;
pub mod fan_out;
pub mod jobs;
pub mod membership;
pub mod observations;
pub mod peer_service;
pub mod reply;
pub mod rollout;
pub mod router;
pub mod slot_link;
pub mod slot_members;
pub mod slots;
mod tasks;
pub mod usage;
mod wiring;

pub use config::Config;
pub use daemon::Daemon;
