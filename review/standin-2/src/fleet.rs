//! A small deployment: the platform, runners, daemons as processes, and clients.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Handler, Reply, Request, Server};
use crate::locked;
use crate::record::Recorder;
use crate::runner::{HOLD_MAX_MS, Kind, Runner, STOP_GRACE_MS};
use crate::store::Store;

/// Time for which clients wait for a response.
const CLIENT_DEADLINE: Duration = Duration::from_millis(3_000);
pub const HOST: &str = "jobs.example";

/// The platform's list of machines. No machine is moved or maintained in these cases.
#[derive(Default)]
pub struct Machines {
    pub runners: Mutex<Vec<Arc<Runner>>>,
}

impl Handler for Machines {
    fn handle(&self, request: &Request) -> Reply {
        if request.path != "/machines" {
            return Reply::Json(400, json!({}));
        }
        let runners = locked(&self.runners);
        let rows = runners.iter().map(|runner| {
            let kind = &runner.kind;
            let is_up = runner.is_up();
            let id = is_up.then_some(&kind.id);
            json!({"machine": kind.machine, "pool": kind.service,
                "state": if is_up { "up" } else { "down" }, "zone": "z-1",
                "labels": [kind.label, kind.rack],
                "capacity": {"cpu": kind.cpu, "mem_mb": kind.mem_mb, "gpu": 0}, "id": id})
        });
        let rows: Vec<Value> = rows.collect();
        Reply::Json(200, json!({"machines": rows, "next_page_token": null}))
    }
}

/// A daemon process with the command of the deploy file.
pub struct Daemon {
    pub name: String,
    pub caller_address: SocketAddr,
    ready_address: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Daemon {
    fn spawn(&self, program: &Path) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(program)
            .arg("--job-service")
            .env("ROSEMARYSCALE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        *locked(&self.child) = Some(child);
        Ok(())
    }

    pub fn kill(&self) {
        if let Some(mut child) = locked(&self.child).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let reply = http::call(
            self.ready_address,
            ("GET", "/ready"),
            &[],
            "",
            Duration::from_secs(1),
        );
        reply.is_ok_and(|(status, _)| status == 200)
    }
}

/// The deployment. Its processes end with it.
pub struct Fleet {
    pub store: Arc<Store>,
    pub recorder: Arc<Recorder>,
    pub runners: Vec<Arc<Runner>>,
    pub daemons: Vec<Daemon>,
    program: PathBuf,
    folder: PathBuf,
}

/// Racks, machines and daemons of a deployment with one service.
pub struct Shape {
    /// Runners of each rack.
    pub racks: Vec<usize>,
    /// How many of them, from the first on, are of the kind "b" instead of "a".
    pub kind_b: usize,
    pub cpu: u64,
    pub daemons: usize,
}

/// A free address for a server that starts later. Its port is below those that the system gives to connections, which
/// could take it meanwhile.
fn free_address() -> io::Result<SocketAddr> {
    const FIRST_PORT: u32 = 12_000;
    const PORTS: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (std::process::id().wrapping_mul(37) + step) % PORTS;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr();
        }
    }
    Err(io::Error::other("no port is free"))
}

impl Fleet {
    pub fn start(program: &Path, shape: &Shape) -> io::Result<Self> {
        let recorder = Recorder::new();
        let store = Store::new();
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let config = json!({"version": 1, "routes": [{"name": "queue", "host": HOST, "prefix": "/q/",
            "kind": "unsafe", "timeout_ms": 3000, "service": "work", "priority": 0,
            "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 600}],
            "services": [{"name": "work", "health_path": "/health", "max_connections": 64,
                "admission_check": false, "spare": false}],
            "limits": {"max_body_bytes": 262144}});
        store.put("op/config", &config);
        let store_server = Server::start(Arc::clone(&store) as Arc<dyn Handler>)?;
        let machines = Arc::new(Machines::default());
        let machines_server = Server::start(Arc::clone(&machines) as Arc<dyn Handler>)?;
        let mut runners = Vec::new();
        for (rack, count) in shape.racks.iter().enumerate() {
            for _ in 0..*count {
                let number = runners.len() + 1;
                let label = if number <= shape.kind_b { "b" } else { "a" };
                let kind = Kind {
                    label: label.to_owned(),
                    id: format!("i-{number}"),
                    machine: format!("m-{number}"),
                    service: "work".to_owned(),
                    rack: format!("r1-{}", rack + 1),
                    cpu: shape.cpu,
                    mem_mb: 65_536,
                };
                runners.push(Runner::start(kind, &store, &recorder)?);
            }
        }
        locked(&machines.runners).extend(runners.iter().cloned());
        let mut fleet = Self {
            store,
            recorder,
            runners,
            daemons: Vec::new(),
            program: program.to_owned(),
            folder,
        };
        for number in 1..=shape.daemons {
            let daemon = fleet.add_daemon(number, store_server.address, machines_server.address)?;
            fleet.daemons.push(daemon);
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    fn add_daemon(
        &self,
        number: usize,
        store: SocketAddr,
        machines: SocketAddr,
    ) -> io::Result<Daemon> {
        let name = format!("front-z-1-{number}");
        let caller_address = free_address()?;
        let ready_address = free_address()?;
        let settings = json!({"name": name, "availability_zone": "z-1",
            "caller_address": caller_address.to_string(), "ready_address": ready_address.to_string(),
            "store_address": store.to_string(), "machines_address": machines.to_string(),
            "metrics_address": free_address()?.to_string(),
            "gateway_address": free_address()?.to_string(),
            "processor_share": 0.25, "link_mbps": 1000.0, "run_lease_max_ms": HOLD_MAX_MS,
            "remote_factor": 2, "stop_grace_ms": STOP_GRACE_MS, "status_kept_ms": 120_000,
            "stop_ms": 6_000});
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let daemon = Daemon {
            log: self.folder.join(format!("{name}.log")),
            name,
            caller_address,
            ready_address,
            settings: path,
            child: Mutex::new(None),
        };
        daemon.spawn(&self.program)?;
        Ok(daemon)
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let has_leader = self.store.value("rosemaryscale/view/scheduler").is_some();
            if has_leader && self.daemons.iter().all(Daemon::is_ready) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the daemons are not ready within 15 s"))
    }

    /// The daemon that holds the scheduler key.
    pub fn leader(&self) -> Option<&Daemon> {
        let record = self.store.value("rosemaryscale/view/scheduler")?;
        self.daemons
            .iter()
            .find(|daemon| Some(daemon.name.as_str()) == record["daemon"].as_str())
    }

    /// Ends that wait for their acknowledgement on the runner with the most of them.
    pub fn most_kept_ends(&self) -> usize {
        self.runners
            .iter()
            .map(|runner| runner.kept_ends())
            .max()
            .unwrap_or(0)
    }

    pub fn restart(&self, daemon: &Daemon) -> io::Result<()> {
        daemon.spawn(&self.program)
    }

    /// Makes a request of a client at one daemon after the other until one answers.
    pub fn request(&self, method: &str, id: &str, body: &str) -> Option<(u16, Value)> {
        for attempt in 0..5 {
            let daemon = &self.daemons[attempt % self.daemons.len()];
            let path = format!("/q/{id}");
            let headers = [
                ("host", HOST),
                ("content-type", "application/json"),
                ("x-deadline-ms", "3000"),
            ];
            let reply = http::call(
                daemon.caller_address,
                (method, &path),
                &headers,
                body,
                CLIENT_DEADLINE,
            );
            let text = match &reply {
                Ok((status, body)) => format!("{status} {body}"),
                Err(error) => format!("no response: {error}"),
            };
            self.recorder
                .note(format!("{method} {path} at {}: {text}", daemon.name));
            match reply {
                Ok((status, body)) if !matches!(status, 429 | 502 | 503 | 504) => {
                    return Some((status, body));
                }
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        None
    }

    pub fn submit(&self, id: &str, spec: &Value, steps: &Value) -> bool {
        let body = json!({"spec": spec.to_string(), "steps": steps}).to_string();
        self.request("POST", id, &body)
            .is_some_and(|(status, _)| status == 200)
    }

    /// `waiting` of the queue as a daemon gives it.
    pub fn waiting(&self, daemon: &Daemon) -> Option<u64> {
        let reply = http::call(
            daemon.caller_address,
            ("GET", "/q/"),
            &[("host", HOST)],
            "",
            CLIENT_DEADLINE,
        );
        let (status, body) = reply.ok()?;
        self.recorder
            .note(format!("GET /q/ at {}: {status} {body}", daemon.name));
        body["waiting"].as_u64().filter(|_| status == 200)
    }

    /// State of a job as a client is shown it.
    pub fn state(&self, id: &str) -> String {
        match self.request("GET", id, "") {
            Some((200, body)) => body["state"].as_str().unwrap_or_default().to_owned(),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }

    /// Waits until a job is shown in a final state, at most until the time limit.
    pub fn final_state(&self, id: &str, limit: Duration) -> String {
        let until = Instant::now() + limit;
        loop {
            let state = self.state(id);
            let is_final = matches!(state.as_str(), "completed" | "failed" | "cancelled");
            if is_final || Instant::now() >= until {
                return state;
            }
            thread::sleep(Duration::from_millis(500));
        }
    }

    /// Lines of the daemons' logs that contain the text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for daemon in &self.daemons {
            let log = fs::read_to_string(&daemon.log).unwrap_or_default();
            let found = log.lines().filter(|line| line.contains(text));
            lines.extend(found.map(|line| format!("{}: {line}", daemon.name)));
        }
        lines
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &self.daemons {
            daemon.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
