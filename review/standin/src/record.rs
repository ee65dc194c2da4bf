//! What clients and runners have seen, and the check of the rule TWICE.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Mutex;
use std::time::Instant;

use crate::worker::STARTUP_MS;

#[derive(Default)]
struct RunSeen {
    runner: String,
    number: u64,
    began_ms: u64,
    ended: Option<(u64, String)>,
    acknowledged_ms: Option<u64>,
}

#[derive(Default)]
struct Seen {
    text: String,
    runs: BTreeMap<String, Vec<RunSeen>>,
    /// Times at which leases have lapsed, by runner.
    lapses: BTreeMap<String, Vec<u64>>,
}

pub struct Record {
    since: Instant,
    seen: Mutex<Seen>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            since: Instant::now(),
            seen: Mutex::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        let now = self.now_ms();
        let mut seen = self.seen.lock().expect("lock");
        let _ = writeln!(seen.text, "{now:>7} ms  {line}");
    }

    pub fn started(&self, runner: &str, task: &str, number: u64) {
        let now = self.now_ms();
        let mut seen = self.seen.lock().expect("lock");
        let _ = writeln!(
            seen.text,
            "{now:>7} ms  {runner} starts {task} run {number}"
        );
        seen.runs.entry(task.to_owned()).or_default().push(RunSeen {
            runner: runner.to_owned(),
            number,
            began_ms: now,
            ..RunSeen::default()
        });
    }

    pub fn ended(&self, runner: &str, task: &str, number: u64, how: &str, sequence: u64) {
        let now = self.now_ms();
        let mut seen = self.seen.lock().expect("lock");
        let _ = writeln!(
            seen.text,
            "{now:>7} ms  {runner} end {sequence}: {task} run {number} {how}"
        );
        if let Some(run) = seen.find(runner, task, number) {
            run.ended = Some((now, how.to_owned()));
        }
    }

    /// The end of a run was reached by `ack_cursor`.
    pub fn acknowledged(&self, runner: &str, task: &str, number: u64, how: &str) {
        let now = self.now_ms();
        let mut seen = self.seen.lock().expect("lock");
        let _ = writeln!(
            seen.text,
            "{now:>7} ms  {runner} is told to forget the end of {task} run {number} ({how})"
        );
        if let Some(run) = seen.find(runner, task, number) {
            run.acknowledged_ms = Some(now);
        }
    }

    /// The lease of a runner lapsed this long ago.
    pub fn lapsed(&self, runner: &str, ago_ms: u64) {
        let at = self.now_ms().saturating_sub(ago_ms);
        let mut seen = self.seen.lock().expect("lock");
        seen.lapses.entry(runner.to_owned()).or_default().push(at);
    }

    /// Number of runs that have ended in this way.
    pub fn count(&self, how: &str) -> usize {
        let seen = self.seen.lock().expect("lock");
        let runs = seen.runs.values().flatten();
        runs.filter(|run| run.ended.as_ref().is_some_and(|(_, end)| end == how))
            .count()
    }

    pub fn starts(&self) -> usize {
        self.seen
            .lock()
            .expect("lock")
            .runs
            .values()
            .flatten()
            .count()
    }

    /// Breaches of AVAIL in jobs of one step with `may_miss` that nobody has cancelled: an order has ended a work unit
    /// at work in this way, while so many others were away, ended by such an order.
    pub fn ended_beside_others(&self, how: &str, may_miss: usize) -> Vec<String> {
        let seen = self.seen.lock().expect("lock");
        let mut ended: Vec<(u64, &String)> = Vec::new();
        let mut breaches = Vec::new();
        let mut ends: Vec<(u64, u64, &String, &RunSeen)> = Vec::new();
        for (task, runs) in &seen.runs {
            for run in runs {
                if let Some((at, end)) = &run.ended
                    && end == how
                    && *at >= run.began_ms + STARTUP_MS
                {
                    ends.push((*at, run.number, task, run));
                }
            }
        }
        ends.sort_unstable_by_key(|(at, number, task, _)| (*at, *number, *task));
        for (at, _, task, run) in ends {
            // A work unit that was started again is no longer away.
            ended.retain(|(_, other)| {
                let runs = &seen.runs[*other];
                let last = runs.iter().rev().find(|run| run.began_ms <= at);
                last.is_some_and(|run| run.ended.as_ref().is_some_and(|(ended, _)| *ended <= at))
            });
            if ended.len() >= may_miss {
                breaches.push(format!(
                    "{task} was at work on {} and was {how} at {at} ms; {} others of its step are away by such an order, and {may_miss} may be",
                    run.runner,
                    ended.len()
                ));
            }
            ended.push((at, task));
        }
        breaches
    }

    /// Breaches of TWICE: a start after a run of the work unit has ended `done`, if that end was taken note of then
    /// or later, and the lease had not lapsed between the two, or two runs at the same time on runners that are up.
    pub fn twice(&self) -> Vec<String> {
        let seen = self.seen.lock().expect("lock");
        let mut breaches = Vec::new();
        for (task, runs) in &seen.runs {
            for later in runs {
                for former in runs
                    .iter()
                    .filter(|former| former.began_ms < later.began_ms)
                {
                    let done = former.ended.as_ref().filter(|(_, how)| how == "done");
                    if let (Some((done_ms, _)), Some(ack_ms)) = (done, former.acknowledged_ms)
                        && *done_ms < later.began_ms
                        && !seen.has_lapsed(&former.runner, *done_ms, ack_ms)
                    {
                        breaches.push(format!(
                            "{task}: run {} was done on {} at {done_ms} ms, taken note of at {ack_ms} ms, and run {} was started on {} at {} ms",
                            former.number, former.runner, later.number, later.runner, later.began_ms
                        ));
                    }
                    let until = former.ended.as_ref().map_or(u64::MAX, |(at, _)| *at);
                    if until > later.began_ms {
                        breaches.push(format!(
                            "{task}: run {} on {} and run {} on {} at the same time from {} ms",
                            former.number,
                            former.runner,
                            later.number,
                            later.runner,
                            later.began_ms
                        ));
                    }
                }
            }
        }
        breaches
    }

    pub fn text(&self) -> String {
        self.seen.lock().expect("lock").text.clone()
    }
}

impl Seen {
    fn has_lapsed(&self, runner: &str, from_ms: u64, until_ms: u64) -> bool {
        let lapses = self.lapses.get(runner);
        lapses.is_some_and(|lapses| lapses.iter().any(|at| (from_ms..=until_ms).contains(at)))
    }

    fn find(&mut self, runner: &str, task: &str, number: u64) -> Option<&mut RunSeen> {
        let runs = self.runs.get_mut(task)?;
        runs.iter_mut()
            .rev()
            .find(|run| run.runner == runner && run.number == number)
    }
}
