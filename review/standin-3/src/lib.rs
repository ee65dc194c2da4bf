//! Stand-ins of the platform, of runners and of clients, and the frame of a case: it starts the project's daemons as
//! separate processes, records what was sent, answered and run, and ends everything that it started.

pub mod base64;
pub mod case;
pub mod daemon;
pub mod http;
pub mod json;
pub mod platform;
pub mod record;
pub mod runner;
pub mod store;
pub mod template;
