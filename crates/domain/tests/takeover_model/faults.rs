//! Random submissions, cancellations and faults.

use rand::Rng;
use rosemaryscale_domain::job::{JobRecord, JobSpec, QueuePolicy, StepSpec};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::Acceptance;
use rosemaryscale_domain::workspace::Caller;

use super::conditions::Restart;
use super::{ATTEMPTS_MAX, LEADER_TTL_MS, TakeoverModel, WORKER_COUNT};

/// Share of restarts after which a worker has a new id.
const NEW_ID_PER_MILLE: u32 = 300;

impl TakeoverModel {
    pub(super) fn submit_and_cancel(&mut self) {
        if self.draw_chance(12) {
            let id: Arc<str> = format!("j{}", self.store.jobs.len()).into();
            let record = self.draw_job();
            self.store.jobs.push((Arc::clone(&id), record.clone()));
            if let Some(leader) = self.storing_leader() {
                let (now, scheduler) = (self.now, &mut self.leaders[leader].scheduler);
                scheduler.submit(id, record, Acceptance::InTerm, now, now);
            }
        }
        let job_count = self.store.jobs.len();
        if self.draw_chance(self.conditions.cancels_per_mille) && job_count > 0 {
            let recent = job_count.min(self.conditions.cancelled_among_last);
            let index = self.rng.random_range(job_count - recent..job_count);
            let id = Arc::clone(&self.store.jobs[index].0);
            self.store.cancelled.insert(Arc::clone(&id));
            self.checks.cancelled(&id, self.now);
            if let Some(leader) = self.storing_leader() {
                let now = self.now;
                self.leaders[leader]
                    .scheduler
                    .cancel(&id, &Caller::default(), now, now);
            }
        }
    }

    fn draw_job(&mut self) -> JobRecord {
        let (workspace, processors_milli) = self.draw_workspace();
        let step = |count, after: Vec<u16>| StepSpec {
            count,
            processors_milli,
            memory_mb: 100,
            estimate_ms: 500,
            after,
            ..StepSpec::default()
        };
        let mut steps = vec![step(self.rng.random_range(1..4), Vec::new())];
        if self.draw_chance(400) {
            steps.push(step(self.rng.random_range(1..3), vec![0]));
        }
        if self.conditions.speculative_percent > 0 {
            for step in &mut steps {
                step.speculative = self.draw_chance(10 * self.conditions.speculative_percent);
            }
        }
        JobRecord {
            queue: "queue".into(),
            policy: QueuePolicy {
                service: "service".into(),
                priority: 0,
                attempts_max: ATTEMPTS_MAX,
                stretch: 1.6,
                objective_ms: 600,
                advice: None,
            },
            received_wall_ms: self.now.as_ms(),
            workspace,
            spec: JobSpec {
                text: "text".into(),
                steps,
                repeat: None,
            },
        }
    }

    pub(super) fn inject_faults(&mut self) {
        let worker = self.rng.random_range(0..WORKER_COUNT);
        if self.draw_chance(self.conditions.crashes_per_mille) {
            let running = self.workers[worker].running.iter().map(|run| &run.task);
            self.checks.worker_crashed(running);
            self.workers[worker].crash();
        }
        if self.draw_chance(self.conditions.restarts_per_mille) && !self.workers[worker].up {
            self.restart(worker);
        }
        let Some(last) = self.leaders.len().checked_sub(1) else {
            return;
        };
        if self.draw_chance(2) {
            self.leaders[last].partitioned_from.insert(worker);
        }
        if self.draw_chance(6) {
            self.leaders[last].partitioned_from.remove(&worker);
        }
        if self.storing_leader().is_some() && self.draw_chance(3) {
            let killed = self.draw_chance(400);
            let leader = &mut self.leaders[last];
            leader.is_active = !killed;
            leader.reaches_store = false;
            leader.lost_store_at = self.now;
            self.takeover_at = Some(self.now.after_ms(LEADER_TTL_MS));
        }
    }

    fn restart(&mut self, worker: usize) {
        let keeps_orders = self.conditions.restart == Restart::OrdersOnTheirWay;
        let gets_new_id = keeps_orders && self.draw_chance(NEW_ID_PER_MILLE);
        let worker = &mut self.workers[worker];
        worker.restart(self.now);
        if keeps_orders {
            worker.reset_clock(self.now);
        }
        if gets_new_id {
            worker.rename();
        }
    }

    pub(super) fn clear_faults(&mut self) {
        self.loss_percent = 0;
        for worker in 0..self.workers.len() {
            if !self.workers[worker].up {
                self.restart(worker);
            }
        }
        for leader in &mut self.leaders {
            leader.partitioned_from.clear();
        }
    }
}
