//! The platform: its store, its list of machines, and the machines with their runners.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::http::{Answer, Request, Server};
use crate::json::Json;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;

/// Interval at which runners write their entries.
const HEARTBEAT_MS: u64 = 1_500;

/// Size of each machine.
#[derive(Clone, Copy)]
pub struct Room {
    pub cpu: u64,
    pub mem_mb: u64,
}

struct Machine {
    lives: u64,
    runner: Option<Arc<Runner>>,
}

/// The platform with one pool of machines.
pub struct Platform {
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    pub machines_address: SocketAddr,
    pool: String,
    room: Room,
    machines: Mutex<BTreeMap<String, Machine>>,
    record: Record,
    is_over: AtomicBool,
}

impl Platform {
    /// Starts the platform with a pool of machines, each with a runner.
    pub fn start(pool: &str, machines: usize, room: Room, record: &Record) -> Arc<Self> {
        let store = Store::start();
        let handler = Arc::clone(&store);
        let store_server = Server::start(move |request| handler.handle(&request));
        let slot: Arc<Mutex<Option<Arc<Self>>>> = Arc::default();
        let shown = Arc::clone(&slot);
        let list_server = Server::start(move |request| {
            let platform = shown.lock().unwrap_or_else(PoisonError::into_inner).clone();
            platform?.handle(&request)
        });
        let platform = Arc::new(Self {
            store,
            store_address: store_server.address,
            machines_address: list_server.address,
            pool: pool.to_owned(),
            room,
            machines: Mutex::default(),
            record: record.clone(),
            is_over: AtomicBool::new(false),
        });
        *slot.lock().expect("no panic") = Some(Arc::clone(&platform));
        for index in 0..machines {
            let name = format!("m-{index}");
            platform.locked().insert(name.clone(), Machine { lives: 0, runner: None });
            platform.begin_life(&name);
        }
        let heart = Arc::clone(&platform);
        thread::spawn(move || {
            let mut sequence = 1;
            while !heart.is_over.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
                sequence += 1;
                for runner in heart.runners() {
                    heart.write_entry(&runner, sequence);
                }
            }
        });
        platform
    }

    fn locked(&self) -> MutexGuard<'_, BTreeMap<String, Machine>> {
        self.machines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a new runner on a machine that has none.
    pub fn begin_life(&self, machine: &str) {
        let mut machines = self.locked();
        let Some(entry) = machines.get_mut(machine) else { return };
        entry.lives += 1;
        let runner = Runner::start(&format!("r{}-{machine}", entry.lives), machine, &self.record);
        entry.runner = Some(Arc::clone(&runner));
        drop(machines);
        self.write_entry(&runner, 1);
    }

    /// Crashes the runner of a machine; its next life begins after a time.
    pub fn crash(self: &Arc<Self>, machine: &str, down_ms: u64) {
        let Some(runner) = self.runner_on(machine) else { return };
        if let Some(entry) = self.locked().get_mut(machine) {
            entry.runner = None;
        }
        runner.crash();
        let platform = Arc::clone(self);
        let machine = machine.to_owned();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(down_ms));
            if !platform.is_over.load(Ordering::SeqCst) {
                platform.begin_life(&machine);
            }
            // The entry of the former life goes after three heartbeats of silence.
            thread::sleep(Duration::from_millis((3 * HEARTBEAT_MS).saturating_sub(down_ms)));
            platform.store.remove(&format!("servers/{}", runner.id));
        });
    }

    /// Crashes the runner of a machine and starts it again under its id, at its address. It writes its entry at its next check-in.
    pub fn restart_under_id(&self, machine: &str, down_ms: u64) {
        let Some(runner) = self.runner_on(machine) else { return };
        let port = runner.address().rsplit(':').next().and_then(|port| port.parse().ok()).unwrap_or(0);
        runner.crash();
        thread::sleep(Duration::from_millis(down_ms));
        let next = Runner::start_at(port, &runner.id, machine, &self.record);
        if let Some(entry) = self.locked().get_mut(machine) {
            entry.runner = Some(next);
        }
    }

    /// The runners that are up.
    pub fn runners(&self) -> Vec<Arc<Runner>> {
        self.locked().values().filter_map(|machine| machine.runner.clone()).collect()
    }

    pub fn runner_on(&self, machine: &str) -> Option<Arc<Runner>> {
        self.locked().get(machine)?.runner.clone()
    }

    /// The runner that runs a work unit.
    pub fn runner_of(&self, task: &str) -> Option<Arc<Runner>> {
        self.runners().into_iter().find(|runner| runner.runs(task))
    }

    /// Ends all runners.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        for runner in self.runners() {
            runner.crash();
        }
    }

    fn capacity(&self) -> Json {
        Json::map(vec![("cpu", self.room.cpu.into()), ("mem_mb", self.room.mem_mb.into()), ("gpu", 0.into())])
    }

    fn labels(machine: &str) -> Json {
        let index: usize = machine.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        Json::List(vec!["a".into(), format!("rack-{}", index / 4).into()])
    }

    fn write_entry(&self, runner: &Runner, sequence: u64) {
        let entry = Json::map(vec![
            ("service", self.pool.as_str().into()),
            ("address", runner.address().into()),
            ("zone", "khomas-0".into()),
            ("version", "1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("cold_remaining_ms", 0.into()),
            ("sequence", sequence.into()),
            ("machine", runner.machine.as_str().into()),
            ("capacity", self.capacity()),
            ("labels", Self::labels(&runner.machine)),
            ("born", runner.born.into()),
        ]);
        self.store.put(&format!("servers/{}", runner.id), &entry);
    }

    fn handle(&self, request: &Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machines") => {
                let machines = self.locked();
                let rows = machines.iter().map(|(name, machine)| {
                    let runner = machine.runner.as_ref();
                    Json::map(vec![
                        ("machine", name.as_str().into()),
                        ("pool", self.pool.as_str().into()),
                        ("state", if runner.is_some() { "up" } else { "down" }.into()),
                        ("zone", "khomas-0".into()),
                        ("labels", Self::labels(name)),
                        ("capacity", self.capacity()),
                        ("id", runner.map_or("", |runner| runner.id.as_str()).into()),
                    ])
                });
                let rows = rows.collect();
                let fields = vec![("machines", Json::List(rows)), ("next_page_token", "".into())];
                Some((200, Json::map(fields)))
            }
            // The only pool has all machines, and no upkeep is due.
            ("POST", _) => Some((409, Json::map(vec![("reason", "busy".into())]))),
            _ => Some((404, Json::map(vec![]))),
        }
    }
}
