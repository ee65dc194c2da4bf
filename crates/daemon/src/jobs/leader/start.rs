//! The start of a leader: its ports, and what the store has.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_domain::job::{JobProgress, JobRecord};
use rosemaryscale_domain::schedule::{
    FormerTerm, RecordedWorker, ScheduleSettings, Scheduler, StoredJob,
};
use rosemaryscale_ports::advice::{AdviceCalls, AdviceEvents};
use rosemaryscale_ports::kv::{KeyRange, KeyValue, KvEntry, KvResult, WatchEvent};
use rosemaryscale_ports::prelude::*;
use slog::{Logger, error, info, warn};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::{Calls, Inputs, LAST_BATCH, Leader, LeaderEnd, LeaderOptions, configure, events};
use crate::jobs::batch::Chain;
use crate::jobs::lease::{self, HeldLease, LEADER_GRACE_MS, Renewal};
use crate::jobs::records::{
    self, CHAIN_KEY, ChainRecord, JOB_PREFIX, JobKeyKind, PROGRESS_PREFIX, WORKERS_KEY,
};

/// New jobs start within this time; each read of the watch is a priced call.
const JOB_WATCH_MS: u64 = 25;
/// Entries of workers are rewritten by every heartbeat; changes that matter are rare.
const WORKER_WATCH_MS: u64 = 250;
/// Waves come seldom.
const WAVE_WATCH_MS: u64 = 500;
/// Pause before a read at the start is tried again.
const RETRY: Duration = Duration::from_millis(150);

impl Leader {
    /// Recovers what the former leader knew, and schedules until the key is lost.
    pub(in crate::jobs) async fn recover(
        options: LeaderOptions,
        held: HeldLease,
        mut stop: watch::Receiver<bool>,
    ) -> LeaderEnd {
        let kv = options.kv.clone();
        let platform = options.platform;
        let (links, worker_events, link_task) = (platform.start_links)();
        let own = Arc::clone(&options.own.daemon);
        let (machines, machine_events, machine_task) =
            (platform.start_machines)(options.machines_address, own);
        let (advisor, advice_events, advisor_task) = start_advisor(&options);
        let workers = prefix(platform.worker_prefix);
        let watches = (
            kv.watch_every(prefix(JOB_PREFIX), JOB_WATCH_MS).await,
            kv.watch_every(workers, WORKER_WATCH_MS).await,
            kv.watch_every(prefix(platform.wave_prefix), WAVE_WATCH_MS)
                .await,
        );
        let (Ok(jobs), Ok(workers), Ok(waves)) = watches else {
            return LeaderEnd::Stopped;
        };
        let mut inputs = Inputs {
            jobs,
            workers,
            waves,
            worker_events,
            machine_events,
            advice_events,
        };
        let calls = Calls {
            links,
            machines,
            advisor,
        };
        let started = tokio::select! {
            started = Self::read(options, held.clone(), calls, &mut inputs.jobs) => started,
            _ = stop.wait_for(|stop| *stop) => None,
        };
        let end = match started {
            Some(leader) => leader.run(inputs, stop).await,
            None if *stop.borrow() => LeaderEnd::Stopped,
            None => LeaderEnd::Lost("the store could not be read in time"),
        };
        // A revoked lease lets the next leader begin at once.
        let _ = tokio::time::timeout(LAST_BATCH, kv.revoke(held.lease)).await;
        let _ = link_task.await;
        let _ = machine_task.await;
        if let Some(task) = advisor_task {
            let _ = task.await;
        }
        end
    }

    /// Reads all records; `None` if the lease may end before that.
    async fn read(
        options: LeaderOptions,
        mut held: HeldLease,
        calls: Calls,
        jobs: &mut mpsc::Receiver<WatchEvent>,
    ) -> Option<Self> {
        // Read at once: each call of a slow store takes hundreds of milliseconds.
        let (chain, workers, progress) = tokio::join!(
            retry(&options.kv, KeyRange::Key(CHAIN_KEY.into())),
            retry(&options.kv, KeyRange::Key(WORKERS_KEY.into())),
            retry(&options.kv, prefix(PROGRESS_PREFIX)),
        );
        let chain = chain.into_iter().next();
        let former: ChainRecord = chain
            .as_ref()
            .and_then(|entry| records::decode(&entry.value).ok())
            .unwrap_or_default();
        let entries = loop {
            match jobs.recv().await? {
                WatchEvent::Snapshot { entries, .. } => break entries,
                WatchEvent::Changed { .. } | WatchEvent::Disconnected { .. } => {}
            }
        };
        let renewal =
            lease::renew(options.kv.clone(), Arc::clone(&options.clock), held.lease).await;
        if let Renewal::Proved(at) = renewal {
            held.proved_at = at;
        }
        let (now, wall) = (options.clock.now(), options.clock.wall());
        // An earlier process or term of this daemon gives no orders either.
        let over = former.released || former.daemon == options.own.daemon;
        let settings = ScheduleSettings {
            run_lease_ms: options.run_lease_ms,
            poll_wait_ms: options.poll_wait_ms,
            leader_grace_ms: if over { 0 } else { LEADER_GRACE_MS },
            stop_grace_ms: options.stop_grace_ms,
            term: former.term + 1,
        };
        let term = FormerTerm {
            workers: recorded_workers(workers, &options.log)?,
            rerouted: former.rerouted,
        };
        let mut scheduler = Scheduler::new(settings, term, now);
        let restored = stored_jobs(entries, progress, held.fence, &options.log);
        info!(options.log, "recovery began"; "term" => former.term + 1, "jobs" => restored.len(),
            "former_over" => over);
        for job in restored {
            scheduler.restore(job, now, wall);
        }
        scheduler.restore_waves(former.waves);
        configure(&mut scheduler, &options.config.borrow());
        let chain = Chain {
            fence: held.fence,
            revision: chain.map_or(0, |entry| entry.mod_revision),
            term: former.term + 1,
            daemon: Arc::clone(&options.own.daemon),
        };
        Some(Self {
            next_renewal: now,
            next_report: now,
            options,
            held,
            scheduler,
            chain: Some(chain),
            calls,
            background: JoinSet::new(),
            renewing: false,
        })
    }
}

/// Starts the client of the advisor, if the settings name one.
fn start_advisor(
    options: &LeaderOptions,
) -> (Option<AdviceCalls>, AdviceEvents, Option<JoinHandle<()>>) {
    match options.advisor_address {
        Some(address) => {
            let (calls, events, task) =
                (options.platform.start_advisor)(address, options.log.clone());
            (Some(calls), events, Some(task))
        }
        None => (None, mpsc::channel(1).1, None),
    }
}

fn prefix(text: &str) -> KeyRange {
    KeyRange::Prefix(text.into())
}

/// Reads keys; waits as long as the store is away.
async fn retry(kv: &KeyValue, range: KeyRange) -> Vec<KvEntry> {
    loop {
        let read: KvResult<Vec<KvEntry>> = kv.range(range.clone()).await;
        match read {
            Ok(entries) => return entries,
            Err(_) => tokio::time::sleep(RETRY).await,
        }
    }
}

/// Workers that the former leader recorded; `None` if the record cannot be read, since work may run on
/// any of them.
fn recorded_workers(entries: Vec<KvEntry>, log: &Logger) -> Option<Vec<RecordedWorker>> {
    let Some(entry) = entries.into_iter().next() else {
        return Some(Vec::new());
    };
    match records::decode(&entry.value) {
        Ok(workers) => Some(workers),
        Err(error) => {
            error!(log, "workers of the former holder not read"; "reason" => %error);
            None
        }
    }
}

/// Joins the records of each job.
fn stored_jobs(
    entries: Vec<KvEntry>,
    progress: Vec<KvEntry>,
    fence: u64,
    log: &Logger,
) -> Vec<StoredJob> {
    let mut progress: FastMap<Arc<str>, JobProgress> = progress
        .into_iter()
        .filter_map(|entry| {
            let id = entry.key.strip_prefix(PROGRESS_PREFIX)?;
            Some((Arc::from(id), records::decode(&entry.value).ok()?))
        })
        .collect();
    let mut cancelled: FastSet<Arc<str>> = FastSet::default();
    let mut jobs = Vec::new();
    for entry in &entries {
        match records::job_key_kind(&entry.key) {
            Some(JobKeyKind::Cancel(id)) => {
                cancelled.insert(id.into());
            }
            Some(JobKeyKind::Job(id)) => match records::decode::<JobRecord>(&entry.value) {
                Ok(record) => {
                    jobs.push((
                        Arc::<str>::from(id),
                        record,
                        events::acceptance(entry, fence),
                    ));
                }
                Err(error) => warn!(log, "job skipped"; "job" => id, "reason" => %error),
            },
            Some(JobKeyKind::Leader) | None => {}
        }
    }
    jobs.into_iter()
        .map(|(id, record, acceptance)| StoredJob {
            progress: progress.remove(&id),
            cancelled: cancelled.contains(&id),
            acceptance,
            id,
            record,
        })
        .collect()
}
