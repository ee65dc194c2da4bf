//! The runner of a work unit crashes three times. No run of the work unit ends as failed.

use review_standin_3::case::{self, Case, Setup, Stopped, Verdict, sleep_ms, step};
use review_standin_3::platform::Room;

const JOB: &str = "00000000000000cc";
const TASK: &str = "00000000000000cc.0.0.0";
/// A runner crashes so long after it has started the work unit, and is back after the second time.
const CRASH_AFTER_MS: u64 = 400;
const DOWN_MS: u64 = 2_000;
const CRASHES: u32 = 3;

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
    case.submit(JOB, "run_ms=3000", vec![step(1, 3_500, 3_000, false)])?;
    let runs = || platform.runner_of(TASK).is_some();
    if case.has_trouble {
        for crash in 1..=CRASHES {
            case.wait_until(&format!("the work unit runs before crash {crash}"), 10_000, runs)?;
            sleep_ms(CRASH_AFTER_MS);
            let runner = platform.runner_of(TASK).ok_or("the work unit has ended")?;
            platform.crash(&runner.machine, DOWN_MS);
        }
    }
    for _ in 0..100 {
        match case.state(1, JOB).as_str() {
            "failed" => {
                case.record.note("LOST: shown as failed, and no run of the work unit has ended as failed");
                return Ok(Verdict::Broken);
            }
            "completed" => return Ok(Verdict::Held),
            _ => sleep_ms(200),
        }
    }
    Err("the job has not ended".into())
}
