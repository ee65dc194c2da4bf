//! A runner: it runs work units for the time that their spec tells, holds a lease, and keeps ends until they are
//! acknowledged.
//!
//! The spec is a JSON list with an object for each step: `ms` the time of a unit, `cpu` what it takes, `lasts`
//! whether it runs until it is stopped.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Handler, Reply, Request, Server};
use crate::locked;
use crate::record::Recorder;
use crate::store::Store;

/// The bounds `stop_grace_ms` and `max_hold_ms` of the deployment.
pub const STOP_GRACE_MS: u64 = 200;
pub const HOLD_MAX_MS: u64 = 10_000;
/// `heartbeat_ms` of the deployment.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time that a runner takes to stop a run.
const STOP_TIME_MS: u64 = 60;
/// Ends that a reply lists at most.
const ENDS_LISTED: usize = 500;
/// Time from the start of a unit until a runner that fails all units fails it.
const FAILS_AFTER_MS: u64 = 300;
/// Time from the start of a unit that lasts until it is at work.
const STARTUP_MS: u64 = 700;

struct Run {
    task: String,
    run: u64,
    started_ms: u64,
    /// When it ends by itself; units that last do not.
    done_ms: Option<u64>,
    stop_ms: Option<u64>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    is_up: bool,
    /// Whether no request is answered.
    is_dark: bool,
    /// Whether it is unhealthy and refuses starts, of which it has then done nothing.
    is_busy: bool,
    /// Whether it fails all that it runs.
    is_failing: bool,
    process: String,
    born_ms: u64,
    booted: Instant,
    fence: u64,
    lease_ms: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_number: u64,
    closed: HashMap<String, u64>,
    /// `ack_cursor` of the poll that waits for its answer; 0 if there is none.
    open_cursor: u64,
    beats: u64,
}

/// What a runner is.
#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub rack: String,
    /// Label of its kind.
    pub label: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// A runner on a machine.
pub struct Runner {
    pub kind: Kind,
    state: Mutex<State>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    store: Arc<Store>,
    recorder: Arc<Recorder>,
}

/// The server holds the runner weakly, so that the runner can own its server.
struct Endpoint(Weak<Runner>);

impl Handler for Endpoint {
    fn handle(&self, request: &Request) -> Reply {
        self.0
            .upgrade()
            .map_or(Reply::Close, |runner| runner.answer(request))
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as u64)
}

impl Runner {
    pub fn start(
        kind: Kind,
        store: &Arc<Store>,
        recorder: &Arc<Recorder>,
    ) -> std::io::Result<Arc<Self>> {
        let runner = Arc::new(Self {
            state: Mutex::new(State::new(&kind.id, 1)),
            kind,
            changed: Condvar::new(),
            server: Mutex::new(None),
            store: Arc::clone(store),
            recorder: Arc::clone(recorder),
        });
        let server = Server::start(Arc::new(Endpoint(Arc::downgrade(&runner))))?;
        *locked(&runner.server) = Some(server);
        runner.write_entry();
        let ticking = Arc::clone(&runner);
        thread::spawn(move || {
            let mut next_beat = Instant::now() + HEARTBEAT;
            loop {
                thread::sleep(Duration::from_millis(2));
                ticking.advance();
                if Instant::now() >= next_beat {
                    next_beat = Instant::now() + HEARTBEAT;
                    ticking.write_entry();
                }
            }
        });
        Ok(runner)
    }

    pub fn address(&self) -> Option<SocketAddr> {
        locked(&self.server).as_ref().map(|server| server.address)
    }

    pub fn is_up(&self) -> bool {
        locked(&self.state).is_up
    }

    /// Ends that wait for their acknowledgement.
    pub fn kept_ends(&self) -> usize {
        locked(&self.state).ends.len()
    }

    fn write_entry(&self) {
        let entry = {
            let mut state = locked(&self.state);
            if !state.is_up || state.is_dark {
                return;
            }
            state.beats += 1;
            let address = self.address().map(|address| address.to_string());
            json!({"service": self.kind.service, "address": address, "zone": "z-1", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": state.beats,
                "capacity": {"cpu": self.kind.cpu, "mem_mb": self.kind.mem_mb, "gpu": 0},
                "labels": [self.kind.label, self.kind.rack], "machine": self.kind.machine,
                "born": state.born_ms, "clock_ms": state.clock_ms()})
        };
        self.store.put(&format!("servers/{}", self.kind.id), &entry);
    }

    /// Whether a poll that acknowledges ends waits for its answer.
    pub fn has_acknowledging_poll(&self) -> bool {
        locked(&self.state).open_cursor > 0
    }

    /// Makes the runner unhealthy, so that it refuses starts, or sound again.
    pub fn set_busy(&self, is_busy: bool) {
        locked(&self.state).is_busy = is_busy;
    }

    /// Makes the runner fail all that it runs, or sound again.
    pub fn set_failing(&self, is_failing: bool) {
        locked(&self.state).is_failing = is_failing;
    }

    /// Loses power: the process ends, and its connections go silent without a reset.
    pub fn lose_power(&self) {
        let mut state = locked(&self.state);
        state.is_up = false;
        state.is_dark = true;
        let process = state.process.clone();
        for run in state.runs.drain(..) {
            self.recorder
                .run_ended(&run.task, run.run, &process, "gone");
        }
        state.ends.clear();
        self.recorder.note(format!("{process} loses power"));
        drop(state);
        self.changed.notify_all();
    }

    /// Starts the next process under the same id and address, after the power was lost.
    pub fn power_on(&self) {
        self.begin_process();
        self.write_entry();
    }

    fn begin_process(&self) {
        let mut state = locked(&self.state);
        let lifetime = state
            .process
            .rsplit('/')
            .next()
            .and_then(|text| text.parse().ok());
        *state = State::new(&self.kind.id, lifetime.unwrap_or(1_u64) + 1);
        self.recorder.note(format!("{} starts", state.process));
    }

    fn advance(&self) {
        let mut state = locked(&self.state);
        if state.is_up && state.advance(&self.recorder) {
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        let mut state = locked(&self.state);
        if state.is_dark {
            return Reply::Silent;
        }
        if !state.is_up {
            return Reply::Close;
        }
        state.advance(&self.recorder);
        let clock_ms = state.clock_ms();
        let addressee = request.headers.get("x-expect-instance");
        if addressee.is_some_and(|id| *id != self.kind.id) {
            return Reply::Json(421, json!({"clock_ms": clock_ms}));
        }
        let body = &request.body;
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return Reply::Json(409, json!({"clock_ms": clock_ms, "reason": "fence"}));
        }
        state.fence = fence;
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0);
        match request.path.as_str() {
            "/run-start" if state.is_busy => {
                self.recorder.note(format!(
                    "{} refuses to start {task} #{run} with 503",
                    self.kind.id
                ));
                Reply::Json(503, json!({"clock_ms": clock_ms}))
            }
            "/run-start" => state.start(task, run, body, &self.recorder),
            "/run-stop" => {
                state.stop(task, run);
                Reply::Json(200, json!({"clock_ms": clock_ms}))
            }
            "/pace" => Reply::Json(200, json!({"clock_ms": clock_ms})),
            "/hold" => {
                state.prolong(body);
                state.acknowledge(body["ack_cursor"].as_u64().unwrap_or(0), &self.recorder);
                let wait_ms = body["wait_ms"].as_u64().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                let process = state.process.clone();
                state.open_cursor = body["ack_cursor"].as_u64().unwrap_or(0);
                loop {
                    // A poll that was open when the power was lost is never answered.
                    if !state.is_up || state.process != process {
                        return Reply::Silent;
                    }
                    let now = Instant::now();
                    if !state.ends.is_empty() || now >= until {
                        state.open_cursor = 0;
                        return Reply::Json(200, state.listing());
                    }
                    state = match self.changed.wait_timeout(state, until - now) {
                        Ok((state, _)) => state,
                        Err(poisoned) => poisoned.into_inner().0,
                    };
                }
            }
            _ => Reply::Json(400, json!({"clock_ms": clock_ms})),
        }
    }
}

impl State {
    fn new(id: &str, lifetime: u64) -> Self {
        Self {
            is_up: true,
            is_dark: false,
            is_busy: false,
            is_failing: false,
            process: format!("{id}/{lifetime}"),
            born_ms: wall_ms(),
            booted: Instant::now(),
            fence: 0,
            lease_ms: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_number: 0,
            closed: HashMap::new(),
            open_cursor: 0,
            beats: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.booted.elapsed().as_millis() as u64
    }

    fn start(&mut self, task: &str, run: u64, body: &Value, recorder: &Recorder) -> Reply {
        let clock_ms = self.clock_ms();
        let refused =
            |reason: &str| Reply::Json(409, json!({"clock_ms": clock_ms, "reason": reason}));
        if self
            .runs
            .iter()
            .any(|other| other.task == task && other.run == run)
        {
            self.prolong(body);
            return Reply::Json(200, json!({"clock_ms": clock_ms}));
        }
        if self.closed.get(task).is_some_and(|closed| *closed >= run) {
            self.prolong(body);
            return refused("old");
        }
        if body["deadline_ms"].as_u64().unwrap_or(0) <= clock_ms {
            return refused("late");
        }
        self.prolong(body);
        let spec: Value =
            serde_json::from_str(body["spec"].as_str().unwrap_or("")).unwrap_or(Value::Null);
        let step = task
            .split('.')
            .nth(2)
            .and_then(|text| text.parse::<usize>().ok());
        let step = &spec[step.unwrap_or(0)];
        let lasts = step["lasts"].as_bool().unwrap_or(false);
        let work_ms = step["ms"].as_u64().unwrap_or(0);
        recorder.run_started(task, run, &self.process);
        self.runs.push(Run {
            task: task.to_owned(),
            run,
            started_ms: clock_ms,
            done_ms: (!lasts).then_some(clock_ms + work_ms),
            stop_ms: None,
        });
        Reply::Json(200, json!({"clock_ms": clock_ms}))
    }

    fn stop(&mut self, task: &str, run: u64) {
        let stop_ms = self.clock_ms() + STOP_TIME_MS;
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run);
        for stopped in self
            .runs
            .iter_mut()
            .filter(|other| other.task == task && other.run == run)
        {
            stopped.stop_ms.get_or_insert(stop_ms);
        }
    }

    fn prolong(&mut self, body: &Value) {
        if let Some(deadline_ms) = body["deadline_ms"].as_u64() {
            let longest_ms = self.clock_ms() + HOLD_MAX_MS;
            self.lease_ms = self.lease_ms.max(deadline_ms.min(longest_ms));
        }
    }

    fn acknowledge(&mut self, cursor: u64, recorder: &Recorder) {
        let process = self.process.clone();
        self.ends.retain(|end| {
            if end.number <= cursor {
                recorder.run_acknowledged(&end.task, end.run, &process);
            }
            end.number > cursor
        });
    }

    /// Ends what is over. Returns whether anything was.
    fn advance(&mut self, recorder: &Recorder) -> bool {
        let (now_ms, lease_ms) = (self.clock_ms(), self.lease_ms);
        let is_failing = self.is_failing;
        let end_of = |run: &Run| {
            let ends = [
                (
                    is_failing.then_some(run.started_ms + FAILS_AFTER_MS),
                    "failed",
                ),
                (run.done_ms, "done"),
                (run.stop_ms, "stopped"),
                (Some(lease_ms), "lapsed"),
            ];
            let ends = ends
                .into_iter()
                .filter_map(|(at_ms, how)| Some((at_ms?, how)));
            ends.min_by_key(|(at_ms, _)| *at_ms)
                .filter(|(at_ms, _)| *at_ms <= now_ms)
        };
        let mut over: Vec<(u64, &'static str, String, u64)> = Vec::new();
        self.runs.retain(|run| match end_of(run) {
            Some((at_ms, how)) => {
                over.push((at_ms, how, run.task.clone(), run.run));
                false
            }
            None => true,
        });
        over.sort();
        let is_changed = !over.is_empty();
        for (_, how, task, run) in over {
            recorder.run_ended(&task, run, &self.process, how);
            let closed = self.closed.entry(task.clone()).or_default();
            *closed = (*closed).max(run);
            self.last_number += 1;
            self.ends.push(End {
                number: self.last_number,
                task,
                run,
                how,
            });
        }
        is_changed
    }

    fn listing(&self) -> Value {
        let now_ms = self.clock_ms();
        let percent = |run: &Run| {
            let age_ms = now_ms.saturating_sub(run.started_ms);
            match run.done_ms {
                Some(done_ms) => age_ms * 100 / (done_ms - run.started_ms).max(1),
                None => (age_ms * 100 / STARTUP_MS).min(100),
            }
        };
        let running = self
            .runs
            .iter()
            .map(|run| json!([run.task, run.run, "", percent(run), 0]));
        let ends = self.ends.iter().take(ENDS_LISTED);
        let ends = ends.map(|end| json!([end.number, end.task, end.run, end.how, ""]));
        json!({"clock_ms": now_ms, "born": self.born_ms,
            "running": running.collect::<Vec<_>>(), "ended_runs": ends.collect::<Vec<_>>()})
    }
}
