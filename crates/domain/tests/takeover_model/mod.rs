//! A randomized model of successive leaders, one store and a few workers, with faults drawn from a seed.
//!
//! Orders may be lost, take effect without a response, or take effect seconds later. Workers crash, restart
//! and become unreachable. A leader may be killed, or continue after it has lost the store.

mod checks;
mod conditions;
mod faults;
mod hand_overs;
mod messages;
mod odd_entries;
mod quotas;
mod worker;

use std::ops::Range;

use checks::Checks;
pub(crate) use conditions::Conditions;
use conditions::Restart;
use hand_overs::HandOvers;
use messages::{Answer, Delivery, Event, InTransit, Order, Reception};
use odd_entries::OddEntries;
use quotas::Quotas;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::job::{JobProgress, JobRecord};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::locality::PlacementWait;
use rosemaryscale_domain::schedule::order::{
    Action, OrderResult, PollReception, PollResult, Refusal, RunEndKind,
};
use rosemaryscale_domain::schedule::{
    Acceptance, Batch, FormerTerm, RecordedWorker, ScheduleSettings, Scheduler, StoredJob,
};
use worker::ModelWorker;

const TICK_MS: u64 = 10;
const WORKER_COUNT: usize = 4;
/// Time at which faults and submissions end. All jobs must then finish by [`DEADLINE_MS`], except those that
/// have been running all the time since: a task whose runs are long and fail may need three of them.
const FAULTS_END_MS: u64 = 25_000;
const DEADLINE_MS: u64 = 75_000;
/// Time by which the last run must have ended: two steps of three of the longest runs after the last takeover.
const LAST_RUNS_END_MS: u64 = 120_000;
/// Time without a run after which a job is not running any more: the end of a run is polled and stored, and
/// the next one starts within a few ticks.
const IDLE_MAX_MS: u64 = 500;
const LEADER_TTL_MS: u64 = 1_500;
const LEADER_GRACE_MS: u64 = 9_000;
const RUN_LEASE_MS: u64 = 5_000;
const ORDER_TIMEOUT_MS: u64 = 200;
const STOP_GRACE_MS: u64 = 200;
/// Duration of long runs. All are longer than a run of a cancelled job may last.
const LONG_WORK_MS: Range<u64> = 5_000..12_000;
pub(crate) const ATTEMPTS_MAX: u32 = 3;

/// Time for which a leader must have reached a restarted worker before an order on its way to an earlier
/// incarnation can reach this one. Until then, nothing but the name of the incarnation in the order
/// protects the worker: it knows neither a fencing token nor the stops that its predecessor accepted.
const STOPS_REPEATED_MS: u64 = 2_000;

/// A term of a daemon that is or was the leader, with its scheduler.
struct Leader {
    scheduler: Scheduler,
    daemon: usize,
    fencing_token: u64,
    /// Id and index of each worker that it is connected to.
    worker_indices: FastMap<WorkerKey, (Arc<str>, usize)>,
    /// Links to addresses that only odd entries name and where nobody listens.
    links_to_nobody: FastSet<WorkerKey>,
    is_active: bool,
    reaches_store: bool,
    lost_store_at: Millis,
    partitioned_from: FastSet<usize>,
}

#[derive(Default)]
struct Store {
    jobs: Vec<(Arc<str>, JobRecord)>,
    cancelled: FastSet<Arc<str>>,
    progress: FastMap<Arc<str>, JobProgress>,
    workers: Vec<RecordedWorker>,
    /// Daemon that has written the last batch.
    daemon: usize,
    /// Whether that batch says that it gives no more orders.
    released: bool,
}

/// State of one schedule.
pub(crate) struct TakeoverModel {
    rng: StdRng,
    now: Millis,
    workers: Vec<ModelWorker>,
    leaders: Vec<Leader>,
    /// When the next leader takes over, after the last one was killed or lost the store.
    takeover_at: Option<Millis>,
    store: Store,
    in_transit: Vec<InTransit>,
    loss_percent: u32,
    conditions: Conditions,
    checks: Checks,
    quotas: Quotas,
    odd_entries: OddEntries,
    hand_overs: HandOvers,
}

/// Runs the schedule of a seed; `Err` describes the violated invariant.
pub(crate) fn run_schedule(seed: u64, conditions: Conditions) -> Result<(), String> {
    let mut model = TakeoverModel::new(seed, conditions);
    while model.now.as_ms() < DEADLINE_MS {
        model.tick()?;
    }
    model.finish_running_jobs()?;
    model
        .checks
        .check_all_finished(&model.store.jobs, &model.store.cancelled, |id| {
            model.store.progress.get(id).map(|progress| progress.state)
        })
}

impl TakeoverModel {
    fn new(seed: u64, conditions: Conditions) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let loss_percent = [0, 3, 15][rng.random_range(0..3)];
        let mut model = Self {
            rng,
            now: Millis::from_ms(1_000),
            workers: (0..WORKER_COUNT)
                .map(|index| ModelWorker::new(index, conditions.lease_max_ms))
                .collect(),
            leaders: Vec::new(),
            takeover_at: None,
            store: Store::default(),
            in_transit: Vec::new(),
            loss_percent,
            conditions,
            checks: Checks::default(),
            quotas: Quotas::default(),
            odd_entries: OddEntries::new(seed),
            hand_overs: HandOvers::default(),
        };
        model.draw_quotas();
        model.start_leader();
        model
    }

    /// Goes on while unfinished jobs run, until each has finished or has stopped running.
    fn finish_running_jobs(&mut self) -> Result<(), String> {
        let mut ran_at: FastMap<Arc<str>, Millis> = FastMap::default();
        let unfinished: Vec<Arc<str>> = self.unfinished_jobs().cloned().collect();
        ran_at.extend(unfinished.into_iter().map(|id| (id, self.now)));
        while !ran_at.is_empty() && self.now.as_ms() < LAST_RUNS_END_MS {
            self.tick()?;
            let runs = self.workers.iter().flat_map(|worker| &worker.running);
            for run in runs {
                if let Some(ran_at) = ran_at.get_mut(&run.task.job) {
                    *ran_at = self.now;
                }
            }
            if ran_at
                .values()
                .any(|at| self.now.ms_since(*at) > IDLE_MAX_MS)
            {
                break;
            }
            let unfinished: FastSet<Arc<str>> = self.unfinished_jobs().cloned().collect();
            ran_at.retain(|id, _| unfinished.contains(id));
        }
        Ok(())
    }

    fn unfinished_jobs(&self) -> impl Iterator<Item = &Arc<str>> {
        let is_final = |id: &Arc<str>| {
            let progress = self.store.progress.get(id);
            progress.is_some_and(|progress| progress.state.is_final())
        };
        let ids = self.store.jobs.iter().map(|(id, _)| id);
        ids.filter(move |id| !is_final(id))
    }

    fn draw_chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    fn tick(&mut self) -> Result<(), String> {
        self.now = self.now.after_ms(TICK_MS);
        self.record_instances();
        let faults_active = self.now.as_ms() < FAULTS_END_MS;
        if faults_active {
            self.submit_and_cancel();
            self.inject_faults();
            self.hand_over();
            self.change_quota();
            self.replace_entries();
        } else {
            self.clear_faults();
            self.remove_odd_entries();
            self.raise_quotas();
        }
        for index in 0..self.workers.len() {
            for end in self.workers[index].advance(self.now) {
                let incarnation = self.workers[index].incarnation;
                self.checks.record_end(index, incarnation, &end, self.now);
            }
        }
        self.deliver()?;
        if self.takeover_at.is_some_and(|at| at <= self.now) {
            self.takeover_at = None;
            self.start_leader();
        }
        for leader in 0..self.leaders.len() {
            self.advance(leader);
        }
        self.check_cancelled()
    }

    fn check_cancelled(&mut self) -> Result<(), String> {
        let leader = self.storing_leader();
        let nothing = FastSet::default();
        let partitioned = leader.map_or(&nothing, |leader| &self.leaders[leader].partitioned_from);
        self.checks
            .check_cancelled_runs(&self.workers, leader, partitioned, self.now)
    }

    fn storing_leader(&self) -> Option<usize> {
        let last = self.leaders.len().checked_sub(1)?;
        let leader = &self.leaders[last];
        (leader.is_active && leader.reaches_store).then_some(last)
    }

    /// Starts the next leader from the contents of the store. A former one may continue without the store.
    fn start_leader(&mut self) {
        let daemon = self
            .hand_overs
            .next_daemon(self.leaders.last().map(|leader| leader.daemon));
        let is_former_over = self.store.released || self.store.daemon == daemon;
        let term = u32::try_from(self.leaders.len()).unwrap_or(u32::MAX) + 1;
        let settings = ScheduleSettings {
            run_lease_ms: RUN_LEASE_MS,
            run_lease_max_ms: self.conditions.lease_max_ms,
            poll_wait_ms: 0,
            leader_grace_ms: if is_former_over { 0 } else { LEADER_GRACE_MS },
            stop_grace_ms: STOP_GRACE_MS,
            term,
            uneven_work: self.conditions.uneven_work(),
            placement_wait: PlacementWait::Off,
        };
        let former = FormerTerm {
            released: self.store.released,
            ..FormerTerm::with_workers(self.store.workers.clone())
        };
        let mut scheduler = Scheduler::new(settings, former, self.now);
        for (id, record) in &self.store.jobs {
            let stored = StoredJob {
                id: Arc::clone(id),
                record: record.clone(),
                progress: self.store.progress.get(id).cloned(),
                is_progress_unreadable: false,
                cancelled: self.store.cancelled.contains(id),
                acceptance: Acceptance::BeforeTerm,
            };
            scheduler.restore(stored, self.now, self.now);
        }
        scheduler.configure(&FastMap::default(), &self.quotas.configured());
        let partitioned_from = self.draw_cut_workers();
        self.leaders.push(Leader {
            scheduler,
            daemon,
            fencing_token: u64::from(term),
            worker_indices: FastMap::default(),
            links_to_nobody: FastSet::default(),
            is_active: true,
            reaches_store: true,
            lost_store_at: Millis::MAX,
            partitioned_from,
        });
    }

    fn advance(&mut self, index: usize) {
        let now = self.now;
        let leader = &mut self.leaders[index];
        let without_store_ms = now.ms_since(leader.lost_store_at);
        let grace_expired = !leader.reaches_store && without_store_ms > LEADER_GRACE_MS;
        if !leader.is_active || grace_expired || leader.scheduler.is_fenced() {
            leader.is_active = false;
            return;
        }
        let unconfirmed = !leader.reaches_store && without_store_ms > LEADER_TTL_MS;
        leader.scheduler.set_leadership_unconfirmed(unconfirmed);
        if leader.reaches_store {
            for (position, worker) in self.workers.iter().enumerate() {
                if worker.up && now.ms_since(worker.restarted_at) < self.conditions.listing_delay_ms
                {
                    continue;
                }
                if worker.up {
                    let report = self.odd_entries.listed(position, worker.report(), now);
                    leader.scheduler.worker_listed(report, now);
                } else {
                    leader.scheduler.worker_unlisted(&worker.id);
                }
            }
        }
        for action in self.leaders[index].scheduler.advance(now, now) {
            self.execute(index, action);
        }
        let leader = &mut self.leaders[index];
        if leader.reaches_store
            && let Some(batch) = leader.scheduler.take_batch(now)
        {
            let due_at = now.after_ms(TICK_MS);
            self.in_transit.push(InTransit {
                due_at,
                leader: index,
                worker: (WorkerKey::default(), 0),
                event: Event::BatchWritten(Box::new(batch)),
            });
        }
    }

    fn execute(&mut self, index: usize, action: Action) {
        let now = self.now;
        let leader = &mut self.leaders[index];
        match action {
            Action::Connect(key) => {
                let Some(report) = leader.scheduler.worker(key) else {
                    return;
                };
                let id = Arc::clone(&report.id);
                let has_odd_entries = self.conditions.odd_entries_per_mille > 0;
                let is_linked = |worker: &ModelWorker| match has_odd_entries {
                    true => worker.address() == &report.address,
                    false => worker.id == id,
                };
                match self.workers.iter().position(is_linked) {
                    Some(worker_index) => {
                        leader.worker_indices.insert(key, (id, worker_index));
                    }
                    None if has_odd_entries => {
                        leader.links_to_nobody.insert(key);
                    }
                    None => {}
                }
            }
            Action::Disconnect(key) => {
                leader.worker_indices.remove(&key);
                leader.links_to_nobody.remove(&key);
            }
            Action::Start(key, order) => self.send(index, key, Order::Start(order)),
            Action::Stop(key, order, _) => self.send(index, key, Order::Stop(order)),
            Action::Poll(key, order) => self.send(index, key, Order::Poll(order)),
            Action::ListInstances => {
                let instances = self
                    .hand_overs
                    .listed_instances(now, self.conditions.list_lag_ms);
                leader
                    .scheduler
                    .instances_listed(Some(instances.into()), now);
            }
            Action::Advise(_) | Action::Pace(..) | Action::Move(..) | Action::Maintain(..) => {}
        }
    }

    fn send(&mut self, index: usize, key: WorkerKey, order: Order) {
        if self.leaders[index].links_to_nobody.contains(&key) {
            let (due_ms, answer) = self.answer_of_nobody(&order);
            self.in_transit.push(InTransit {
                due_at: self.now.after_ms(due_ms),
                leader: index,
                worker: (key, 0),
                event: Event::Answered { order, answer },
            });
            return;
        }
        let Some((id, worker)) = self.leaders[index].worker_indices.get(&key).cloned() else {
            return;
        };
        if let Order::Start(start) = &order
            && self.storing_leader() == Some(index)
        {
            self.checks.start_sent(&start.task);
        }
        if let Order::Start(start) = &order {
            // A change in the tick in which the leader lost the store has not reached it.
            let lost_at_ms = self.leaders[index].lost_store_at.as_ms();
            let known_until = Millis::from_ms(lost_at_ms - TICK_MS);
            self.quotas.start_sent(start, self.now.min(known_until));
        }
        let delay_ms = self.rng.random_range(0..4) * TICK_MS;
        let delivery = self.draw_delivery(index, worker);
        let (arrives_ms, is_answered) = match delivery {
            Delivery::Answered => (Some(delay_ms), true),
            Delivery::AnswerLost => (Some(delay_ms), false),
            Delivery::Late => (Some(self.rng.random_range(2_000..12_000)), false),
            Delivery::Lost => (None, false),
        };
        let in_transit_at = |due_ms, event| InTransit {
            due_at: self.now.after_ms(due_ms),
            leader: index,
            worker: (key, worker),
            event,
        };
        let mut events = Vec::new();
        if !is_answered {
            let answer = match &order {
                Order::Poll(_) => Answer::Poll(PollResult::Unanswered(PollReception::Unknown)),
                Order::Start(_) | Order::Stop(_) => Answer::Order(OrderResult::Unanswered),
            };
            let order = order.clone();
            events.push(in_transit_at(
                ORDER_TIMEOUT_MS,
                Event::Answered { order, answer },
            ));
        }
        if let Some(arrives_ms) = arrives_ms {
            let event = Event::OrderArrives {
                id,
                incarnation: self.workers[worker].incarnation,
                order,
                is_answered,
            };
            events.push(in_transit_at(arrives_ms, event));
        }
        self.in_transit.extend(events);
    }

    fn draw_work_ms(&mut self) -> u64 {
        let work_ms = self.rng.random_range(50..1_500);
        let long_runs_percent = self.conditions.long_runs_percent;
        if long_runs_percent > 0 && self.rng.random_range(0..100) < long_runs_percent {
            return self.rng.random_range(LONG_WORK_MS);
        }
        work_ms
    }

    fn draw_delivery(&mut self, index: usize, worker: usize) -> Delivery {
        if self.leaders[index].partitioned_from.contains(&worker) || !self.workers[worker].up {
            return Delivery::Lost;
        }
        if self.rng.random_range(0..100) >= self.loss_percent {
            return Delivery::Answered;
        }
        [Delivery::Lost, Delivery::AnswerLost, Delivery::Late][self.rng.random_range(0..3)]
    }

    fn deliver(&mut self) -> Result<(), String> {
        let now = self.now;
        let (mut arrived, in_transit): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|message| message.due_at <= now);
        self.in_transit = in_transit;
        arrived.sort_by_key(|message| message.due_at);
        for InTransit {
            leader,
            worker,
            event,
            ..
        } in arrived
        {
            match event {
                Event::OrderArrives {
                    id,
                    incarnation,
                    order,
                    is_answered,
                } => {
                    let reception = self.reception(&id, worker.1, incarnation, &order);
                    self.receive_order(leader, worker, reception, order, is_answered)?;
                }
                Event::Answered { order, answer } => self.answered(leader, worker.0, order, answer),
                Event::BatchWritten(batch) => self.written(leader, &batch),
            }
        }
        Ok(())
    }

    /// What happens to an order that names this worker id and was sent to this incarnation.
    fn reception(&self, id: &Arc<str>, index: usize, sent_to: u64, order: &Order) -> Reception {
        let worker = &self.workers[index];
        if !worker.up {
            return Reception::NotListening;
        }
        if worker.id != *id {
            return Reception::OtherId;
        }
        let reachable_ms = self.checks.reachable_ms(id, self.now);
        let reaches_later_incarnation = match (self.conditions.restart, order) {
            (Restart::OrdersLost, _) | (_, Order::Poll(_)) => false,
            (Restart::OrdersOnTheirWay, _) => reachable_ms >= STOPS_REPEATED_MS,
        };
        if worker.incarnation == sent_to || reaches_later_incarnation {
            Reception::Accepted
        } else {
            Reception::NotListening
        }
    }

    fn receive_order(
        &mut self,
        leader: usize,
        worker: (WorkerKey, usize),
        reception: Reception,
        order: Order,
        is_answered: bool,
    ) -> Result<(), String> {
        let (now, fencing_token) = (self.now, self.leaders[leader].fencing_token);
        let failed = self.draw_chance(40);
        let work_ms = self.draw_work_ms();
        let ends_per_answer = self.conditions.ends_per_answer;
        let target = &mut self.workers[worker.1];
        let answer = match &order {
            Order::Poll(_) if reception == Reception::NotListening => {
                Answer::Poll(PollResult::NotListening)
            }
            _ if reception == Reception::NotListening => Answer::Order(OrderResult::NotListening),
            Order::Poll(_) if reception == Reception::OtherId => {
                Answer::Poll(PollResult::Refused(Refusal::OtherIncarnation))
            }
            _ if reception == Reception::OtherId => {
                Answer::Order(OrderResult::Refused(Refusal::OtherIncarnation))
            }
            Order::Start(start) => {
                let end = if failed {
                    RunEndKind::Failed
                } else {
                    RunEndKind::Done
                };
                let (result, run_started) = target.start(start, fencing_token, (work_ms, end), now);
                if run_started {
                    self.checks
                        .run_started(&self.workers, worker.1, start, &self.store.jobs)?;
                    self.quotas
                        .run_started(&self.workers, start, &self.store.jobs)?;
                }
                Answer::Order(result)
            }
            Order::Stop(stop) => Answer::Order(target.stop(stop, fencing_token, now)),
            Order::Poll(poll) => {
                let (result, acknowledged) =
                    target.poll(*poll, fencing_token, ends_per_answer, now);
                for end in acknowledged {
                    self.checks.acknowledged(worker.1, target, &end)?;
                }
                Answer::Poll(result)
            }
        };
        if is_answered {
            self.in_transit.push(InTransit {
                due_at: now.after_ms(TICK_MS),
                leader,
                worker,
                event: Event::Answered { order, answer },
            });
        }
        Ok(())
    }

    fn answered(&mut self, leader: usize, key: WorkerKey, order: Order, answer: Answer) {
        let now = self.now;
        let leader = &mut self.leaders[leader];
        if !leader.is_active {
            return;
        }
        match (order, answer) {
            (Order::Start(start), Answer::Order(result)) => {
                leader.scheduler.started(key, start.run, result, now);
            }
            (Order::Stop(stop), Answer::Order(result)) => {
                leader.scheduler.stopped(key, stop.run, result, now);
            }
            (Order::Poll(_), Answer::Poll(result)) => {
                leader.scheduler.poll_ended(key, result, now, now)
            }
            _ => {}
        }
    }

    fn written(&mut self, index: usize, batch: &Batch) {
        let leader = &mut self.leaders[index];
        if !leader.is_active || !leader.reaches_store {
            return;
        }
        for job in &batch.jobs {
            let progress = job.progress.clone();
            self.store.progress.insert(Arc::clone(&job.id), progress);
        }
        if let Some(workers) = &batch.workers {
            self.store.workers.clone_from(workers);
        }
        self.store.daemon = leader.daemon;
        self.store.released = batch.released;
        leader.scheduler.batch_written(batch, self.now);
    }
}
