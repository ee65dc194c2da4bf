//! Test doubles ("stand-ins") for the systems around rosemaryscale, with a test harness, a load
//! generator and injectable faults.
//!
//! ```no_run
//! use rosemaryscale_standins::platform::Platform;
//!
//! # async fn run() -> std::io::Result<()> {
//! let platform = Platform::start("127.0.0.1:0".parse().unwrap()).await?;
//! println!("platform at {}", platform.address());
//! platform.stop().await;
//! # Ok(())
//! # }
//! ```

#![allow(clippy::expect_used, reason = "test support fails loudly")]

pub mod clients;
pub mod document;
pub mod faults;
pub mod harness;
pub mod http_server;
pub mod load;
pub mod platform;
pub mod scripted;
pub mod store;
pub mod thin_link;
pub mod upstream;

pub use faults::Faults;
pub use harness::Harness;
pub use platform::Platform;
pub use thin_link::ThinLink;
pub use upstream::Upstream;

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signal handler cannot be installed.
pub async fn shutdown_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
