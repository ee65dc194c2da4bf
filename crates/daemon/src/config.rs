//! The settings of a process.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use rosemaryscale_adapters::document_text;
use rosemaryscale_adapters::log::LogFormat;
use rosemaryscale_domain::document::Problem;
use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// Settings of a daemon.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the daemon, unique in its environment.
    pub name: Arc<str>,
    /// Environment that it serves.
    pub environment: Arc<str>,
    /// Availability zone of its entry instance.
    pub availability_zone: Arc<str>,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Addresses of the platform.
    pub platform: PlatformConfig,
    /// Peer addresses of other daemons of the environment. A daemon that starts while the platform
    /// is down finds its peers only here.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Where statsd metrics go; nowhere if it is missing.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
    /// The log.
    #[serde(default)]
    pub log: LogConfig,
}

/// Addresses of the platform.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformConfig {
    /// The key-value service.
    pub kv_address: SocketAddr,
    /// The instance list.
    pub instances_address: SocketAddr,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogConfig {
    /// Format of the lines.
    #[serde(default)]
    pub format: LogFormat,
}

/// Why settings were refused.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ConfigError {
    /// The file cannot be read.
    #[snafu(display("cannot read {path}: {source}; name a readable settings file"))]
    Read {
        /// The file.
        path: String,
        /// What failed.
        source: std::io::Error,
    },
    /// The settings have a mistake.
    #[snafu(display("{problem}"))]
    Invalid {
        /// The mistake.
        problem: Problem,
    },
}

impl Config {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or has a mistake.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).context(ReadSnafu { path: name })?;
        Self::parse(&text)
    }

    /// Reads the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the text has a mistake.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Self = document_text::parse_fields(text)
            .map_err(|problem| ConfigError::Invalid { problem })?;
        for (path, value) in [
            ("name", &config.name),
            ("environment", &config.environment),
            ("availability_zone", &config.availability_zone),
        ] {
            if value.is_empty() || value.contains('/') {
                let problem = Problem {
                    path: path.into(),
                    reason: format!("\"{value}\" is empty or has a slash"),
                    remedy: "use letters, digits and hyphens".into(),
                };
                return Err(ConfigError::Invalid { problem });
            }
        }
        Ok(config)
    }
}
