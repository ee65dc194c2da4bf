//! Lives of workers that the platform's list of instances shows as over.
//!
//! A worker is one life of an instance, and the list names the life that an instance is in. So a
//! worker that has crashed is known to be over well before the lease of its runs ends. A worker that
//! is cut off stays in the list.

use crate::prelude::*;
use crate::schedule::Scheduler;
use crate::schedule::order::MachineReport;

/// The list has to lack the instance of a silent worker for this long: the pages of one reading are
/// not of one moment. Three readings fit into it while a worker is silent.
const LACKED_MS: u64 = 1_000;

impl Scheduler {
    /// Ends the life that an instance was in if the list shows it in another one, or in none.
    pub(super) fn end_former_life(&mut self, key: MachineKey, report: &MachineReport, now: Millis) {
        let before = self.fleet.machines[key].report.worker.clone();
        if before == report.worker {
            return;
        }
        let former = before.and_then(|id| self.workers_by_id.get(&id).copied());
        if let Some(worker) = former {
            self.end_life(worker, now);
        }
    }

    /// Asks for the list if a worker has just fallen silent.
    pub(in crate::schedule) fn read_machines_soon(&mut self, now: Millis) {
        self.fleet.next_list = self.fleet.next_list.min(now);
    }

    /// Ends the lives of silent workers whose instances the newest list shows in another life, or has
    /// lacked for long.
    pub(super) fn end_unlisted_lives(&mut self, now: Millis) {
        let is_whole = self.lists_answering_workers();
        let mut over = Vec::new();
        for (key, worker) in &mut self.workers {
            if !worker.silent || worker.report.machine.is_empty() {
                worker.lacked_since = None;
                continue;
            }
            if worker.silent_since > self.fleet.list_sent_at {
                continue;
            }
            let machine = self.fleet.by_name.get(&worker.report.machine);
            match machine.and_then(|key| self.fleet.machines.get(*key)) {
                Some(machine) if machine.report.worker.as_ref() == Some(&worker.report.id) => {
                    worker.lacked_since = None;
                }
                Some(_) => over.push(key),
                None if is_whole => {
                    let since = *worker.lacked_since.get_or_insert(now);
                    if now.ms_since(since) >= LACKED_MS {
                        over.push(key);
                    }
                }
                None => {}
            }
        }
        for key in over {
            if self.may_run_something(key) {
                self.end_life(key, now);
            }
        }
    }

    /// Whether the list has the instances of most workers that answer: a short list proves nothing.
    fn lists_answering_workers(&self) -> bool {
        let answering = self
            .workers
            .values()
            .filter(|worker| worker.known && !worker.silent);
        let (listed, lacking): (Vec<_>, Vec<_>) =
            answering.partition(|worker| self.fleet.by_name.contains_key(&worker.report.machine));
        listed.len() > lacking.len()
    }

    fn may_run_something(&self, key: WorkerKey) -> bool {
        let has_runs = self
            .workers
            .get(key)
            .is_some_and(|worker| !worker.runs.is_empty());
        has_runs || self.is_awaited(key)
    }

    /// Whether the list may show soon that a silent worker is over.
    pub(super) fn awaits_news_of_lives(&self) -> bool {
        let mut keys = self.workers.iter().filter(|(_, worker)| worker.silent);
        keys.any(|(key, _)| self.may_run_something(key))
    }
}
