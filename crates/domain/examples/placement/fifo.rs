//! Baseline scheduler: first in, first out, by declared size on the first worker that fits.

use std::collections::VecDeque;

use rosemaryscale_domain::placement::{
    JobInfo, JobOutcome, PlacementAction, Report, Resources, RunEnd,
};
use rosemaryscale_domain::prelude::*;

use crate::model::Scheduler;

struct FifoWorker {
    free: Resources,
    incarnation: u64,
    has_reported: bool,
}

#[derive(Default)]
pub struct Fifo {
    workers: SlotMap<WorkerKey, FifoWorker>,
    jobs: SlotMap<JobKey, JobInfo>,
    teams: SlotMap<TeamKey, ()>,
    queue: VecDeque<JobKey>,
    runs: FastMap<u64, (WorkerKey, JobKey)>,
    cancelled: Vec<JobKey>,
    next_token: u64,
    actions: Vec<PlacementAction>,
}

impl Scheduler for Fifo {
    fn add_team(&mut self, _name: Arc<str>, _quota: Resources) -> TeamKey {
        self.teams.insert(())
    }

    fn add_worker(&mut self, _name: Arc<str>, capacity: Resources) -> WorkerKey {
        let (incarnation, has_reported) = (0, false);
        let free = capacity;
        self.workers.insert(FifoWorker {
            free,
            incarnation,
            has_reported,
        })
    }

    fn submit(&mut self, _name: Arc<str>, info: JobInfo, _now: Millis) -> Option<JobKey> {
        let job = self.jobs.insert(info);
        self.queue.push_back(job);
        Some(job)
    }

    fn cancel(&mut self, job: JobKey, _now: Millis) {
        self.cancelled.push(job);
    }

    fn report(&mut self, key: WorkerKey, report: &Report, now: Millis) {
        for (token, end) in &report.ended {
            self.run_ended(key, *token, *end, now);
        }
        let worker = &mut self.workers[key];
        worker.has_reported = true;
        if report.incarnation > worker.incarnation {
            worker.incarnation = report.incarnation;
            let lost = self.runs.iter().filter(|(token, (worker, _))| {
                *worker == key && !report.tasks.iter().any(|task| task.token == **token)
            });
            let lost: Vec<u64> = lost.map(|(token, _)| *token).collect();
            for token in lost {
                self.run_ended(key, token, RunEnd::Failed, now);
            }
        }
    }

    fn run_started(&mut self, _worker: WorkerKey, _token: u64, _now: Millis) {}

    fn run_ended(&mut self, worker: WorkerKey, token: u64, end: RunEnd, _now: Millis) {
        self.actions
            .push(PlacementAction::Acknowledge { worker, token });
        let Some((_, job)) = self.runs.remove(&token) else {
            return;
        };
        let Some(info) = self.jobs.get(job) else {
            return;
        };
        let worker = &mut self.workers[worker];
        worker.free = worker.free.plus(info.declared);
        if end == RunEnd::Done || (!info.repeatable && end != RunEnd::NotStarted) {
            let outcome = JobOutcome::Done;
            self.actions
                .push(PlacementAction::Finished { job, outcome });
            self.jobs.remove(job);
        } else {
            self.queue.push_back(job);
        }
    }

    fn write_succeeded(&mut self, _now: Millis) {}

    fn step(&mut self, _now: Millis) -> Vec<PlacementAction> {
        let cancelled: FastSet<JobKey> = std::mem::take(&mut self.cancelled).into_iter().collect();
        if !cancelled.is_empty() {
            self.queue.retain(|job| !cancelled.contains(job));
            for (token, (worker, job)) in &self.runs {
                if cancelled.contains(job) {
                    let (worker, token) = (*worker, *token);
                    self.actions.push(PlacementAction::Stop { worker, token });
                }
            }
        }
        while let Some(job) = self.queue.front().copied() {
            let Some(info) = self.jobs.get(job).copied() else {
                self.queue.pop_front();
                continue;
            };
            let mut fitting = self.workers.iter_mut();
            let found =
                fitting.find(|(_, worker)| worker.has_reported && info.declared.fits(worker.free));
            let Some((worker, state)) = found else { break };
            self.queue.pop_front();
            state.free = state.free.minus(info.declared);
            let incarnation = state.incarnation;
            self.next_token += 1;
            let token = self.next_token;
            self.runs.insert(token, (worker, job));
            self.actions.push(PlacementAction::Start {
                worker,
                job,
                token,
                incarnation,
            });
        }
        std::mem::take(&mut self.actions)
    }
}
