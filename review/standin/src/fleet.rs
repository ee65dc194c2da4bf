//! The machines and their runners, and the platform's calls about machines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crate::http::{Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Plan, Worker};

/// The pool whose machines are off.
pub const SPARE_POOL: &str = "backoffice";
/// Interval at which a runner writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time of a move.
const MOVE: Duration = Duration::from_millis(1_500);

struct Runner {
    worker: Arc<Worker>,
    server: Server,
    address: SocketAddr,
}

struct Machine {
    /// What its runners are; the pool is that of the machine.
    plan: Plan,
    pool: String,
    state: &'static str,
    runner: Option<Runner>,
    /// Highest fence number of a call about it.
    fence: u64,
}

pub struct Fleet {
    machines: Mutex<BTreeMap<String, Machine>>,
    store: Arc<Store>,
    record: Arc<Record>,
    is_over: AtomicBool,
    next_id: Mutex<u32>,
}

impl Fleet {
    pub fn start(
        plans: Vec<Plan>,
        spares: usize,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let fleet = Arc::new(Self {
            machines: Mutex::default(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            is_over: AtomicBool::new(false),
            next_id: Mutex::new(0),
        });
        let used = plans.len();
        for index in 0..used + spares {
            let mut plan = plans[index % used].clone();
            let name = format!("m-{index:04x}");
            plan.machine.clone_from(&name);
            let is_used = index < used;
            let machine = Machine {
                pool: if is_used {
                    plan.service.clone()
                } else {
                    SPARE_POOL.to_owned()
                },
                plan,
                state: "up",
                runner: None,
                fence: 0,
            };
            fleet.machines().insert(name.clone(), machine);
            if is_used {
                fleet.start_runner(&name);
            }
        }
        beat(&fleet);
        fleet
    }

    fn machines(&self) -> MutexGuard<'_, BTreeMap<String, Machine>> {
        self.machines.lock().expect("lock")
    }

    /// A new runner joins the pool of the machine.
    fn start_runner(&self, name: &str) {
        let id = {
            let mut next_id = self.next_id.lock().expect("lock");
            *next_id += 1;
            format!("i-{next_id:08x}", next_id = *next_id)
        };
        let mut machines = self.machines();
        let Some(machine) = machines.get_mut(name) else {
            return;
        };
        let plan = Plan {
            id,
            service: machine.pool.clone(),
            ..machine.plan.clone()
        };
        self.record.note(&format!(
            "runner {} starts on {name} for {}",
            plan.id, plan.service
        ));
        let worker = Worker::new(plan, Arc::clone(&self.record));
        let server = worker.listen(0);
        let runner = Runner {
            address: server.address,
            worker,
            server,
        };
        write_entry(&runner, &self.store, 1);
        machine.runner = Some(runner);
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let machines = self.machines();
        let runners = machines
            .values()
            .filter_map(|machine| machine.runner.as_ref());
        runners.map(|runner| Arc::clone(&runner.worker)).collect()
    }

    pub fn crash(&self, id: &str) {
        let mut machines = self.machines();
        let is_on = |machine: &&mut Machine| {
            machine
                .runner
                .as_ref()
                .is_some_and(|runner| runner.worker.plan.id == id)
        };
        if let Some(machine) = machines.values_mut().find(is_on) {
            machine.state = "down";
            end_runner(machine, &self.store, "crashed");
        }
    }

    /// A runner crashes, and starts again under the same id and at the same address. It is in the store a little
    /// later.
    pub fn restart(&self, id: &str, down: Duration) {
        let is_on = |machine: &&mut Machine| {
            machine
                .runner
                .as_ref()
                .is_some_and(|runner| runner.worker.plan.id == id)
        };
        let Some(mut runner) = self
            .machines()
            .values_mut()
            .find(is_on)
            .and_then(|m| m.runner.take())
        else {
            return;
        };
        runner.worker.end("crashed");
        runner.server.stop();
        std::thread::sleep(down);
        runner.worker.begin_again();
        runner.server = runner.worker.listen(runner.address.port());
        let name = runner.worker.plan.machine.clone();
        if let Some(machine) = self.machines().get_mut(&name) {
            machine.runner = Some(runner);
        }
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    pub fn handle(self: &Arc<Self>, request: &Request) -> (u16, String) {
        match request.path.as_str() {
            "/machines" => {
                let machines = self.machines();
                let rows: Vec<String> = machines.values().map(Machine::row).collect();
                let text = format!(
                    "{{\"machines\":[{}],\"next_page_token\":null}}",
                    rows.join(",")
                );
                (200, text)
            }
            "/machine-move" => self.move_machine(request),
            _ => (400, "{}".into()),
        }
    }

    fn move_machine(self: &Arc<Self>, request: &Request) -> (u16, String) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (name, pool) = (body.get("machine").text(), body.get("pool").text());
        let header = |name: &str| request.headers.get(name).map_or("", String::as_str);
        let holder = header("x-duty-holder");
        let fence: u64 = header("x-fencing-token").parse().unwrap_or(0);
        let mut machines = self.machines();
        let Some(machine) = machines.get_mut(name) else {
            return (400, "{}".into());
        };
        let refused = |reason: &str| (409, format!("{{\"reason\":\"{reason}\"}}"));
        let answer = if fence < machine.fence {
            refused("fence")
        } else {
            machine.fence = fence;
            if machine.pool == pool && machine.state != "down" {
                (200, "{}".into())
            } else if machine.state != "up" {
                refused("busy")
            } else {
                end_runner(machine, &self.store, "moved");
                machine.pool = pool.to_owned();
                machine.state = "moving";
                let (fleet, name) = (Arc::clone(self), name.to_owned());
                std::thread::spawn(move || fleet.finish_move(&name));
                (200, "{}".into())
            }
        };
        self.record.note(&format!(
            "{holder} with fence {fence} moves {name} to {pool}: {} {}",
            answer.0, answer.1
        ));
        answer
    }

    fn finish_move(&self, name: &str) {
        std::thread::sleep(MOVE);
        let is_on = {
            let mut machines = self.machines();
            let Some(machine) = machines.get_mut(name) else {
                return;
            };
            machine.state = "up";
            machine.pool != SPARE_POOL
        };
        if is_on {
            self.start_runner(name);
        }
    }
}

impl Machine {
    fn row(&self) -> String {
        let labels: Vec<String> = self.plan.labels.iter().map(|label| quote(label)).collect();
        let id = self.runner.as_ref().map_or_else(String::new, |runner| {
            format!(",\"id\":{}", quote(&runner.worker.plan.id))
        });
        format!(
            "{{\"machine\":{},\"pool\":{},\"state\":\"{}\",\"zone\":\"za\",\"labels\":[{}],\"capacity\":{}{id}}}",
            quote(&self.plan.machine),
            quote(&self.pool),
            self.state,
            labels.join(","),
            self.plan.capacity(),
        )
    }
}

/// Ends the runner of a machine, and removes its entry.
fn end_runner(machine: &mut Machine, store: &Store, how: &str) {
    if let Some(runner) = machine.runner.take() {
        runner.worker.end(how);
        runner.server.stop();
        if how == "moved" {
            store.remove(&format!("servers/{}", runner.worker.plan.id));
        }
    }
}

fn write_entry(runner: &Runner, store: &Store, sequence: u64) {
    let key = format!("servers/{}", runner.worker.plan.id);
    let entry = runner.worker.entry(&runner.address.to_string(), sequence);
    store.put(&key, &entry);
}

/// Writes the entries of all runners again and again, and removes those of runners that have been silent for three
/// intervals.
fn beat(fleet: &Arc<Fleet>) {
    let fleet = Arc::clone(fleet);
    std::thread::spawn(move || {
        let mut silent: BTreeMap<String, u32> = BTreeMap::new();
        let mut sequence = 1;
        while !fleet.is_over.load(Ordering::SeqCst) {
            std::thread::sleep(HEARTBEAT);
            sequence += 1;
            for intervals in silent.values_mut() {
                *intervals += 1;
            }
            for machine in fleet.machines().values() {
                if let Some(runner) = &machine.runner {
                    write_entry(runner, &fleet.store, sequence);
                    silent.insert(runner.worker.plan.id.clone(), 0);
                }
            }
            for (id, _) in silent.iter().filter(|(_, intervals)| **intervals == 3) {
                fleet.store.remove(&format!("servers/{id}"));
            }
        }
    });
}
