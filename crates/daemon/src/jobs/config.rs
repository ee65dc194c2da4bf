//! Settings of the job service.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use rosemaryscale_adapters::log::LogFormat;
use serde::Deserialize;

use crate::config::{ConfigError, parse_fields, problem, read_text};

/// Shortest lease of runs: polls wait for a second, and a change of the leader takes two.
const RUN_LEASE_MIN_MS: u64 = 3_000;

/// Settings of a daemon of the job service.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobServiceConfig {
    /// Name of the daemon, unique among all daemons.
    pub name: Arc<str>,
    /// Availability zone of its entry instance.
    pub availability_zone: Arc<str>,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the load balancer asks whether the daemon is ready.
    pub ready_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// The platform's list of instances, and where moves and maintenance are ordered.
    pub machines_address: SocketAddr,
    /// The advisor of queues whose tasks need tickets; such queues are refused if it is missing.
    #[serde(default)]
    pub advisor_address: Option<SocketAddr>,
    /// Where the metrics are read; nowhere if it is missing.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Longest lease that a worker gives to a run.
    pub run_lease_max_ms: u64,
    /// Time that a worker takes to stop a run.
    pub stop_grace_ms: u64,
    /// Time for which the state of a job is known after its end.
    pub status_kept_ms: u64,
    /// Time from SIGTERM to SIGKILL.
    pub stop_ms: u64,
    /// Format of the log.
    #[serde(default)]
    pub log_format: LogFormat,
}

impl JobServiceConfig {
    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// Fails with the place and the remedy if the file is missing or malformed.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        Self::parse(&read_text(path)?)
    }

    /// Reads settings from text.
    ///
    /// # Errors
    ///
    /// Fails with the place and the remedy if the text is malformed.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Self = parse_fields(text)?;
        if config.run_lease_max_ms < RUN_LEASE_MIN_MS {
            let reason = format!(
                "{} ms end while the scheduler changes its leader",
                config.run_lease_max_ms
            );
            let problem = problem("run_lease_max_ms", reason, "set a lease of 3000 ms or more");
            return Err(ConfigError::Invalid { problem });
        }
        Ok(config)
    }
}
