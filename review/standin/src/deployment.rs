//! A small deployment: the daemons as processes of their own, and stand-ins of the platform and its runners.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, SPARE_POOL};
use crate::http::{self, Server};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Plan, Worker};

const PROGRAM: &str = "target/release/rosemaryscaled";
const HOST: &str = "jobs.example";
/// Time that a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

struct Daemon {
    name: String,
    caller: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// Ids of the daemons that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all daemons, also those of a case that was given up.
pub fn end_daemons() {
    for id in RUNNING.lock().expect("lock").drain(..) {
        send_signal("-KILL", id);
    }
}

/// Sends a signal by the shell, since the standard library has only SIGKILL.
fn send_signal(signal: &str, id: u32) {
    let _ = Command::new("sh")
        .args(["-c", &format!("kill {signal} {id}")])
        .status();
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    daemons: Vec<Daemon>,
    fleet: Arc<Fleet>,
    folder: PathBuf,
    _platform: Server,
    _cloud: Server,
}

/// A free port on a loopback address of this process, so that no other one takes it before the daemon does.
fn free_address() -> SocketAddr {
    let id = std::process::id();
    let part = |shift: u32| (id >> shift & 0x7f) as u8 + 1;
    let listener = TcpListener::bind((Ipv4Addr::new(127, part(14), part(7), part(0)), 0))
        .expect("a free port");
    listener.local_addr().expect("bound")
}

/// The manifest: one queue `/q/` on the service `quotes`, and a spare pool if there are spare machines.
fn manifest(max_attempts: u32, has_spares: bool) -> String {
    let service = |name: &str, spare: bool| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_check\":false,\"spare\":{spare}}}"
        )
    };
    let mut services = vec![service("quotes", false)];
    if has_spares {
        services.push(service(SPARE_POOL, true));
    }
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"q\",\"host\":\"{HOST}\",\"prefix\":\"/q/\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":2500,\"priority\":0,\"service\":\"quotes\",\"max_attempts\":{max_attempts},\"stretch\":2.2}}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        services.join(",")
    )
}

impl Deployment {
    /// Starts the platform, a machine for each of these runners, as many machines in the spare pool, and three
    /// daemons. `None` if it does not become ready.
    pub fn start(plans: Vec<Plan>, spares: usize, max_attempts: u32) -> Option<Self> {
        let record = Arc::new(Record::new());
        let store = Arc::new(Store::default());
        store.put("op/config", &manifest(max_attempts, spares > 0));
        let platform = {
            let store = Arc::clone(&store);
            Server::start(0, move |request| store.handle(request))
        };
        let fleet = Fleet::start(plans, spares, &store, &record);
        let cloud = {
            let fleet = Arc::clone(&fleet);
            Server::start(0, move |request| Some(fleet.handle(request)))
        };
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut deployment = Self {
            record,
            store,
            daemons: Vec::new(),
            fleet,
            folder,
            _platform: platform,
            _cloud: cloud,
        };
        for zone in ["za", "zb", "zc"] {
            deployment.add_daemon(zone)?;
        }
        deployment.wait_until_ready().then_some(deployment)
    }

    fn add_daemon(&mut self, zone: &str) -> Option<()> {
        let name = format!("front-{zone}-1");
        let [caller, ready, gateway] = [free_address(), free_address(), free_address()];
        let text = format!(
            "{{\"name\":\"{name}\",\"availability_zone\":\"{zone}\",\"caller_address\":\"{caller}\",\"ready_address\":\"{ready}\",\"store_address\":\"{}\",\"machines_address\":\"{}\",\"gateway_address\":\"{gateway}\",\"processor_share\":0.25,\"link_mbps\":1000.0,\"run_lease_max_ms\":10000,\"remote_factor\":3,\"stop_grace_ms\":900,\"status_kept_ms\":120000,\"stop_ms\":6000}}",
            self._platform.address, self._cloud.address
        );
        let settings = self.folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text).ok()?;
        self.daemons.push(Daemon {
            name,
            caller,
            ready,
            settings,
            child: None,
        });
        let index = self.daemons.len() - 1;
        self.start_daemon(index)
    }

    /// Starts a daemon with the command of the deploy file.
    pub fn start_daemon(&mut self, index: usize) -> Option<()> {
        let daemon = &mut self.daemons[index];
        let log = self.folder.join(format!("{}.log", daemon.name));
        let log = File::options().create(true).append(true).open(log).ok()?;
        let child = Command::new(PROGRAM)
            .arg("--job-service")
            .env("ROSEMARYSCALE_SETTINGS", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        RUNNING.lock().expect("lock").push(child.id());
        daemon.child = Some(child);
        self.record
            .note(&format!("daemon {} is started", daemon.name));
        Some(())
    }

    /// Ends a daemon by SIGKILL.
    pub fn kill_daemon(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if let Some(child) = daemon.child.take() {
            end(child);
            self.record
                .note(&format!("daemon {} is killed", daemon.name));
        }
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, index: usize, signal: &str) {
        let daemon = &self.daemons[index];
        if let Some(child) = &daemon.child {
            send_signal(signal, child.id());
            self.record
                .note(&format!("daemon {}: {signal}", daemon.name));
        }
    }

    fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let is_ready = |daemon: &Daemon| {
            let answer = http::call(
                daemon.ready,
                ("GET", "/ready", "ready"),
                "",
                Duration::from_millis(500),
            );
            answer.is_some_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            if self.daemons.iter().all(is_ready) && self.leader().is_some() {
                std::thread::sleep(Duration::from_millis(1_500));
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// The daemon that gives the orders.
    pub fn leader(&self) -> Option<usize> {
        let record = Json::parse(&self.store.value("rosemaryscale/view/scheduler")?)?;
        let name = record.get("daemon").text().to_owned();
        self.daemons.iter().position(|daemon| daemon.name == name)
    }

    /// Makes a client's call, first to one daemon and then to the others.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        self.call_beside(usize::MAX, method, path, body)
    }

    /// Makes a client's call to another daemon than this one.
    pub fn call_beside(
        &self,
        beside: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let others = self
            .daemons
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != beside);
        let up = others
            .map(|(_, daemon)| daemon)
            .filter(|daemon| daemon.child.is_some());
        for daemon in up {
            let answer = http::call(daemon.caller, (method, path, HOST), body, CLIENT_TIMEOUT);
            if let Some((status, text)) = answer {
                self.record.note(&format!(
                    "client {method} {path} at {}: {status} {text}",
                    daemon.name
                ));
                if !matches!(status, 502..=504) {
                    return Some((status, text));
                }
            }
        }
        None
    }

    /// State of a job as shown to its client.
    pub fn state_of(&self, id: &str) -> Option<String> {
        let (status, text) = self.call("GET", &format!("/q/{id}"), "")?;
        let state = Json::parse(&text)?.get("state").text().to_owned();
        (status == 200).then_some(state)
    }

    /// Waits until the job is shown as ended, and returns its state.
    pub fn wait_for_end(&self, id: &str, limit: Duration) -> Option<String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(state) = self.state_of(id)
                && !matches!(state.as_str(), "queued" | "running")
            {
                return Some(state);
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        None
    }

    /// The runners that are up.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.fleet.workers()
    }

    /// A runner crashes for good: its port is closed, and what ran on it is gone.
    pub fn crash_worker(&self, id: &str) {
        self.fleet.crash(id);
    }
}

impl Deployment {
    /// A runner crashes and is back under the same id.
    pub fn restart_worker(&self, id: &str, down: Duration) {
        self.fleet.restart(id, down);
    }
}

fn end(mut child: Child) {
    RUNNING.lock().expect("lock").retain(|id| *id != child.id());
    let _ = child.kill();
    let _ = child.wait();
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.fleet.stop();
        for daemon in &mut self.daemons {
            if let Some(child) = daemon.child.take() {
                end(child);
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
