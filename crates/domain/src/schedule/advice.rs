//! Tickets of the advisor, an external service that decides which workers may run the steps of some
//! queues.
//!
//! The set of allowed workers does not change; a ticket is valid for a limited time and for one
//! process of its worker.

use super::Scheduler;
use super::choice::{is_outside_affinity_rack, packing_cost_ppm};
use super::order::{Action, AdviceOrder, AdviceResult, StepKey};
use super::share::ShareLimits;
use crate::job::AdvicePolicy;
use crate::prelude::*;

/// Workers named in one call: the specification assumes a call for 30 workers for each step in the
/// latency objective of a job.
const WORKERS_PER_CALL: usize = 30;
/// A ticket is not used shortly before it expires: an order may take this long to arrive.
const TICKET_MARGIN_MS: u64 = 300;
/// Delay after a call without an answer.
const ADVICE_RETRY_DELAY_MS: u64 = 300;

/// Decision of the advisor about a worker.
#[derive(Clone, Debug)]
enum Decision {
    /// The worker may run the step with this ticket, until this time.
    Allowed(Arc<str>, Millis),
    /// The worker may not run the step.
    Refused,
}

/// A call to the advisor that has not been answered yet.
#[derive(Debug)]
struct PendingCall {
    step: StepKey,
    workers: Vec<WorkerKey>,
    sent_at: Millis,
}

/// Decisions of the advisor. It accepts one call at a time from each daemon.
#[derive(Debug, Default)]
pub(super) struct Advice {
    decisions: FastMap<StepKey, FastMap<WorkerKey, Decision>>,
    pending: Option<PendingCall>,
    not_before: Millis,
}

impl Advice {
    /// The valid ticket of a worker for a step, if there is one.
    pub(super) fn ticket(
        &self,
        step: StepKey,
        worker: WorkerKey,
        now: Millis,
    ) -> Option<&Arc<str>> {
        match self.decisions.get(&step)?.get(&worker)? {
            Decision::Allowed(ticket, until) if now.after_ms(TICKET_MARGIN_MS) < *until => {
                Some(ticket)
            }
            Decision::Allowed(..) | Decision::Refused => None,
        }
    }

    /// Invalidates a ticket that its worker has refused.
    pub(super) fn expire_ticket(&mut self, step: StepKey, worker: WorkerKey) {
        let decision = self
            .decisions
            .get_mut(&step)
            .and_then(|workers| workers.get_mut(&worker));
        if let Some(Decision::Allowed(_, until)) = decision {
            *until = Millis::ZERO;
        }
    }

    /// Removes the tickets of a worker whose process has ended.
    pub(super) fn remove_worker(&mut self, worker: WorkerKey) {
        for workers in self.decisions.values_mut() {
            workers.remove(&worker);
        }
    }

    /// Removes the tickets of a job that has ended.
    pub(super) fn remove_job(&mut self, job: JobKey) {
        self.decisions.retain(|step, _| step.job != job);
    }

    /// Whether the advisor should be asked about the worker: it has not refused it, and there is no
    /// valid ticket.
    fn needs_ticket(&self, step: StepKey, worker: WorkerKey, now: Millis) -> bool {
        let decision = self
            .decisions
            .get(&step)
            .and_then(|workers| workers.get(&worker));
        !matches!(decision, Some(Decision::Refused)) && self.ticket(step, worker, now).is_none()
    }

    fn is_allowed(&self, step: StepKey, worker: WorkerKey) -> bool {
        let decision = self
            .decisions
            .get(&step)
            .and_then(|workers| workers.get(&worker));
        matches!(decision, Some(Decision::Allowed(..)))
    }
}

impl Scheduler {
    /// Requests tickets for the first waiting task whose step has none that can be used now.
    pub(super) fn ask_advisor(&mut self, now: Millis) {
        if !self.job_table.has_advised_jobs || self.advice.pending.is_some() {
            return;
        }
        let steps = self.advised_steps(now);
        if self.advice.not_before > now {
            for step in steps {
                if let Some(job) = self.job_table.jobs.get(step.job) {
                    self.request_placement(job.service);
                }
            }
            return;
        }
        for step in steps {
            let Some((task, policy)) = self
                .first_ready_task(step)
                .and_then(|task| Some((task, self.job_table.advice_of(task)?)))
            else {
                continue;
            };
            let workers = self.workers_to_ask(task, step, now);
            if !workers.is_empty() {
                self.send_advice_call(step, policy, workers, now);
                return;
            }
        }
    }

    /// Waiting steps of queues with an advisor, best rank first.
    fn advised_steps(&self, now: Millis) -> Vec<StepKey> {
        let capacity = self.largest_capacity();
        let view = self.view(now);
        let uncontended = ShareLimits::default();
        let mut ranked = Vec::new();
        for (key, service) in &self.services {
            let limits = self.shares.limits.get(key).unwrap_or(&uncontended);
            let advised = service.ready.steps().filter(|(step, _)| {
                let job = self.job_table.jobs.get(step.job);
                job.is_some_and(|job| job.policy.advice.is_some()) && view.has_quota(*step)
            });
            ranked.extend(advised.filter_map(|(step, _)| view.rank(step, limits, capacity)));
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|rank| rank.step()).collect()
    }

    fn first_ready_task(&self, step: StepKey) -> Option<TaskKey> {
        let job = self.job_table.jobs.get(step.job)?;
        let queue = &self.services.get(job.service)?.ready;
        let mut tasks = queue.tasks(step).iter().copied();
        tasks.find(|task| self.job_table.is_ready(*task))
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
        let Some(job) = self.job_table.jobs.get(step.job) else {
            return;
        };
        self.actions.push(Action::Advise(AdviceOrder {
            step,
            job: Arc::clone(&job.id),
            expected_answer_ms: policy.decision_ms
                + (ids.len() as u64 * policy.per_worker_us).div_ceil(1_000),
            workers: ids,
        }));
        self.advice.pending = Some(PendingCall {
            step,
            workers,
            sent_at: now,
        });
    }

    /// Workers with room for the task that lack a ticket, best first. If some of them were allowed
    /// before, only these are returned, since the advisor allows them again.
    fn workers_to_ask(&self, task: TaskKey, step: StepKey, now: Millis) -> Vec<WorkerKey> {
        let Some(service) = self.service_of(task) else {
            return Vec::new();
        };
        let Some(spec) = self.job_table.step_of(task) else {
            return Vec::new();
        };
        let fitting: Vec<WorkerKey> = self.view(now).fitting_workers(task, service, &[]).collect();
        let has_ticket = |worker: &WorkerKey| self.advice.ticket(step, *worker, now).is_some();
        if fitting.iter().any(has_ticket) && !spec.gang {
            return Vec::new();
        }
        let mut candidates: Vec<WorkerKey> = fitting
            .into_iter()
            .filter(|worker| self.advice.needs_ticket(step, *worker, now))
            .collect();
        if candidates
            .iter()
            .any(|worker| self.advice.is_allowed(step, *worker))
        {
            candidates.retain(|worker| self.advice.is_allowed(step, *worker));
        }
        candidates.sort_by_key(|key| {
            let worker = &self.workers[*key];
            (
                is_outside_affinity_rack(spec, worker),
                packing_cost_ppm(spec, worker),
            )
        });
        candidates.truncate(WORKERS_PER_CALL);
        candidates
    }

    /// Applies the answer of the advisor.
    pub fn advised(&mut self, result: AdviceResult, now: Millis) {
        let Some(pending) = self.advice.pending.take() else {
            return;
        };
        if let Some(job) = self.job_table.jobs.get(pending.step.job) {
            self.request_placement(job.service);
        }
        let AdviceResult::Answered { allowed, valid_ms } = result else {
            self.advice.not_before = now.after_ms(ADVICE_RETRY_DELAY_MS);
            return;
        };
        if !self.job_table.jobs.contains_key(pending.step.job) {
            return;
        }
        let tickets: FastMap<Arc<str>, Arc<str>> = allowed.into_iter().collect();
        let decisions = self.advice.decisions.entry(pending.step).or_default();
        for key in pending.workers {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let decision = match tickets.get(&worker.report.id) {
                Some(ticket) => {
                    Decision::Allowed(Arc::clone(ticket), pending.sent_at.after_ms(valid_ms))
                }
                None => Decision::Refused,
            };
            decisions.insert(key, decision);
        }
    }
}
