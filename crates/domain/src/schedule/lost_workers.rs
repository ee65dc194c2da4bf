//! Loss of workers: what shows that a process has ended, and what becomes of its runs.
//!
//! The runs of a worker start elsewhere only once they are certainly over. A refused connect, an answer that does not
//! come, or one reading of a list is not enough by itself.

use super::order::{LossEvidence, SchedulerEvent};
use super::run::EndEvidence;
use super::worker::{Claim, IncarnationEnd, Worker};
use super::{Scheduler, UNRESPONSIVE_POLL_INTERVAL_MS};
use crate::prelude::*;

impl Scheduler {
    /// Applies the answer of another process to an order: the worker's own one no longer listens at its address.
    pub(super) fn order_found_other_process(
        &mut self,
        key: WorkerKey,
        sent_at: Option<Millis>,
        now: Millis,
    ) {
        if let Some(sent_at) = sent_at.filter(|at| self.is_of_current_process(key, *at)) {
            self.process_ended(key, EndEvidence::Order { sent_at }, now);
        }
    }

    /// Applies a refused connect: the order has not arrived, but the worker may run on behind something that refuses
    /// connections for it. Its runs are over once the list of instances says so as well, or their lease has ended.
    pub(super) fn connect_refused(&mut self, key: WorkerKey, sent_at: Option<Millis>, now: Millis) {
        let Some(sent_at) = sent_at.filter(|at| self.is_of_current_process(key, *at)) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let is_first = worker.refused_at.replace(sent_at).is_none();
        worker.begin_unresponsive(now);
        if is_first && !worker.runs().is_empty() {
            self.events.push(SchedulerEvent::WorkerRefusesConnects {
                worker: Arc::clone(&worker.report.id),
                runs: worker.runs().len(),
            });
        }
        self.request_instance_list(now);
        self.end_contradicted(key, now);
    }

    /// Whether an order that was sent at this time was meant for the current process. One from before this leader
    /// knew of that process says nothing about it.
    fn is_of_current_process(&self, key: WorkerKey, sent_at: Millis) -> bool {
        let worker = self.workers.get(key);
        worker.is_some_and(|worker| {
            sent_at >= worker.incarnation_since && !worker.may_have_missed(sent_at)
        })
    }

    /// Ends the runs of a worker whose process has ended.
    pub(super) fn process_ended(&mut self, key: WorkerKey, evidence: EndEvidence, now: Millis) {
        if let Some(end) = self.workers.get(key).map(Worker::process_end) {
            self.end_incarnation(key, end, evidence, now);
        }
    }

    /// Ends the runs of a worker whose process has ended or whose lease has expired. A run whose start may have
    /// reached the next incarnation is kept until that incarnation lists its runs, or the lease of the run
    /// would have ended. A claim of another address stays one until an answer decides: nobody has been seen there.
    pub(super) fn end_incarnation(
        &mut self,
        key: WorkerKey,
        end: IncarnationEnd,
        evidence: EndEvidence,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        // The order that ends an empty instance is logged separately.
        let claim = worker.take_claim();
        if worker.synced && !(worker.cordoned && worker.runs().is_empty()) {
            self.events.push(SchedulerEvent::WorkerLost {
                worker: Arc::clone(&worker.report.id),
                runs: worker.runs().len(),
                unresponsive: worker.unresponsive,
                evidence: match evidence {
                    EndEvidence::Order { .. } if worker.refused_at.is_some() => {
                        LossEvidence::RefusedAndListed
                    }
                    EndEvidence::Order { .. } => LossEvidence::OtherProcess,
                    EndEvidence::Listing => LossEvidence::Listed,
                    EndEvidence::Lease => LossEvidence::LeaseEnded,
                },
                answer_age_ms: now.ms_since(worker.answer_asked_at),
            });
        }
        worker.synced = false;
        worker.lease_end = now;
        worker.unknown_runs.clear();
        worker.unknown_runs_since = None;
        worker.unknown_ends.clear();
        worker.unknown_ends_since = None;
        worker.ends_cut_since = None;
        worker.next_poll_at = now.after_ms(UNRESPONSIVE_POLL_INTERVAL_MS);
        for run in worker.runs().to_vec() {
            let Some(placed) = self.runs.get_mut(run) else {
                continue;
            };
            if !placed.has_ended_with(evidence) {
                placed.is_listed = false;
                continue;
            }
            if end == IncarnationEnd::Crashed {
                self.count_crash(run, now);
            }
            self.drop_lost_run(run, now);
        }
        self.stop_awaiting(key, now);
        self.advice.remove_worker(key);
        let Some(claim) = claim else {
            return;
        };
        let is_at_known_address = self
            .workers
            .get(key)
            .is_some_and(|worker| worker.report.address == claim.report.address);
        if is_at_known_address {
            self.begin_incarnation(key, claim.report, now);
        } else if let Some(worker) = self.workers.get_mut(key) {
            worker.claim = Some(Claim {
                is_known_alive: false,
                ..claim
            });
        }
    }

    fn drop_lost_run(&mut self, run: RunKey, now: Millis) {
        let task = self.runs.get(run).map(|run| run.info().task);
        self.drop_run(run, now);
        if let Some(task) = task.and_then(|task| self.job_table.tasks.get_mut(task)) {
            task.last_run_lost = true;
        }
    }

    /// Drops the runs that were kept for the next incarnation of a worker and whose lease has ended. That incarnation
    /// gives the longest lease to a start with a deadline on the clock of the former one, unless the list of instances
    /// shows that there is none.
    pub(super) fn drop_unclaimed_runs(&mut self, now: Millis) {
        let settings = self.settings;
        let mut unclaimed = Vec::new();
        for worker in self.workers.values() {
            if worker.synced || worker.lease_end >= now {
                continue;
            }
            let lease_ms = if self.is_listed_on_instance(&worker.report.id) {
                settings.longest_lease_ms()
            } else {
                settings.usual_lease_ms()
            };
            unclaimed.extend(worker.runs().iter().filter(|run| {
                self.runs.get(**run).is_some_and(|run| {
                    !run.start_in_flight && run.settled_at.after_ms(lease_ms) < now
                })
            }));
        }
        for run in unclaimed {
            self.drop_lost_run(run, now);
        }
    }
}
