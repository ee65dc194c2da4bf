//! How work classes share the slots of a service.
//!
//! A class's share is its floor plus its weight's part of what the floors leave over. The shares
//! add up to all slots. The order of the classes and their names play no part, so a flood of any
//! class is treated alike.
//!
//! - A class below its floor goes first.
//! - Otherwise the class that has used the least slot time in relation to its share goes first
//!   (start-time fair queueing with the measured slot time as the cost). This also divides a single
//!   slot.
//! - Beyond its share a class borrows. Work that ends within the time that another class can wait
//!   may borrow every idle slot. Longer work leaves the floors of the other classes free, since a
//!   slot in use cannot be taken back.

use crate::prelude::*;
use crate::recent::WindowedExtreme;
use crate::request::{ClassIndex, RequestInfo};
use crate::service_time::ServiceTime;

const PPM: f64 = 1_000_000.0;
const SLACK_WINDOW_MS: u64 = 30_000;
/// A lender waits for one borrowed request and then for requests of its own class.
const SLACK_PART: f64 = 0.25;
/// Assumed until the first request of a class has arrived.
const INITIAL_TOLERANCE_MS: f64 = 250.0;
/// Requests of mean length that a class may be ahead of the others.
const LEAD_REQUESTS_MAX: f64 = 2.0;
/// Part of the slots that is always divided by weight. Floors that add up to more are scaled down,
/// or a class without a floor would starve beside them.
const BY_WEIGHT_MIN: f64 = 0.05;
const ROUNDING: f64 = 1e-9;

/// Limits of a work class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassPolicy {
    /// Name, which identifies the class across documents.
    pub name: Arc<str>,
    /// Weight when slots are scarce.
    pub weight: u32,
    /// Share of the slots that the class gets whenever it has work, in parts per million.
    pub floor_ppm: u32,
    /// Requests of the class that are queued at most.
    pub queue_limit: u32,
}

/// Slots of a service that this daemon may use now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCount {
    /// All of them.
    pub usable: u32,
    /// Those without an exchange.
    pub free: u32,
}

/// Slot time that was charged to a class in advance.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    /// Class and caller of the request.
    pub info: RequestInfo,
    /// When the request was sent.
    pub at: Millis,
    /// Expected slot time.
    pub expected_ms: f64,
    /// Slots of the class's share at that time.
    share_slots: f64,
}

impl Charge {
    /// Slot time beyond the expected one.
    #[must_use]
    pub fn excess_ms(&self, now: Millis) -> f64 {
        held_ms(self, now) - self.expected_ms
    }
}

#[derive(Clone, Debug)]
struct ClassState {
    name: Arc<str>,
    share: f64,
    floor: f64,
    in_flight: u32,
    /// Slot time used, divided by the share.
    tag_ms: f64,
    service: ServiceTime,
    /// Longest time that a request in flight has run.
    running_ms: f64,
    slack: WindowedExtreme,
}

/// Slot accounts of the work classes.
#[derive(Clone, Debug)]
pub struct ClassShares {
    classes: Vec<ClassState>,
    virtual_ms: f64,
}

impl ClassState {
    fn new(policy: &ClassPolicy) -> Self {
        Self {
            name: Arc::clone(&policy.name),
            share: 0.0,
            floor: 0.0,
            in_flight: 0,
            tag_ms: 0.0,
            service: ServiceTime::default(),
            running_ms: 0.0,
            slack: WindowedExtreme::smallest(SLACK_WINDOW_MS),
        }
    }

    fn share_slots(&self, usable: u32) -> f64 {
        (self.share * f64::from(usable)).max(ROUNDING)
    }

    fn is_below_floor(&self, usable: u32) -> bool {
        f64::from(self.in_flight + 1) <= self.floor * f64::from(usable) + ROUNDING
    }

    fn is_within_share(&self, usable: u32) -> bool {
        let limit = self.share_slots(usable).max(1.0);
        f64::from(self.in_flight + 1) <= limit + ROUNDING
    }

    fn slot_time_high_ms(&self) -> f64 {
        self.service.upper_estimate_ms().max(self.running_ms)
    }

    /// How long a request of the class can wait for a borrowed slot.
    #[expect(
        clippy::cast_precision_loss,
        reason = "deadlines are far below 2^52 ms"
    )]
    fn tolerance_ms(&self) -> f64 {
        self.slack.last().map_or(INITIAL_TOLERANCE_MS, |slack_ms| {
            (slack_ms as f64 - self.service.mean_ms()).max(0.0) * SLACK_PART
        })
    }

    /// Slots of the floor without an exchange.
    fn unused_floor(&self, usable: u32) -> f64 {
        (self.floor * f64::from(usable) - f64::from(self.in_flight)).max(0.0)
    }
}

impl ClassShares {
    /// Accounts without use.
    #[must_use]
    pub fn new(policies: &[ClassPolicy]) -> Self {
        let mut shares = Self {
            classes: policies.iter().map(ClassState::new).collect(),
            virtual_ms: 0.0,
        };
        shares.divide(policies);
        shares
    }

    /// Takes over new limits. Classes keep their measurements by name; requests in flight are
    /// counted again by [`Self::restore`].
    pub fn configure(&mut self, policies: &[ClassPolicy]) {
        let old = std::mem::take(&mut self.classes);
        self.classes = policies
            .iter()
            .map(|policy| {
                let kept = old.iter().find(|class| class.name == policy.name).cloned();
                let class = kept.unwrap_or_else(|| ClassState::new(policy));
                ClassState {
                    in_flight: 0,
                    ..class
                }
            })
            .collect();
        self.divide(policies);
    }

    /// Counts a request in flight after [`Self::configure`].
    pub fn restore(&mut self, class: ClassIndex) {
        if let Some(state) = self.state_mut(class) {
            state.in_flight += 1;
        }
    }

    fn divide(&mut self, policies: &[ClassPolicy]) {
        let weights: f64 = policies.iter().map(|class| f64::from(class.weight)).sum();
        let floors: f64 = policies
            .iter()
            .map(|class| f64::from(class.floor_ppm))
            .sum();
        let floors = floors / PPM;
        let by_weight = (1.0 - floors).max(BY_WEIGHT_MIN);
        let scale = (1.0 - by_weight) / floors.max(1.0 - by_weight).max(ROUNDING);
        for (state, policy) in self.classes.iter_mut().zip(policies) {
            state.floor = scale * f64::from(policy.floor_ppm) / PPM;
            state.share = state.floor + by_weight * f64::from(policy.weight) / weights.max(1.0);
        }
    }

    /// Measured service times of a class.
    #[must_use]
    pub fn service(&self, class: ClassIndex) -> ServiceTime {
        self.state(class)
            .map_or_else(ServiceTime::default, |state| state.service)
    }

    /// Exchanges in flight of a class.
    #[must_use]
    pub fn in_flight(&self, class: ClassIndex) -> u32 {
        self.state(class).map_or(0, |state| state.in_flight)
    }

    /// Part of the slots that a class gets while these classes have work: at least its share.
    #[must_use]
    pub fn part(&self, class: ClassIndex, has_queue: impl Fn(ClassIndex) -> bool) -> f64 {
        let Some(state) = self.state(class) else {
            return 1.0;
        };
        let others: f64 = self
            .indexed()
            .filter(|(index, other)| *index != class && (other.in_flight > 0 || has_queue(*index)))
            .map(|(_, other)| other.share)
            .sum();
        state.share / (state.share + others).max(ROUNDING)
    }

    /// Records the arrival of a request; `queued` counts the class's queue with it.
    pub fn arrived(&mut self, info: &RequestInfo, queued: usize) {
        let virtual_ms = self.virtual_ms;
        let Some(state) = self.state_mut(info.class) else {
            return;
        };
        let slack_ms = info.deadline.ms_since(info.arrived);
        state.slack.record(slack_ms, info.arrived);
        if queued == 1 {
            // A class gains no credit for the time without work.
            state.tag_ms = state.tag_ms.max(virtual_ms);
        }
    }

    /// Notes how long requests in flight have run, so that work that runs longer than measured
    /// before is seen before it ends.
    pub fn observe_running<'a>(&mut self, charges: impl Iterator<Item = &'a Charge>, now: Millis) {
        for state in &mut self.classes {
            state.running_ms = 0.0;
        }
        for charge in charges {
            let running_ms = held_ms(charge, now);
            if let Some(state) = self.state_mut(charge.info.class) {
                state.running_ms = state.running_ms.max(running_ms);
            }
        }
    }

    /// The class that gets the next free slot; `None` if no class with a queue may take one.
    #[must_use]
    pub fn choose(
        &self,
        has_queue: impl Fn(ClassIndex) -> bool,
        slots: SlotCount,
    ) -> Option<ClassIndex> {
        let waiting = || self.indexed().filter(|(index, _)| has_queue(*index));
        let used_of_floor =
            |state: &ClassState| f64::from(state.in_flight) / state.floor.max(ROUNDING);
        let below_floor = waiting()
            .filter(|(_, state)| state.is_below_floor(slots.usable))
            .min_by(|(_, a), (_, b)| {
                let by_use = used_of_floor(a).total_cmp(&used_of_floor(b));
                by_use.then(a.tag_ms.total_cmp(&b.tag_ms))
            });
        let chosen = below_floor.or_else(|| {
            waiting()
                .filter(|(index, state)| self.may_take(*index, state, slots))
                .min_by(|(_, a), (_, b)| a.tag_ms.total_cmp(&b.tag_ms))
        });
        chosen.map(|(index, _)| index)
    }

    fn may_take(&self, class: ClassIndex, state: &ClassState, slots: SlotCount) -> bool {
        if state.is_within_share(slots.usable) {
            return true;
        }
        let high_ms = state.slot_time_high_ms();
        let reserve: f64 = self
            .indexed()
            .filter(|(index, lender)| *index != class && high_ms > lender.tolerance_ms())
            .map(|(_, lender)| lender.unused_floor(slots.usable))
            .sum();
        f64::from(slots.free.saturating_sub(1)) >= (reserve - ROUNDING).ceil()
    }

    /// Charges the expected slot time of a request that is sent now.
    pub fn dispatched(&mut self, info: RequestInfo, usable: u32, now: Millis) -> Charge {
        let mut charge = Charge {
            info,
            at: now,
            expected_ms: 0.0,
            share_slots: 1.0,
        };
        let mut start_ms = self.virtual_ms;
        if let Some(state) = self.state_mut(info.class) {
            charge.expected_ms = state.service.mean_ms();
            charge.share_slots = state.share_slots(usable);
            start_ms = state.tag_ms;
            state.tag_ms += charge.expected_ms / charge.share_slots;
            state.in_flight += 1;
        }
        self.virtual_ms = self.virtual_ms.max(start_ms);
        charge
    }

    /// Replaces the expected slot time of a request by the time that it held its slot.
    pub fn released(&mut self, charge: &Charge, now: Millis) {
        let virtual_ms = self.virtual_ms;
        let held_ms = held_ms(charge, now);
        let Some(state) = self.state_mut(charge.info.class) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        // The lead is limited so that a class whose work was longer than expected does not wait for
        // ever behind classes that always have work.
        let longest_ms = held_ms.max(charge.expected_ms);
        let lead_ms = LEAD_REQUESTS_MAX * longest_ms * (1.0 / charge.share_slots).max(1.0);
        let used_ms = state.tag_ms + (held_ms - charge.expected_ms) / charge.share_slots;
        state.tag_ms = used_ms.min(virtual_ms + lead_ms);
    }

    /// Records the service time of a request that held its slot until its complete response.
    pub fn completed(&mut self, charge: &Charge, now: Millis) {
        if let Some(state) = self.state_mut(charge.info.class) {
            state.service.record_complete(now.ms_since(charge.at), now);
        }
    }

    /// Records the slot time of a request that ended without a complete response.
    pub fn held(&mut self, charge: &Charge, now: Millis) {
        if let Some(state) = self.state_mut(charge.info.class) {
            state.service.record_held(now.ms_since(charge.at));
        }
    }

    fn indexed(&self) -> impl Iterator<Item = (ClassIndex, &ClassState)> {
        (0..).map(ClassIndex).zip(&self.classes)
    }

    fn state(&self, class: ClassIndex) -> Option<&ClassState> {
        self.classes.get(usize::from(class.0))
    }

    fn state_mut(&mut self, class: ClassIndex) -> Option<&mut ClassState> {
        self.classes.get_mut(usize::from(class.0))
    }
}

/// How long a request has held its slot.
#[expect(
    clippy::cast_precision_loss,
    reason = "service times are far below 2^52 ms"
)]
fn held_ms(charge: &Charge, now: Millis) -> f64 {
    now.ms_since(charge.at) as f64
}
