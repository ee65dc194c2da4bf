//! A runner restarts under its id and is given a work unit with a deadline on the clock of its former life. The daemon that leads is
//! stopped as planned, and the runner is cut off while the work unit runs.

use review_standin_3::case::{self, Case, Setup, Stopped, Verdict, sleep_ms, step};
use review_standin_3::platform::Room;

const JOB: &str = "00000000000000ee";
const TASK: &str = "00000000000000ee.0.0.0";
/// Time for which the runners have been up and idle before.
const IDLE_MS: u64 = 8_000;
/// Time for which the restarted process is away, and for which the runner is cut off.
const DOWN_MS: u64 = 50;
const CUT_MS: u64 = 5_500;
const MACHINE: &str = "m-0";

fn main() {
    let setup = Setup {
        machines: 9,
        room: Room { cpu: 64_000, mem_mb: 262_144 },
        daemons: 3,
        max_attempts: 4,
    };
    case::run(&setup, play);
}

fn play(case: &mut Case) -> Result<Verdict, Stopped> {
    let platform = case.platform.clone();
    sleep_ms(IDLE_MS);
    // RESTART=0 leaves only the restart out, to show that the stop and the cut alone keep the rule.
    if case.has_trouble && std::env::var("RESTART").as_deref() != Ok("0") {
        platform.restart_under_id(MACHINE, DOWN_MS);
    }
    case.submit(JOB, "run_ms=20000", vec![step(1, 3_500, 20_000, false)])?;
    case.wait_until("the work unit runs", 3_000, || platform.runner_of(TASK).is_some())?;
    let runner = platform.runner_of(TASK).ok_or("the work unit has ended")?;
    if case.has_trouble && runner.machine != MACHINE {
        return Err("the work unit runs on another runner".into());
    }
    let leader = platform.store.value("rosemaryscale/view/scheduler");
    let leader = leader.map(|record| record.get("daemon").text().to_owned()).unwrap_or_default();
    if case.has_trouble {
        let daemon = case.daemons.iter().find(|daemon| daemon.name == leader);
        daemon.ok_or("nobody leads")?.signal("TERM");
        let is_other = || {
            let record = platform.store.value("rosemaryscale/view/scheduler");
            record.is_some_and(|record| record.get("daemon").text() != leader)
        };
        case.wait_until("another daemon leads", 3_000, is_other)?;
        runner.set_cut(true);
    }
    let cut_until_ms = case.record.now_ms() + CUT_MS;
    let mut is_cut = case.has_trouble;
    for _ in 0..4_000 {
        let running: Vec<String> = platform.runners().iter().filter(|runner| runner.runs(TASK)).map(|runner| runner.id.clone()).collect();
        if running.len() > 1 {
            case.record.note(&format!("TWICE: the work unit runs on {} at the same time", running.join(" and on ")));
            return Ok(Verdict::Broken);
        }
        if is_cut && case.record.now_ms() >= cut_until_ms {
            runner.set_cut(false);
            is_cut = false;
        }
        if running.is_empty() && !is_cut && case.record.now_ms() > cut_until_ms + 12_000 {
            break;
        }
        sleep_ms(5);
    }
    Ok(Verdict::Held)
}
