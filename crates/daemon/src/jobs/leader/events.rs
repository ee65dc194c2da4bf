//! Passes the events of watches and ports to the scheduler.

use std::sync::Arc;

use rosemaryscale_domain::job::JobRecord;
use rosemaryscale_domain::schedule::Acceptance;
use rosemaryscale_domain::schedule::order::{AdviceResult, InstanceListing};
use rosemaryscale_ports::instance_order::{InstanceList, InstanceOrderEvent};
use rosemaryscale_ports::kv::{KvEntry, Update, WatchEvent};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::worker::WorkerEvent;
use slog::{debug, info, warn};

use super::Leader;
use crate::jobs::records::{self, GATEWAY_PREFIX, GatewayRecord, JobKeyKind, LEADER_MARKER_KEY};

impl Leader {
    /// Applies accepted and cancelled jobs. A leader that has lost its key applies no job accepted
    /// after that, since the next leader starts such jobs without waiting for this one to end.
    pub(super) fn apply_job_changes(&mut self, event: WatchEvent) -> Result<(), &'static str> {
        if self.has_lost_marker(&event) {
            return Err("the scheduler key was deleted");
        }
        self.apply_deleted_jobs(&event);
        let (now, wall) = (self.options.clock.now(), self.options.clock.wall());
        for entry in self.put_entries(event, "jobs") {
            let acceptance = acceptance(&entry, self.lease.fencing_token);
            match records::job_key_kind(&entry.key) {
                Some(JobKeyKind::Job(id)) => match records::decode::<JobRecord>(&entry.value) {
                    Ok(record) => {
                        self.scheduler
                            .submit(id.into(), record, acceptance, now, wall);
                    }
                    Err(error) => {
                        warn!(self.options.log, "job skipped"; "job" => id, "reason" => %error);
                    }
                },
                Some(JobKeyKind::Cancel(id)) => {
                    for caller in records::cancelling_callers(&entry) {
                        self.scheduler.cancel(id, &caller, now, wall);
                    }
                }
                Some(JobKeyKind::Leader) | None => {}
            }
        }
        Ok(())
    }

    fn apply_deleted_jobs(&mut self, event: &WatchEvent) {
        match event {
            WatchEvent::Snapshot { entries, .. } => {
                let ids = entries.iter().filter_map(|entry| job_id(&entry.key));
                let listed: FastSet<Arc<str>> = ids.map(Arc::from).collect();
                self.scheduler.jobs_listed(&listed);
            }
            WatchEvent::Changed { updates, .. } => {
                for update in updates {
                    if let Update::Deleted(key) = update
                        && let Some(id) = job_id(key)
                    {
                        self.scheduler.job_deleted(id);
                    }
                }
            }
            WatchEvent::Receiving | WatchEvent::Disconnected { .. } => {}
        }
    }

    fn has_lost_marker(&self, event: &WatchEvent) -> bool {
        let is_own = |entry: &KvEntry| entry.lease == self.lease.id;
        match event {
            WatchEvent::Snapshot { entries, .. } => {
                let marker = entries
                    .iter()
                    .find(|entry| &*entry.key == LEADER_MARKER_KEY);
                !marker.is_some_and(is_own)
            }
            WatchEvent::Changed { updates, .. } => updates.iter().any(|update| match update {
                Update::Put(entry) => &*entry.key == LEADER_MARKER_KEY && !is_own(entry),
                Update::Deleted(key) => &**key == LEADER_MARKER_KEY,
            }),
            WatchEvent::Receiving | WatchEvent::Disconnected { .. } => false,
        }
    }

    /// Entries that a watch event reports as created or updated.
    pub(super) fn put_entries(&self, event: WatchEvent, watched: &str) -> Vec<KvEntry> {
        match event {
            WatchEvent::Snapshot { entries, .. } => entries,
            WatchEvent::Changed { updates, .. } => updates
                .into_iter()
                .filter_map(|update| match update {
                    Update::Put(entry) => Some(entry),
                    Update::Deleted(_) => None,
                })
                .collect(),
            WatchEvent::Receiving => Vec::new(),
            WatchEvent::Disconnected { reason } => {
                debug!(self.options.log, "a watch does not answer"; "of" => watched, "reason" => reason);
                Vec::new()
            }
        }
    }

    pub(super) fn apply_wave_changes(&mut self, event: WatchEvent) {
        let now = self.options.clock.now();
        for entry in self.put_entries(event, "waves") {
            match (self.options.platform.read_wave)(&entry.value) {
                Ok(wave) => {
                    info!(self.options.log, "maintenance wave"; "wave" => wave.number,
                        "instances" => wave.instances.len(), "at_once" => wave.down_max);
                    self.scheduler.wave_requested(wave, now);
                }
                Err(reason) => {
                    warn!(self.options.log, "wave skipped"; "key" => &*entry.key, "reason" => &*reason);
                }
            }
        }
    }

    /// Applies changed offers of gateways. A connected gateway is kept even if its offer has expired.
    pub(super) fn apply_gateway_changes(&mut self, event: WatchEvent) {
        let offers = &mut self.calls.gateways.offers;
        match event {
            WatchEvent::Snapshot { entries, .. } => {
                offers.clear();
                let read = |entry: &KvEntry| GatewayRecord::read(&entry.key, &entry.value);
                for offer in entries.iter().filter_map(read) {
                    offers.insert(Arc::clone(&offer.name), offer);
                }
            }
            WatchEvent::Changed { updates, .. } if updates.is_empty() => return,
            WatchEvent::Receiving => return,
            WatchEvent::Changed { updates, .. } => {
                for update in updates {
                    match update {
                        Update::Put(entry) => {
                            if let Some(offer) = GatewayRecord::read(&entry.key, &entry.value) {
                                offers.insert(Arc::clone(&offer.name), offer);
                            }
                        }
                        Update::Deleted(key) => {
                            if let Some(name) = key.strip_prefix(GATEWAY_PREFIX) {
                                offers.remove(name);
                            }
                        }
                    }
                }
            }
            WatchEvent::Disconnected { reason } => {
                debug!(self.options.log, "a watch does not answer"; "of" => "gateways",
                    "reason" => reason);
                return;
            }
        }
        self.calls.gateways.publish();
    }

    /// Logs the first list with unreadable rows, and later ones only after a readable one.
    fn log_unreadable_instances(&mut self, list: &InstanceList) {
        let is_unreadable = list.unreadable_rows > 0;
        if is_unreadable && !self.instance_rows_unreadable {
            warn!(self.options.log, "instance rows unreadable"; "rows" => list.unreadable_rows,
                "reason" => &*list.reason);
        }
        self.instance_rows_unreadable = is_unreadable;
    }

    pub(super) fn apply_instance_event(&mut self, event: InstanceOrderEvent) {
        let now = self.options.clock.now();
        match event {
            InstanceOrderEvent::ListRead(list) => {
                self.instances_listed_at = Some(now);
                if let Some(list) = &list {
                    self.log_unreadable_instances(list);
                }
                let listing = list.map(|list| InstanceListing {
                    is_complete: list.unreadable_rows == 0,
                    reports: list.reports,
                });
                self.scheduler.instances_listed(listing, now);
            }
            InstanceOrderEvent::OrderEnded { instance, result } => {
                info!(self.options.log, "instance ordered"; "result" => %result,
                    "instance" => self.scheduler.instance_name(instance).map(ToString::to_string));
                self.scheduler.instance_ordered(instance, result, now);
            }
        }
    }

    pub(super) fn apply_advice(&mut self, result: AdviceResult) {
        if let AdviceResult::Answered { allowed, valid_ms } = &result {
            info!(self.options.log, "advice"; "allowed" => allowed.len(), "valid_ms" => valid_ms);
        }
        self.scheduler.advised(result, self.options.clock.now());
    }

    pub(super) fn apply_worker_changes(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Snapshot { entries, .. } => {
                let prefix = self.options.platform.worker_prefix;
                let ids = entries
                    .iter()
                    .filter_map(|entry| entry.key.strip_prefix(prefix));
                let ids: FastSet<&str> = ids.collect();
                self.refused_workers.retain(|id| ids.contains(&**id));
                let mut listed = FastSet::default();
                for entry in &entries {
                    if let Some(id) = self.apply_worker_entry(entry) {
                        listed.insert(id);
                    }
                }
                self.scheduler.workers_listed(&listed);
            }
            WatchEvent::Changed { updates, .. } => {
                for update in updates {
                    match update {
                        Update::Put(entry) => {
                            self.apply_worker_entry(&entry);
                        }
                        Update::Deleted(key) => {
                            if let Some(id) = key.strip_prefix(self.options.platform.worker_prefix)
                            {
                                info!(self.options.log, "worker unlisted"; "worker" => id);
                                self.refused_workers.remove(id);
                                self.scheduler.worker_unlisted(id);
                            }
                        }
                    }
                }
            }
            WatchEvent::Receiving => {}
            WatchEvent::Disconnected { reason } => {
                debug!(self.options.log, "the watch of workers does not answer"; "reason" => reason);
            }
        }
    }

    /// Applies the entry of a worker, and returns its id. An entry that cannot be read names no worker: a known one
    /// is unlisted until its next readable entry. It is logged once, however often it is rewritten.
    pub(super) fn apply_worker_entry(&mut self, entry: &KvEntry) -> Option<Arc<str>> {
        let id = entry
            .key
            .strip_prefix(self.options.platform.worker_prefix)?;
        match (self.options.platform.read_worker)(id, &entry.value) {
            Ok(report) => {
                let id = Arc::clone(&report.id);
                if self.refused_workers.remove(&id) {
                    info!(self.options.log, "worker entry readable again"; "worker" => &*id);
                }
                self.scheduler
                    .worker_listed(report, self.options.clock.now());
                Some(id)
            }
            Err(reason) => {
                if self.refused_workers.insert(id.into()) {
                    warn!(self.options.log, "worker entry refused"; "worker" => id, "reason" => &*reason);
                }
                self.scheduler.worker_unlisted(id);
                None
            }
        }
    }

    pub(super) fn apply_worker_event(&mut self, event: WorkerEvent) {
        self.load.count_worker_event();
        let (now, wall) = (self.options.clock.now(), self.options.clock.wall());
        match event {
            WorkerEvent::Started {
                worker,
                run,
                result,
            } => {
                self.scheduler.started(worker, run, result, now);
            }
            WorkerEvent::Stopped {
                worker,
                run,
                result,
            } => {
                self.scheduler.stopped(worker, run, result, now);
            }
            WorkerEvent::Paced {
                worker,
                order,
                result,
            } => self
                .scheduler
                .paced(worker, &order.task, order.number, result),
            WorkerEvent::Polled { worker, result } => {
                self.scheduler.poll_ended(worker, result, now, wall);
            }
        }
    }
}

/// Id of the job whose record has this key.
fn job_id(key: &str) -> Option<&str> {
    match records::job_key_kind(key)? {
        JobKeyKind::Job(id) => Some(id),
        JobKeyKind::Cancel(_) | JobKeyKind::Leader => None,
    }
}

/// Whether a job was accepted during the term whose leader key was created at revision `fencing_token`,
/// or before it.
pub(super) fn acceptance(entry: &KvEntry, fencing_token: u64) -> Acceptance {
    if entry.mod_revision > fencing_token {
        Acceptance::InTerm
    } else {
        Acceptance::BeforeTerm
    }
}
