//! Settings of the daemon.

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

/// Maximum number of peers in the settings; a few reachable ones are sufficient to start.
const MAX_PEERS: usize = 64;

/// Settings of a daemon.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the daemon, unique in its environment.
    pub name: Arc<str>,
    /// Environment that the daemon serves.
    pub environment: Arc<str>,
    /// Availability zone of the daemon's entry instance.
    pub availability_zone: Arc<str>,
    /// Address of the caller API.
    pub caller_address: SocketAddr,
    /// Address of the operator API.
    pub operator_address: SocketAddr,
    /// Address of the peer server.
    pub peer_address: SocketAddr,
    /// Addresses of the platform.
    pub platform: PlatformConfig,
    /// Peer addresses of other daemons of the environment. A daemon that starts while the platform
    /// is down has no other source of peers.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Address that statsd metrics are sent to; without it, no metrics are sent.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogConfig,
}

/// Addresses of the platform.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformConfig {
    /// Address of the key-value service.
    pub kv_address: SocketAddr,
    /// Address of the instance list.
    pub instances_address: SocketAddr,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogConfig {
    /// Format of the log lines.
    #[serde(default)]
    pub format: LogFormat,
}

/// The settings cannot be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ConfigError {
    /// The file cannot be read.
    #[snafu(display("cannot read {path}: {source}; name a readable settings file"))]
    Read {
        /// The file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A setting is invalid.
    #[snafu(display("{problem}"))]
    Invalid {
        /// The validation error.
        problem: Problem,
    },
}

impl Config {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        Self::parse(&read_text(path)?)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the text is invalid.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Self = parse_fields(text)?;
        match config.validation_error() {
            Some(problem) => Err(ConfigError::Invalid { problem }),
            None => Ok(config),
        }
    }

    /// Returns the first validation error.
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
        // Other daemons and the command-line tool connect to the addresses in the member record.
        let unspecified = own[1..]
            .iter()
            .find(|(_, address)| address.ip().is_unspecified());
        unspecified.map(|(path, address)| {
            let reason = format!("others cannot connect to {address}");
            problem(path, reason, "name the address of this instance")
        })
    }

    fn peer_error(&self) -> Option<Problem> {
        if self.peers.len() > MAX_PEERS {
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
        problem: document_text::invalid_utf8_problem(&error),
    })
}

/// Parses the fields of a settings file.
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
