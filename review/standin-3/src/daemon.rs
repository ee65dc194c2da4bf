//! Daemons of the project, as separate processes started with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::template;

/// Bounds of the small deployment kds-windhoek, as the settings of a process hold them.
fn bounds() -> Json {
    Json::map(vec![
        ("grace_s", 6.into()),
        ("max_hold_ms", 10_000.into()),
        ("stop_grace_ms", 900.into()),
        ("status_s", 120.into()),
        ("remote_factor", 3.into()),
    ])
}

/// Addresses of the outside of a daemon.
#[derive(Clone, Copy)]
pub struct Outside {
    pub store: SocketAddr,
    pub machines: SocketAddr,
    pub advisor: SocketAddr,
}

/// Period of the quota of a processor share, and what it leaves of the period at a share of 0.25.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
const QUOTA_NS: u64 = 25_000_000;

/// Gives a process the processor of its machine: DEPLOY.md, "a core's share is a quota. The core runs at full speed until the
/// quota is used up, and then runs not at all for the rest of that tenth of a second". Ends with the process.
fn hold_to_quota(process: u32) {
    thread::spawn(move || {
        let mut used_before_ns = match used_ns(process) {
            Some(used_ns) => used_ns,
            None => return,
        };
        loop {
            let until = Instant::now() + QUOTA_PERIOD;
            while Instant::now() < until {
                let Some(used_ns) = used_ns(process) else { return };
                if used_ns - used_before_ns >= QUOTA_NS {
                    send(process, SIGSTOP);
                    thread::sleep(until.saturating_duration_since(Instant::now()));
                    send(process, SIGCONT);
                    break;
                }
                thread::sleep(Duration::from_millis(1));
            }
            // What was used beyond a quota is taken off the next one.
            used_before_ns += used_ns(process).map_or(0, |used_ns| (used_ns - used_before_ns).min(QUOTA_NS));
        }
    });
}

/// Processor time of a process.
fn used_ns(process: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    let is_over = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?.contains(") Z ");
    text.split(' ').next()?.parse().ok().filter(|_| !is_over)
}

const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

fn send(process: u32, signal: i32) {
    // SAFETY: the call has no effect on this process; the id is that of a child that has not been waited for.
    unsafe { kill(process as i32, signal) };
}

/// A daemon and its process.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    command: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Daemon {
    /// Fills in the settings and starts the process.
    pub fn start(folder: &Path, index: usize, outside: Outside, record: &Record) -> Self {
        let ports = free_ports(5);
        let address = |port: u16| format!("127.0.0.1:{port}");
        let (name, zone) = (format!("front-{index}"), format!("khomas-{}", index % 3));
        let fields = Json::map(vec![
            ("node", name.as_str().into()),
            ("zone", zone.as_str().into()),
            ("ip", "127.0.0.1".into()),
            (
                "listen",
                Json::map(vec![
                    ("front", address(ports[0]).into()),
                    ("ready", address(ports[1]).into()),
                ]),
            ),
            ("internal_ports", Json::List(vec![u64::from(ports[2]).into(), u64::from(ports[3]).into()])),
            ("platform", Json::map(vec![("address", outside.store.to_string().into())])),
            ("cloud", Json::map(vec![("address", outside.machines.to_string().into())])),
            ("advice", outside.advisor.to_string().into()),
            ("limits", Json::map(vec![("cpu_share", Json::Number(0.25)), ("link_mbps", 1_000.into())])),
            ("bounds", bounds()),
        ]);
        let template = std::fs::read_to_string("deploy/settings.jsonc").expect("the template");
        // On the platform each daemon has a machine of its own for this port; here it gets a free one.
        let template = template.replace("{{ip}}:9464", &address(ports[4]));
        let settings = folder.join(format!("{name}.jsonc"));
        std::fs::write(&settings, template::fill(&template, &fields)).expect("settings are written");
        let mut daemon = Self {
            log: folder.join(format!("{name}.log")),
            name,
            front: address(ports[0]).parse().expect("an address"),
            ready: address(ports[1]).parse().expect("an address"),
            command: command(),
            settings,
            child: None,
            record: record.clone(),
        };
        daemon.spawn();
        daemon
    }

    /// Starts the process, also after its end.
    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env_clear()
            .env("ROSEMARYSCALE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the daemon starts"));
        self.record.note(&format!("{} started", self.name));
    }

    /// Whether its readiness probe answers 200 within the time.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let answer = http::call(self.ready, ("GET", "/ready"), &[], "", Duration::from_secs(1));
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            self.record.note(&format!("{} gets {signal}", self.name));
            let _ = Command::new("kill").args([&format!("-{signal}"), &child.id().to_string()]).status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Holds the process to the processor share of its machine.
    pub fn hold_to_share(&self) {
        if let Some(process) = self.process() {
            hold_to_quota(process);
        }
    }

    /// Id of the process.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The command of the deploy file.
fn command() -> Vec<String> {
    let deploy = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    let run = run.expect("a command").trim_matches('"');
    run.split(' ').map(str::to_owned).collect()
}

fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    let ports = listeners.iter().map(|listener| listener.local_addr().expect("bound").port());
    ports.collect()
}
