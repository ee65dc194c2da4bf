//! Placement: selects a worker for each ready task.

use std::collections::VecDeque;
use std::iter::Peekable;
use std::vec;

use super::gang::GangDecision;
use super::job_table::{Task, TaskStatus};
use super::order::StepKey;
use super::rank::Rank;
use super::room_index::RoomIndex;
use super::share::ShareLimits;
use super::view::PlacementView;
use super::worker::Worker;
use super::{RUN_NUMBERS_PER_TERM, Scheduler};
use crate::placement::Resources;
use crate::prelude::*;

/// Waiting steps of a service above which placement passes are spaced.
const WAITING_STEPS_MAX: usize = 32;
/// Spacing of placement passes of a service with many waiting steps.
const PLACEMENT_INTERVAL_MS: u64 = 10;
/// Interval at which every service with ready tasks gets a placement pass.
const FULL_PLACEMENT_INTERVAL_MS: u64 = 100;

/// Searches for a worker since the start of the term, for tasks that are no members of gangs. Each reads the free room
/// of all workers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementEffort {
    /// All searches.
    pub searches: u64,
    /// Those that found no worker.
    pub failed_searches: u64,
}

/// What a placement pass did with a task or a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placement {
    Started,
    /// Keeps waiting for its rack; the room elsewhere is left to others.
    WaitsForRack,
    NoRoom,
}

/// Steps of a placement pass in the order of their ranks. A step whose workspace exceeds its share during
/// the pass is put off behind those of the others. Steps are put off in ascending order, so two sorted
/// sequences are merged and nothing is sorted again.
#[derive(Debug)]
struct PassOrder {
    ranked: Peekable<vec::IntoIter<Rank>>,
    postponed: VecDeque<Rank>,
}

impl PassOrder {
    fn new(ranked: Vec<Rank>) -> Self {
        Self {
            ranked: ranked.into_iter().peekable(),
            postponed: VecDeque::new(),
        }
    }

    fn next(&mut self) -> Option<Rank> {
        match (self.ranked.peek(), self.postponed.front()) {
            (Some(ranked), Some(postponed)) if postponed < ranked => self.postponed.pop_front(),
            (Some(_), _) => self.ranked.next(),
            (None, _) => self.postponed.pop_front(),
        }
    }

    fn postpone(&mut self, rank: Rank) {
        self.postponed.push_back(rank);
    }
}

impl Scheduler {
    /// Searches for a worker in this term.
    #[must_use]
    pub const fn placement_effort(&self) -> PlacementEffort {
        self.placement_effort
    }

    /// What placement decisions may see.
    pub(super) const fn view(&self, now: Millis) -> PlacementView<'_> {
        PlacementView {
            job_table: &self.job_table,
            runs: &self.runs,
            workers: &self.workers,
            services: &self.services,
            workspaces: &self.workspaces,
            shares: &self.shares,
            unseen_use: &self.unseen_use,
            advice: &self.advice,
            durations: &self.durations,
            speeds: &self.speeds,
            copies: &self.copies,
            uneven_work: self.settings.uneven_work,
            leadership_unconfirmed: self.leadership_unconfirmed,
            now,
        }
    }

    /// Runs the placement passes that are due. With many waiting steps a pass waits for more room to
    /// become free, so that its cost is shared by several ends of runs.
    pub(super) fn place_ready_tasks(&mut self, now: Millis) {
        if self.next_full_placement_at <= now {
            // Covers room that becomes usable without an event, such as the end of a pause.
            self.next_full_placement_at = now.after_ms(FULL_PLACEMENT_INTERVAL_MS);
            self.request_full_placement();
        }
        let due: Vec<ServiceKey> = self
            .services
            .iter()
            .filter(|(_, service)| service.placement_due && service.next_placement_at <= now)
            .map(|(key, _)| key)
            .collect();
        if due.is_empty() {
            return;
        }
        self.renew_unseen_use(now);
        let capacity = self.largest_capacity();
        for key in due {
            self.services[key].placement_due = false;
            self.place_tasks_of(key, capacity, now);
            let service = &mut self.services[key];
            if service.ready.step_count() > WAITING_STEPS_MAX {
                service.next_placement_at = now.after_ms(PLACEMENT_INTERVAL_MS);
            }
        }
        self.ask_advisor(now);
    }

    fn place_tasks_of(&mut self, service: ServiceKey, capacity: Resources, now: Millis) {
        if self.services[service].ready.is_empty() {
            return;
        }
        let mut rooms = self.room_index(service, now);
        let limits = self.take_share_limits(service, now);
        self.update_hold(service, &limits, now);
        self.locality
            .begin_pass(|task| self.job_table.is_ready(task));
        let ranked = self.ranked_steps(service, &rooms, &limits, capacity, now);
        let mut order = PassOrder::new(ranked);
        while let Some(rank) = order.next() {
            let step = rank.step();
            let Some(need) = self
                .view(now)
                .step_need(step)
                .filter(|need| {
                    self.may_fit_somewhere(step, *need, &rooms)
                        || self.shares.held.is_for(service, step)
                })
                .filter(|_| self.view(now).has_quota(step))
            else {
                continue;
            };
            if rank.is_below_share() && self.is_above_share_of(step, service, &limits, now) {
                order.postpone(rank.above_share());
                continue;
            }
            let tasks = self.services[service].ready.take(step);
            let checked = rank.is_below_share().then_some(&limits);
            let (waiting, is_postponed) =
                self.place_step(tasks, service, (need, checked), &mut rooms, now);
            self.services[service].ready.put_back(step, waiting);
            if is_postponed {
                order.postpone(rank.above_share());
            }
        }
        self.shares.limits.insert(service, limits);
    }

    fn is_above_share_of(
        &self,
        step: StepKey,
        service: ServiceKey,
        limits: &ShareLimits,
        now: Millis,
    ) -> bool {
        let job = self.job_table.jobs.get(step.job);
        job.is_some_and(|job| {
            self.view(now)
                .is_above_share(limits, service, job.workspace)
        })
    }

    /// Places the tasks of a step. Returns those that keep waiting, and whether any of them waits only
    /// because its workspace is now above its share.
    fn place_step(
        &mut self,
        tasks: Vec<TaskKey>,
        service: ServiceKey,
        (need, limits): (Resources, Option<&ShareLimits>),
        rooms: &mut RoomIndex,
        now: Millis,
    ) -> (Vec<TaskKey>, bool) {
        let mut waiting = Vec::new();
        let mut fits = true;
        let mut is_postponed = false;
        for key in tasks {
            let Some(task) = self.job_table.tasks.get(key) else {
                continue;
            };
            if task.status != TaskStatus::Ready {
                continue;
            }
            if task.not_before > now {
                // The next full pass comes soon enough for a longer pause.
                let next_full_pass_at = now.after_ms(FULL_PLACEMENT_INTERVAL_MS);
                self.services[service].placement_due |= task.not_before < next_full_pass_at;
                waiting.push(key);
                continue;
            }
            // Another leader may already know how the lost run ended.
            let is_held = self.leadership_unconfirmed && task.last_run_lost;
            if is_held || !fits {
                waiting.push(key);
                continue;
            }
            let is_isolated = task.is_isolated();
            is_postponed |= limits.is_some_and(|limits| {
                self.job_table
                    .step_key(key)
                    .is_some_and(|step| self.is_above_share_of(step, service, limits, now))
            });
            if is_postponed {
                waiting.push(key);
                continue;
            }
            let step = self.job_table.step_key(key);
            if step.is_some_and(|step| !self.view(now).has_quota(step)) {
                fits = false;
                waiting.push(key);
                continue;
            }
            match self.place_task(key, service, need, rooms, now) {
                Placement::Started => {}
                Placement::WaitsForRack => {
                    // The other members of a gang wait with it.
                    fits = self.job_table.step_of(key).is_none_or(|step| !step.gang);
                    waiting.push(key);
                }
                Placement::NoRoom => {
                    fits = is_isolated;
                    waiting.push(key);
                    rooms.search_failed(need, self.is_unconstrained(key));
                }
            }
        }
        (waiting, is_postponed)
    }

    /// Steps of a service with ready tasks that may fit on a worker and the quota of their workspace, sorted by
    /// rank.
    fn ranked_steps(
        &self,
        service: ServiceKey,
        rooms: &RoomIndex,
        limits: &ShareLimits,
        capacity: Resources,
        now: Millis,
    ) -> Vec<Rank> {
        let view = self.view(now);
        let mut ranked: Vec<Rank> = self.services[service]
            .ready
            .steps()
            .filter(|(step, _)| {
                view.step_need(*step).is_some_and(|need| {
                    self.may_fit_somewhere(*step, need, rooms) && view.has_quota(*step)
                })
            })
            .filter_map(|(step, _)| view.rank(step, limits, capacity))
            .collect();
        ranked.sort_unstable();
        ranked
    }

    /// Whether a worker may have room for a task of the step, counting quarantined ones for a long-running step.
    fn may_fit_somewhere(&self, step: StepKey, need: Resources, rooms: &RoomIndex) -> bool {
        let job = self.job_table.jobs.get(step.job);
        let spec = job.and_then(|job| job.step(step.step));
        let is_long_running = spec.is_some_and(|spec| spec.long_running);
        rooms.may_fit(need) || (is_long_running && rooms.may_fit_trial(need))
    }

    /// Whether any worker of the service with enough room can run the task.
    fn is_unconstrained(&self, key: TaskKey) -> bool {
        let is_isolated = self.job_table.tasks.get(key).is_some_and(Task::is_isolated);
        !is_isolated
            && self.job_table.advice_of(key).is_none()
            && self.job_table.step_of(key).is_some_and(|step| {
                step.requirement.is_none() && step.per_worker_max == 0 && !step.gang
            })
    }

    fn room_index(&self, service: ServiceKey, now: Millis) -> RoomIndex {
        let view = self.view(now);
        let workers = self.services[service].workers.iter();
        let workers = workers.filter_map(|key| Some((*key, self.workers.get(*key)?)));
        let trial_workers = workers.clone().map(|(_, worker)| worker);
        RoomIndex::new(
            workers.filter(|(_, worker)| view.may_start_on(worker)),
            trial_workers.filter(|worker| view.may_be_tried(worker)),
        )
    }

    /// Per-resource maximum of the capacities of the workers that have answered this leader; of all workers until
    /// one has. An entry that no worker stands behind must not set the size by which work and pools are measured.
    pub(super) fn largest_capacity(&self) -> Resources {
        let workers = self.workers.values();
        let answered = workers.clone().filter(|worker| worker.synced);
        let largest_of =
            |capacity: Resources, worker: &Worker| capacity.max(worker.report.capacity);
        match answered.fold(Resources::default(), largest_of) {
            capacity if capacity == Resources::default() => workers.fold(capacity, largest_of),
            capacity => capacity,
        }
    }

    fn place_task(
        &mut self,
        key: TaskKey,
        service: ServiceKey,
        need: Resources,
        rooms: &mut RoomIndex,
        now: Millis,
    ) -> Placement {
        if self.job_table.step_of(key).is_some_and(|step| step.gang) {
            let placement = self.place_gang(key, service, now);
            if placement == Placement::Started {
                *rooms = self.room_index(service, now);
            }
            return placement;
        }
        let held = self.held_room(key, service);
        self.placement_effort.searches += 1;
        let view = self.view(now);
        let found = view
            .best_worker_among(key, rooms.fitting(need), &held)
            .or_else(|| view.best_quarantined_worker(key, service, &held));
        let Some(worker) = found else {
            self.placement_effort.failed_searches += 1;
            return Placement::NoRoom;
        };
        if self.waits_for_rack(key, worker, service, now) {
            return Placement::WaitsForRack;
        }
        let number = self.next_run_number(key);
        self.start(key, worker, number, now);
        rooms.take(worker, self.workers[worker].free());
        Placement::Started
    }

    /// Starts all tasks of a gang, or none if any of them has no worker.
    fn place_gang(&mut self, key: TaskKey, service: ServiceKey, now: Millis) -> Placement {
        let task = &self.job_table.tasks[key];
        let (job, position) = (task.job, task.position);
        let members = self.job_table.jobs[job].occurrences[position.occurrence as usize]
            [usize::from(position.step)]
        .clone();
        if !members
            .iter()
            .all(|member| self.job_table.is_ready(*member))
        {
            return Placement::NoRoom;
        }
        let held = self.held_room(key, service);
        let planned = match self.plan_gang(&members, service, &held, now) {
            GangDecision::Start(planned) => planned,
            GangDecision::Wait => return Placement::WaitsForRack,
            GangDecision::NoRoom => return Placement::NoRoom,
        };
        let number = members
            .iter()
            .map(|member| self.next_run_number(*member))
            .max()
            .unwrap_or(1);
        let checkpoint = members
            .iter()
            .filter_map(|member| self.job_table.tasks.get(*member))
            .max_by_key(|task| (task.last_run_number, !task.checkpoint.is_empty()))
            .map(|task| Arc::clone(&task.checkpoint));
        for (member, (worker, _)) in members.into_iter().zip(planned) {
            if let Some(checkpoint) = &checkpoint {
                self.job_table.put_checkpoint(member, checkpoint);
            }
            self.start(member, worker, number, now);
        }
        Placement::Started
    }

    pub(super) fn next_run_number(&self, key: TaskKey) -> u32 {
        let first = (self.settings.term.max(1) - 1) * RUN_NUMBERS_PER_TERM + 1;
        let last = self
            .job_table
            .tasks
            .get(key)
            .map_or(0, |task| task.last_run_number);
        (last + 1).max(first)
    }
}
