//! The frame of a case.

use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Outside};
use crate::http;
use crate::json::Json;
use crate::platform::{Platform, Room};
use crate::record::Record;

/// How a case has ended, with the exit status of its script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/// Why a case could not run.
pub type Stopped = String;

/// A small deployment of the case.
pub struct Setup {
    pub machines: usize,
    pub room: Room,
    pub daemons: usize,
    /// Number of failed runs after which a work unit fails its job.
    pub max_attempts: u64,
}

/// A running deployment.
pub struct Case {
    pub record: Record,
    pub platform: Arc<Platform>,
    pub daemons: Vec<Daemon>,
    /// Whether the disturbance is to happen.
    pub has_trouble: bool,
    folder: PathBuf,
}

/// Host and prefix of the only queue.
const HOST: &str = "quotes.example";
const PREFIX: &str = "/quotes/";
/// Time that a client waits for an answer.
const CLIENT_WAIT: Duration = Duration::from_secs(3);

impl Case {
    /// Starts the platform and the daemons, and waits until all are ready.
    fn start(setup: &Setup) -> Result<Self, Stopped> {
        let arguments: Vec<String> = std::env::args().collect();
        let path = arguments.get(1).ok_or("the folder of the case is missing")?;
        let record = Record::create(&PathBuf::from(path).join("record.txt"));
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let platform = Platform::start("quotes", setup.machines, setup.room, &record);
        let route = Json::map(vec![
            ("name", "quote-archive".into()),
            ("host", HOST.into()),
            ("prefix", PREFIX.into()),
            ("service", "quotes".into()),
            ("priority", 0.into()),
            ("max_attempts", setup.max_attempts.into()),
            ("stretch", Json::Number(2.2)),
            ("target_latency_ms", 2_500.into()),
        ]);
        let service = Json::map(vec![("name", "quotes".into()), ("admission_check", false.into())]);
        let config = Json::map(vec![
            ("version", 7.into()),
            ("routes", Json::List(vec![route])),
            ("services", Json::List(vec![service])),
            ("limits", Json::map(vec![])),
        ]);
        platform.store.put("op/config", &config);
        let outside = Outside {
            store: platform.store_address,
            machines: platform.machines_address,
            // No queue has an advisor, so nobody is called there.
            advisor: platform.machines_address,
        };
        let start = |index| Daemon::start(&folder, index, outside, &record);
        let daemons: Vec<Daemon> = (0..setup.daemons).map(start).collect();
        let case = Self {
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            record,
            platform,
            daemons,
            folder,
        };
        for daemon in &case.daemons {
            if !daemon.wait_ready(Duration::from_secs(20)) {
                return Err(format!("{} is not ready", daemon.name));
            }
        }
        case.record.note(&format!("all daemons are ready; trouble: {}", case.has_trouble));
        Ok(case)
    }

    /// Makes a client's call about a job at a daemon.
    pub fn call(&self, daemon: usize, method: &str, id: &str, body: &str) -> Option<(u16, Json)> {
        let daemon = &self.daemons[daemon];
        let headers = [("Host", HOST), ("Content-Type", "application/json"), ("X-Deadline-Ms", "3000")];
        let path = format!("{PREFIX}{id}");
        let answer = http::call(daemon.front, (method, &path), &headers, body, CLIENT_WAIT);
        let shown = answer.as_ref().map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        self.record.note(&format!("client: {method} {id} at {}: {shown}", daemon.name));
        answer
    }

    /// Submits a job, which must be accepted.
    pub fn submit(&self, id: &str, spec: &str, steps: Vec<Json>) -> Result<(), Stopped> {
        let body = Json::map(vec![("spec", spec.into()), ("steps", Json::List(steps))]).to_string();
        match self.call(0, "POST", id, &body) {
            Some((200, _)) => Ok(()),
            _ => Err(format!("{id} is not accepted")),
        }
    }

    /// State of a job as a daemon shows it.
    pub fn state(&self, daemon: usize, id: &str) -> String {
        let answer = self.call(daemon, "GET", id, "");
        answer.map_or(String::new(), |(_, body)| body.get("state").text().to_owned())
    }

    /// Waits until a condition holds.
    pub fn wait_until(&self, what: &str, timeout_ms: u64, holds: impl Fn() -> bool) -> Result<(), Stopped> {
        let until = Instant::now() + Duration::from_millis(timeout_ms);
        while !holds() {
            if Instant::now() > until {
                return Err(format!("not seen within {timeout_ms} ms: {what}"));
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record.note(&format!("seen: {what}"));
        Ok(())
    }

    fn end(mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        self.platform.end();
        self.record.note("everything is ended");
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Longest time of a case, after which its daemons are killed.
const LONGEST: Duration = Duration::from_secs(100);

/// Ends a case that hangs, with the processes that it has started.
fn watch_over(processes: Vec<u32>) {
    thread::spawn(move || {
        thread::sleep(LONGEST);
        for process in processes {
            let _ = Command::new("kill").args(["-KILL", &process.to_string()]).status();
        }
        println!("could not run: it takes over {LONGEST:?}");
        std::process::exit(Verdict::CouldNotRun as i32);
    });
}

/// Runs a case and exits with its verdict.
pub fn run(setup: &Setup, play: impl Fn(&mut Case) -> Result<Verdict, Stopped>) -> ! {
    let verdict = match Case::start(setup) {
        Ok(mut case) => {
            watch_over(case.daemons.iter().filter_map(Daemon::process).collect());
            let verdict = play(&mut case);
            match &verdict {
                Ok(verdict) => case.record.note(&format!("verdict: {verdict:?}")),
                Err(reason) => case.record.note(&format!("could not run: {reason}")),
            }
            println!("{verdict:?}");
            case.end();
            verdict.unwrap_or(Verdict::CouldNotRun)
        }
        Err(reason) => {
            println!("could not run: {reason}");
            Verdict::CouldNotRun
        }
    };
    std::process::exit(verdict as i32);
}

/// Sleeps.
pub fn sleep_ms(time_ms: u64) {
    thread::sleep(Duration::from_millis(time_ms));
}

/// A step of identical work units.
pub fn step(count: u64, cpu: u64, estimated_ms: u64, lasts: bool) -> Json {
    let mut fields = vec![
        ("count", count.into()),
        ("cpu", cpu.into()),
        ("mem_mb", 100.into()),
        ("estimated_ms", estimated_ms.into()),
    ];
    if lasts {
        fields.push(("long_running", true.into()));
    }
    Json::map(fields)
}
