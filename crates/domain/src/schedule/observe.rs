//! What a look at a worker changes.

use super::book::TaskStatus;
use super::order::{
    Action, ListedEnd, ListedRun, Listing, LookResult, Note, Refusal, RunEndKind, StopOrder,
};
use super::run::{Phase, PlacedRun, Run, RunFacts};
use super::{
    END_BATCH_MS, FINAL_BATCH_MS, LOOK_GAP_MS, SILENT_LOOK_MS, Scheduler, UNWRITTEN_LOOK_MS,
};
use crate::job::JobState;
use crate::prelude::*;

/// A job is heard of within a few watch intervals of its acceptance; this is well above them.
const UNKNOWN_RUN_MS: u64 = 3_000;

/// For this long after a look was lost at a worker that answers, looks are shorter: an end that a lost
/// answer has listed is heard with the next one.
const LOSSY_MS: u64 = 5_000;

/// Progress is reported in percent with every look, at least each second; work that is six times as
/// slow as declared still moves within this time.
const STUCK_MS: u64 = 2_500;

impl Scheduler {
    /// Applies how a look ended.
    pub fn looked(&mut self, key: WorkerKey, result: LookResult, now: Millis, wall: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.looking = false;
        match result {
            LookResult::Listed(listing) => self.apply_listing(key, &listing, now, wall),
            LookResult::Refused(Refusal::OtherLife) | LookResult::NotListening => {
                self.end_life(key, now);
            }
            LookResult::Refused(refusal) => {
                worker.told = 0;
                worker.next_look = now.after_ms(SILENT_LOOK_MS);
                self.fenced |= refusal == Refusal::Fenced;
            }
            LookResult::Unanswered => {
                worker.told = 0;
                let fell_silent = worker.count_lost_look(now);
                worker.next_look = if worker.silent {
                    now.after_ms(SILENT_LOOK_MS)
                } else {
                    now
                };
                if fell_silent {
                    self.read_machines_soon(now);
                }
            }
        }
    }

    fn apply_listing(&mut self, key: WorkerKey, listing: &Listing, now: Millis, wall: Millis) {
        let worker = &self.workers[key];
        let before = worker.report.started_wall_ms;
        let started = listing.started_wall_ms;
        if started != 0 && started < before {
            // Late answer of an earlier life.
            return;
        }
        if started != 0 && before != 0 && started > before {
            self.end_life(key, now);
            let worker = &mut self.workers[key];
            let report = worker.report.clone();
            worker.begin_life(report);
        }
        let worker = &mut self.workers[key];
        let sent_at = worker.look_sent_at;
        if started != 0 {
            worker.report.started_wall_ms = started;
        }
        let was_usable = worker.known && !worker.silent;
        if worker.known && worker.lost_looks > 0 {
            self.lossy_until = now.after_ms(LOSSY_MS);
        }
        worker.known = true;
        worker.silent = false;
        worker.lost_looks = 0;
        worker.heard_at = now;
        worker.saw_clock(listing.clock_ms, now);
        self.place_wanted |= !was_usable || self.unproved;
        if !worker.recorded {
            self.want_batch(now);
        }
        for end in &listing.ended {
            if end.sequence > self.workers[key].last_end {
                self.apply_end(key, end, now, wall);
            }
        }
        let listed = self.apply_running(key, &listing.running, now);
        self.drop_unlisted(key, &listed, sent_at, now);
        self.pace_worker(key, now);
        self.stop_stuck(key, now);
        let worker = &mut self.workers[key];
        worker.next_look = if worker.acknowledged < worker.last_end {
            now.after_ms(UNWRITTEN_LOOK_MS)
        } else {
            now.after_ms(LOOK_GAP_MS)
        };
    }

    /// Returns the runs of this holder that the worker lists.
    fn apply_running(
        &mut self,
        key: WorkerKey,
        rows: &[ListedRun],
        now: Millis,
    ) -> FastSet<RunKey> {
        let mut listed = FastSet::default();
        let mut unknown = Vec::new();
        for row in rows {
            let Some(task) = self.book.find(&row.task).or_else(|| self.open_named(row)) else {
                unknown.push(row.clone());
                continue;
            };
            let run = match self.run_at(key, task, row.number) {
                Some(run) => run,
                None => self.adopt(key, task, row, now),
            };
            listed.insert(run);
            self.note_progress(run, row, now);
        }
        self.note_unknown(key, unknown, now);
        listed
    }

    /// Keeps runs of jobs that this holder has not heard of. The job's record was written before the
    /// start, so it will be heard of soon; a run without one is stopped.
    fn note_unknown(&mut self, key: WorkerKey, unknown: Vec<ListedRun>, now: Millis) {
        let worker = &mut self.workers[key];
        worker.unknown_since = match worker.unknown_since {
            _ if unknown.is_empty() => None,
            None => Some(now),
            since => since,
        };
        worker.unknown_runs = unknown;
        if worker
            .unknown_since
            .is_none_or(|since| now.ms_since(since) < UNKNOWN_RUN_MS)
        {
            return;
        }
        for row in &worker.unknown_runs {
            let order = StopOrder {
                run: None,
                task: row.task.clone(),
                number: row.number,
            };
            self.actions.push(Action::Stop(key, order));
        }
    }

    /// Takes over the runs of a job that workers have listed before this holder heard of it.
    pub(super) fn adopt_unknown(&mut self, job: &str, now: Millis) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let rows = std::mem::take(&mut self.workers[key].unknown_runs);
            let (known, unknown): (Vec<_>, Vec<_>) =
                rows.into_iter().partition(|row| &*row.task.job == job);
            self.workers[key].unknown_runs = unknown;
            for row in known {
                let found = self.book.find(&row.task).or_else(|| self.open_named(&row));
                if let Some(task) = found
                    && self.run_at(key, task, row.number).is_none()
                {
                    self.adopt(key, task, &row, now);
                }
            }
        }
    }

    /// Whether a worker has listed runs of a job that this holder had not heard of.
    pub(super) fn is_listed_unknown(&self, job: &str) -> bool {
        let mut rows = self
            .workers
            .values()
            .flat_map(|worker| &worker.unknown_runs);
        rows.any(|row| &*row.task.job == job)
    }

    /// Finds a task of an occurrence that this holder has not opened yet.
    fn open_named(&mut self, row: &ListedRun) -> Option<TaskKey> {
        let job = *self.book.by_id.get(&row.task.job)?;
        self.book
            .open_occurrences_up_to(job, row.task.position.occurrence);
        self.book.find(&row.task)
    }

    pub(super) fn run_at(&self, worker: WorkerKey, task: TaskKey, number: u32) -> Option<RunKey> {
        let runs = &self.workers.get(worker)?.runs;
        runs.iter().copied().find(|run| {
            self.runs
                .get(*run)
                .is_some_and(|run| run.facts().task == task && run.facts().number == number)
        })
    }

    /// Takes over a run that this holder did not start, or stops it if its task needs none.
    fn adopt(&mut self, worker: WorkerKey, task: TaskKey, row: &ListedRun, now: Millis) -> RunKey {
        let step = self.book.step_of(task);
        let facts = RunFacts {
            task,
            number: row.number,
            worker,
            need: step.map(|step| step.need()).unwrap_or_default(),
            fills: step.is_some_and(|step| step.fills),
            sent_at: now,
        };
        let mut run = PlacedRun::new(Phase::Confirmed(Run::adopted(facts, now)));
        run.reported.moved_at = now;
        let run = self.runs.insert(run);
        let worker = &mut self.workers[worker];
        worker.runs.push(run);
        worker.used = worker.used.plus(facts.need);
        let over = self
            .book
            .tasks
            .get(task)
            .and_then(|task| self.book.jobs.get(task.job))
            .is_none_or(|job| job.state.is_final());
        let task = &mut self.book.tasks[task];
        task.last_number = task.last_number.max(row.number);
        let needed = matches!(
            task.status,
            TaskStatus::Unaccounted | TaskStatus::Ready | TaskStatus::Blocked
        );
        if needed && !over && !task.done {
            task.status = TaskStatus::Placed(run);
        } else {
            self.stop_run(run, now);
        }
        run
    }

    fn note_progress(&mut self, key: RunKey, row: &ListedRun, now: Millis) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.confirm(now);
        if run.reported.percent != row.percent {
            run.reported.percent = row.percent;
            run.reported.moved_at = now;
        }
        run.reported.gauge = row.gauge;
        let task = run.facts().task;
        if let Some(task) = self.book.tasks.get_mut(task)
            && task.status == TaskStatus::Placed(key)
        {
            if !row.checkpoint.is_empty() {
                task.checkpoint = Arc::clone(&row.checkpoint);
            }
            if row.percent >= 100 {
                task.away_since = None;
            }
        }
    }

    /// Stops runs whose progress stands still, so that their tasks start on another worker.
    fn stop_stuck(&mut self, key: WorkerKey, now: Millis) {
        let stuck: Vec<RunKey> = self.workers[key]
            .runs
            .iter()
            .copied()
            .filter(|run| {
                self.runs.get(*run).is_some_and(|run| {
                    run.confirmed_since().is_some()
                        && run.reported.percent < 100
                        && run.pace_percent == 100
                        && now.ms_since(run.reported.moved_at) >= STUCK_MS
                })
            })
            .collect();
        for run in stuck {
            let task = self.runs[run].facts().task;
            let step = self.book.step_of(task);
            if step.is_none_or(|step| step.gang) {
                continue;
            }
            if let Some(task) = self.book.tasks.get_mut(task) {
                task.avoid = Some(key);
            }
            self.workers[key].count_failure(now);
            self.stop_run(run, now);
        }
    }

    /// Drops runs that the worker had confirmed, or whose stop it had accepted, before the look was
    /// sent and that it no longer lists.
    fn drop_unlisted(
        &mut self,
        key: WorkerKey,
        listed: &FastSet<RunKey>,
        sent_at: Millis,
        now: Millis,
    ) {
        for run in self.workers[key].runs.clone() {
            if listed.contains(&run) {
                continue;
            }
            let over = self.runs.get(run).is_some_and(|run| {
                run.confirmed_since().is_some_and(|since| since < sent_at)
                    || run.stop_accepted_at.is_some_and(|at| at < sent_at)
            });
            if over {
                self.drop_run(run, now);
            }
        }
    }

    fn apply_end(&mut self, key: WorkerKey, end: &ListedEnd, now: Millis, wall: Millis) {
        let batch = self.batch_sequence + 1;
        let worker = &mut self.workers[key];
        worker.last_end = end.sequence;
        worker.unwritten_ends.push_back((end.sequence, batch));
        self.want_batch(now.after_ms(END_BATCH_MS));
        let Some(task) = self.book.find(&end.task) else {
            return;
        };
        self.note_end(key, task, end);
        match end.kind {
            RunEndKind::Done => self.task_done(task, now, wall),
            RunEndKind::Failed => self.task_failed(key, task, end.number, now, wall),
            RunEndKind::Stopped | RunEndKind::Lapsed | RunEndKind::Broken | RunEndKind::Alone => {}
        }
        if let Some(run) = self.run_at(key, task, end.number) {
            self.drop_run(run, now);
        }
        self.notes.push(Note::RunEnded {
            task: end.task.clone(),
            number: end.number,
            worker: Arc::clone(&self.workers[key].report.id),
            kind: end.kind,
            failed_runs: self.book.tasks[task].failed_runs.len(),
        });
    }

    fn note_end(&mut self, key: WorkerKey, task: TaskKey, end: &ListedEnd) {
        let task = &mut self.book.tasks[task];
        if end.number >= task.last_number {
            task.last_number = end.number;
            if !end.checkpoint.is_empty() {
                task.checkpoint = Arc::clone(&end.checkpoint);
                if let Some(job) = self.book.jobs.get_mut(task.job) {
                    job.dirty = true;
                }
            }
        }
        if end.kind == RunEndKind::Done {
            self.workers[key].count_success();
        }
    }

    fn task_done(&mut self, key: TaskKey, now: Millis, wall: Millis) {
        let Some(step) = self.book.step_of(key) else {
            return;
        };
        if step.long_running {
            return;
        }
        let position = self.book.tasks[key].position;
        let job = self.book.tasks[key].job;
        let members: Vec<TaskKey> = if step.gang {
            self.tasks_of_step(job, position.occurrence, position.step)
        } else {
            vec![key]
        };
        for member in members {
            let placed = self.book.tasks[member].status;
            if !self.book.mark_done(member) {
                continue;
            }
            if let TaskStatus::Placed(run) = placed {
                // The run that has ended is dropped by its end.
                if member != key {
                    self.stop_run(run, now);
                }
            }
        }
        self.after_done(job, position.occurrence, now, wall);
    }

    fn tasks_of_step(&self, job: JobKey, occurrence: u32, step: u16) -> Vec<TaskKey> {
        let steps = self
            .book
            .jobs
            .get(job)
            .and_then(|job| job.occurrences.get(occurrence as usize));
        steps
            .and_then(|steps| steps.get(usize::from(step)))
            .cloned()
            .unwrap_or_default()
    }

    /// Completes the job, or releases the steps that waited.
    fn after_done(&mut self, key: JobKey, occurrence: u32, now: Millis, wall: Millis) {
        let Some(job) = self.book.jobs.get(key) else {
            return;
        };
        let all_open =
            u32::try_from(job.occurrences.len()).unwrap_or(u32::MAX) >= job.occurrences_total();
        if job.open_tasks == 0 && all_open {
            self.finish(key, JobState::Completed, now, wall);
            self.want_batch(now.after_ms(FINAL_BATCH_MS));
            return;
        }
        let blocked: Vec<TaskKey> = job
            .occurrences
            .get(occurrence as usize)
            .into_iter()
            .flatten()
            .flatten()
            .copied()
            .filter(|task| {
                self.book
                    .tasks
                    .get(*task)
                    .is_some_and(|task| task.status == TaskStatus::Blocked)
            })
            .collect();
        for task in blocked {
            self.release_task(task);
        }
    }

    fn task_failed(
        &mut self,
        worker: WorkerKey,
        key: TaskKey,
        number: u32,
        now: Millis,
        wall: Millis,
    ) {
        let long_running = self.book.step_of(key).is_some_and(|step| step.long_running);
        let task = &mut self.book.tasks[key];
        if task.failed_runs.contains(&number) {
            return;
        }
        if task.failed_runs.is_empty() {
            self.workers[worker].count_failure(now);
        }
        task.avoid = Some(worker);
        if long_running {
            return;
        }
        task.failed_runs.push(number);
        let (job, failures) = (task.job, task.failed_runs.len());
        let Some(entry) = self.book.jobs.get_mut(job) else {
            return;
        };
        entry.dirty = true;
        if failures >= entry.policy.attempts_max.max(1) as usize {
            self.finish(job, JobState::Failed, now, wall);
        }
    }
}
