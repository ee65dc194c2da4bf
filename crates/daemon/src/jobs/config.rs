//! Settings of the job service.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use rosemaryscale_adapters::log::LogFormat;
use rosemaryscale_domain::schedule::UnevenWork;
use serde::Deserialize;

use crate::config::{ConfigError, parse_fields, problem, read_text};

/// Minimum lease of a run: a poll waits up to 1 s, and a change of the leader takes 2 s.
const MIN_RUN_LEASE_MS: u64 = 3_000;

/// Settings of a daemon of the job service.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobServiceConfig {
    /// Name of the daemon, unique among all daemons.
    pub name: Arc<str>,
    /// Availability zone of the instance that the daemon runs on.
    pub availability_zone: Arc<str>,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address of the load balancer's readiness probe.
    pub ready_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the platform's instance API: the instance list, moves and maintenance.
    pub machines_address: SocketAddr,
    /// Address of the advisor that issues tickets. Without it, submissions to queues that require
    /// tickets are refused.
    #[serde(default)]
    pub advisor_address: Option<SocketAddr>,
    /// Listen address of the metrics endpoint; disabled if missing.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Listen address for the leader, which lets this daemon hold links to workers in a large fleet.
    /// Without it, this daemon is no gateway.
    #[serde(default)]
    pub gateway_address: Option<SocketAddr>,
    /// Listen address for peers, which ask this daemon for the configuration while the store does not answer
    /// them. Without it, this daemon neither answers peers nor asks them.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Time without a confirmation of the configuration after which it counts as unconfirmed.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// Whether calls that need a key are refused while the configuration is unconfirmed.
    #[serde(default)]
    pub strict_revoke: bool,
    /// Share of a processor that this daemon may use.
    #[serde(default = "default_processor_share")]
    pub processor_share: f64,
    /// Bandwidth of the instance's network link, in megabits a second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Maximum lease that a worker grants to a run.
    pub run_lease_max_ms: u64,
    /// Run time of a task outside its preferred rack in relation to the run time there. Without it, or with 1,
    /// tasks do not wait for their rack.
    #[serde(default)]
    pub remote_factor: Option<f64>,
    /// Time within which a worker stops a run.
    pub stop_grace_ms: u64,
    /// Time for which a job's state is retained after the job ends.
    pub status_kept_ms: u64,
    /// Time between SIGTERM and SIGKILL.
    pub stop_ms: u64,
    /// Whether decisions use run times learned from ends instead of declared ones.
    #[serde(default)]
    pub learned_durations: bool,
    /// Whether instances on which tasks take longer than elsewhere are the last choice.
    #[serde(default)]
    pub learned_speed: bool,
    /// Share of the running finite tasks that may have a speculative copy, in percent; 0 means no copies.
    #[serde(default)]
    pub copy_budget_percent: u32,
    /// Format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
}

const fn default_processor_share() -> f64 {
    1.0
}

const fn default_link_mbps() -> f64 {
    1_000.0
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
        if config.run_lease_max_ms < MIN_RUN_LEASE_MS {
            let reason = format!(
                "a lease of {} ms expires during a change of the leader",
                config.run_lease_max_ms
            );
            let problem = problem("run_lease_max_ms", reason, "set a lease of 3000 ms or more");
            return Err(ConfigError::Invalid { problem });
        }
        if config.strict_revoke && config.revoke_ms.is_none() {
            let reason = "no time is set after which calls are refused".to_owned();
            let problem = problem("strict_revoke", reason, "set revoke_ms as well");
            return Err(ConfigError::Invalid { problem });
        }
        for (field, value) in [
            ("processor_share", config.processor_share),
            ("link_mbps", config.link_mbps),
        ] {
            if !(value.is_finite() && value > 0.0) {
                let reason = format!("{value} is no amount that a daemon can work with");
                let problem = problem(field, reason, "set a number above 0");
                return Err(ConfigError::Invalid { problem });
            }
        }
        if config.copy_budget_percent > 100 {
            let reason = format!("{} is more than all tasks", config.copy_budget_percent);
            let problem = problem("copy_budget_percent", reason, "set a number up to 100");
            return Err(ConfigError::Invalid { problem });
        }
        if let Some(factor) = config.remote_factor
            && !(factor.is_finite() && factor >= 1.0)
        {
            let reason = format!("{factor} would make tasks faster outside their rack");
            let problem = problem(
                "remote_factor",
                reason,
                "set a number above 1, or leave it out",
            );
            return Err(ConfigError::Invalid { problem });
        }
        Ok(config)
    }

    /// How uneven run times are answered.
    #[must_use]
    pub const fn uneven_work(&self) -> UnevenWork {
        UnevenWork {
            learned_durations: self.learned_durations,
            learned_speed: self.learned_speed,
            copy_budget_percent: self.copy_budget_percent,
        }
    }
}
