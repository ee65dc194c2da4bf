//! A runner fails all that it starts for 6.5 s and is sound afterwards. A work unit that lasts then fails once, as it
//! may at any time, while that runner has room for it twice over and the others have none.

use review_standin_3::case::{self, Case, Setup, Stopped, Verdict, sleep_ms, step};
use review_standin_3::platform::Room;

const FILLING: &str = "00000000000000aa";
const LASTING: &str = "00000000000000bb";
const TASK: &str = "00000000000000bb.0.0.0";

/// The runner fails all that it starts for so long.
const GREY_MS: u64 = 6_500;
/// Time from the last run of a work unit that lasts from which the rule holds, and the time without a run that
/// breaks it.
const AFTER_LAST_RUN_MS: u64 = 6_000;
const WITHOUT_RUN_MS: u64 = 3_000;
/// Time without a disturbance before the end of that time: 3 s and the 4 s before them.
const CALM_MS: u64 = 7_000;

fn main() {
    let setup = Setup {
        machines: 12,
        room: Room { cpu: 64_000, mem_mb: 262_144 },
        daemons: 3,
        max_attempts: 4,
    };
    case::run(&setup, play);
}

fn play(case: &mut Case) -> Result<Verdict, Stopped> {
    // 11 work units of 38 cores, one on each of 11 machines of 64 cores; then one of 30 cores on the twelfth.
    case.submit(FILLING, "lasts", vec![step(11, 38_000, 500, true)])?;
    let platform = case.platform.clone();
    let filled = || (0..11).all(|index| {
        let task = format!("{FILLING}.0.0.{index}");
        platform.runners().iter().any(|runner| runner.is_at_work(&task))
    });
    case.wait_until("all work units of the first job are at work", 15_000, filled)?;
    case.submit(LASTING, "lasts", vec![step(1, 30_000, 500, true)])?;
    let is_at_work = || platform.runners().iter().any(|runner| runner.is_at_work(TASK));
    case.wait_until("the second job is at work", 10_000, is_at_work)?;
    let runner = platform.runner_of(TASK).ok_or("the second job runs nowhere")?;
    sleep_ms(1_000);
    if case.has_trouble {
        runner.set_failing(true);
        sleep_ms(GREY_MS);
        runner.set_failing(false);
    }
    let calm_since_ms = case.record.now_ms();
    case.wait_until("the second job is at work again", 15_000, is_at_work)?;
    sleep_ms(3_000);
    case.record.note("the work unit of the second job fails once, as it may at any time");
    runner.fail_all();
    let ended_ms = case.record.now_ms();
    let until_ms = ended_ms + 25_000;
    let mut idle_since_ms = None;
    while case.record.now_ms() < until_ms {
        let now_ms = case.record.now_ms();
        if platform.runner_of(TASK).is_some() {
            if idle_since_ms.take().is_some() {
                case.record.note(&format!("the work unit runs again {} ms after its last run", now_ms - ended_ms));
            }
            if now_ms > ended_ms + AFTER_LAST_RUN_MS + WITHOUT_RUN_MS + 1_000 {
                break;
            }
        } else {
            let since_ms = *idle_since_ms.get_or_insert(now_ms);
            let counted_ms = since_ms.max(ended_ms + AFTER_LAST_RUN_MS);
            // The whole room of the runner is free: 64 of its 64 cores, for a work unit of 30.
            let has_room = runner.run_count() == 0;
            if has_room && now_ms >= counted_ms + WITHOUT_RUN_MS && now_ms >= calm_since_ms + CALM_MS {
                case.record.note(&format!(
                    "LOST: no run for {} ms; runner {} is sound for {} ms and has all of its room free",
                    now_ms - ended_ms, runner.id, now_ms - calm_since_ms
                ));
                case.state(1, LASTING);
                return Ok(Verdict::Broken);
            }
        }
        sleep_ms(10);
    }
    Ok(Verdict::Held)
}
