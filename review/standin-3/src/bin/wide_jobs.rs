//! Large jobs come at once while the operator adds a route each second. Each daemon is asked, as the platform's clients do,
//! for the count of the queue of a route that was added over two seconds before.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use review_standin_3::case::{self, Case, Setup, Stopped, Verdict, sleep_ms, step};
use review_standin_3::http;
use review_standin_3::json::Json;
use review_standin_3::platform::Room;
use review_standin_3::record::Record;

/// Jobs that come at once, and the work units of each of their two steps.
const JOBS: u64 = 4;
const WIDTH: u64 = 2_500;
const WORK_MS: u64 = 4_000;
/// Interval of the changes of the manifest, and their number.
const CHANGE_MS: u64 = 1_000;
const CHANGES: u64 = 30;
/// Time after its acknowledgement by which a version is in force (`config_apply_ms`).
const APPLY_MS: u64 = 2_000;
/// Interval of the requests to each daemon, and the time for which a client waits for an answer.
const PROBE_MS: u64 = 250;
const PROBE_WAIT: Duration = Duration::from_secs(15);

fn main() {
    let setup = Setup {
        machines: 9,
        room: Room { cpu: 64_000, mem_mb: 262_144 },
        daemons: 3,
        max_attempts: 4,
    };
    case::run(&setup, play);
}

/// Versions of the manifest with the times of their acknowledgement; version N adds route N.
#[derive(Clone, Default)]
struct Versions(Arc<Mutex<Vec<(u64, u64)>>>);

impl Versions {
    fn acknowledged(&self, version: u64, at_ms: u64) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push((version, at_ms));
    }

    /// The newest version that must be in force by now, and when it was acknowledged.
    fn in_force(&self, now_ms: u64) -> Option<(u64, u64)> {
        let versions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        versions.iter().rev().find(|(_, at_ms)| now_ms > at_ms + APPLY_MS).copied()
    }
}

fn play(case: &mut Case) -> Result<Verdict, Stopped> {
    let versions = Versions::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let broken = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for daemon in &case.daemons {
        let probe = Probe {
            front: daemon.front,
            name: daemon.name.clone(),
            versions: versions.clone(),
            record: case.record.clone(),
            broken: Arc::clone(&broken),
        };
        threads.push(probe.start(Arc::clone(&is_over)));
    }
    for daemon in &case.daemons {
        daemon.hold_to_share();
    }
    if case.has_trouble {
        for job in 0..JOBS {
            let id = format!("{:016x}", 0xdd00 + job);
            let mut second = wide_step();
            if let Json::Map(fields) = &mut second {
                fields.insert("after".to_owned(), Json::List(vec![0.into()]));
            }
            case.submit(&id, &format!("run_ms={WORK_MS}"), vec![wide_step(), second])?;
        }
    }
    for change in 0..CHANGES {
        let version = 100 + change;
        case.platform.store.put("op/config", &manifest(100, version));
        let at_ms = case.record.now_ms();
        versions.acknowledged(version, at_ms);
        case.record.note(&format!("operator: version {version} adds /route-{version}/, acknowledged"));
        sleep_ms(CHANGE_MS);
    }
    sleep_ms(APPLY_MS);
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let count = broken.load(Ordering::SeqCst);
    case.record.note(&format!("{count} requests were handled as only an older version allows"));
    Ok(if count > 0 { Verdict::Broken } else { Verdict::Held })
}

fn wide_step() -> Json {
    step(WIDTH, 50, WORK_MS, false)
}

/// The manifest with the first queue and one more for each version since the first change.
fn manifest(first: u64, version: u64) -> Json {
    let route = |name: String, prefix: String| {
        Json::map(vec![
            ("name", name.into()),
            ("host", "quotes.example".into()),
            ("prefix", prefix.into()),
            ("service", "quotes".into()),
            ("priority", 0.into()),
            ("max_attempts", 4.into()),
            ("stretch", Json::Number(2.2)),
            ("target_latency_ms", 2_500.into()),
        ])
    };
    let mut routes = vec![route("quote-archive".to_owned(), "/quotes/".to_owned())];
    routes.extend((first..=version).map(|added| route(format!("r-{added}"), format!("/route-{added}/"))));
    let service = Json::map(vec![("name", "quotes".into()), ("admission_check", false.into())]);
    Json::map(vec![
        ("version", version.into()),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![service])),
        ("limits", Json::map(vec![])),
    ])
}

/// Asks one daemon for the counts of new queues.
struct Probe {
    front: SocketAddr,
    name: String,
    versions: Versions,
    record: Record,
    broken: Arc<AtomicU64>,
}

impl Probe {
    fn start(self, is_over: Arc<AtomicBool>) -> JoinHandle<()> {
        thread::spawn(move || {
            let probe = Arc::new(self);
            let mut requests = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let probe = Arc::clone(&probe);
                requests.push(thread::spawn(move || probe.ask()));
                sleep_ms(PROBE_MS);
            }
            for request in requests {
                let _ = request.join();
            }
        })
    }

    fn ask(&self) {
        let sent_ms = self.record.now_ms();
        let Some((version, acknowledged_ms)) = self.versions.in_force(sent_ms) else { return };
        let path = format!("/route-{version}/");
        let headers = [("Host", "quotes.example"), ("X-Deadline-Ms", "3000")];
        let answer = http::call(self.front, ("GET", &path), &headers, "", PROBE_WAIT);
        let shown = answer.as_ref().map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        let took_ms = self.record.now_ms() - sent_ms;
        let since_ms = sent_ms - acknowledged_ms;
        self.record.note(&format!(
            "client: GET {path} at {}, sent {since_ms} ms after the acknowledgement, after {took_ms} ms: {shown}",
            self.name
        ));
        if answer.is_some_and(|(status, _)| status == 404) {
            self.broken.fetch_add(1, Ordering::SeqCst);
            self.record.note(&format!("CONFIG: {} has refused it with 404 though the route is there", self.name));
        }
    }
}
