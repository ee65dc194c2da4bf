//! Detection of ended workers from the platform's list of instances.
//!
//! A worker is one incarnation of an instance, and the list names the current one. A crashed worker
//! is therefore known to have ended well before the lease of its runs expires. A worker that is only
//! unreachable stays in the list, also while its address refuses connections.

use crate::prelude::*;
use crate::schedule::Scheduler;
use crate::schedule::order::{InstanceReport, InstanceState, WorkerReport};
use crate::schedule::run::EndEvidence;

/// Time for which the list must omit the instance of an unresponsive worker before the worker counts as
/// ended. The pages of one read are not a consistent snapshot, so one omission proves nothing; three
/// reads fit into this time while a worker is unresponsive.
const UNRESPONSIVE_ABSENCE_TIMEOUT_MS: u64 = 1_000;

impl Scheduler {
    /// Ends the former worker of an instance if the list shows another one on it, or none.
    pub(super) fn end_former_incarnation(
        &mut self,
        key: FleetInstanceKey,
        report: &InstanceReport,
        now: Millis,
    ) {
        let before = self.fleet.instances[key].report.worker.clone();
        if before == report.worker {
            return;
        }
        let former = before.and_then(|id| self.workers_by_id.get(&id).copied());
        let Some(key) = former else {
            return;
        };
        let requested_at = self.fleet.list_requested_at;
        let worker = self.workers.get(key);
        // A later list decides.
        if worker.is_some_and(|worker| !worker.is_list_current(requested_at, report.state)) {
            return;
        }
        if self.may_answer(key) {
            self.workers[key].contradicted_at = Some(self.fleet.list_requested_at);
            self.workers[key].next_poll_at = now;
        } else {
            self.end_listed(key, now);
        }
    }

    /// Whether a worker with runs may still answer. Two reads of the list may disagree, so a worker that has answered
    /// up to now has ended only once it does not answer a poll after the list that contradicts it.
    fn may_answer(&self, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        worker.is_some_and(|worker| {
            worker.synced && !worker.unresponsive && !worker.runs().is_empty()
        })
    }

    /// Ends the runs of a worker that a list contradicts and that has given no answer to a poll since.
    pub(in crate::schedule) fn end_contradicted(&mut self, key: WorkerKey, now: Millis) {
        let worker = self.workers.get_mut(key);
        if worker.is_some_and(|worker| worker.contradicted_at.take().is_some()) {
            self.end_listed(key, now);
        }
    }

    /// Ends the runs of a worker that a list shows to have ended.
    fn end_listed(&mut self, key: WorkerKey, now: Millis) {
        let refused_at = self.workers.get(key).and_then(|worker| worker.refused_at);
        let evidence = refused_at.map_or(EndEvidence::Listing, |sent_at| EndEvidence::Order {
            sent_at,
        });
        self.process_ended(key, evidence, now);
    }

    /// Schedules an immediate read of the list, for a worker that has just become unresponsive.
    pub(in crate::schedule) fn request_instance_list(&mut self, now: Millis) {
        self.fleet.next_list_at = self.fleet.next_list_at.min(now);
    }

    /// Ends unresponsive workers whose instances have another worker in the latest list, or have been
    /// omitted from it for [`UNRESPONSIVE_ABSENCE_TIMEOUT_MS`].
    pub(super) fn end_unlisted_incarnations(&mut self, now: Millis) {
        let is_complete = self.fleet.is_list_complete && self.list_covers_responsive_workers();
        let mut ended = Vec::new();
        for (key, worker) in &mut self.workers {
            if !worker.unresponsive || worker.report.instance.is_empty() {
                worker.unlisted_since = None;
                continue;
            }
            if worker.unresponsive_since > self.fleet.list_requested_at {
                continue;
            }
            match self.fleet.listed(&worker.report.instance) {
                // Its entry may be of another writer and name the instance of another worker.
                _ if self.fleet.listed_workers.contains(&worker.report.id) => {
                    worker.unlisted_since = None;
                }
                Some(instance)
                    if worker
                        .is_list_current(self.fleet.list_requested_at, instance.report.state) =>
                {
                    ended.push(key);
                }
                None if is_complete => {
                    let since = *worker.unlisted_since.get_or_insert(now);
                    if now.ms_since(since) >= UNRESPONSIVE_ABSENCE_TIMEOUT_MS {
                        ended.push(key);
                    }
                }
                _ => {}
            }
        }
        for key in ended {
            if self.may_have_runs(key) {
                self.end_listed(key, now);
            }
        }
    }

    /// Whether the list contains the instances of most responsive workers. An incomplete list is no
    /// evidence that an instance was removed.
    fn list_covers_responsive_workers(&self) -> bool {
        let responsive = self
            .workers
            .values()
            .filter(|worker| worker.synced && !worker.unresponsive);
        let (listed, unlisted): (Vec<_>, Vec<_>) =
            responsive.partition(|worker| self.fleet.listed(&worker.report.instance).is_some());
        listed.len() > unlisted.len()
    }

    /// Whether the list shows the instance of a worker without it, for another reason than that it is down.
    pub(in crate::schedule) fn is_instance_without(&self, worker: &WorkerReport) -> bool {
        let key = self.fleet.by_name.get(&worker.instance);
        let instance = key.and_then(|key| self.fleet.instances.get(*key));
        instance.is_some_and(|instance| {
            instance.report.state != InstanceState::Down
                && !self.fleet.listed_workers.contains(&worker.id)
        })
    }

    /// Whether the latest list shows a worker with this id on an instance.
    pub(in crate::schedule) fn is_listed_on_instance(&self, worker: &str) -> bool {
        self.fleet.listed_workers.contains(worker)
    }

    fn may_have_runs(&self, key: WorkerKey) -> bool {
        let has_runs = self
            .workers
            .get(key)
            .is_some_and(|worker| !worker.runs().is_empty());
        has_runs || self.is_awaited(key)
    }

    /// Whether the list may soon show that an unresponsive worker with runs has ended.
    pub(super) fn awaits_incarnation_end(&self) -> bool {
        let mut keys = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.unresponsive);
        keys.any(|(key, _)| self.may_have_runs(key))
    }
}
