//! Series of hand-overs: planned stops, kills, and daemons that lead again.

use std::collections::VecDeque;

use rand::Rng;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::InstanceReport;

use super::messages::Event;
use super::worker::instance_report;
use super::{LEADER_TTL_MS, TICK_MS, TakeoverModel, WORKER_COUNT};

/// Hand-overs in a row, at most.
const SERIES_MAX: u32 = 3;
/// Share of hand-overs that are planned stops.
const PLANNED_PER_MILLE: u32 = 500;
/// Share of kills after which the same daemon leads again.
const SAME_DAEMON_PER_MILLE: u32 = 500;
/// Share of workers that a new leader does not reach at first.
const CUT_PER_MILLE: u32 = 300;

/// Hand-overs that are still to come, and what the list of instances has shown.
#[derive(Debug, Default)]
pub(super) struct HandOvers {
    /// Hand-overs left in the current series, and when the next one is due.
    left: u32,
    next_at: Millis,
    /// Whether the daemon that led last leads again.
    same_daemon: bool,
    daemon_count: usize,
    /// States of the instances, oldest first.
    instances: VecDeque<(Millis, Vec<InstanceReport>)>,
}

impl HandOvers {
    /// The daemon of the next term.
    pub(super) fn next_daemon(&mut self, last: Option<usize>) -> usize {
        let same_daemon = std::mem::take(&mut self.same_daemon);
        if let Some(last) = last.filter(|_| same_daemon) {
            return last;
        }
        self.daemon_count += 1;
        self.daemon_count
    }

    /// What the list of instances shows now.
    pub(super) fn listed_instances(&mut self, now: Millis, lag_ms: u64) -> Vec<InstanceReport> {
        while self.instances.len() > 1 && self.instances[1].0.after_ms(lag_ms) <= now {
            self.instances.pop_front();
        }
        let shown = self.instances.front();
        shown
            .map(|(_, reports)| reports.clone())
            .unwrap_or_default()
    }
}

impl TakeoverModel {
    /// Notes the state of the instances if it has changed.
    pub(super) fn record_instances(&mut self) {
        let reports: Vec<InstanceReport> = self.workers.iter().map(instance_report).collect();
        let last = self.hand_overs.instances.back();
        if last.is_none_or(|(_, last)| *last != reports) {
            self.hand_overs.instances.push_back((self.now, reports));
        }
    }

    /// Workers that a new leader does not reach until the path to them is restored.
    pub(super) fn draw_cut_workers(&mut self) -> FastSet<usize> {
        if self.conditions.hand_overs_per_mille == 0 || self.leaders.is_empty() {
            return FastSet::default();
        }
        let workers = 0..WORKER_COUNT;
        workers
            .filter(|_| self.draw_chance(CUT_PER_MILLE))
            .collect()
    }

    /// Begins or continues a series of hand-overs.
    pub(super) fn hand_over(&mut self) {
        let chance = self.conditions.hand_overs_per_mille;
        if chance == 0 {
            return;
        }
        if self.hand_overs.left == 0 && self.draw_chance(chance) {
            self.hand_overs.left = self.rng.random_range(1..=SERIES_MAX);
            self.hand_overs.next_at = self.now;
        }
        let Some(leader) = self.storing_leader() else {
            return;
        };
        if self.hand_overs.left == 0 || self.hand_overs.next_at > self.now {
            return;
        }
        self.hand_overs.left -= 1;
        let until_next_ms = self.rng.random_range(0..2_000);
        let until_takeover_ms = if self.draw_chance(PLANNED_PER_MILLE) {
            self.release(leader);
            self.rng.random_range(1..20) * TICK_MS
        } else {
            self.hand_overs.same_daemon = self.draw_chance(SAME_DAEMON_PER_MILLE);
            LEADER_TTL_MS
        };
        let stopped = &mut self.leaders[leader];
        stopped.is_active = false;
        stopped.reaches_store = false;
        stopped.lost_store_at = self.now;
        self.takeover_at = Some(self.now.after_ms(until_takeover_ms));
        self.hand_overs.next_at = self.now.after_ms(until_takeover_ms + until_next_ms);
    }

    /// Lets a leader store all that it knows before it stops.
    fn release(&mut self, leader: usize) {
        let is_own_write =
            |event: &Event, of: usize| matches!(event, Event::BatchWritten(_)) && of == leader;
        let (in_flight, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|message| is_own_write(&message.event, message.leader));
        self.in_transit = others;
        for message in in_flight {
            if let Event::BatchWritten(batch) = message.event {
                self.written(leader, &batch);
            }
        }
        let scheduler = &mut self.leaders[leader].scheduler;
        scheduler.release(self.now);
        if let Some(batch) = scheduler.take_batch(self.now) {
            self.written(leader, &batch);
        }
    }
}
