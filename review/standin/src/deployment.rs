//! A small deployment: the daemons as processes of their own, and stand-ins of the platform and its runners.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Server};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Plan, Worker};

const PROGRAM: &str = "target/release/rosemaryscaled";
const HOST: &str = "jobs.example";
/// Interval at which a runner writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time that a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

struct Daemon {
    name: String,
    caller: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

struct Runner {
    worker: Arc<Worker>,
    server: Mutex<Option<Server>>,
    address: SocketAddr,
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    daemons: Vec<Daemon>,
    runners: Vec<Arc<Runner>>,
    folder: PathBuf,
    is_over: Arc<AtomicBool>,
    _platform: Server,
    _cloud: Server,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound")
}

/// The manifest: one queue `/q/` on the service `quotes`.
fn manifest(max_attempts: u32) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"q\",\"host\":\"{HOST}\",\"prefix\":\"/q/\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":2500,\"priority\":0,\"service\":\"quotes\",\"max_attempts\":{max_attempts},\"stretch\":2.2}}],\"services\":[{{\"name\":\"quotes\",\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_check\":false,\"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

impl Deployment {
    /// Starts the platform, the runners and three daemons. `None` if it does not become ready.
    pub fn start(plans: Vec<Plan>, max_attempts: u32) -> Option<Self> {
        let record = Arc::new(Record::new());
        let store = Arc::new(Store::default());
        store.put("op/config", &manifest(max_attempts));
        let platform = {
            let store = Arc::clone(&store);
            Server::start(0, move |request| store.handle(request))
        };
        let runners: Vec<Arc<Runner>> = plans
            .into_iter()
            .map(|plan| {
                let worker = Worker::new(plan, Arc::clone(&record));
                let server = worker.listen(0);
                Arc::new(Runner {
                    worker,
                    address: server.address,
                    server: Mutex::new(Some(server)),
                })
            })
            .collect();
        let cloud = {
            let runners = runners.clone();
            Server::start(0, move |request| match request.path.as_str() {
                "/machines" => {
                    let rows: Vec<String> =
                        runners.iter().map(|runner| runner.worker.machine_row()).collect();
                    let text = format!("{{\"machines\":[{}],\"next_page_token\":null}}", rows.join(","));
                    Some((200, text))
                }
                _ => Some((409, "{\"reason\":\"busy\"}".into())),
            })
        };
        let is_over = Arc::new(AtomicBool::new(false));
        for runner in &runners {
            beat(Arc::clone(runner), Arc::clone(&store), Arc::clone(&is_over));
        }
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut deployment = Self {
            record,
            store,
            daemons: Vec::new(),
            runners,
            folder,
            is_over,
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
        daemon.child = Some(child);
        self.record.note(&format!("daemon {} is started", daemon.name));
        Some(())
    }

    /// Ends a daemon by SIGKILL.
    pub fn kill_daemon(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if let Some(mut child) = daemon.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&format!("daemon {} is killed", daemon.name));
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
        let up = self.daemons.iter().filter(|daemon| daemon.child.is_some());
        for daemon in up {
            let answer = http::call(daemon.caller, (method, path, HOST), body, CLIENT_TIMEOUT);
            if let Some((status, text)) = answer {
                self.record.note(&format!("client {method} {path} at {}: {status} {text}", daemon.name));
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

    pub fn worker(&self, index: usize) -> &Worker {
        &self.runners[index].worker
    }

    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.runners.iter().map(|runner| &*runner.worker)
    }

    /// A runner crashes: its port is closed, and what ran on it is gone.
    pub fn crash_worker(&self, index: usize) {
        let runner = &self.runners[index];
        runner.worker.crash();
        if let Some(server) = runner.server.lock().expect("lock").take() {
            server.stop();
        }
    }

    /// The runner starts again at its address.
    pub fn restart_worker(&self, index: usize) {
        let runner = &self.runners[index];
        runner.worker.restart();
        let server = runner.worker.listen(runner.address.port());
        *runner.server.lock().expect("lock") = Some(server);
        write_entry(runner, &self.store, 0);
    }

    /// Last lines of the daemons' logs that contain one of these texts.
    pub fn log_lines(&self, texts: &[&str]) -> BTreeMap<String, Vec<String>> {
        let lines = self.daemons.iter().map(|daemon| {
            let path = self.folder.join(format!("{}.log", daemon.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            let lines = text
                .lines()
                .filter(|line| texts.iter().any(|text| line.contains(text)))
                .map(ToOwned::to_owned)
                .collect();
            (daemon.name.clone(), lines)
        });
        lines.collect()
    }
}

fn write_entry(runner: &Runner, store: &Store, sequence: u64) {
    let key = format!("servers/{}", runner.worker.plan.id);
    let entry = runner.worker.entry(&runner.address.to_string(), sequence);
    store.put(&key, &entry);
}

/// Writes a runner's entry again and again, and removes it after three intervals of silence.
fn beat(runner: Arc<Runner>, store: Arc<Store>, is_over: Arc<AtomicBool>) {
    write_entry(&runner, &store, 1);
    std::thread::spawn(move || {
        let (mut sequence, mut silent) = (1, 0);
        while !is_over.load(Ordering::SeqCst) {
            std::thread::sleep(HEARTBEAT);
            sequence += 1;
            if runner.worker.is_up() {
                silent = 0;
                write_entry(&runner, &store, sequence);
                continue;
            }
            silent += 1;
            if silent == 3 {
                store.remove(&format!("servers/{}", runner.worker.plan.id));
            }
        }
    });
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for daemon in &mut self.daemons {
            if let Some(mut child) = daemon.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
