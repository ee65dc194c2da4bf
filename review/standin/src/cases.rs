//! The cases.

use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::worker::{Plan, wall_ms};

/// What a case has shown.
pub struct Outcome {
    pub record: String,
    pub breaches: Vec<String>,
    /// Why the case could not run.
    pub failure: Option<String>,
}

pub fn by_name(name: &str) -> Option<fn(bool) -> Outcome> {
    match name {
        "schedule" => Some(schedule),
        "ends" => Some(ends),
        "crashes" => Some(crashes),
        "stale" => Some(stale),
        "cursor" => Some(cursor),
        _ => None,
    }
}

impl Outcome {
    fn not_run(reason: &str) -> Self {
        Self {
            record: String::new(),
            breaches: Vec::new(),
            failure: Some(reason.to_owned()),
        }
    }

    fn of(deployment: &Deployment, breaches: Vec<String>) -> Self {
        Self {
            record: deployment.record.text(),
            breaches,
            failure: None,
        }
    }

    fn failed(deployment: &Deployment, reason: &str) -> Self {
        Self {
            record: deployment.record.text(),
            breaches: Vec::new(),
            failure: Some(reason.to_owned()),
        }
    }
}

/// Runners of one service, each of 64 cores.
fn runners(count: usize, task_ms: u64) -> Vec<Plan> {
    let plan = |index: usize| Plan {
        id: String::new(),
        machine: String::new(),
        service: "quotes".into(),
        labels: vec!["a".into(), format!("r1-{}", index / 4)],
        cpu: 64_000,
        mem_mb: 262_144,
        max_hold_ms: 10_000,
        task_ms,
        is_uneven: false,
    };
    (1..=count).map(plan).collect()
}

fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    false
}

/// The daemon that leads is killed while the work units of a scheduled job run.
fn schedule(with_trouble: bool) -> Outcome {
    const ID: &str = "5c0e7a21d94b36f8";
    const OCCURRENCES: usize = 10;
    const WIDTH: usize = 60;
    let Some(mut deployment) = Deployment::start(runners(6, 1_500), 0, 4) else {
        return Outcome::not_run("the deployment did not become ready");
    };
    let body = format!(
        "{{\"spec\":\"x\",\"repeat_count\":{OCCURRENCES},\"start_at_ms\":{},\"interval_ms\":100,\"steps\":[{{\"count\":{WIDTH},\"cpu\":300,\"mem_mb\":100,\"estimated_ms\":1500}}]}}",
        wall_ms() + 500
    );
    let accepted = deployment.call("POST", &format!("/q/{ID}"), &body);
    if accepted.map(|(status, _)| status) != Some(200) {
        return Outcome::failed(&deployment, "the job was not accepted");
    }
    let all = OCCURRENCES * WIDTH;
    if !wait_until(Duration::from_secs(10), || {
        deployment.record.starts() >= all
    }) {
        return Outcome::failed(&deployment, "the work units were not started");
    }
    if with_trouble {
        let Some(leader) = deployment.leader() else {
            return Outcome::failed(&deployment, "no daemon leads");
        };
        deployment.kill_daemon(leader);
        std::thread::sleep(Duration::from_millis(3_500));
        if deployment.start_daemon(leader).is_none() {
            return Outcome::failed(&deployment, "the daemon did not start again");
        }
    }
    let end = deployment.wait_for_end(ID, Duration::from_secs(40));
    deployment
        .record
        .note(&format!("the job is shown as {end:?}"));
    std::thread::sleep(Duration::from_secs(2));
    Outcome::of(&deployment, deployment.record.twice())
}

/// The store is down while the runners end more work units than one answer lists.
fn ends(with_trouble: bool) -> Outcome {
    const IDS: [&str; 4] = [
        "5c0e7a21d94b36f8",
        "6d1f8b32ea5c47a9",
        "7e2a9c43fb6d58ba",
        "8f3bad540c7e69cb",
    ];
    const WIDTH: usize = 2_000;
    let Some(deployment) = Deployment::start(runners(3, 200), 0, 4) else {
        return Outcome::not_run("the deployment did not become ready");
    };
    // 100 of them fit on a runner.
    let body = format!(
        "{{\"spec\":\"x\",\"steps\":[{{\"count\":{WIDTH},\"cpu\":640,\"mem_mb\":100,\"estimated_ms\":200}}]}}"
    );
    for id in IDS {
        let accepted = deployment.call("POST", &format!("/q/{id}"), &body);
        if accepted.map(|(status, _)| status) != Some(200) {
            return Outcome::failed(&deployment, "a job was not accepted");
        }
    }
    let has_begun = || deployment.record.count("done") > 0;
    if !wait_until(Duration::from_secs(10), has_begun) {
        return Outcome::failed(&deployment, "the work units did not run");
    }
    if with_trouble {
        deployment.record.note("the store is down");
        deployment.store.set_silent(true);
        std::thread::sleep(Duration::from_millis(4_500));
        deployment.store.set_silent(false);
        deployment.record.note("the store is back");
    }
    for id in IDS {
        let end = deployment.wait_for_end(id, Duration::from_secs(35));
        deployment
            .record
            .note(&format!("job {id} is shown as {end:?}"));
    }
    std::thread::sleep(Duration::from_secs(2));
    Outcome::of(&deployment, deployment.record.twice())
}

/// A work unit that lasts meets three runners that crash; four others of its step are at work.
fn crashes(with_trouble: bool) -> Outcome {
    const ID: &str = "5c0e7a21d94b36f8";
    const CRASHES: usize = 3;
    const WIDTH: usize = 5;
    const MAY_MISS: usize = 1;
    let Some(deployment) = Deployment::start(runners(9, 1_000), 0, 4) else {
        return Outcome::not_run("the deployment did not become ready");
    };
    let body = format!(
        "{{\"spec\":\"lasts\",\"steps\":[{{\"count\":{WIDTH},\"cpu\":5400,\"mem_mb\":27000,\"estimated_ms\":900,\"long_running\":true,\"image\":\"im-1\",\"may_miss\":{MAY_MISS},\"anti_affinity\":1}}]}}"
    );
    let accepted = deployment.call("POST", &format!("/q/{ID}"), &body);
    if accepted.map(|(status, _)| status) != Some(200) {
        return Outcome::failed(&deployment, "the job was not accepted");
    }
    if !wait_until(Duration::from_secs(10), || {
        deployment.record.starts() >= WIDTH
    }) {
        return Outcome::failed(&deployment, "the work units were not started");
    }
    std::thread::sleep(Duration::from_secs(2));
    let task = format!("{ID}.0.0.0");
    let runs_on = || {
        let mut workers = deployment.workers().into_iter();
        workers.find(|worker| worker.running().contains(&task))
    };
    // The first crash meets it at work, the next ones meet it while it starts up.
    for crash in 0..=CRASHES {
        if !wait_until(Duration::from_secs(10), || runs_on().is_some()) {
            return Outcome::failed(&deployment, "the work unit was not started again");
        }
        std::thread::sleep(Duration::from_millis(200));
        if with_trouble && let Some(worker) = runs_on() {
            deployment.crash_worker(&worker.plan.id);
        }
        deployment.record.note(&format!("crash {crash}"));
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(Duration::from_secs(5));
    let state = deployment.state_of(ID);
    deployment
        .record
        .note(&format!("the job is shown as {state:?}"));
    let breaches = deployment.record.ended_beside_others("stopped", MAY_MISS);
    Outcome::of(&deployment, breaches)
}

/// The daemon that leads stands still for 4 s, after the machines have become idle. The next one gives them work.
fn stale(with_trouble: bool) -> Outcome {
    const FIRST: &str = "5c0e7a21d94b36f8";
    const LASTING: &str = "6d1f8b32ea5c47a9";
    const FREEZE_MS: u64 = 4_000;
    const WIDTH: usize = 3;
    const MAY_MISS: usize = 1;
    let Some(deployment) = Deployment::start(runners(6, 1_500), 3, 4) else {
        return Outcome::not_run("the deployment did not become ready");
    };
    let body = "{\"spec\":\"x\",\"steps\":[{\"count\":20,\"cpu\":16000,\"mem_mb\":1000,\"estimated_ms\":1500}]}";
    let accepted = deployment.call("POST", &format!("/q/{FIRST}"), body);
    if accepted.map(|(status, _)| status) != Some(200) {
        return Outcome::failed(&deployment, "the first job was not accepted");
    }
    if deployment
        .wait_for_end(FIRST, Duration::from_secs(20))
        .as_deref()
        != Some("completed")
    {
        return Outcome::failed(&deployment, "the first job did not end");
    }
    let Some(leader) = deployment.leader() else {
        return Outcome::failed(&deployment, "no daemon leads");
    };
    let frozen_at = deployment.record.now_ms();
    if with_trouble {
        deployment.signal(leader, "-STOP");
        let has_next = || deployment.leader().is_some_and(|next| next != leader);
        if !wait_until(Duration::from_millis(FREEZE_MS), has_next) {
            deployment.signal(leader, "-CONT");
            return Outcome::failed(&deployment, "no other daemon leads");
        }
    }
    let body = format!(
        "{{\"spec\":\"lasts\",\"steps\":[{{\"count\":{WIDTH},\"cpu\":5400,\"mem_mb\":27000,\"estimated_ms\":900,\"long_running\":true,\"image\":\"im-1\",\"may_miss\":{MAY_MISS}}}]}}"
    );
    let accepted = deployment.call_beside(leader, "POST", &format!("/q/{LASTING}"), &body);
    if accepted.map(|(status, _)| status) != Some(200) {
        deployment.signal(leader, "-CONT");
        return Outcome::failed(&deployment, "the second job was not accepted");
    }
    while deployment.record.now_ms() < frozen_at + FREEZE_MS {
        std::thread::sleep(Duration::from_millis(5));
    }
    if with_trouble {
        deployment.signal(leader, "-CONT");
    }
    std::thread::sleep(Duration::from_secs(8));
    let breaches = deployment.record.ended_beside_others("moved", MAY_MISS);
    Outcome::of(&deployment, breaches)
}

/// An idle runner crashes and is back at once; the next look at it gets no answer and is carried out 2.5 s later.
fn cursor(with_trouble: bool) -> Outcome {
    const IDS: [&str; 2] = ["5c0e7a21d94b36f8", "6d1f8b32ea5c47a9"];
    const WIDTH: usize = 2_400;
    let mut plans = runners(3, 300);
    for plan in &mut plans {
        plan.is_uneven = true;
    }
    let Some(deployment) = Deployment::start(plans, 0, 4) else {
        return Outcome::not_run("the deployment did not become ready");
    };
    // 100 of them fit on a runner.
    let body = format!(
        "{{\"spec\":\"x\",\"steps\":[{{\"count\":{WIDTH},\"cpu\":640,\"mem_mb\":100,\"estimated_ms\":300}}]}}"
    );
    let submit = |id: &str| {
        let accepted = deployment.call("POST", &format!("/q/{id}"), &body);
        accepted.is_some_and(|(status, _)| status == 200)
    };
    if !submit(IDS[0]) {
        return Outcome::failed(&deployment, "the first job was not accepted");
    }
    let is_done = || deployment.record.count("done") >= WIDTH;
    if !wait_until(Duration::from_secs(30), is_done) {
        return Outcome::failed(&deployment, "the first job did not end");
    }
    let worker = deployment.workers().remove(0);
    if with_trouble {
        std::thread::sleep(Duration::from_millis(250));
        worker.delay_next_cursor();
        deployment.restart_worker(&worker.plan.id, Duration::from_millis(100));
    }
    if !submit(IDS[1]) {
        return Outcome::failed(&deployment, "the second job was not accepted");
    }
    for id in IDS {
        let end = deployment.wait_for_end(id, Duration::from_secs(35));
        deployment
            .record
            .note(&format!("job {id} is shown as {end:?}"));
    }
    if with_trouble && !worker.has_delayed_cursor() {
        return Outcome::failed(&deployment, "the leader knew of the crash before it looked");
    }
    std::thread::sleep(Duration::from_secs(2));
    Outcome::of(&deployment, deployment.record.twice())
}
