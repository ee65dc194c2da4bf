//! Decision logic of rosemaryscale, without sockets, async code or system time.
//!
//! The types in this package take events and the current time and return actions. Tasks in the
//! outer packages perform the actions.
//!
//! ```
//! use rosemaryscale_domain::Millis;
//!
//! let arrived = Millis::from_ms(1_000);
//! let deadline = arrived.after_ms(250);
//! assert_eq!(deadline.ms_since(arrived), 250);
//! ```

pub mod admission;
pub mod assignment;
pub mod callers;
pub mod claim;
pub mod class_share;
pub mod config_source;
pub mod connection;
pub mod dispatch;
pub mod document;
pub mod drain;
pub mod fair_queue;
pub mod fleet;
pub mod health;
pub mod job;
pub mod key;
mod log_words;
pub mod maintenance;
pub mod map;
pub mod member;
pub mod millis;
pub mod name;
pub mod outcome;
pub mod placement;
pub mod prelude;
pub mod promotion;
pub mod proposal;
pub mod recent;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod roster;
pub mod route;
pub mod schedule;
pub mod service_time;
pub mod slots;
pub mod spare;
pub mod worker_route;
pub mod workspace;

pub use dispatch::Dispatcher;
pub use document::Document;
pub use map::{FastMap, FastSet};
pub use millis::Millis;
pub use outcome::{NotRun, OutcomeUnknown};
pub use promotion::PromotionInput;
pub use proposal::Proposal;
pub use request::Request;
pub use rollout::InForce;
pub use slots::{SlotHolder, SlotLedger, SlotManager, SlotOwner};
