//! Applies the answers of workers to polls.

use super::job_table::TaskStatus;
use super::order::{
    ListedEnd, ListedRun, Listing, PollReception, PollResult, Refusal, RunEndKind, SchedulerEvent,
};
use super::run::{EndEvidence, Phase, PlacedRun, Run, RunInfo};
use super::stop_reason::StopReason;
use super::worker::Claim;
use super::{
    JOB_END_BATCH_DELAY_MS, POLL_INTERVAL_MS, Scheduler, UNRESPONSIVE_POLL_INTERVAL_MS,
    UNWRITTEN_ENDS_POLL_INTERVAL_MS,
};
use crate::job::{JobState, TaskName, TaskPosition};
use crate::prelude::*;

/// Polls stay short for this long after a poll of a responsive worker was lost, so that the next
/// answer soon repeats an end that the lost one reported.
const ANSWER_LOSS_WINDOW_MS: u64 = 5_000;

/// Time without progress after which a run counts as stalled. Progress is reported in percent with
/// every poll, at least once a second; a task six times slower than declared still progresses
/// within this time.
const NO_PROGRESS_MS: u64 = 2_500;

impl Scheduler {
    /// Applies the result of a poll.
    pub fn poll_ended(&mut self, key: WorkerKey, result: PollResult, now: Millis, wall: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.poll_in_flight = false;
        let sent_at = worker.poll_sent_at;
        let synced = worker.synced;
        match result {
            PollResult::Listed(listing) => {
                self.note_unreadable_rows(key, None);
                self.apply_listing(key, &listing, now, wall);
            }
            PollResult::ListedInPart(listing, rows) => {
                // A worker whose runs are not all known stays unsynced: their tasks would start elsewhere.
                let is_usable = synced || rows.runs == 0;
                self.note_unreadable_rows(key, Some(rows));
                if is_usable {
                    self.apply_listing(key, &listing, now, wall);
                } else {
                    // The process that has answered has received it, whenever it began.
                    self.poll_unanswered(key, PollReception::Unknown, now);
                }
            }
            PollResult::Refused(Refusal::OtherIncarnation) => {
                worker.next_poll_at = now.after_ms(POLL_INTERVAL_MS);
                self.order_found_other_process(key, Some(sent_at), now);
                self.try_other_address(key, now);
            }
            PollResult::NotListening => {
                worker.next_poll_at = now.after_ms(UNRESPONSIVE_POLL_INTERVAL_MS);
                self.connect_refused(key, Some(sent_at), now);
                self.try_other_address(key, now);
            }
            PollResult::Refused(refusal) => {
                worker.next_poll_at = now.after_ms(UNRESPONSIVE_POLL_INTERVAL_MS);
                self.fenced |= refusal == Refusal::Fenced && !worker.may_have_missed(sent_at);
                self.try_other_address(key, now);
            }
            PollResult::LinkClosed(reception) => {
                worker.next_poll_at = now.after_ms(POLL_INTERVAL_MS);
                self.poll_given_up(key, reception, now);
            }
            PollResult::Unanswered(reception) => self.poll_unanswered(key, reception, now),
        }
    }

    fn poll_unanswered(&mut self, key: WorkerKey, reception: PollReception, now: Millis) {
        self.poll_given_up(key, reception, now);
        let worker = &mut self.workers[key];
        let became_unresponsive = worker.count_failed_poll(now);
        worker.next_poll_at = if worker.unresponsive {
            now.after_ms(UNRESPONSIVE_POLL_INTERVAL_MS)
        } else {
            now
        };
        if became_unresponsive {
            self.request_instance_list(now);
        }
        self.end_contradicted(key, now);
        self.try_other_address(key, now);
    }

    fn apply_listing(&mut self, key: WorkerKey, listing: &Listing, now: Millis, wall: Millis) {
        let worker = &mut self.workers[key];
        let known_start_ms = worker.report.started_wall_ms;
        let started_ms = listing.started_wall_ms;
        let sent_at = worker.poll_sent_at;
        let is_other = if started_ms == 0 {
            worker.is_clock_of_other_process(listing.clock_ms, sent_at)
        } else {
            known_start_ms != 0 && started_ms != known_start_ms
        };
        // An earlier process may answer a poll that was sent before this leader knew of the current one. Later
        // polls are answered by the current process, whatever start its entry names.
        let is_late =
            is_other && started_ms < known_start_ms && sent_at <= worker.incarnation_since;
        let claim = worker.claim.as_ref();
        if is_late || claim.is_some_and(|claim| sent_at <= claim.connected_at) {
            worker.next_poll_at = now.after_ms(POLL_INTERVAL_MS);
            return;
        }
        let names_other_start = |claim: &Claim| claim.report.started_wall_ms != known_start_ms;
        let is_of_next = |claim: &Claim| !claim.is_known_alive || names_other_start(claim);
        // An answer without a start does not refute a claim of another one.
        let is_refuted = !is_other && (started_ms != 0 || !claim.is_some_and(is_of_next));
        if is_refuted {
            if let Some(claim) = worker.refute_claim(now).filter(|claim| claim.is_connected) {
                worker.report.address = claim.report.address;
            }
        } else {
            let report = worker.link_report().clone();
            worker.take_claim();
            self.process_ended(key, EndEvidence::Listing, now);
            self.begin_incarnation(key, report, now);
        }
        let worker = &mut self.workers[key];
        if started_ms != 0 {
            worker.report.started_wall_ms = started_ms;
        }
        let is_first_answer = !worker.synced;
        let is_first_of_process = worker.last_answer_at == Millis::ZERO;
        let was_usable = worker.synced && !worker.unresponsive;
        if worker.synced && worker.failed_polls > 0 {
            self.short_polls_until = now.after_ms(ANSWER_LOSS_WINDOW_MS);
        }
        worker.synced = true;
        worker.unresponsive = false;
        worker.refused_at = None;
        worker.contradicted_at = worker.contradicted_at.filter(|at| sent_at <= *at);
        worker.failed_polls = 0;
        worker.last_answer_at = now;
        worker.answer_asked_at = sent_at;
        worker.has_clock_gone_back = false;
        // The cursor of a former process acknowledges nothing of this one.
        if !is_first_of_process {
            worker.acknowledged = worker.acknowledged.max(worker.poll_cursor);
        }
        worker.keep_labels();
        worker.update_clock(listing.clock_ms, now);
        let recorded = worker.recorded;
        if !was_usable || self.leadership_unconfirmed {
            self.request_worker_placement(key);
        }
        if !recorded {
            self.request_batch(now);
        }
        self.apply_ends(key, &listing.ended, now, wall);
        let listed = self.apply_running(key, &listing.running, now);
        self.note_cut_ends(key, listing, &listed, now);
        if self.accounts_for_all_runs(key) {
            self.drop_unlisted(key, &listed, sent_at, now);
        }
        if is_first_answer {
            self.stop_late_starts(key, now);
        }
        if is_first_of_process {
            self.await_late_poll(key, listing.clock_ms, now);
        }
        self.adjust_pace(key, now);
        self.stop_stalled(key, &listed, sent_at, now);
        // A worker with ends that are not acknowledged answers at once.
        let has_kept_ends = self.has_kept_ends(key);
        let worker = &mut self.workers[key];
        worker.next_poll_at = if has_kept_ends || worker.ack_ready < worker.last_end_sequence {
            now.after_ms(UNWRITTEN_ENDS_POLL_INTERVAL_MS)
        } else {
            now.after_ms(POLL_INTERVAL_MS)
        };
    }

    /// Updates the runs that the worker lists. Returns the keys of those whose job is known.
    fn apply_running(
        &mut self,
        key: WorkerKey,
        listed_runs: &[ListedRun],
        now: Millis,
    ) -> FastSet<RunKey> {
        let mut listed = FastSet::default();
        let mut unknown = Vec::new();
        for listed_run in listed_runs {
            let Some(task) = self.find_listed(&listed_run.task) else {
                unknown.push(listed_run.clone());
                continue;
            };
            let run = match self.run_at(key, task, listed_run.number) {
                Some(run) => run,
                None => self.adopt_run(key, task, listed_run, now),
            };
            listed.insert(run);
            self.update_progress(run, listed_run, now);
            self.clear_suspect(run, now);
        }
        self.update_unknown_runs(key, unknown, now);
        listed
    }

    /// Finds the task of a run or an end that a worker lists. If this leader has not created its occurrence yet, it
    /// does so; the other tasks of the occurrence wait only while the former leader may have started them.
    pub(super) fn find_listed(&mut self, name: &TaskName) -> Option<TaskKey> {
        if let Some(task) = self.job_table.find(name) {
            return Some(task);
        }
        let job = *self.job_table.jobs_by_id.get(&name.job)?;
        self.unseen_use.request_renewal();
        self.job_table
            .create_occurrences_up_to(job, name.position.occurrence);
        self.release_job(job);
        self.job_table.find(name)
    }

    pub(super) fn run_at(&self, worker: WorkerKey, task: TaskKey, number: u32) -> Option<RunKey> {
        let is_run = |run: &RunKey| {
            self.runs.get(*run).is_some_and(|run| {
                let info = run.info();
                (info.worker, info.task, info.number) == (worker, task, number)
            })
        };
        // Each row of an answer is looked up, and a worker may have over a thousand runs.
        if let Some(TaskStatus::Placed(run)) =
            self.job_table.tasks.get(task).map(|task| task.status)
            && is_run(&run)
        {
            return Some(run);
        }
        let runs = self.workers.get(worker)?.runs();
        runs.iter().copied().find(is_run)
    }

    /// Adopts a run that this leader did not start, or stops it if its task needs no run.
    pub(super) fn adopt_run(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        listed_run: &ListedRun,
        now: Millis,
    ) -> RunKey {
        let step = self.job_table.step_of(task);
        let info = RunInfo {
            task,
            number: listed_run.number,
            worker,
            need: step.map(|step| step.need()).unwrap_or_default(),
            workspace: self.job_table.workspace_of(task),
            finite_in: self.finite_in(task, worker),
            fills: step.is_some_and(|step| step.fills),
            sent_at: now,
        };
        let mut run = PlacedRun::new(Phase::Confirmed(Run::adopted(info, now)));
        run.progress.percent_changed_at = now;
        run.is_listed = true;
        let run = self.runs.insert(run, &mut self.workers[worker]);
        self.mark_job_begun(task, now);
        let has_ended = self
            .job_table
            .tasks
            .get(task)
            .and_then(|task| self.job_table.jobs.get(task.job))
            .is_none_or(|job| job.state.is_final());
        let key = task;
        let task = &mut self.job_table.tasks[key];
        task.last_run_number = task.last_run_number.max(listed_run.number);
        let needed = matches!(
            task.status,
            TaskStatus::AwaitingRecovery | TaskStatus::Ready | TaskStatus::Blocked
        );
        if needed && !has_ended && !task.done {
            task.status = TaskStatus::Placed(run);
        } else if !self.adopt_copy(key, run) {
            self.stop_run(run, StopReason::NotNeeded, now);
        }
        run
    }

    fn update_progress(&mut self, key: RunKey, listed_run: &ListedRun, now: Millis) {
        self.confirm_run(key, now);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.is_listed = true;
        run.has_unanswered_start = false;
        run.progress.first.get_or_insert((listed_run.percent, now));
        if run.progress.percent != listed_run.percent {
            run.progress.percent = listed_run.percent;
            run.progress.percent_changed_at = now;
        }
        run.progress.gauge = listed_run.gauge;
        let task_key = run.info().task;
        if let Some(task) = self.job_table.tasks.get_mut(task_key)
            && task.status == TaskStatus::Placed(key)
        {
            if listed_run.percent >= 100 {
                task.not_running_since = None;
            }
            self.update_checkpoint(task_key, &listed_run.checkpoint);
        }
    }

    /// Stops runs that make no progress, so that their tasks restart on another worker. An answer that is read late
    /// says nothing about the time since.
    fn stop_stalled(
        &mut self,
        key: WorkerKey,
        listed: &FastSet<RunKey>,
        sent_at: Millis,
        now: Millis,
    ) {
        let answered_at = now.min(sent_at.after_ms(self.settings.poll_wait_ms));
        let is_complete = self.accounts_for_all_runs(key);
        let stalled: Vec<RunKey> = self.workers[key]
            .runs()
            .iter()
            .copied()
            .filter(|run| is_complete || listed.contains(run))
            .filter(|run| {
                self.runs.get(*run).is_some_and(|run| {
                    run.confirmed_since().is_some()
                        && run.progress.percent < 100
                        && run.pace_percent == 100
                        && answered_at.ms_since(run.progress.percent_changed_at) >= NO_PROGRESS_MS
                })
            })
            .collect();
        for run in stalled {
            let task = self.runs[run].info().task;
            let step = self.job_table.step_of(task);
            if step.is_none_or(|step| step.gang) {
                continue;
            }
            if let Some(task) = self.job_table.tasks.get_mut(task) {
                task.avoid_worker = Some(key);
            }
            self.count_worker_failure(key, now);
            self.stop_run(run, StopReason::NoProgress, now);
        }
    }

    /// Removes runs that the worker no longer lists, if it had confirmed them or accepted their
    /// stop before the poll was sent.
    fn drop_unlisted(
        &mut self,
        key: WorkerKey,
        listed: &FastSet<RunKey>,
        sent_at: Millis,
        now: Millis,
    ) {
        for run in self.workers[key].runs().to_vec() {
            if listed.contains(&run) {
                continue;
            }
            let has_ended = self.runs.get(run).is_some_and(|run| {
                // A start in flight, or answered after the poll was sent, may have begun a run since.
                let is_settled = !run.start_in_flight && run.settled_at < sent_at;
                is_settled
                    && (run.confirmed_since().is_some_and(|since| since < sent_at)
                        || run.stop_accepted_at.is_some_and(|at| at < sent_at))
            });
            if has_ended {
                self.drop_run(run, now);
            }
        }
    }

    pub(super) fn apply_end(&mut self, key: WorkerKey, end: &ListedEnd, now: Millis, wall: Millis) {
        let Some(task) = self.find_listed(&end.task) else {
            return;
        };
        self.mark_job_begun(task, now);
        self.record_end(key, task, end);
        let ended_run = self.run_at(key, task, end.number);
        match end.kind {
            RunEndKind::Done => {
                if let Some(run) = ended_run {
                    self.learn_end(run, now);
                }
                self.hold_end(key, end.sequence, task, ended_run);
                self.task_done(task, ended_run, now, wall);
            }
            RunEndKind::Failed => self.task_failed(key, task, end.number, now, wall),
            RunEndKind::Stopped | RunEndKind::Lapsed | RunEndKind::Broken | RunEndKind::Alone => {}
        }
        if let Some(run) = ended_run {
            self.drop_run(run, now);
        }
        self.events.push(SchedulerEvent::RunEnded {
            task: end.task.clone(),
            number: end.number,
            worker: Arc::clone(&self.workers[key].report.id),
            kind: end.kind,
            failed_runs: self.job_table.tasks[task].failed_runs.len(),
        });
    }

    fn record_end(&mut self, key: WorkerKey, task_key: TaskKey, end: &ListedEnd) {
        let task = &mut self.job_table.tasks[task_key];
        if end.number >= task.last_run_number {
            task.last_run_number = end.number;
            let job = task.job;
            self.update_checkpoint(task_key, &end.checkpoint);
            if !end.checkpoint.is_empty()
                && let Some(job) = self.job_table.jobs.get_mut(job)
            {
                job.dirty = true;
            }
        }
        if end.kind == RunEndKind::Done {
            self.workers[key].quarantine.count_success();
        }
    }

    /// Completes a task, and the other tasks of a gang. Stops their runs apart from the one that has
    /// ended: a later run of the task may be active elsewhere.
    fn task_done(&mut self, key: TaskKey, ended_run: Option<RunKey>, now: Millis, wall: Millis) {
        let Some(step) = self.job_table.step_of(key) else {
            return;
        };
        if step.long_running {
            return;
        }
        let position = self.job_table.tasks[key].position;
        let job = self.job_table.tasks[key].job;
        let completed_tasks: Vec<TaskKey> = if step.gang {
            self.tasks_of_step(job, position.occurrence, position.step)
        } else {
            vec![key]
        };
        for member in completed_tasks {
            let previous_status = self.job_table.tasks[member].status;
            if !self.job_table.mark_done(member) {
                continue;
            }
            self.settle_copy(member, ended_run, now);
            if let TaskStatus::Placed(run) = previous_status
                && Some(run) != ended_run
            {
                let reason = if member == key {
                    StopReason::NotNeeded
                } else {
                    StopReason::GangDone
                };
                self.stop_run(run, reason, now);
            }
        }
        self.complete_or_unblock(job, position, now, wall);
    }

    fn tasks_of_step(&self, job: JobKey, occurrence: u32, step: u16) -> Vec<TaskKey> {
        let steps = self
            .job_table
            .jobs
            .get(job)
            .and_then(|job| job.occurrences.get(occurrence as usize));
        steps
            .and_then(|steps| steps.get(usize::from(step)))
            .cloned()
            .unwrap_or_default()
    }

    /// Completes the job, or releases the steps that have waited for the one of a task that is done.
    fn complete_or_unblock(&mut self, key: JobKey, done: TaskPosition, now: Millis, wall: Millis) {
        let Some(job) = self.job_table.jobs.get(key) else {
            return;
        };
        let all_created =
            u32::try_from(job.occurrences.len()).unwrap_or(u32::MAX) >= job.occurrences_total();
        if job.unfinished_tasks == 0 && all_created {
            self.finish_job(key, JobState::Completed, now, wall);
            self.request_batch(now.after_ms(JOB_END_BATCH_DELAY_MS));
            return;
        }
        if !job.is_step_done(done.occurrence, done.step) {
            return;
        }
        let steps = job.occurrences.get(done.occurrence as usize).into_iter();
        let waiting = steps
            .flatten()
            .zip(&job.record.spec.steps)
            .filter(|(_, step)| step.after.contains(&done.step));
        let blocked: Vec<TaskKey> = waiting
            .flat_map(|(tasks, _)| tasks)
            .copied()
            .filter(|task| {
                self.job_table
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
        let long_running = self.job_table.is_long_running(key);
        let task = &mut self.job_table.tasks[key];
        if task.done || task.failed_runs.contains(&number) {
            return;
        }
        let is_first = task.failed_runs.is_empty();
        task.avoid_worker = Some(worker);
        if is_first {
            self.count_worker_failure(worker, now);
        }
        if long_running {
            return;
        }
        let task = &mut self.job_table.tasks[key];
        task.failed_runs.push(number);
        let (job, failures) = (task.job, task.failed_runs.len());
        let Some(entry) = self.job_table.jobs.get_mut(job) else {
            return;
        };
        entry.dirty = true;
        if failures >= entry.policy.attempts_max.max(1) as usize {
            self.finish_job(job, JobState::Failed, now, wall);
        }
    }
}
