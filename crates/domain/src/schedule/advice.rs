//! Tickets of the advisor, which names the workers that may run a step of some queues.
//!
//! Which workers those are does not change; a ticket holds for a while and for one life of its worker.

use super::Scheduler;
use super::order::{Action, AdviceOrder, AdviceResult, StepKey};
use super::place::{off_rack, room_left_ppm};
use crate::job::AdvicePolicy;
use crate::prelude::*;

/// Workers named in one call: the pages count a call on 30 workers for each step of a job's objective.
const WORKERS_PER_CALL: usize = 30;
/// A ticket is not used for the last part of its time: an order may take this long to arrive.
const TICKET_MARGIN_MS: u64 = 300;
/// Pause after a call without an answer.
const ASK_AGAIN_MS: u64 = 300;

/// What the advisor has said of a worker.
#[derive(Clone, Debug)]
enum Verdict {
    /// It may run the step, with this ticket until this time.
    Allowed(Arc<str>, Millis),
    /// It may not.
    Refused,
}

/// A call under way.
#[derive(Debug)]
struct Asked {
    step: StepKey,
    workers: Vec<WorkerKey>,
    sent_at: Millis,
}

/// What the advisor has said. It takes one call at a time from a daemon.
#[derive(Debug, Default)]
pub(super) struct Advice {
    verdicts: FastMap<StepKey, FastMap<WorkerKey, Verdict>>,
    asked: Option<Asked>,
    not_before: Millis,
}

impl Advice {
    /// The ticket of a worker for a step, if there is a valid one.
    pub(super) fn ticket(
        &self,
        step: StepKey,
        worker: WorkerKey,
        now: Millis,
    ) -> Option<&Arc<str>> {
        match self.verdicts.get(&step)?.get(&worker)? {
            Verdict::Allowed(ticket, until) if now.after_ms(TICKET_MARGIN_MS) < *until => {
                Some(ticket)
            }
            Verdict::Allowed(..) | Verdict::Refused => None,
        }
    }

    /// Makes a ticket invalid that its worker has refused.
    pub(super) fn expire_ticket(&mut self, step: StepKey, worker: WorkerKey) {
        let verdict = self
            .verdicts
            .get_mut(&step)
            .and_then(|workers| workers.get_mut(&worker));
        if let Some(Verdict::Allowed(_, until)) = verdict {
            *until = Millis::ZERO;
        }
    }

    /// Forgets the tickets of a life of a worker.
    pub(super) fn forget_worker(&mut self, worker: WorkerKey) {
        for workers in self.verdicts.values_mut() {
            workers.remove(&worker);
        }
    }

    /// Forgets the tickets of a job that is over.
    pub(super) fn forget_job(&mut self, job: JobKey) {
        self.verdicts.retain(|step, _| step.job != job);
    }

    /// Whether the advisor should be asked of the worker: it has not said no, and there is no ticket.
    fn is_open(&self, step: StepKey, worker: WorkerKey, now: Millis) -> bool {
        let verdict = self
            .verdicts
            .get(&step)
            .and_then(|workers| workers.get(&worker));
        !matches!(verdict, Some(Verdict::Refused)) && self.ticket(step, worker, now).is_none()
    }

    fn is_allowed(&self, step: StepKey, worker: WorkerKey) -> bool {
        let verdict = self
            .verdicts
            .get(&step)
            .and_then(|workers| workers.get(&worker));
        matches!(verdict, Some(Verdict::Allowed(..)))
    }
}

impl Scheduler {
    /// Asks for the first of the waiting tasks whose step lacks tickets that could be used now.
    pub(super) fn ask_advisor(&mut self, now: Millis) {
        if self.advice.asked.is_some() {
            return;
        }
        if self.advice.not_before > now {
            self.place_wanted |= self
                .ready
                .iter()
                .any(|task| self.advice_of(*task).is_some());
            return;
        }
        let mut last = None;
        for index in 0..self.ready.len() {
            let task = self.ready[index];
            let Some(step) = self.step_key(task).filter(|step| last != Some(*step)) else {
                continue;
            };
            last = Some(step);
            let Some(policy) = self.advice_of(task) else {
                continue;
            };
            let workers = self.workers_to_ask(task, step, now);
            if !workers.is_empty() {
                self.send_advice_call(step, policy, workers, now);
                return;
            }
        }
    }

    fn send_advice_call(
        &mut self,
        step: StepKey,
        policy: AdvicePolicy,
        workers: Vec<WorkerKey>,
        now: Millis,
    ) {
        let ids: Vec<Arc<str>> = workers
            .iter()
            .filter_map(|worker| Some(Arc::clone(&self.workers.get(*worker)?.report.id)))
            .collect();
        let Some(job) = self.book.jobs.get(step.job) else {
            return;
        };
        self.actions.push(Action::Advise(AdviceOrder {
            step,
            job: Arc::clone(&job.id),
            answer_ms: policy.decision_ms
                + (ids.len() as u64 * policy.per_worker_us).div_ceil(1_000),
            workers: ids,
        }));
        self.advice.asked = Some(Asked {
            step,
            workers,
            sent_at: now,
        });
    }

    /// Workers with room for the task of which the advisor has to be asked, the best ones first; those
    /// that it has allowed before come alone, since it allows them again.
    fn workers_to_ask(&self, task: TaskKey, step: StepKey, now: Millis) -> Vec<WorkerKey> {
        let Some(service) = self.service_of(task) else {
            return Vec::new();
        };
        let Some(spec) = self.book.step_of(task) else {
            return Vec::new();
        };
        let fitting: Vec<WorkerKey> = self.fitting_workers(task, service, &[], now).collect();
        let has_ticket = |worker: &WorkerKey| self.advice.ticket(step, *worker, now).is_some();
        if fitting.iter().any(has_ticket) && !spec.gang {
            return Vec::new();
        }
        let mut open: Vec<WorkerKey> = fitting
            .into_iter()
            .filter(|worker| self.advice.is_open(step, *worker, now))
            .collect();
        if open
            .iter()
            .any(|worker| self.advice.is_allowed(step, *worker))
        {
            open.retain(|worker| self.advice.is_allowed(step, *worker));
        }
        open.sort_by_key(|key| {
            let worker = &self.workers[*key];
            (off_rack(spec, worker), room_left_ppm(spec, worker))
        });
        open.truncate(WORKERS_PER_CALL);
        open
    }

    /// Applies what the advisor answered.
    pub fn advised(&mut self, result: AdviceResult, now: Millis) {
        let Some(asked) = self.advice.asked.take() else {
            return;
        };
        self.place_wanted = true;
        let AdviceResult::Answered { allowed, valid_ms } = result else {
            self.advice.not_before = now.after_ms(ASK_AGAIN_MS);
            return;
        };
        if !self.book.jobs.contains_key(asked.step.job) {
            return;
        }
        let tickets: FastMap<Arc<str>, Arc<str>> = allowed.into_iter().collect();
        let verdicts = self.advice.verdicts.entry(asked.step).or_default();
        for key in asked.workers {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let verdict = match tickets.get(&worker.report.id) {
                Some(ticket) => {
                    Verdict::Allowed(Arc::clone(ticket), asked.sent_at.after_ms(valid_ms))
                }
                None => Verdict::Refused,
            };
            verdicts.insert(key, verdict);
        }
    }

    pub(super) fn advice_of(&self, task: TaskKey) -> Option<AdvicePolicy> {
        let task = self.book.tasks.get(task)?;
        self.book.jobs.get(task.job)?.policy.advice
    }

    pub(super) fn step_key(&self, task: TaskKey) -> Option<StepKey> {
        let task = self.book.tasks.get(task)?;
        Some(StepKey {
            job: task.job,
            occurrence: task.position.occurrence,
            step: task.position.step,
        })
    }
}
