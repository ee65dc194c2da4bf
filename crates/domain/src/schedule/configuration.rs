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
        let services: FastMap<Arc<str>, ServiceKey> = policies
            .iter()
            .map(|(queue, policy)| (Arc::clone(queue), self.service_key(&policy.service)))
            .collect();
        let mut any_rerouted = false;
        for job in self.job_table.jobs.values_mut() {
            if let Some(policy) = policies.get(&job.record.queue) {
                if job.policy.service != policy.service {
                    self.rerouted.insert(Arc::clone(&job.record.queue));
                    job.service = services[&job.record.queue];
                    any_rerouted = true;
                }
                job.policy = policy.clone();
                self.job_table.has_advised_jobs |= policy.advice.is_some();
            }
        }
        if any_rerouted {
            self.requeue_ready_tasks();
        }
        self.request_full_placement();
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
