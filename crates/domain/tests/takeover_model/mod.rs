//! Several holders, one store and a few workers, with faults drawn from a seed.
//!
//! Orders may get lost, be carried out without an answer, or be carried out seconds later. Workers crash,
//! come back, and are cut off. A holder may be killed, or lose the store and go on.

mod checks;
mod faults;
mod messages;
mod runner;

use checks::Checks;
use messages::{Answer, Event, Fate, Order, Pending};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::job::{JobProgress, JobRecord};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{Action, LookResult, OrderResult, RunEndKind};
use rosemaryscale_domain::schedule::{
    Acceptance, Batch, FormerTerm, RecordedWorker, ScheduleSettings, Scheduler, StoredJob,
};
use runner::{Runner, machine, report};

const STEP_MS: u64 = 10;
const WORKERS: usize = 4;
/// Faults and submissions end here; after that everything has to be finished.
const FAULTS_UNTIL_MS: u64 = 25_000;
const FINISHED_BY_MS: u64 = 75_000;
const HOLDER_TTL_MS: u64 = 1_500;
const HOLDER_GRACE_MS: u64 = 9_000;
const RUN_LEASE_MS: u64 = 5_000;
const ORDER_TIMEOUT_MS: u64 = 200;
pub(crate) const ATTEMPTS_MAX: u32 = 3;

struct Holder {
    scheduler: Scheduler,
    fence: u64,
    keys: FastMap<WorkerKey, usize>,
    runs: bool,
    reaches_store: bool,
    lost_store_at: Millis,
    cut_from: FastSet<usize>,
}

#[derive(Default)]
struct Store {
    jobs: Vec<(Arc<str>, JobRecord)>,
    cancelled: FastSet<Arc<str>>,
    progress: FastMap<Arc<str>, JobProgress>,
    workers: Vec<RecordedWorker>,
}

/// One schedule.
pub(crate) struct Model {
    rng: StdRng,
    now: Millis,
    workers: Vec<Runner>,
    holders: Vec<Holder>,
    /// When the next holder takes over, if there is none that reaches the store.
    takeover_at: Option<Millis>,
    store: Store,
    pending: Vec<Pending>,
    loss_percent: u32,
    checks: Checks,
}

/// Plays the schedule of a seed; `Err` says what was broken.
pub(crate) fn play(seed: u64) -> Result<(), String> {
    let mut model = Model::new(seed);
    while model.now.as_ms() < FINISHED_BY_MS {
        model.step()?;
    }
    model
        .checks
        .all_finished(&model.store.jobs, &model.store.cancelled, |id| {
            model.store.progress.get(id).map(|progress| progress.state)
        })
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let loss_percent = [0, 3, 15][rng.random_range(0..3)];
        let mut model = Self {
            rng,
            now: Millis::from_ms(1_000),
            workers: (0..WORKERS).map(Runner::new).collect(),
            holders: Vec::new(),
            takeover_at: None,
            store: Store::default(),
            pending: Vec::new(),
            loss_percent,
            checks: Checks::default(),
        };
        model.take_over();
        model
    }

    fn chance(&mut self, in_thousand: u32) -> bool {
        self.rng.random_range(0..1_000) < in_thousand
    }

    fn step(&mut self) -> Result<(), String> {
        self.now = self.now.after_ms(STEP_MS);
        let faults = self.now.as_ms() < FAULTS_UNTIL_MS;
        if faults {
            self.submit_and_cancel();
            self.cause_faults();
        } else {
            self.heal();
        }
        for index in 0..self.workers.len() {
            for end in self.workers[index].pass(self.now) {
                let life = self.workers[index].born;
                self.checks.ended(index, life, &end, self.now);
            }
        }
        self.deliver()?;
        if self.takeover_at.is_some_and(|at| at <= self.now) {
            self.takeover_at = None;
            self.take_over();
        }
        for holder in 0..self.holders.len() {
            self.advance(holder);
        }
        Ok(())
    }

    fn current(&self) -> Option<usize> {
        let last = self.holders.len().checked_sub(1)?;
        let holder = &self.holders[last];
        (holder.runs && holder.reaches_store).then_some(last)
    }

    /// The next holder reads the store; a former one may go on without it.
    fn take_over(&mut self) {
        let term = u32::try_from(self.holders.len()).unwrap_or(u32::MAX) + 1;
        let settings = ScheduleSettings {
            run_lease_ms: RUN_LEASE_MS,
            look_wait_ms: 0,
            holder_grace_ms: HOLDER_GRACE_MS,
            stop_grace_ms: 200,
            term,
        };
        let former = FormerTerm::with_workers(self.store.workers.clone());
        let mut scheduler = Scheduler::new(settings, former, self.now);
        for (id, record) in &self.store.jobs {
            let stored = StoredJob {
                id: Arc::clone(id),
                record: record.clone(),
                progress: self.store.progress.get(id).cloned(),
                cancelled: self.store.cancelled.contains(id),
                acceptance: Acceptance::BeforeTerm,
            };
            scheduler.restore(stored, self.now, self.now);
        }
        self.holders.push(Holder {
            scheduler,
            fence: u64::from(term),
            keys: FastMap::default(),
            runs: true,
            reaches_store: true,
            lost_store_at: Millis::MAX,
            cut_from: FastSet::default(),
        });
    }

    fn advance(&mut self, index: usize) {
        let now = self.now;
        let holder = &mut self.holders[index];
        let gone_on = now.ms_since(holder.lost_store_at);
        let lost = !holder.reaches_store && gone_on > HOLDER_GRACE_MS;
        if !holder.runs || lost || holder.scheduler.is_fenced() {
            holder.runs = false;
            return;
        }
        let unproved = !holder.reaches_store && gone_on > HOLDER_TTL_MS;
        holder.scheduler.set_unproved(unproved);
        if holder.reaches_store {
            for worker in &self.workers {
                if worker.up {
                    holder.scheduler.worker_listed(report(worker), now);
                } else {
                    holder.scheduler.worker_unlisted(&worker.id);
                }
            }
        }
        for action in self.holders[index].scheduler.advance(now, now) {
            self.carry_out(index, action);
        }
        let holder = &mut self.holders[index];
        if holder.reaches_store
            && let Some(batch) = holder.scheduler.take_batch(now)
        {
            let due = now.after_ms(STEP_MS);
            self.pending.push(Pending {
                due,
                holder: index,
                worker: (WorkerKey::default(), 0),
                event: Event::Written(Box::new(batch)),
            });
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        let now = self.now;
        let holder = &mut self.holders[index];
        match action {
            Action::Connect(key) => {
                let id = holder
                    .scheduler
                    .worker(key)
                    .map(|report| Arc::clone(&report.id));
                let found = self.workers.iter().position(|w| Some(&w.id) == id.as_ref());
                if let Some(found) = found {
                    holder.keys.insert(key, found);
                }
            }
            Action::Disconnect(key) => {
                holder.keys.remove(&key);
            }
            Action::Start(key, order) => self.send(index, key, Order::Start(order)),
            Action::Stop(key, order) => self.send(index, key, Order::Stop(order)),
            Action::Look(key, order) => self.send(index, key, Order::Look(order)),
            Action::ListMachines => {
                let machines = self.workers.iter().map(machine).collect();
                holder.scheduler.machines_listed(Some(machines), now);
            }
            Action::Advise(_) | Action::Pace(..) | Action::Move(..) | Action::Maintain(..) => {}
        }
    }

    fn send(&mut self, index: usize, key: WorkerKey, order: Order) {
        let Some(worker) = self.holders[index].keys.get(&key).copied() else {
            return;
        };
        let delay_ms = self.rng.random_range(0..4) * STEP_MS;
        let fate = self.draw_fate(index, worker);
        let (arrives_ms, answers) = match fate {
            Fate::Answered => (Some(delay_ms), true),
            Fate::AnswerLost => (Some(delay_ms), false),
            Fate::Late => (Some(self.rng.random_range(2_000..12_000)), false),
            Fate::Lost => (None, false),
        };
        let pending = |due_ms, event| Pending {
            due: self.now.after_ms(due_ms),
            holder: index,
            worker: (key, worker),
            event,
        };
        let mut events = Vec::new();
        if !answers {
            let answer = match &order {
                Order::Look(_) => Answer::Look(LookResult::Unanswered),
                Order::Start(_) | Order::Stop(_) => Answer::Order(OrderResult::Unanswered),
            };
            let order = order.clone();
            events.push(pending(ORDER_TIMEOUT_MS, Event::Answered { order, answer }));
        }
        if let Some(arrives_ms) = arrives_ms {
            let life = self.workers[worker].born;
            let event = Event::Arrives {
                life,
                order,
                answers,
            };
            events.push(pending(arrives_ms, event));
        }
        self.pending.extend(events);
    }

    fn draw_fate(&mut self, index: usize, worker: usize) -> Fate {
        if self.holders[index].cut_from.contains(&worker) || !self.workers[worker].up {
            return Fate::Lost;
        }
        if self.rng.random_range(0..100) >= self.loss_percent {
            return Fate::Answered;
        }
        [Fate::Lost, Fate::AnswerLost, Fate::Late][self.rng.random_range(0..3)]
    }

    fn deliver(&mut self) -> Result<(), String> {
        let now = self.now;
        let (mut due, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.due <= now);
        self.pending = pending;
        due.sort_by_key(|pending| pending.due);
        for Pending {
            holder,
            worker,
            event,
            ..
        } in due
        {
            match event {
                Event::Arrives {
                    life,
                    order,
                    answers,
                } => {
                    self.arrive(holder, worker, life, order, answers)?;
                }
                Event::Answered { order, answer } => self.answered(holder, worker.0, order, answer),
                Event::Written(batch) => self.written(holder, &batch),
            }
        }
        Ok(())
    }

    fn arrive(
        &mut self,
        holder: usize,
        worker: (WorkerKey, usize),
        life: u64,
        order: Order,
        answers: bool,
    ) -> Result<(), String> {
        let (now, fence) = (self.now, self.holders[holder].fence);
        let failed = self.chance(40);
        let work_ms = self.rng.random_range(50..1_500);
        let runner = &mut self.workers[worker.1];
        let lives = runner.up && runner.born == life;
        let answer = match &order {
            _ if !lives => match &order {
                Order::Look(_) => Answer::Look(LookResult::NotListening),
                Order::Start(_) | Order::Stop(_) => Answer::Order(OrderResult::NotListening),
            },
            Order::Start(start) => {
                let end = if failed {
                    RunEndKind::Failed
                } else {
                    RunEndKind::Done
                };
                let (result, begun) = runner.start(start, fence, (work_ms, end), now);
                if begun {
                    self.checks
                        .begun(&self.workers, worker.1, start, &self.store.jobs)?;
                }
                Answer::Order(result)
            }
            Order::Stop(stop) => Answer::Order(runner.stop(stop, fence, now)),
            Order::Look(look) => {
                let (result, noted) = runner.look(*look, fence, now);
                for end in noted {
                    self.checks.noted(worker.1, runner, &end)?;
                }
                Answer::Look(result)
            }
        };
        if answers {
            self.pending.push(Pending {
                due: now.after_ms(STEP_MS),
                holder,
                worker,
                event: Event::Answered { order, answer },
            });
        }
        Ok(())
    }

    fn answered(&mut self, holder: usize, key: WorkerKey, order: Order, answer: Answer) {
        let now = self.now;
        let holder = &mut self.holders[holder];
        if !holder.runs {
            return;
        }
        match (order, answer) {
            (Order::Start(start), Answer::Order(result)) => {
                holder.scheduler.started(key, start.run, result, now);
            }
            (Order::Stop(stop), Answer::Order(result)) => {
                holder.scheduler.stopped(key, stop.run, result, now);
            }
            (Order::Look(_), Answer::Look(result)) => {
                holder.scheduler.looked(key, result, now, now)
            }
            _ => {}
        }
    }

    fn written(&mut self, index: usize, batch: &Batch) {
        let holder = &mut self.holders[index];
        if !holder.runs || !holder.reaches_store {
            return;
        }
        for job in &batch.jobs {
            let progress = job.progress.clone();
            self.store.progress.insert(Arc::clone(&job.id), progress);
        }
        if let Some(workers) = &batch.workers {
            self.store.workers.clone_from(workers);
        }
        holder.scheduler.batch_written(batch, self.now);
    }
}
