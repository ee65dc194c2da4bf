//! A test harness: a platform stand-in, upstream stand-ins and daemon processes.
//!
//! Each harness uses its own loopback address, so tests can run in parallel.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

pub use signal::ProcessSignal;
use wait::CONDITION_POLL_INTERVAL;
pub use wait::{CONDITION_TIMEOUT, join_all, wait_until};

use crate::platform::Platform;
use crate::upstream::{Upstream, UpstreamOptions};

mod calls;
mod signal;
mod wait;

const CALLER_PORT: u16 = 7001;
const OPERATOR_PORT: u16 = 7002;
const PEER_PORT: u16 = 7003;
const PLATFORM_PORT: u16 = 7100;
const UPSTREAM_PORT: u16 = 7200;
const PORTS_PER_DAEMON: u16 = 10;
/// Longest wait for an answer of a daemon in the diagnostics of a failed test.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of the next harness of this process; the last octet of its address.
static NEXT_HARNESS_NUMBER: AtomicU8 = AtomicU8::new(1);

/// An upstream instance to start.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// Name of the instance.
    pub name: String,
    /// Pool of the instance.
    pub pool: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Rack of the instance.
    pub rack: String,
    /// Number of requests executed concurrently.
    pub slots: u32,
    /// Execution time of a request without an `x-standin-delay-ms` header.
    pub default_delay: Duration,
}

impl UpstreamSpec {
    /// Returns an instance of `pool` with 8 slots and an execution time of 5 ms; its number selects
    /// the zone and the rack.
    #[must_use]
    pub fn numbered(pool: &str, number: usize) -> Self {
        Self {
            name: format!("{pool}-{number}"),
            pool: pool.into(),
            zone: format!("zone-{}", number % 3 + 1),
            rack: format!("rack-{}", number / 4 + 1),
            slots: 8,
            default_delay: Duration::from_millis(5),
        }
    }
}

/// Options of a harness.
#[derive(Clone, Debug)]
pub struct HarnessOptions {
    /// Path of the daemon binary: `env!("CARGO_BIN_EXE_rosemaryscaled")` in the daemon's tests.
    pub daemon_binary: PathBuf,
    /// Number of daemons.
    pub daemons: usize,
    /// Environment that the daemons serve.
    pub environment: String,
    /// Upstream instances to start.
    pub upstreams: Vec<UpstreamSpec>,
}

/// A daemon process.
#[derive(Debug)]
struct DaemonProcess {
    name: String,
    /// Environment that overrides the one of the harness.
    environment_override: Option<String>,
    child: Option<Child>,
}

/// Complete HTTP response of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl DaemonReply {
    /// Parses the body as JSON; null if it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// A running harness. Dropping it kills its daemons.
#[derive(Debug)]
pub struct Harness {
    /// The platform stand-in.
    pub platform: Platform,
    /// The upstream stand-ins, in the order of their specs.
    pub upstreams: Vec<Upstream>,
    options: HarnessOptions,
    host: IpAddr,
    directory: PathBuf,
    daemons: Vec<DaemonProcess>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Harness {
    /// Starts everything and waits until every daemon's operator API answers.
    ///
    /// # Panics
    ///
    /// Panics when a component does not start.
    pub async fn start(options: HarnessOptions) -> Self {
        let number = NEXT_HARNESS_NUMBER.fetch_add(1, Ordering::Relaxed);
        let [high, low] = ((std::process::id() & 0xffff) as u16).to_be_bytes();
        let host = IpAddr::V4(Ipv4Addr::new(127, high, low, number));
        let directory =
            std::env::temp_dir().join(format!("rosemaryscale-{}-{number}", std::process::id()));
        // A failed run keeps its directory, and process ids are reused: without this, its logs would
        // count as logs of this run.
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("the temporary directory is writable");
        let platform = Platform::start(SocketAddr::new(host, PLATFORM_PORT))
            .await
            .expect("the platform stand-in starts");
        let mut upstreams = Vec::new();
        for (port, spec) in (UPSTREAM_PORT..).zip(&options.upstreams) {
            let upstream = UpstreamOptions {
                name: spec.name.clone(),
                slots: spec.slots,
                default_delay: spec.default_delay,
            };
            let address = SocketAddr::new(host, port);
            upstreams.push(
                Upstream::start(address, upstream)
                    .await
                    .expect("an upstream starts"),
            );
        }
        let client = Client::builder(TokioExecutor::new()).build_http();
        let daemons = Vec::new();
        let mut harness = Self {
            platform,
            upstreams,
            options,
            host,
            directory,
            daemons,
            client,
        };
        harness.platform.set_instances(harness.instances()).await;
        for index in 0..harness.options.daemons {
            harness.add_daemon(index);
        }
        for index in 0..harness.options.daemons {
            harness.wait_for_operator_api(index).await;
        }
        harness
    }

    /// Returns the instance list with every upstream `live`, for [`Platform::set_instances`].
    #[must_use]
    pub fn instances(&self) -> Value {
        let specs = self.options.upstreams.iter().zip(&self.upstreams);
        specs
            .map(|(spec, upstream)| {
                json!({
                    "name": spec.name, "address": upstream.address(), "pool_hint": spec.pool,
                    "zone": spec.zone, "rack": spec.rack, "state": "live",
                })
            })
            .collect()
    }

    /// Name of a daemon.
    #[must_use]
    pub fn daemon_name(&self, index: usize) -> &str {
        &self.daemons[index].name
    }

    /// Caller address of a daemon.
    #[must_use]
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.daemon_address(index, CALLER_PORT)
    }

    /// Operator address of a daemon.
    #[must_use]
    pub fn operator_address(&self, index: usize) -> SocketAddr {
        self.daemon_address(index, OPERATOR_PORT)
    }

    /// Process id of a daemon, if it is running.
    #[must_use]
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.daemons[index].child.as_ref().map(Child::id)
    }

    fn daemon_address(&self, index: usize, port: u16) -> SocketAddr {
        let port_offset =
            u16::try_from(index).expect("the daemon index fits into a port") * PORTS_PER_DAEMON;
        SocketAddr::new(self.host, port + port_offset)
    }

    fn add_daemon(&mut self, index: usize) {
        let name = format!("entry-{}", index + 1);
        self.daemons.push(DaemonProcess {
            name,
            environment_override: None,
            child: None,
        });
        self.spawn(index);
    }

    /// Environment that a daemon serves.
    #[must_use]
    pub fn environment(&self, index: usize) -> &str {
        let environment_override = self
            .daemons
            .get(index)
            .and_then(|daemon| daemon.environment_override.as_ref());
        environment_override.unwrap_or(&self.options.environment)
    }

    /// Sets the environment that a daemon serves after its next start.
    pub fn set_environment(&mut self, index: usize, environment: &str) {
        self.daemons[index].environment_override = Some(environment.to_owned());
    }

    /// Peer addresses of the other daemons in a daemon's environment.
    fn peer_addresses(&self, index: usize) -> Vec<SocketAddr> {
        (0..self.options.daemons)
            .filter(|other| *other != index && self.environment(*other) == self.environment(index))
            .map(|other| self.daemon_address(other, PEER_PORT))
            .collect()
    }

    /// Starts the process of a daemon that was stopped or killed.
    ///
    /// # Panics
    ///
    /// Panics when the process does not start.
    pub fn spawn(&mut self, index: usize) {
        let name = self.daemons[index].name.clone();
        let settings = json!({
            "name": name,
            "environment": self.environment(index),
            "availability_zone": format!("zone-{}", index % 3 + 1),
            "caller_address": self.caller_address(index),
            "operator_address": self.operator_address(index),
            "peer_address": self.daemon_address(index, PEER_PORT),
            "peers": self.peer_addresses(index),
            "platform": {
                "kv_address": self.platform.address(),
                "instances_address": self.platform.address(),
            },
        });
        let path = self.directory.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("settings can be written");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{name}.log")))
            .expect("the log can be opened");
        let child = Command::new(&self.options.daemon_binary)
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.daemons[index].child = Some(child);
    }

    /// The log of a daemon.
    #[must_use]
    pub fn log(&self, index: usize) -> String {
        let path = self
            .directory
            .join(format!("{}.log", self.daemons[index].name));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Sends a signal to a daemon.
    ///
    /// # Panics
    ///
    /// Panics when the daemon is not running.
    pub fn signal(&self, index: usize, signal: ProcessSignal) {
        let child = self.daemons[index].child.as_ref();
        signal.send(child.expect("the daemon is running"));
    }

    /// Diagnostics of a daemon for a failed test: the states of its threads, whether its runtime
    /// answers, and the end of its log.
    fn daemon_diagnostics(&self, index: usize) -> String {
        const LOG_LINES: usize = 15;
        let name = &self.daemons[index].name;
        let threads = self
            .process_id(index)
            .map_or_else(|| "no process".to_owned(), thread_states);
        let answer = if answers(self.operator_address(index)) {
            "the operator API answers"
        } else {
            "the operator API does not answer"
        };
        let log = self.log(index);
        let lines: Vec<&str> = log.lines().collect();
        let log_tail = lines[lines.len().saturating_sub(LOG_LINES)..].join("\n");
        format!("{name}: {threads}; {answer}\n{log_tail}")
    }

    /// Waits until the process of a daemon exits.
    ///
    /// # Panics
    ///
    /// Panics when the process does not exit within [`CONDITION_TIMEOUT`].
    pub async fn wait_for_exit(&mut self, index: usize) -> ExitStatus {
        let started = tokio::time::Instant::now();
        loop {
            let child = self.daemons[index]
                .child
                .as_mut()
                .expect("the daemon is running");
            if let Some(status) = child.try_wait().expect("the process can be waited for") {
                self.daemons[index].child = None;
                return status;
            }
            assert!(
                started.elapsed() < CONDITION_TIMEOUT,
                "{} does not exit",
                self.daemons[index].name
            );
            tokio::time::sleep(CONDITION_POLL_INTERVAL).await;
        }
    }

    /// Stops every daemon gracefully, asserts that each one exits with status 0, then stops the
    /// upstreams.
    ///
    /// # Panics
    ///
    /// Panics when a daemon does not exit or exits with a failure.
    pub async fn stop(mut self) {
        for index in 0..self.daemons.len() {
            if self.daemons[index].child.is_some() {
                self.signal(index, ProcessSignal::Terminate);
            }
        }
        for index in 0..self.daemons.len() {
            if self.daemons[index].child.is_some() {
                let status = self.wait_for_exit(index).await;
                assert!(
                    status.success(),
                    "{}: {status}\n{}",
                    index + 1,
                    self.log(index)
                );
            }
        }
        for upstream in std::mem::take(&mut self.upstreams) {
            upstream.stop().await;
        }
    }
}

/// State letter and kernel wait channel of each thread of a process, from `/proc`.
fn thread_states(process: u32) -> String {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{process}/task")) else {
        return format!("process {process} does not exist");
    };
    let states: Vec<String> = threads
        .flatten()
        .map(|thread| {
            let read = |file| std::fs::read_to_string(thread.path().join(file)).unwrap_or_default();
            let stat = read("stat");
            let state = stat.rsplit(')').next().unwrap_or_default().trim();
            format!("{} {}", state.chars().next().unwrap_or('?'), read("wchan"))
        })
        .collect();
    format!("process {process}, threads: {}", states.join(", "))
}

/// Whether an HTTP server answers a request. It blocks, so that it can be used while a test panics;
/// an idle daemon and one whose runtime is blocked cannot be told apart by the states of their
/// threads.
fn answers(address: SocketAddr) -> bool {
    let exchange = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: daemon\r\nconnection: close\r\n\r\n")?;
        let mut first_byte = [0];
        Ok(stream.read(&mut first_byte)? > 0)
    };
    exchange().unwrap_or(false)
}

impl Drop for Harness {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for index in 0..self.daemons.len() {
                eprintln!("{}", self.daemon_diagnostics(index));
            }
        }
        for daemon in &mut self.daemons {
            if let Some(mut child) = daemon.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}
