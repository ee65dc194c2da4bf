//! Sharing of a service's slots between work classes.
//!
//! The share of a class is its floor plus a part of the remaining slots in proportion to its
//! weight. The shares add up to all slots. The order and names of the classes have no influence, so
//! a flood of any class is handled the same way.
//!
//! - A class below its floor is served first.
//! - Otherwise the class with the least slot time relative to its share is served (start-time fair
//!   queueing with the measured slot time as the cost). This also shares a single slot over time.
//! - Beyond its share a class borrows idle slots. Requests that are short enough for the other
//!   classes to wait for may borrow every idle slot. Longer requests leave the floors of the other
//!   classes free, since a slot in use cannot be preempted.

use crate::prelude::*;
use crate::recent::WindowedExtreme;
use crate::request::{ClassIndex, RequestInfo};
use crate::service_time::ServiceTime;

const PARTS_PER_MILLION: f64 = 1_000_000.0;
const SLACK_WINDOW_MS: u64 = 30_000;
/// Fraction of its slack that a class may wait for a borrowed slot. The rest is left for waiting
/// behind requests of its own class.
const BORROW_SLACK_FRACTION: f64 = 0.25;
/// Used until the first request of a class has arrived.
const INITIAL_BORROW_WAIT_MS: f64 = 250.0;
/// Limit of the virtual time that a class may be ahead of the others, in requests.
const MAX_LEAD_REQUESTS: f64 = 2.0;
/// Fraction of the slots that is always shared by weight. Floors that leave less are scaled down,
/// so that a class without a floor does not starve.
const MIN_WEIGHTED_SHARE: f64 = 0.05;
const EPSILON: f64 = 1e-9;

/// Limits of a work class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassPolicy {
    /// Name, which identifies the class across document versions.
    pub name: Arc<str>,
    /// Weight when slots are scarce.
    pub weight: u32,
    /// Guaranteed share of the slots while the class has work, in parts per million.
    pub floor_ppm: u32,
    /// Maximum number of queued requests of the class.
    pub queue_limit: u32,
}

/// Slots of a service that this daemon may use now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCount {
    /// All usable slots.
    pub usable: u32,
    /// Usable slots without an exchange.
    pub free: u32,
}

/// Slot time charged to a class when a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    /// Class and caller of the request.
    pub info: RequestInfo,
    /// When the request was sent.
    pub sent_at: Millis,
    /// Expected slot time.
    pub expected_ms: f64,
    /// Size of the class's share in slots when the request was sent.
    share_slots: f64,
}

impl Charge {
    /// Difference between the measured and the expected slot time.
    #[must_use]
    pub fn excess_ms(&self, now: Millis) -> f64 {
        slot_time_ms(self, now) - self.expected_ms
    }
}

#[derive(Clone, Debug)]
struct ClassState {
    name: Arc<str>,
    share: f64,
    floor: f64,
    in_flight: u32,
    /// Start tag of the next request: used slot time divided by the share.
    start_tag_ms: f64,
    service_time: ServiceTime,
    /// Age of the oldest request in flight.
    longest_running_ms: f64,
    slack: WindowedExtreme,
}

/// Slot usage and fair-queueing state of the work classes.
#[derive(Clone, Debug)]
pub struct ClassShares {
    classes: Vec<ClassState>,
    virtual_time_ms: f64,
}

impl ClassState {
    fn new(policy: &ClassPolicy) -> Self {
        Self {
            name: Arc::clone(&policy.name),
            share: 0.0,
            floor: 0.0,
            in_flight: 0,
            start_tag_ms: 0.0,
            service_time: ServiceTime::default(),
            longest_running_ms: 0.0,
            slack: WindowedExtreme::smallest(SLACK_WINDOW_MS),
        }
    }

    fn share_slots(&self, usable: u32) -> f64 {
        (self.share * f64::from(usable)).max(EPSILON)
    }

    fn is_below_floor(&self, usable: u32) -> bool {
        f64::from(self.in_flight + 1) <= self.floor * f64::from(usable) + EPSILON
    }

    fn is_within_share(&self, usable: u32) -> bool {
        let limit = self.share_slots(usable).max(1.0);
        f64::from(self.in_flight + 1) <= limit + EPSILON
    }

    fn slot_time_upper_estimate_ms(&self) -> f64 {
        self.service_time
            .upper_estimate_ms()
            .max(self.longest_running_ms)
    }

    /// Longest time that a request of the class can wait until a borrowed slot is returned.
    #[expect(
        clippy::cast_precision_loss,
        reason = "deadlines are far below 2^52 ms"
    )]
    fn max_borrow_wait_ms(&self) -> f64 {
        self.slack
            .last()
            .map_or(INITIAL_BORROW_WAIT_MS, |slack_ms| {
                (slack_ms as f64 - self.service_time.mean_ms()).max(0.0) * BORROW_SLACK_FRACTION
            })
    }

    /// Slots of the class's floor that it does not use.
    fn unused_floor_slots(&self, usable: u32) -> f64 {
        (self.floor * f64::from(usable) - f64::from(self.in_flight)).max(0.0)
    }
}

impl ClassShares {
    /// Creates the state for classes without requests.
    #[must_use]
    pub fn new(policies: &[ClassPolicy]) -> Self {
        let mut shares = Self {
            classes: policies.iter().map(ClassState::new).collect(),
            virtual_time_ms: 0.0,
        };
        shares.update_shares(policies);
        shares
    }

    /// Replaces the limits. Classes are matched by name and keep their measurements. The caller
    /// counts the requests in flight again with [`Self::restore_in_flight`].
    pub fn configure(&mut self, policies: &[ClassPolicy]) {
        let old = std::mem::take(&mut self.classes);
        self.classes = policies
            .iter()
            .map(|policy| {
                let existing = old.iter().find(|class| class.name == policy.name).cloned();
                let class = existing.unwrap_or_else(|| ClassState::new(policy));
                ClassState {
                    in_flight: 0,
                    ..class
                }
            })
            .collect();
        self.update_shares(policies);
    }

    /// Counts a request in flight after [`Self::configure`].
    pub fn restore_in_flight(&mut self, class: ClassIndex) {
        if let Some(state) = self.state_mut(class) {
            state.in_flight += 1;
        }
    }

    fn update_shares(&mut self, policies: &[ClassPolicy]) {
        let weights: f64 = policies.iter().map(|class| f64::from(class.weight)).sum();
        let floors: f64 = policies
            .iter()
            .map(|class| f64::from(class.floor_ppm))
            .sum();
        let floors = floors / PARTS_PER_MILLION;
        let weighted_share = (1.0 - floors).max(MIN_WEIGHTED_SHARE);
        let scale = (1.0 - weighted_share) / floors.max(1.0 - weighted_share).max(EPSILON);
        for (state, policy) in self.classes.iter_mut().zip(policies) {
            state.floor = scale * f64::from(policy.floor_ppm) / PARTS_PER_MILLION;
            state.share =
                state.floor + weighted_share * f64::from(policy.weight) / weights.max(1.0);
        }
    }

    /// Measured service times of a class.
    #[must_use]
    pub fn service_time(&self, class: ClassIndex) -> ServiceTime {
        self.state(class)
            .map_or_else(ServiceTime::default, |state| state.service_time)
    }

    /// Number of exchanges of a class in flight.
    #[must_use]
    pub fn in_flight(&self, class: ClassIndex) -> u32 {
        self.state(class).map_or(0, |state| state.in_flight)
    }

    /// Share of a class among the classes that have queued or running requests.
    #[must_use]
    pub fn active_share(&self, class: ClassIndex, has_queue: impl Fn(ClassIndex) -> bool) -> f64 {
        let Some(state) = self.state(class) else {
            return 1.0;
        };
        let others: f64 = self
            .indexed()
            .filter(|(index, other)| *index != class && (other.in_flight > 0 || has_queue(*index)))
            .map(|(_, other)| other.share)
            .sum();
        state.share / (state.share + others).max(EPSILON)
    }

    /// Records the arrival of a request. `queued` is the length of the class's queue including it.
    pub fn record_arrival(&mut self, info: &RequestInfo, queued: usize) {
        let virtual_time_ms = self.virtual_time_ms;
        let Some(state) = self.state_mut(info.class) else {
            return;
        };
        let slack_ms = info.deadline.ms_since(info.arrived);
        state.slack.record(slack_ms, info.arrived);
        if queued == 1 {
            // An idle class accumulates no credit.
            state.start_tag_ms = state.start_tag_ms.max(virtual_time_ms);
        }
    }

    /// Updates the age of the oldest request in flight of each class, so that requests longer than
    /// those measured before are taken into account before they end.
    pub fn observe_running<'a>(&mut self, charges: impl Iterator<Item = &'a Charge>, now: Millis) {
        for state in &mut self.classes {
            state.longest_running_ms = 0.0;
        }
        for charge in charges {
            let running_ms = slot_time_ms(charge, now);
            if let Some(state) = self.state_mut(charge.info.class) {
                state.longest_running_ms = state.longest_running_ms.max(running_ms);
            }
        }
    }

    /// Selects the class for the next free slot. Returns `None` if no class with queued requests
    /// may take one.
    #[must_use]
    pub fn next_class(
        &self,
        has_queue: impl Fn(ClassIndex) -> bool,
        slots: SlotCount,
    ) -> Option<ClassIndex> {
        let waiting = || self.indexed().filter(|(index, _)| has_queue(*index));
        let floor_usage =
            |state: &ClassState| f64::from(state.in_flight) / state.floor.max(EPSILON);
        let below_floor = waiting()
            .filter(|(_, state)| state.is_below_floor(slots.usable))
            .min_by(|(_, a), (_, b)| {
                let by_usage = floor_usage(a).total_cmp(&floor_usage(b));
                by_usage.then(a.start_tag_ms.total_cmp(&b.start_tag_ms))
            });
        let chosen = below_floor.or_else(|| {
            waiting()
                .filter(|(index, state)| self.may_dispatch(*index, state, slots))
                .min_by(|(_, a), (_, b)| a.start_tag_ms.total_cmp(&b.start_tag_ms))
        });
        chosen.map(|(index, _)| index)
    }

    fn may_dispatch(&self, class: ClassIndex, state: &ClassState, slots: SlotCount) -> bool {
        if state.is_within_share(slots.usable) {
            return true;
        }
        let high_ms = state.slot_time_upper_estimate_ms();
        let reserved_slots: f64 = self
            .indexed()
            .filter(|(index, lender)| *index != class && high_ms > lender.max_borrow_wait_ms())
            .map(|(_, lender)| lender.unused_floor_slots(slots.usable))
            .sum();
        f64::from(slots.free.saturating_sub(1)) >= (reserved_slots - EPSILON).ceil()
    }

    /// Charges the expected slot time of a request to its class when it is sent.
    pub fn charge_dispatch(&mut self, info: RequestInfo, usable: u32, now: Millis) -> Charge {
        let mut charge = Charge {
            info,
            sent_at: now,
            expected_ms: 0.0,
            share_slots: 1.0,
        };
        let mut start_tag_ms = self.virtual_time_ms;
        if let Some(state) = self.state_mut(info.class) {
            charge.expected_ms = state.service_time.mean_ms();
            charge.share_slots = state.share_slots(usable);
            start_tag_ms = state.start_tag_ms;
            state.start_tag_ms += charge.expected_ms / charge.share_slots;
            state.in_flight += 1;
        }
        self.virtual_time_ms = self.virtual_time_ms.max(start_tag_ms);
        charge
    }

    /// Replaces the expected slot time of a request by its measured slot time.
    pub fn settle_charge(&mut self, charge: &Charge, now: Millis) {
        let virtual_time_ms = self.virtual_time_ms;
        let slot_time_ms = slot_time_ms(charge, now);
        let Some(state) = self.state_mut(charge.info.class) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        // Limit the lead, so that a class whose requests took longer than expected does not starve
        // behind classes that always have queued requests.
        let longest_ms = slot_time_ms.max(charge.expected_ms);
        let lead_ms = MAX_LEAD_REQUESTS * longest_ms * (1.0 / charge.share_slots).max(1.0);
        let settled_tag_ms =
            state.start_tag_ms + (slot_time_ms - charge.expected_ms) / charge.share_slots;
        state.start_tag_ms = settled_tag_ms.min(virtual_time_ms + lead_ms);
    }

    /// Records the service time of a request with a complete response.
    pub fn record_complete(&mut self, charge: &Charge, now: Millis) {
        if let Some(state) = self.state_mut(charge.info.class) {
            state
                .service_time
                .record_complete(now.ms_since(charge.sent_at), now);
        }
    }

    /// Records the slot time of a request that ended without a complete response.
    pub fn record_incomplete(&mut self, charge: &Charge, now: Millis) {
        if let Some(state) = self.state_mut(charge.info.class) {
            state
                .service_time
                .record_incomplete(now.ms_since(charge.sent_at));
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

/// Time for which a request has occupied its slot.
#[expect(
    clippy::cast_precision_loss,
    reason = "service times are far below 2^52 ms"
)]
fn slot_time_ms(charge: &Charge, now: Millis) -> f64 {
    now.ms_since(charge.sent_at) as f64
}
