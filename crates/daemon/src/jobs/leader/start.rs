//! Start of a leader's term: opens its ports and loads the stored state.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_adapters::worker_gateway::{ORDER_AGE_MAX_MS, Router, RouterOptions};
use rosemaryscale_domain::job::JobRecord;
use rosemaryscale_domain::schedule::{
    FormerTerm, RecordedWorker, ScheduleSettings, Scheduler, StoredJob,
};
use rosemaryscale_domain::workspace::Caller;
use rosemaryscale_ports::advice::{AdviceCalls, AdviceEvents};
use rosemaryscale_ports::instance_order::OrderPermit;
use rosemaryscale_ports::kv::{KeyRange, KeyValue, KvEntry, KvResult, WatchEvent};
use rosemaryscale_ports::prelude::*;
use slog::{Logger, error, info, warn};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::held_jobs::{self, StoredProgress};
use super::load::LeaderLoad;
use super::pressure::PublishedPressure;
use super::{
    EventSources, FINAL_WRITE_TIMEOUT, GatewayOffers, Leader, LeaderEnd, LeaderOptions,
    PortHandles, apply_config, events,
};
use crate::jobs::batch::{BatchWriter, LaneRevisions};
use crate::jobs::lease::{self, LEADER_GRACE_MS, LeaderLease, Renewal};
use crate::jobs::records::{
    self, GATEWAY_PREFIX, GatewayRecord, JOB_PREFIX, JobKeyKind, LANE_PREFIX, PROGRESS_PREFIX,
    SCHEDULER_RECORD_KEY, STATE_PREFIX, SchedulerRecord, WORKERS_KEY,
};

/// Bounds the delay before a new job starts. The platform charges for each read of the watch.
const JOB_WATCH_INTERVAL_MS: u64 = 25;
/// Every heartbeat rewrites a worker entry, while relevant changes are rare.
const WORKER_WATCH_INTERVAL_MS: u64 = 250;
/// Maintenance waves are rare.
const WAVE_WATCH_INTERVAL_MS: u64 = 500;
/// Gateways come and go with their daemons.
const GATEWAY_WATCH_INTERVAL_MS: u64 = 1_000;
/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Terms by which the record of a lane may lag behind. Leaders of earlier versions wrote it only with large
/// batches.
const LANE_TERMS_BEHIND_MAX: u32 = 1_000;

impl Leader {
    /// Restores the former leader's state, then runs the scheduler until the key is lost or the daemon
    /// stops.
    pub(in crate::jobs) async fn recover(
        options: LeaderOptions,
        lease: LeaderLease,
        mut stop: watch::Receiver<bool>,
    ) -> LeaderEnd {
        let kv = options.kv.clone();
        let clock = Arc::clone(&options.clock);
        let platform = options.platform;
        let router = Router::start(RouterOptions {
            start_links: platform.start_links,
            leader: Arc::clone(&options.identity.daemon),
            fencing_token: lease.fencing_token,
            metrics: Arc::clone(&options.metrics),
            log: options.log.clone(),
        });
        let daemon = Arc::clone(&options.identity.daemon);
        let (orders_valid_until, permit) =
            OrderPermit::new(Arc::clone(&clock), lease.certain_until());
        let (instances, instance_events, instance_task) =
            (platform.start_instance_orders)(options.machines_address, daemon, permit);
        let (advisor, advice_events, advisor_task) = start_advisor(&options);
        let workers = prefix_range(platform.worker_prefix);
        let watches = (
            kv.watch_every(prefix_range(JOB_PREFIX), JOB_WATCH_INTERVAL_MS)
                .await,
            kv.watch_every(workers, WORKER_WATCH_INTERVAL_MS).await,
            kv.watch_every(prefix_range(platform.wave_prefix), WAVE_WATCH_INTERVAL_MS)
                .await,
            kv.watch_every(prefix_range(GATEWAY_PREFIX), GATEWAY_WATCH_INTERVAL_MS)
                .await,
        );
        let (Ok(jobs), Ok(workers), Ok(waves), Ok(gateways)) = watches else {
            return LeaderEnd::Stopped;
        };
        let mut sources = EventSources {
            jobs,
            workers,
            waves,
            gateways,
            worker_events: router.events,
            instance_events,
            advice_events,
        };
        let calls = PortHandles {
            links: router.calls,
            gateways: GatewayOffers {
                offers: FastMap::default(),
                router: router.offers,
                allowed: false,
            },
            instances,
            orders_valid_until,
            advisor,
        };
        let loaded = tokio::select! {
            loaded = Self::load(options, lease.clone(), calls, &mut sources.jobs) => loaded,
            _ = stop.wait_for(|stop| *stop) => None,
        };
        let end = match loaded {
            Some(leader) => leader.run(sources, stop).await,
            None if *stop.borrow() => LeaderEnd::Stopped,
            None => LeaderEnd::Lost {
                reason: "the stored state could not be loaded",
                lease_age_ms: clock.now().ms_since(lease.confirmed_at),
            },
        };
        // Revoking the lease lets the next leader start at once.
        let _ = tokio::time::timeout(FINAL_WRITE_TIMEOUT, kv.revoke(lease.id)).await;
        let _ = router.task.await;
        let _ = instance_task.await;
        if let Some(task) = advisor_task {
            let _ = task.await;
        }
        end
    }

    /// Loads all records. Returns `None` if the watch of jobs ends.
    async fn load(
        options: LeaderOptions,
        mut lease: LeaderLease,
        mut calls: PortHandles,
        jobs: &mut mpsc::Receiver<WatchEvent>,
    ) -> Option<Self> {
        // Concurrent reads: a single call to a slow store takes hundreds of milliseconds.
        let (former, lanes, workers, progress) = tokio::join!(
            read_former_record(&options.kv, &mut calls.gateways, &options.log),
            read_with_retries(&options.kv, prefix_range(LANE_PREFIX)),
            read_with_retries(&options.kv, KeyRange::Key(WORKERS_KEY.into())),
            read_with_retries(&options.kv, prefix_range(PROGRESS_PREFIX)),
        );
        let FormerRecord {
            record: mut former_record,
            revision: record_revision,
            is_unreadable,
        } = former;
        let lane_term = last_lane_term(&lanes);
        former_record.term = if is_unreadable {
            lane_term.saturating_add(LANE_TERMS_BEHIND_MAX)
        } else {
            former_record.term.max(lane_term)
        };
        let term = former_record.term.saturating_add(1);
        let states = if held_jobs::has_unreadable(&progress) {
            read_with_retries(&options.kv, prefix_range(STATE_PREFIX)).await
        } else {
            Vec::new()
        };
        let progress = held_jobs::decode_progress(&progress, &states, &options.log);
        let (revision, entries) = loop {
            match jobs.recv().await? {
                WatchEvent::Snapshot { revision, entries } => break (revision, entries),
                WatchEvent::Changed { .. }
                | WatchEvent::Receiving
                | WatchEvent::Disconnected { .. } => {}
            }
        };
        let renewal = lease::renew(options.kv.clone(), Arc::clone(&options.clock), lease.id).await;
        if let Renewal::Confirmed(at) = renewal {
            lease.confirmed_at = at;
            calls.orders_valid_until.send_replace(lease.certain_until());
        }
        let (now, wall) = (options.clock.now(), options.clock.wall());
        // An earlier process or term of this daemon no longer gives orders either.
        let former_term_ended =
            former_record.released || former_record.daemon == options.identity.daemon;
        let settings = ScheduleSettings {
            run_lease_ms: options.run_lease_ms,
            run_lease_max_ms: options.run_lease_max_ms,
            poll_wait_ms: options.poll_wait_ms,
            leader_grace_ms: former_record.order_age_max_ms
                + if former_term_ended {
                    0
                } else {
                    LEADER_GRACE_MS
                },
            stop_grace_ms: options.stop_grace_ms,
            term,
            uneven_work: options.uneven_work,
            placement_wait: options.placement_wait,
        };
        let workers = recorded_workers(workers, &options.log);
        let (stored, early_cancellations) =
            stored_jobs(entries, progress, lease.fencing_token, wall, &options.log);
        if is_unreadable {
            // Which queues have changed their service is not known.
            let queues = stored.iter().map(|job| Arc::clone(&job.record.queue));
            let queues: FastSet<Arc<str>> = queues.collect();
            former_record.rerouted.extend(queues);
        }
        let former_term = FormerTerm {
            unknown_workers: workers.is_none() || former_record.unknown_workers,
            workers: workers.unwrap_or_default(),
            rerouted: former_record.rerouted,
            instance_orders: former_record.instance_orders,
            released: former_record.released,
            order_age_max_ms: former_record.order_age_max_ms,
        };
        let recorded_count = former_term.workers.len();
        let mut scheduler = Scheduler::new(settings, former_term, now);
        info!(options.log, "recovery began"; "term" => term, "jobs" => stored.len(),
            "former_over" => former_term_ended, "released" => former_record.released,
            "workers" => recorded_count, "wait_max_ms" => scheduler.recovery_wait_ms(now),
            "revision" => revision,
            "lease_age_ms" => now.ms_since(lease.confirmed_at));
        for job in stored {
            scheduler.restore(job, now, wall);
        }
        for (id, callers) in &early_cancellations {
            for caller in callers {
                scheduler.cancel(id, caller, now, wall);
            }
        }
        scheduler.restore_waves(former_record.waves);
        apply_config(&mut scheduler, &options.config.borrow());
        let mut revisions: LaneRevisions = lanes
            .into_iter()
            .map(|entry| (entry.key, entry.mod_revision))
            .collect();
        revisions.insert(SCHEDULER_RECORD_KEY.into(), record_revision);
        let writer = BatchWriter::new(
            lease.fencing_token,
            term,
            Arc::clone(&options.identity.daemon),
            // Gateways may hold orders of the former term until its runs are accounted for, and of this
            // one as soon as they are used.
            former_record.order_age_max_ms,
            &revisions,
            (&options.metrics, &options.log),
        );
        Some(Self {
            next_renewal_at: now,
            next_status_at: now,
            pressure: PublishedPressure::default(),
            load: LeaderLoad::new(),
            refused_workers: FastSet::default(),
            instances_listed_at: None,
            instance_rows_unreadable: false,
            options,
            lease,
            scheduler,
            writer: Some(writer),
            calls,
            background: JoinSet::new(),
            is_renewing: false,
        })
    }
}

/// The scheduler record of the former term.
struct FormerRecord {
    record: SchedulerRecord,
    /// Its revision; 0 if there is none.
    revision: u64,
    /// Whether it could not be decoded. What it would have said is then assumed, as far as a mistake is harmful.
    is_unreadable: bool,
}

/// Reads the record of the former term. If that term used gateways, this one connects to them at once, so
/// that its first polls go through them. A record that cannot be decoded counts as one of a term that used
/// gateways, was not released, and had runs on workers that are not recorded.
async fn read_former_record(
    kv: &KeyValue,
    gateways: &mut GatewayOffers,
    log: &Logger,
) -> FormerRecord {
    let entries = read_with_retries(kv, KeyRange::Key(SCHEDULER_RECORD_KEY.into())).await;
    let Some(entry) = entries.into_iter().next() else {
        return FormerRecord {
            record: SchedulerRecord::default(),
            revision: 0,
            is_unreadable: false,
        };
    };
    let decoded = records::decode::<SchedulerRecord>(&entry.value);
    let is_unreadable = decoded.is_err();
    let record = decoded.unwrap_or_else(|error| {
        error!(log, "scheduler record not read"; "reason" => %error);
        SchedulerRecord {
            order_age_max_ms: ORDER_AGE_MAX_MS,
            unknown_workers: true,
            ..SchedulerRecord::default()
        }
    });
    if record.order_age_max_ms > 0 {
        let entries = read_with_retries(kv, prefix_range(GATEWAY_PREFIX)).await;
        let offers = entries
            .iter()
            .filter_map(|entry| GatewayRecord::read(&entry.key, &entry.value));
        gateways.offers = offers
            .map(|offer| (Arc::clone(&offer.name), offer))
            .collect();
        gateways.allowed = true;
        gateways.publish();
    }
    FormerRecord {
        record,
        revision: entry.mod_revision,
        is_unreadable,
    }
}

/// Highest term that the record of any lane names.
fn last_lane_term(lanes: &[KvEntry]) -> u32 {
    let terms = lanes
        .iter()
        .filter_map(|entry| records::decode::<u32>(&entry.value).ok());
    terms.max().unwrap_or(0)
}

/// Starts the client of the advisor, if one is configured.
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

fn prefix_range(text: &str) -> KeyRange {
    KeyRange::Prefix(text.into())
}

/// Reads a range of keys, retrying until the store answers.
async fn read_with_retries(kv: &KeyValue, range: KeyRange) -> Vec<KvEntry> {
    loop {
        let read: KvResult<Vec<KvEntry>> = kv.range(range.clone()).await;
        match read {
            Ok(entries) => return entries,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Workers that the former leader recorded. `None` if the record cannot be decoded: work may then run on any
/// worker until the last lease of the former term has ended.
fn recorded_workers(entries: Vec<KvEntry>, log: &Logger) -> Option<Vec<RecordedWorker>> {
    let Some(entry) = entries.into_iter().next() else {
        return Some(Vec::new());
    };
    match records::decode::<Vec<RecordedWorker>>(&entry.value) {
        Ok(workers) => {
            let without_lease = workers.iter().filter(|worker| worker.lease_ms.is_none());
            let count = without_lease.count();
            if count > 0 {
                warn!(log, "leases of workers not recorded"; "workers" => count,
                    "reason" => "the record is of an earlier version; the longest lease counts");
            }
            Some(workers)
        }
        Err(error) => {
            error!(log, "workers of the former holder not read"; "reason" => %error);
            None
        }
    }
}

/// Combines the record, progress and cancellation of each job. Also returns the cancellations without a
/// job.
fn stored_jobs(
    entries: Vec<KvEntry>,
    mut progress: FastMap<Arc<str>, StoredProgress>,
    fencing_token: u64,
    wall: Millis,
    log: &Logger,
) -> (Vec<StoredJob>, FastMap<Arc<str>, Vec<Caller>>) {
    let mut cancelled: FastMap<Arc<str>, Vec<Caller>> = FastMap::default();
    let mut jobs = Vec::new();
    for entry in &entries {
        match records::job_key_kind(&entry.key) {
            Some(JobKeyKind::Cancel(id)) => {
                cancelled.insert(id.into(), records::cancelling_callers(entry));
            }
            Some(JobKeyKind::Job(id)) => match records::decode::<JobRecord>(&entry.value) {
                Ok(record) => {
                    jobs.push((
                        Arc::<str>::from(id),
                        record,
                        events::acceptance(entry, fencing_token),
                    ));
                }
                Err(error) => warn!(log, "job skipped"; "job" => id, "reason" => %error),
            },
            Some(JobKeyKind::Leader) | None => {}
        }
    }
    // The rates of workspaces depend on the order of receipt.
    jobs.sort_by_key(|(_, record, _)| record.received_wall_ms);
    let jobs = jobs
        .into_iter()
        .map(|(id, record, acceptance)| {
            let progress = progress
                .remove(&id)
                .map(|stored| stored.into_progress(wall));
            let (progress, is_progress_unreadable) = progress.unzip();
            StoredJob {
                progress,
                is_progress_unreadable: is_progress_unreadable.unwrap_or(false),
                cancelled: cancelled.remove(&id).is_some_and(|callers| {
                    callers.iter().any(|caller| caller.may_access_job(&record))
                }),
                acceptance,
                id,
                record,
            }
        })
        .collect();
    (jobs, cancelled)
}
