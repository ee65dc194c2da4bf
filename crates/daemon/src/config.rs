//! The settings of a process.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use rosemaryscale_adapters::document_text;
use rosemaryscale_adapters::log::LogFormat;
use rosemaryscale_domain::document::Problem;
use rosemaryscale_domain::name;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Peers that settings may list; a few reachable ones are enough for a start.
const PEERS_MAX: usize = 64;

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
        Self::parse(&read_text(path)?)
    }

    /// Reads the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the text has a mistake.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Self = parse_fields(text)?;
        match config.validation_error() {
            Some(problem) => Err(ConfigError::Invalid { problem }),
            None => Ok(config),
        }
    }

    /// The first value that cannot be used.
    fn validation_error(&self) -> Option<Problem> {
        self.name_error()
            .or_else(|| self.address_error())
            .or_else(|| self.peer_error())
    }

    fn name_error(&self) -> Option<Problem> {
        let names = [
            ("name", &self.name),
            ("environment", &self.environment),
            ("availability_zone", &self.availability_zone),
        ];
        names.into_iter().find_map(|(path, value)| {
            let reason = name::validation_error(value)?;
            Some(problem(path, reason, name::NAME_REMEDY))
        })
    }

    fn address_error(&self) -> Option<Problem> {
        let own = [
            ("caller_address", self.caller_address),
            ("operator_address", self.operator_address),
            ("peer_address", self.peer_address),
        ];
        for (index, (path, address)) in own.iter().enumerate() {
            if address.port() == 0 {
                return Some(problem(path, "the port is 0".into(), "name a free port"));
            }
            if let Some((other, _)) = own[..index].iter().find(|(_, other)| other == address) {
                let reason = format!("{address} is also the {other}");
                return Some(problem(path, reason, "give each server a port of its own"));
            }
        }
        // Other daemons and the tool connect to the addresses of the member record.
        let unspecified = own[1..]
            .iter()
            .find(|(_, address)| address.ip().is_unspecified());
        unspecified.map(|(path, address)| {
            let reason = format!("others cannot connect to {address}");
            problem(path, reason, "name the address of this instance")
        })
    }

    fn peer_error(&self) -> Option<Problem> {
        if self.peers.len() > PEERS_MAX {
            let reason = format!("{} peers are listed", self.peers.len());
            return Some(problem(
                "peers",
                reason,
                "list 64 at most; a few are enough",
            ));
        }
        let own = |address: &SocketAddr| *address == self.peer_address;
        let index = self.peers.iter().position(own)?;
        let path = format!("peers[{index}]");
        let reason = "this is the daemon's own peer_address".into();
        Some(problem(&path, reason, "list other daemons only"))
    }
}

/// Reads the text of a settings file.
pub(crate) fn read_text(path: &Path) -> Result<String, ConfigError> {
    let name = path.display().to_string();
    let bytes = std::fs::read(path).context(ReadSnafu { path: name })?;
    String::from_utf8(bytes).map_err(|error| ConfigError::Invalid {
        problem: document_text::not_utf8(&error),
    })
}

/// Reads the fields of settings.
pub(crate) fn parse_fields<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    document_text::parse_fields(text).map_err(|problem| ConfigError::Invalid { problem })
}

pub(crate) fn problem(path: &str, reason: String, remedy: &str) -> Problem {
    Problem {
        path: path.into(),
        reason,
        remedy: remedy.into(),
    }
}
