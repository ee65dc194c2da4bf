//! Command-line client for operators of rosemaryscale.
//!
//! ```
//! use rosemaryscale_cli::cli;
//!
//! let error = cli::parse(["frobnicate".to_owned()]).unwrap_err();
//! assert!(error.to_string().contains("--help"));
//! ```

pub mod cli;
pub mod client;
pub mod output;
pub mod progress;
pub mod run;

pub use client::Client;
