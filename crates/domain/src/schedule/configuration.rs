//! Changes of the queue policies and workspaces.

use super::Scheduler;
use super::order::StepKey;
use crate::job::QueuePolicy;
use crate::prelude::*;
use crate::workspace::Workspaces;

impl Scheduler {
    /// Applies the queue policies and workspaces of a new configuration; a removed queue keeps its last
    /// policy, and a removed workspace its last weight and quota.
    pub fn configure(
        &mut self,
        policies: &FastMap<Arc<str>, QueuePolicy>,
        workspaces: &Workspaces,
    ) {
        self.workspaces.configure(workspaces);
        self.policies.clone_from(policies);
        let jobs: Vec<JobKey> = self.job_table.jobs.keys().collect();
        let mut any_rerouted = false;
        for job in jobs {
            any_rerouted |= self.apply_policy(job);
        }
        if any_rerouted {
            self.requeue_ready_tasks();
        }
        self.request_full_placement();
    }

    /// Applies the policy in force of a job's queue; the daemon that accepted the job may have had another
    /// one. Returns whether the job now belongs to another service.
    pub(super) fn apply_policy(&mut self, key: JobKey) -> bool {
        let job = self.job_table.jobs.get(key);
        let Some(policy) = job
            .and_then(|job| self.policies.get(&job.record.queue))
            .cloned()
        else {
            return false;
        };
        let service = self.service_key(&policy.service);
        self.job_table.has_advised_jobs |= policy.advice.is_some();
        let Some(job) = self.job_table.jobs.get_mut(key) else {
            return false;
        };
        let is_rerouted = job.policy.service != policy.service;
        if is_rerouted {
            self.rerouted.insert(Arc::clone(&job.record.queue));
            job.service = service;
        }
        job.policy = policy;
        is_rerouted
    }

    /// Moves all ready tasks to the queues of the services that their jobs now belong to.
    fn requeue_ready_tasks(&mut self) {
        let ready: Vec<(StepKey, Vec<TaskKey>)> = self
            .services
            .values_mut()
            .flat_map(|service| service.ready.drain())
            .collect();
        for (step, tasks) in ready {
            if let Some(job) = self.job_table.jobs.get(step.job) {
                self.services[job.service].ready.put_back(step, tasks);
            }
        }
    }
}
