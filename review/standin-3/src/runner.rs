//! Runners. A runner is one life of a machine; it runs work units, holds leases and checks fence numbers.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server};
use crate::json::Json;
use crate::record::{Record, wall_ms};

/// Time that a runner takes to stop a work unit.
const STOP_TAKES_MS: u64 = 100;
/// Startup of a work unit that lasts.
const STARTUP_MS: u64 = 200;
/// Longest lease.
const MAX_HOLD_MS: u64 = 10_000;

struct Run {
    task: String,
    number: u64,
    /// On the runner's clock.
    started_ms: u64,
    ends_ms: u64,
    end: &'static str,
    lasts: bool,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_ms: u64,
    runs: Vec<Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    sequence: u64,
    closed: BTreeMap<String, u64>,
    /// Everything that runs or starts fails.
    fails: bool,
    /// Cut off: nothing is heard or answered.
    is_cut: bool,
    is_over: bool,
}

/// A runner.
pub struct Runner {
    pub id: String,
    pub machine: String,
    pub born: u64,
    began: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
    server: Mutex<Option<Server>>,
}

impl Runner {
    pub fn start(id: &str, machine: &str, record: &Record) -> Arc<Self> {
        Self::start_at(0, id, machine, record)
    }

    /// Starts a runner at a port, once it is free.
    pub fn start_at(port: u16, id: &str, machine: &str, record: &Record) -> Arc<Self> {
        let runner = Arc::new(Self {
            id: id.to_owned(),
            machine: machine.to_owned(),
            born: wall_ms(),
            began: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record: record.clone(),
            server: Mutex::new(None),
        });
        let handler = Arc::clone(&runner);
        let server = Server::start_at(port, move |request| handler.handle(&request));
        *runner.server.lock().expect("no panic") = Some(server);
        let clock = Arc::clone(&runner);
        thread::spawn(move || {
            while !clock.locked().is_over {
                clock.advance();
                thread::sleep(Duration::from_millis(5));
            }
        });
        runner.record.note(&format!("runner {id} on {machine} begins"));
        runner
    }

    /// Cuts the runner off, or ends that. What runs on it goes on.
    pub fn set_cut(&self, is_cut: bool) {
        self.record.note(&format!("runner {} is cut off: {is_cut}", self.id));
        self.locked().is_cut = is_cut;
    }

    pub fn address(&self) -> String {
        let server = self.server.lock().unwrap_or_else(PoisonError::into_inner);
        server.as_ref().map_or(String::new(), |server| server.address.to_string())
    }

    /// Ends the process: everything that runs on it, its listener and its connections.
    pub fn crash(&self) {
        let mut state = self.locked();
        state.is_over = true;
        for run in state.runs.drain(..) {
            self.record.note(&format!("runner {} crashes with {} run {}", self.id, run.task, run.number));
        }
        drop(state);
        self.record.note(&format!("runner {} ends", self.id));
        if let Some(server) = &*self.server.lock().unwrap_or_else(PoisonError::into_inner) {
            server.close();
        }
        self.changed.notify_all();
    }

    /// Begins or ends a time in which everything that it runs fails.
    pub fn set_failing(&self, fails: bool) {
        self.record.note(&format!("runner {} fails all: {fails}", self.id));
        self.locked().fails = fails;
        if fails {
            self.fail_all();
        }
    }

    /// Lets what runs on it fail once.
    pub fn fail_all(&self) {
        let now_ms = self.clock_ms();
        for run in &mut self.locked().runs {
            (run.ends_ms, run.end) = (now_ms, "failed");
        }
        self.advance();
    }

    /// Whether a run of the work unit is active.
    pub fn runs(&self, task: &str) -> bool {
        self.locked().runs.iter().any(|run| run.task == task)
    }

    /// Whether a run of the work unit that lasts is at work.
    pub fn is_at_work(&self, task: &str) -> bool {
        let now_ms = self.clock_ms();
        let state = self.locked();
        let mut runs = state.runs.iter();
        runs.any(|run| run.task == task && run.percent(now_ms) == 100)
    }

    /// Number of active runs.
    pub fn run_count(&self) -> usize {
        self.locked().runs.len()
    }

    fn locked(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1_000
    }

    fn advance(&self) {
        let now_ms = self.clock_ms();
        let mut state = self.locked();
        let lease_ms = state.lease_ms;
        let runs = std::mem::take(&mut state.runs);
        let mut has_ended = false;
        for run in runs {
            if run.ends_ms.min(lease_ms) > now_ms {
                state.runs.push(run);
                continue;
            }
            let end = if run.ends_ms <= lease_ms { run.end } else { "lapsed" };
            has_ended = true;
            state.sequence += 1;
            let sequence = state.sequence;
            state.close(&run.task, run.number);
            self.record.note(&format!("{} run {} ends {end} on {}", run.task, run.number, self.id));
            state.ends.push((sequence, run.task, run.number, end));
        }
        drop(state);
        if has_ended {
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        if request.header("x-expect-instance") != self.id {
            return Some((421, Json::map(vec![])));
        }
        let body = &request.body;
        let mut state = self.locked();
        if state.is_over || state.is_cut {
            return None;
        }
        let fence = body.get("fencing_token").number().unwrap_or(0);
        if fence < state.fence {
            return Some(self.refusal("fence"));
        }
        state.fence = fence;
        match request.path.as_str() {
            "/run-start" => Some(self.start_run(&mut state, body)),
            "/run-stop" => Some(self.stop_run(&mut state, body)),
            "/pace" => Some((200, self.clock())),
            "/hold" => {
                drop(state);
                let answer = self.hold(body);
                // An answer that is due while the runner is cut off is lost.
                (!self.locked().is_cut).then_some(answer)
            }
            _ => Some((404, Json::map(vec![]))),
        }
    }

    fn clock(&self) -> Json {
        Json::map(vec![("clock_ms", self.clock_ms().into()), ("born", self.born.into())])
    }

    fn refusal(&self, reason: &str) -> (u16, Json) {
        let fields = vec![("clock_ms", self.clock_ms().into()), ("reason", reason.into())];
        (409, Json::map(fields))
    }

    fn start_run(&self, state: &mut State, body: &Json) -> (u16, Json) {
        let (task, number) = (body.get("task").text(), body.get("run").number().unwrap_or(0));
        let now_ms = self.clock_ms();
        let deadline_ms = body.get("deadline_ms").number().unwrap_or(0);
        state.prolong(deadline_ms, now_ms);
        if state.runs.iter().any(|run| run.task == task && run.number == number) {
            return (200, self.clock());
        }
        if state.closed.get(task).is_some_and(|closed| *closed >= number) {
            return self.refusal("old");
        }
        if deadline_ms <= now_ms {
            return self.refusal("late");
        }
        let spec = body.get("spec").text();
        let run_ms = run_ms(spec);
        self.record.note(&format!("{task} run {number} starts on {}, fence {}", self.id, state.fence));
        // A work unit on a runner that fails everything ends soon after its start.
        let (ends_ms, end) = match run_ms {
            _ if state.fails => (now_ms + 30, "failed"),
            Some(run_ms) => (now_ms + run_ms, "done"),
            None => (u64::MAX, "done"),
        };
        state.runs.push(Run {
            task: task.to_owned(),
            number,
            started_ms: now_ms,
            ends_ms,
            end,
            lasts: run_ms.is_none(),
        });
        (200, self.clock())
    }

    fn stop_run(&self, state: &mut State, body: &Json) -> (u16, Json) {
        let (task, number) = (body.get("task").text(), body.get("run").number().unwrap_or(0));
        self.record.note(&format!("{task} run {number} is to stop on {}", self.id));
        let ends_ms = self.clock_ms() + STOP_TAKES_MS;
        state.close(task, number);
        for run in &mut state.runs {
            if run.task == task && run.number == number && run.ends_ms > ends_ms {
                (run.ends_ms, run.end) = (ends_ms, "stopped");
            }
        }
        (200, self.clock())
    }

    fn hold(&self, body: &Json) -> (u16, Json) {
        let wait_ms = body.get("wait_ms").number().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let cursor = body.get("ack_cursor").number().unwrap_or(0);
        let mut state = self.locked();
        if let Some(deadline_ms) = body.get("deadline_ms").number() {
            state.prolong(deadline_ms, self.clock_ms());
        }
        for (_, task, number, end) in state.ends.iter().filter(|end| end.0 <= cursor) {
            self.record.note(&format!("{task} run {number} end {end} on {} is taken note of", self.id));
        }
        state.ends.retain(|end| end.0 > cursor);
        while state.ends.is_empty() && !state.is_over && Instant::now() < until {
            let wait = until.saturating_duration_since(Instant::now());
            let waited = self.changed.wait_timeout(state, wait);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let now_ms = self.clock_ms();
        let running = state.runs.iter().map(|run| {
            Json::List(vec![
                run.task.as_str().into(),
                run.number.into(),
                "".into(),
                run.percent(now_ms).into(),
                0.into(),
            ])
        });
        let running = running.collect();
        let ended = state.ends.iter().take(500).map(|(sequence, task, number, end)| {
            let row = vec![(*sequence).into(), task.as_str().into(), (*number).into(), (*end).into(), "".into()];
            Json::List(row)
        });
        let fields = vec![
            ("clock_ms", now_ms.into()),
            ("born", self.born.into()),
            ("running", Json::List(running)),
            ("ended_runs", Json::List(ended.collect())),
        ];
        (200, Json::map(fields))
    }
}

/// Time that a work unit takes by the text of its job: a fixed one, or until a time of day. `None` if it lasts.
fn run_ms(spec: &str) -> Option<u64> {
    let (word, number) = spec.split_once('=')?;
    let number: u64 = number.parse().ok()?;
    Some(if word == "until_ms" { number.saturating_sub(wall_ms()).max(50) } else { number })
}

impl State {
    fn prolong(&mut self, deadline_ms: u64, now_ms: u64) {
        self.lease_ms = self.lease_ms.max(deadline_ms.min(now_ms + MAX_HOLD_MS));
    }

    fn close(&mut self, task: &str, number: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(number);
    }
}

impl Run {
    fn percent(&self, now_ms: u64) -> u64 {
        let ran_ms = now_ms.saturating_sub(self.started_ms);
        let whole_ms = if self.lasts { STARTUP_MS } else { self.ends_ms.saturating_sub(self.started_ms) };
        (ran_ms * 100 / whole_ms.max(1)).min(100)
    }
}
