//! A runner: it starts and stops work units on orders, under a lease, and lists what runs and what has ended.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;

/// Ends that an answer lists at most.
const ENDS_LISTED: usize = 500;
/// The `spec` of work units that last.
pub const LASTS: &str = "lasts";
/// Time until a work unit that lasts is at work.
pub const STARTUP_MS: u64 = 600;
/// Time after which a late order is carried out, and for which it then waits for an end that no answer has listed.
const LATE: Duration = Duration::from_millis(2_500);
/// Time that a stop takes.
const STOP_MS: u64 = 50;

/// What a runner is, and how the work units on it behave.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    pub max_hold_ms: u64,
    /// Mean duration of a work unit, unless its `spec` is [`LASTS`].
    pub task_ms: u64,
    /// Whether the durations differ, by up to a half.
    pub is_uneven: bool,
}

impl Plan {
    pub fn capacity(&self) -> String {
        format!(
            "{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}}",
            self.cpu, self.mem_mb
        )
    }
}

struct Run {
    number: u64,
    began: Instant,
    lasts: bool,
    task_ms: u64,
    stops_at: Option<Instant>,
}

struct End {
    sequence: u64,
    task: String,
    number: u64,
    how: &'static str,
}

struct State {
    born: Instant,
    born_wall_ms: u64,
    /// Highest fence number.
    fence: u64,
    /// End of the lease, on this runner's clock.
    deadline_ms: u64,
    running: BTreeMap<String, Run>,
    ends: Vec<End>,
    next_sequence: u64,
    starts: u64,
    acknowledged: u64,
    /// Newest end that an answer has listed.
    listed: u64,
    /// Highest run of a work unit that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    is_up: bool,
}

pub struct Worker {
    pub plan: Plan,
    /// Whether the next look with a cursor gets no answer and is carried out [`LATE`].
    delays_next_cursor: AtomicBool,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

pub fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Worker {
    pub fn new(plan: Plan, record: Arc<Record>) -> Arc<Self> {
        let worker = Arc::new(Self {
            plan,
            delays_next_cursor: AtomicBool::new(false),
            state: Mutex::new(State::new()),
            changed: Condvar::new(),
            record,
        });
        let clock = Arc::clone(&worker);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(2));
                drop(clock.state());
            }
        });
        worker
    }

    /// Opens the runner's port.
    pub fn listen(self: &Arc<Self>, port: u16) -> Server {
        let worker = Arc::clone(self);
        Server::start(port, move |request| {
            if worker.is_delayed(request) {
                let (worker, late) = (Arc::clone(&worker), request.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(LATE);
                    worker.wait_for_unlisted_end();
                    worker
                        .record
                        .note(&format!("{}: late {}", worker.plan.id, late.body));
                    let _ = worker.handle(&late);
                });
                return None;
            }
            worker.handle(request)
        })
    }

    /// The runner ends, and what runs on it is killed.
    pub fn end(&self, how: &str) {
        let mut state = self.state();
        for (task, run) in std::mem::take(&mut state.running) {
            self.record.ended(&self.plan.id, &task, run.number, how, 0);
        }
        state.is_up = false;
        self.record
            .note(&format!("runner {} ends: {how}", self.plan.id));
    }

    /// Work units that run now.
    pub fn running(&self) -> Vec<String> {
        self.state().running.keys().cloned().collect()
    }

    /// The entry in the store.
    pub fn entry(&self, address: &str, sequence: u64) -> String {
        let state = self.state();
        let labels: Vec<String> = self.plan.labels.iter().map(|label| quote(label)).collect();
        format!(
            "{{\"service\":{},\"address\":{},\"zone\":\"za\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{},\"labels\":[{}],\"clock_ms\":{},\"sequence\":{sequence},\"machine\":{},\"born\":{}}}",
            quote(&self.plan.service),
            quote(address),
            self.plan.capacity(),
            labels.join(","),
            state.clock_ms(),
            quote(&self.plan.machine),
            state.born_wall_ms,
        )
    }

    /// The state as of now: work units that are done, stopped or out of lease have ended.
    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("lock");
        let now = Instant::now();
        let has_lapsed = state.clock_ms() > state.deadline_ms;
        let mut ended = Vec::new();
        for (task, run) in &state.running {
            let age_ms = now.duration_since(run.began).as_millis() as u64;
            let how = if run.stops_at.is_some_and(|at| at <= now) {
                Some("stopped")
            } else if has_lapsed {
                Some("lapsed")
            } else if !run.lasts && age_ms >= run.task_ms {
                Some("done")
            } else {
                None
            };
            if let Some(how) = how {
                ended.push((task.clone(), run.number, how));
            }
        }
        let has_ended = !ended.is_empty();
        for (task, number, how) in ended {
            state.running.remove(&task);
            state.close(&task, number);
            let sequence = state.next_sequence;
            state.next_sequence += 1;
            self.record
                .ended(&self.plan.id, &task, number, how, sequence);
            state.ends.push(End {
                sequence,
                task,
                number,
                how,
            });
        }
        if has_ended {
            self.changed.notify_all();
        }
        state
    }

    /// Waits until there is an end that no answer has listed, for some seconds at most.
    fn wait_for_unlisted_end(&self) {
        let until = Instant::now() + LATE;
        let has_unlisted = || {
            let state = self.state();
            state
                .ends
                .last()
                .is_some_and(|end| end.sequence > state.listed)
        };
        while Instant::now() < until && !has_unlisted() {
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// The process is back, under the same id, and knows nothing of before.
    pub fn begin_again(&self) {
        *self.state.lock().expect("lock") = State::new();
        self.record
            .note(&format!("runner {} is back", self.plan.id));
    }

    /// The next look with a cursor gets no answer and is carried out late.
    pub fn delay_next_cursor(&self) {
        self.delays_next_cursor.store(true, Ordering::SeqCst);
    }

    pub fn has_delayed_cursor(&self) -> bool {
        !self.delays_next_cursor.load(Ordering::SeqCst)
    }

    fn is_delayed(&self, request: &Request) -> bool {
        let cursor = || Json::parse(&request.body)?.get("ack_cursor").number();
        let is_chosen = request.path == "/hold"
            && self.delays_next_cursor.load(Ordering::SeqCst)
            && cursor().is_some_and(|cursor| cursor > 0)
            && self.delays_next_cursor.swap(false, Ordering::SeqCst);
        if is_chosen {
            let id = &self.plan.id;
            self.record
                .note(&format!("{id}: no answer to {}", request.body));
        }
        is_chosen
    }

    fn handle(&self, request: &Request) -> Answer {
        if request.headers.get("x-expect-instance") != Some(&self.plan.id) {
            return Some((421, "{}".into()));
        }
        let body = Json::parse(&request.body)?;
        let mut state = self.state();
        if !state.is_up {
            return None;
        }
        let fence = body.get("fencing_token").number().unwrap_or(0);
        if fence < state.fence {
            return Some(state.refusal("fence"));
        }
        state.fence = fence;
        let over_ms = state.clock_ms().saturating_sub(state.deadline_ms);
        if over_ms > 0 && state.deadline_ms > 0 {
            self.record.lapsed(&self.plan.id, over_ms);
        }
        let task = body.get("task").text().to_owned();
        let number = body.get("run").number().unwrap_or(0);
        match request.path.as_str() {
            "/run-start" => {
                state.extend_lease(&body, self.plan.max_hold_ms);
                let lasts = body.get("spec").text() == LASTS;
                let answer = self.start(&mut state, task, number, lasts);
                Some(answer)
            }
            "/run-stop" => {
                state.close(&task, number);
                if let Some(run) = state.running.get_mut(&task)
                    && run.number == number
                {
                    let at = Instant::now() + Duration::from_millis(STOP_MS);
                    run.stops_at.get_or_insert(at);
                }
                Some(state.accepted())
            }
            "/pace" => Some(state.accepted()),
            "/hold" => {
                state.extend_lease(&body, self.plan.max_hold_ms);
                let cursor = body.get("ack_cursor").number().unwrap_or(0);
                if cursor > state.acknowledged {
                    state.acknowledged = cursor;
                    let taken = state.ends.iter().filter(|end| end.sequence <= cursor);
                    for end in taken {
                        let id = &self.plan.id;
                        self.record.acknowledged(id, &end.task, end.number, end.how);
                    }
                    state.ends.retain(|end| end.sequence > cursor);
                }
                drop(state);
                self.list(body.get("wait_ms").number().unwrap_or(0))
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn start(&self, state: &mut State, task: String, number: u64, lasts: bool) -> (u16, String) {
        if state.clock_ms() > state.deadline_ms {
            return state.refusal("late");
        }
        if state
            .running
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            return state.accepted();
        }
        if state
            .closed
            .get(&task)
            .is_some_and(|closed| number <= *closed)
            || state.running.contains_key(&task)
        {
            return state.refusal("old");
        }
        self.record.started(&self.plan.id, &task, number);
        // Any fixed sequence will do.
        let percent = if self.plan.is_uneven {
            50 + state.starts * 37 % 101
        } else {
            100
        };
        state.starts += 1;
        let run = Run {
            number,
            began: Instant::now(),
            lasts,
            task_ms: self.plan.task_ms * percent / 100,
            stops_at: None,
        };
        state.running.insert(task, run);
        state.accepted()
    }

    /// Answers a look at the runner, after a wait for an end.
    fn list(&self, wait_ms: u64) -> Answer {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(2_000));
        loop {
            let mut state = self.state();
            if !state.is_up {
                return None;
            }
            let now = Instant::now();
            if !state.ends.is_empty() || now >= until {
                let listed = state.ends.iter().take(ENDS_LISTED).last();
                state.listed = listed.map_or(state.listed, |end| end.sequence);
                return Some((200, self.listing(&state)));
            }
            drop(self.changed.wait_timeout(state, until - now).expect("lock"));
        }
    }

    fn listing(&self, state: &State) -> String {
        let now = Instant::now();
        let running = state.running.iter().map(|(task, run)| {
            let age_ms = now.duration_since(run.began).as_millis() as u64;
            let percent = if run.lasts {
                (age_ms * 100 / STARTUP_MS).min(100)
            } else {
                (age_ms * 100 / run.task_ms.max(1)).min(99)
            };
            format!("[{},{},\"\",{percent},0]", quote(task), run.number)
        });
        let running: Vec<String> = running.collect();
        let ends = state.ends.iter().take(ENDS_LISTED).map(|end| {
            format!(
                "[{},{},{},\"{}\",\"\"]",
                end.sequence,
                quote(&end.task),
                end.number,
                end.how
            )
        });
        let ends: Vec<String> = ends.collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended_runs\":[{}]}}",
            state.clock_ms(),
            state.born_wall_ms,
            running.join(","),
            ends.join(",")
        )
    }
}

impl State {
    fn new() -> Self {
        Self {
            born: Instant::now(),
            born_wall_ms: wall_ms(),
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ends: Vec::new(),
            next_sequence: 1,
            starts: 0,
            acknowledged: 0,
            listed: 0,
            closed: BTreeMap::new(),
            is_up: true,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, body: &Json, max_hold_ms: u64) {
        if let Some(deadline_ms) = body.get("deadline_ms").number() {
            let longest = self.clock_ms() + max_hold_ms;
            self.deadline_ms = self.deadline_ms.max(deadline_ms.min(longest));
        }
    }

    fn close(&mut self, task: &str, number: u64) {
        let closed = self.closed.entry(task.to_owned()).or_insert(0);
        *closed = (*closed).max(number);
    }

    fn accepted(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        let clock_ms = self.clock_ms();
        (
            409,
            format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"),
        )
    }
}
