//! Batches of state to be stored before ends are acknowledged and workers are used.

use serde::{Deserialize, Serialize};

use super::fleet::{InstanceOrderRecord, WaveRecord};
use super::order::WorkerReport;
use super::run::PlacedRun;
use super::{LOW_PRIORITY_BATCH_DELAY_MS, Scheduler};
use crate::job::{JobProgress, JobState};
use crate::placement::Resources;
use crate::prelude::*;

/// A worker that may have runs, as stored for the next leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedWorker {
    /// Id of the worker, which names one process of an instance.
    pub id: Arc<str>,
    /// Address for orders.
    pub address: Arc<str>,
    /// Its service; empty if unknown.
    #[serde(default)]
    pub service: Arc<str>,
    /// The instance it runs on; empty if the platform does not report it.
    #[serde(default)]
    pub machine: Arc<str>,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub started_wall_ms: u64,
    /// Time from the write of the record on for which its runs may last without another order. `None` in a record of
    /// a version that does not store it.
    #[serde(default)]
    pub lease_ms: Option<u64>,
    /// Whether the list of instances has shown it, so that one without it shows that it has ended.
    #[serde(default)]
    pub was_shown: bool,
}

impl RecordedWorker {
    /// Whether a stored record still holds in place of this one. A lease above the usual one may stay in the store
    /// while it runs down, which saves writing it with each batch.
    fn is_covered_by(&self, stored: &Self, usual_lease_ms: u64) -> bool {
        let is_running_down =
            self.lease_ms > Some(usual_lease_ms) && stored.lease_ms >= self.lease_ms;
        let with_stored_lease = Self {
            lease_ms: stored.lease_ms,
            ..self.clone()
        };
        (is_running_down || self.lease_ms == stored.lease_ms) && with_stored_lease == *stored
    }

    pub(super) fn into_report(self) -> WorkerReport {
        WorkerReport {
            id: self.id,
            service: self.service,
            address: self.address,
            availability_zone: "".into(),
            labels: Vec::new(),
            capacity: Resources::default(),
            instance: self.machine,
            started_wall_ms: self.started_wall_ms,
            draining: false,
        }
    }
}

/// Stored data of one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobWrite {
    /// The job's id.
    pub id: Arc<str>,
    /// Its queue.
    pub queue: Arc<str>,
    /// Its workspace.
    pub workspace: Option<Arc<str>>,
    /// Progress that a new leader needs.
    pub progress: JobProgress,
    /// The state visible to callers, if it has changed.
    pub state: Option<JobState>,
}

/// Changes that are stored together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Sequence number of the batch.
    pub sequence: u64,
    /// Changed jobs.
    pub jobs: Vec<JobWrite>,
    /// Workers that may have runs, if they differ from the previous batch.
    pub workers: Option<Vec<RecordedWorker>>,
    /// Whether other workers may have runs of a former leader. The next leader must wait for them as well, since
    /// the stored list now names only the workers that this leader knows.
    pub unknown_workers: bool,
    /// Queues that have been routed to more than one service.
    pub rerouted: Vec<Arc<str>>,
    /// The maintenance waves.
    pub waves: Vec<WaveRecord>,
    /// Orders to instances that may still be carried out.
    pub instance_orders: Vec<InstanceOrderRecord>,
    /// Maintenance waves whose state is to be published: number, and whether the wave has
    /// completed.
    pub wave_states: Vec<(u64, bool)>,
    /// Whether the leader sends no more orders after this batch.
    pub released: bool,
}

/// Progress of the batches towards the store.
#[derive(Debug)]
pub(super) struct BatchQueue {
    /// Sequence number of the newest batch.
    sequence: u64,
    /// Since when a batch is in flight.
    in_flight_since: Option<Millis>,
    /// When the next batch is due; `None` if nothing is to be stored.
    due: Option<Millis>,
    /// Workers named in the newest batch that listed them. The store holds this list once the batch in
    /// flight is written.
    written_workers: Option<Vec<RecordedWorker>>,
    /// Whether the next batch is the last one.
    released: bool,
}

impl BatchQueue {
    pub(super) const fn new(due: Millis) -> Self {
        Self {
            sequence: 0,
            in_flight_since: None,
            due: Some(due),
            written_workers: None,
            released: false,
        }
    }

    /// Requests a batch at this time or earlier.
    pub(super) fn request(&mut self, at: Millis) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    /// Sequence number of the batch that will contain a change made now.
    pub(super) const fn next_sequence(&self) -> u64 {
        self.sequence + 1
    }

    /// Time for which the batch in flight has not been stored.
    pub(super) fn age_ms(&self, now: Millis) -> u64 {
        self.in_flight_since.map_or(0, |since| now.ms_since(since))
    }

    /// Begins a batch if one is due and none is in flight.
    fn begin(&mut self, now: Millis) -> bool {
        if self.in_flight_since.is_some() || self.due.is_none_or(|due| due > now) {
            return false;
        }
        self.due = None;
        self.in_flight_since = Some(now);
        self.sequence += 1;
        true
    }

    /// The workers to be stored, unless the record of an earlier batch still holds.
    fn changed_workers(
        &mut self,
        workers: Vec<RecordedWorker>,
        usual_lease_ms: u64,
    ) -> Option<Vec<RecordedWorker>> {
        let is_covered = |stored: &Vec<RecordedWorker>| {
            stored.len() == workers.len()
                && workers
                    .iter()
                    .zip(stored)
                    .all(|(worker, stored)| worker.is_covered_by(stored, usual_lease_ms))
        };
        if !self.released && self.written_workers.as_ref().is_some_and(is_covered) {
            return None;
        }
        self.written_workers = Some(workers.clone());
        Some(workers)
    }
}

impl Scheduler {
    /// Makes the next batch the last one. The leader then sends no more orders, so that its successor need not wait
    /// for the time in which a lost leader may still send some, and the batch states how long the runs of each worker
    /// may still last.
    pub fn release(&mut self, now: Millis) {
        self.batches.released = true;
        self.request_batch(now);
    }

    /// Returns the next batch if one is due and none is in flight.
    pub fn take_batch(&mut self, now: Millis) -> Option<Batch> {
        if !self.batches.begin(now) {
            return None;
        }
        let workers = self.workers_to_record(now);
        let usual_lease_ms = self.settings.usual_lease_ms();
        let dirty: Vec<JobKey> = self
            .job_table
            .jobs
            .iter()
            .filter(|(_, job)| job.dirty && job.may_store_progress())
            .map(|(key, _)| key)
            .collect();
        let jobs = dirty
            .into_iter()
            .filter_map(|key| self.job_write(key))
            .collect();
        Some(Batch {
            sequence: self.batches.sequence,
            jobs,
            workers: self.batches.changed_workers(workers, usual_lease_ms),
            unknown_workers: self.awaits_unknown_workers(),
            rerouted: self.rerouted_queues(),
            waves: self.wave_records(),
            instance_orders: self.instance_order_records(),
            wave_states: self.take_wave_states(),
            released: self.batches.released,
        })
    }

    /// Workers that may have runs before the next batch is stored. An unresponsive worker without
    /// runs is left out: it gets no start until it has answered and is recorded again.
    fn workers_to_record(&mut self, now: Millis) -> Vec<RecordedWorker> {
        let mut recorded = Vec::with_capacity(self.workers.len());
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let awaited = self.is_awaited(key);
            let lease_ms = self.lease_to_record(key, now);
            let worker = &mut self.workers[key];
            if worker.unresponsive && worker.runs().is_empty() && !awaited {
                worker.recorded = false;
                continue;
            }
            recorded.push(RecordedWorker {
                id: Arc::clone(&worker.report.id),
                address: Arc::clone(&worker.report.address),
                service: worker.service_of_runs(),
                machine: Arc::clone(&worker.report.instance),
                started_wall_ms: worker.report.started_wall_ms,
                lease_ms: Some(lease_ms),
                was_shown: worker.entry.instance.is_some() || worker.entry.was_shown,
            });
        }
        recorded
    }

    /// Time for which the runs of a worker may last without another order. Starts without an answer count only in the
    /// last batch: most starts are in flight for a moment, and a successor of a leader that has not released its term
    /// reckons with unknown processes anyway.
    fn lease_to_record(&self, key: WorkerKey, now: Millis) -> u64 {
        let worker = &self.workers[key];
        let mut runs = worker.runs().iter().filter_map(|run| self.runs.get(*run));
        let usual_lease_ms = self.settings.usual_lease_ms();
        let lease_ms = usual_lease_ms.max(worker.lease_end.ms_since(now));
        if self.batches.released && runs.any(PlacedRun::may_be_of_unknown_process) {
            lease_ms.max(self.settings.longest_lease_ms())
        } else {
            lease_ms
        }
    }

    /// Offers the workers of the last batch again, because the store has rejected their record. The next
    /// leader would not know of them, so they get no work before it is stored.
    pub fn workers_not_stored(&mut self, now: Millis) {
        self.batches.written_workers = None;
        self.request_batch(now.after_ms(LOW_PRIORITY_BATCH_DELAY_MS));
    }

    fn job_write(&mut self, key: JobKey) -> Option<JobWrite> {
        let progress = self.job_table.progress(key)?;
        let job = self.job_table.jobs.get_mut(key)?;
        job.dirty = false;
        let state = (job.state != job.written_state).then_some(job.state);
        job.written_state = job.state;
        Some(JobWrite {
            id: Arc::clone(&job.id),
            queue: Arc::clone(&job.record.queue),
            workspace: job.record.workspace_name().cloned(),
            progress,
            state,
        })
    }

    /// Marks the workers that the store names. A worker may have been added under the id of a removed one
    /// since the list was last written, so that an unchanged list names it too.
    fn mark_recorded_workers(&mut self) {
        if self.workers.values().all(|worker| worker.recorded) {
            return;
        }
        for recorded in self.batches.written_workers.iter().flatten() {
            let key = self.workers_by_id.get(&recorded.id).copied();
            if let Some(worker) = key.and_then(|key| self.workers.get_mut(key))
                && worker.report.address == recorded.address
                && worker.report.started_wall_ms == recorded.started_wall_ms
                && !worker.recorded
            {
                worker.recorded = true;
                if let Some(service) = worker.service.and_then(|key| self.services.get_mut(key)) {
                    service.placement_due = true;
                }
            }
        }
    }

    /// Applies the completed write of a batch.
    pub fn batch_written(&mut self, batch: &Batch, now: Millis) {
        self.batches.in_flight_since = None;
        self.mark_recorded_workers();
        for (key, worker) in &mut self.workers {
            while let Some((end, written_in_batch)) = worker.unwritten_ends.front().copied() {
                if written_in_batch > batch.sequence || self.copies.holds(key, end) {
                    break;
                }
                worker.ack_ready = end;
                worker.unwritten_ends.pop_front();
            }
            if worker.unwritten_ends.is_empty() && worker.acknowledged < worker.ack_ready {
                let is_urgent = worker.has_unread_ends() || !worker.runs().is_empty();
                worker.next_poll_at = if is_urgent {
                    worker.next_poll_at.min(now)
                } else {
                    now.after_ms(super::ACK_DELAY_MS)
                };
            }
        }
    }
}
