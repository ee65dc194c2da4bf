//! Holder side of slot leasing: the slots this daemon may use on each instance, and its demand.

use super::owner_link::OwnerLink;
use super::{GrantList, IDLE_WINDOW_MS, Need, OWNER_HEADROOM_SLOTS, Report, SlotCapacity, ViewId};
use crate::prelude::*;

/// Time for which other owners are preferred after an owner granted less than was wanted.
const DENIAL_BACKOFF_MS: u64 = 500;
/// Time for which reports mention a vanished member. It exceeds every request limit.
const VANISHED_RETENTION_MS: u64 = 3_600_000;

/// Slot usage of one service, as stated by its dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceUsage {
    /// Version of the newest limits that the dispatcher has applied.
    pub applied_version: u64,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of exchanges in flight by instance.
    pub in_flight: Vec<(SlotKey, u32)>,
    /// Instances that get no new exchanges now, for example because they are ejected. Their unused
    /// slots are not available to waiting requests.
    pub blocked: Vec<SlotKey>,
}

/// Limits of a dispatcher on one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLimit {
    /// The instance.
    pub slot: SlotKey,
    /// Maximum number of exchanges in flight.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Time from which no exchange may start.
    pub until: Millis,
}

/// Action for the task that drives the holder side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderAction {
    /// Send a report to an owner, which may be this daemon.
    Report {
        /// The owner.
        to: DaemonKey,
        /// The report.
        report: Report,
    },
    /// Send all limits of a service to its dispatcher.
    Limits {
        /// The service.
        service: ServiceKey,
        /// Version that the dispatcher acknowledges.
        version: u64,
        /// Limits of each instance.
        limits: Vec<SlotLimit>,
    },
}

#[derive(Clone, Copy, Debug)]
struct SlotState {
    capacity: SlotCapacity,
    owner: Option<DaemonKey>,
    /// Limit last sent to the dispatcher.
    limit: u32,
    /// Highest limit that the dispatcher may still be applying.
    unacknowledged_limit: u32,
    in_flight: u32,
    /// Whether the dispatcher sends no new exchanges to the instance.
    blocked: bool,
    /// Peak number of exchanges in flight in the current and in the previous usage window.
    peaks_in_flight: [u32; 2],
    lease_end: Millis,
    denied_until: Millis,
    wanted: u32,
    /// Slots that may be kept under a recall whose completion has not been reported.
    recall_target: Option<u32>,
}

impl SlotState {
    fn committed(&self) -> u32 {
        self.unacknowledged_limit.max(self.in_flight)
    }

    /// Whether a recall is complete but not yet reported to the owner.
    fn has_pending_return(&self) -> bool {
        self.recall_target
            .is_some_and(|keep| self.committed() <= keep)
    }

    fn peak_in_flight(&self) -> u32 {
        self.peaks_in_flight[0]
            .max(self.peaks_in_flight[1])
            .max(self.in_flight)
    }
}

#[derive(Debug, Default)]
struct ServiceState {
    slots: Vec<SlotKey>,
    queued: u32,
    version: u64,
    limits_changed: bool,
}

/// Slots leased by this daemon, and its demand for more.
#[derive(Debug)]
pub struct SlotHolder {
    local: DaemonKey,
    /// Offset at which the search for free slots starts; differs between daemons.
    search_start: usize,
    view: ViewId,
    slot_states: SecondaryMap<SlotKey, SlotState>,
    services: SecondaryMap<ServiceKey, ServiceState>,
    links: SecondaryMap<DaemonKey, OwnerLink>,
    window_start: Millis,
    last_vanished: Option<Millis>,
    /// Number of single owners probed so far, which selects the next one.
    probe_cursor: usize,
}

impl SlotHolder {
    /// Creates the holder side of a daemon without services.
    #[must_use]
    pub fn new(local: DaemonKey, search_start: usize) -> Self {
        Self {
            local,
            search_start,
            view: ViewId::default(),
            slot_states: SecondaryMap::new(),
            services: SecondaryMap::new(),
            links: SecondaryMap::new(),
            window_start: Millis::ZERO,
            last_vanished: None,
            probe_cursor: 0,
        }
    }

    /// Sets the instances of a service and their limits; an empty list removes the service.
    pub fn set_service(
        &mut self,
        service: ServiceKey,
        capacity: SlotCapacity,
        slots: Vec<(SlotKey, Option<DaemonKey>)>,
    ) {
        let old = self.services.remove(service).unwrap_or_default();
        let keys: Vec<SlotKey> = slots.iter().map(|(slot, _)| *slot).collect();
        for slot in old.slots.iter().filter(|slot| !keys.contains(slot)) {
            let owner = self
                .slot_states
                .remove(*slot)
                .and_then(|slot_state| slot_state.owner);
            if let Some(link) = owner.and_then(|owner| self.links.get_mut(owner)) {
                link.request_report();
            }
        }
        for (slot, owner) in slots {
            match self.slot_states.get_mut(slot) {
                Some(slot_state) => slot_state.capacity = capacity,
                None => {
                    self.slot_states
                        .insert(slot, SlotState::new(capacity, owner));
                }
            }
        }
        if keys.is_empty() {
            return;
        }
        let service_state = ServiceState {
            slots: keys,
            limits_changed: true,
            ..old
        };
        self.services.insert(service, service_state);
    }

    /// Adopts a view with the owner of each instance. Held slots stay usable until their lease
    /// ends, and are reported to the new owners.
    pub fn set_view(
        &mut self,
        view: ViewId,
        live: &[DaemonKey],
        owner: impl Fn(SlotKey) -> Option<DaemonKey>,
    ) {
        if view == self.view {
            return;
        }
        self.view = view;
        for (slot, slot_state) in &mut self.slot_states {
            slot_state.owner = owner(slot);
            slot_state.denied_until = Millis::ZERO;
        }
        for member in live {
            if !self.links.contains_key(*member) {
                let mut link = OwnerLink::default();
                link.is_local = *member == self.local;
                self.links.insert(*member, link);
            }
        }
        // Links to departed members are kept, so that a returning member never sees a sequence
        // number twice.
        for (member, link) in &mut self.links {
            link.set_view(live.contains(&member));
        }
    }

    /// Records that a member vanished. The next reports pass this on to the owners.
    pub fn record_vanished(&mut self, at: Millis) {
        self.last_vanished = self.last_vanished.max(Some(at));
    }

    /// Schedules a report to every other owner, to find out whether the view is current.
    pub fn probe_all_owners(&mut self) {
        for (member, link) in &mut self.links {
            if member != self.local {
                link.request_report();
            }
        }
    }

    /// Schedules a report to one other owner, in round-robin order.
    pub fn probe_next_owner(&mut self) {
        let mut others: Vec<&mut OwnerLink> = self
            .links
            .iter_mut()
            .filter(|(member, link)| *member != self.local && link.is_live())
            .map(|(_, link)| link)
            .collect();
        let count = others.len();
        self.probe_cursor = self.probe_cursor.wrapping_add(1);
        if count > 0 {
            others[self.probe_cursor % count].request_report();
        }
    }

    /// Returns the slots of an instance that this daemon may be using.
    #[must_use]
    pub fn committed(&self, slot: SlotKey) -> u32 {
        self.slot_states.get(slot).map_or(0, SlotState::committed)
    }

    /// Records the slot usage that a dispatcher stated for a service.
    pub fn record_usage(&mut self, service: ServiceKey, usage: &ServiceUsage) {
        let Some(service_state) = self.services.get_mut(service) else {
            return;
        };
        service_state.queued = usage.queued;
        let acknowledged = usage.applied_version == service_state.version;
        let in_flight: FastMap<SlotKey, u32> = usage.in_flight.iter().copied().collect();
        for slot in &service_state.slots {
            if let Some(slot_state) = self.slot_states.get_mut(*slot) {
                slot_state.in_flight = in_flight.get(slot).copied().unwrap_or_default();
                slot_state.peaks_in_flight[0] =
                    slot_state.peaks_in_flight[0].max(slot_state.in_flight);
                slot_state.blocked = usage.blocked.contains(slot);
                if acknowledged {
                    slot_state.unacknowledged_limit = slot_state.limit;
                }
            }
        }
    }

    /// Returns the instances of a service.
    #[must_use]
    pub fn slots_of(&self, service: ServiceKey) -> Vec<SlotKey> {
        let service_state = self.services.get(service);
        service_state
            .map(|service_state| service_state.slots.clone())
            .unwrap_or_default()
    }

    /// Applies a list from an owner and returns whether it was valid.
    pub fn accept_list(&mut self, from: DaemonKey, list: &GrantList, now: Millis) -> bool {
        let Some(link) = self.links.get_mut(from) else {
            return false;
        };
        let Some(lease_end) = link.accept_list(list) else {
            return false;
        };
        let allowances_by_slot: FastMap<SlotKey, u32> = list
            .allowances
            .iter()
            .map(|allowance| (allowance.slot, allowance.slots))
            .collect();
        for service_state in self.services.values_mut() {
            for slot in &service_state.slots {
                let Some(slot_state) = self.slot_states.get_mut(*slot) else {
                    continue;
                };
                if slot_state.owner != Some(from) {
                    continue;
                }
                if slot_state.lease_end != lease_end && slot_state.limit > 0 {
                    service_state.limits_changed = true;
                }
                slot_state.lease_end = lease_end;
                if let Some(slots) = allowances_by_slot.get(slot) {
                    let raised = *slots > slot_state.limit;
                    slot_state.recall_target = (!raised).then_some(*slots);
                    service_state.limits_changed |= *slots != slot_state.limit;
                    slot_state.limit = *slots;
                }
                let reported = link.reported_need(*slot).map_or(0, |need| need.wanted);
                if reported > slot_state.limit {
                    slot_state.denied_until = now.after_ms(DENIAL_BACKOFF_MS);
                }
            }
        }
        true
    }

    /// Handles a report that was refused or got no answer.
    pub fn report_failed(&mut self, from: DaemonKey, seq: u64, now: Millis) {
        if let Some(link) = self.links.get_mut(from) {
            link.report_failed(seq, now);
        }
    }

    /// Ends expired leases, returns idle slots, and returns the messages to send.
    pub fn advance(&mut self, now: Millis) -> Vec<HolderAction> {
        let window_ended = now.ms_since(self.window_start) >= IDLE_WINDOW_MS;
        if window_ended {
            self.window_start = now;
        }
        let mut actions = Vec::new();
        for (service, service_state) in &mut self.services {
            for slot in &service_state.slots {
                if let Some(slot_state) = self.slot_states.get_mut(*slot) {
                    let idle = window_ended && service_state.queued == 0;
                    service_state.limits_changed |= slot_state.lower_limit(idle, self.local, now);
                    if window_ended {
                        slot_state.peaks_in_flight =
                            [slot_state.in_flight, slot_state.peaks_in_flight[0]];
                    }
                }
            }
            update_demand(
                service_state,
                &mut self.slot_states,
                self.local,
                self.search_start,
                now,
            );
            if service_state.limits_changed {
                actions.push(limits_action(service, service_state, &mut self.slot_states));
            }
        }
        self.add_reports(&mut actions, now);
        actions
    }

    fn add_reports(&mut self, actions: &mut Vec<HolderAction>, now: Millis) {
        let mut needs: SecondaryMap<DaemonKey, (Vec<Need>, bool)> = SecondaryMap::new();
        for (slot, state) in &self.slot_states {
            let Some(owner) = state.owner else { continue };
            let Some(link) = self.links.get(owner) else {
                continue;
            };
            let need = Need {
                slot,
                committed: state.committed(),
                wanted: state.wanted,
            };
            let urgent = state.has_pending_return()
                || is_urgent(&need, link.reported_need(slot), state.denied_until, now);
            if !needs.contains_key(owner) {
                needs.insert(owner, (Vec::new(), false));
            }
            if let Some((list, any_urgent)) = needs.get_mut(owner) {
                if need.committed > 0 || need.wanted > 0 {
                    list.push(need);
                }
                *any_urgent |= urgent;
            }
        }
        for (to, link) in &mut self.links {
            let (list, urgent) = needs.remove(to).unwrap_or_default();
            if let Some(mut report) = link.next_report(self.view, list, urgent, now) {
                for slot_state in self.slot_states.values_mut() {
                    if slot_state.owner == Some(to) && slot_state.has_pending_return() {
                        slot_state.recall_target = None;
                    }
                }
                let ago = self.last_vanished.map(|at| now.ms_since(at));
                report.vanished_ms_ago = ago.filter(|ago| *ago < VANISHED_RETENTION_MS);
                actions.push(HolderAction::Report { to, report });
            }
        }
    }
}

/// Returns whether a need must be reported before the next renewal: slots were returned, or more
/// are wanted and the owner has not denied them recently.
fn is_urgent(need: &Need, reported: Option<&Need>, denied_until: Millis, now: Millis) -> bool {
    let (committed, wanted) =
        reported.map_or((0, 0), |reported| (reported.committed, reported.wanted));
    let returned = need.committed < committed;
    let wants_more = need.wanted > wanted && need.wanted > need.committed;
    returned || (wants_more && now >= denied_until)
}

impl SlotState {
    const fn new(capacity: SlotCapacity, owner: Option<DaemonKey>) -> Self {
        Self {
            capacity,
            owner,
            limit: 0,
            unacknowledged_limit: 0,
            in_flight: 0,
            blocked: false,
            peaks_in_flight: [0; 2],
            lease_end: Millis::ZERO,
            denied_until: Millis::ZERO,
            wanted: 0,
            recall_target: None,
        }
    }

    /// Lowers the limit if the lease has ended or slots were idle. Returns whether it changed.
    fn lower_limit(&mut self, idle: bool, local: DaemonKey, now: Millis) -> bool {
        let before = self.limit;
        if self.lease_end <= now {
            self.limit = 0;
        } else if idle {
            let headroom = if self.owner == Some(local) {
                OWNER_HEADROOM_SLOTS
            } else {
                0
            };
            self.limit = self.limit.min(self.peak_in_flight() + headroom);
        }
        self.limit != before
    }
}

/// Computes how many slots of each instance of a service the daemon wants.
fn update_demand(
    service_state: &ServiceState,
    slot_states: &mut SecondaryMap<SlotKey, SlotState>,
    local: DaemonKey,
    search_start: usize,
    now: Millis,
) {
    let mut unused = 0;
    for slot in &service_state.slots {
        if let Some(slot_state) = slot_states.get_mut(*slot) {
            let limit = slot_state.limit;
            slot_state.wanted = slot_state.peak_in_flight().min(slot_state.capacity.slots);
            if slot_state.blocked {
                continue;
            }
            if service_state.queued > 0 {
                slot_state.wanted = slot_state.wanted.max(limit);
            }
            unused += limit.saturating_sub(slot_state.in_flight);
        }
    }
    let shortfall = service_state.queued.saturating_sub(unused);
    if shortfall == 0 || service_state.slots.is_empty() {
        return;
    }
    let mut remaining = shortfall + shortfall / 2 + 1;
    let start = search_start % service_state.slots.len();
    let in_order = || {
        service_state.slots[start..]
            .iter()
            .chain(&service_state.slots[..start])
    };
    for local_owner in [true, false] {
        for slot in in_order() {
            if let Some(slot_state) = slot_states.get_mut(*slot)
                && (slot_state.owner == Some(local)) == local_owner
                && now >= slot_state.denied_until
                && !slot_state.blocked
            {
                let available = slot_state.capacity.slots.saturating_sub(slot_state.wanted);
                let additional = available.min(remaining);
                slot_state.wanted += additional;
                remaining -= additional;
            }
        }
    }
    let denied = |slot_state: &SlotState| now < slot_state.denied_until && !slot_state.blocked;
    let service_slots = service_state
        .slots
        .iter()
        .filter_map(|slot| slot_states.get(*slot));
    let count = service_slots
        .filter(|slot_state| denied(slot_state))
        .count();
    let slots_each = remaining.div_ceil(u32::try_from(count.max(1)).unwrap_or(u32::MAX));
    for slot in &service_state.slots {
        if let Some(slot_state) = slot_states.get_mut(*slot)
            && denied(slot_state)
        {
            slot_state.wanted = (slot_state.wanted + slots_each).min(slot_state.capacity.slots);
        }
    }
}

fn limits_action(
    service: ServiceKey,
    service_state: &mut ServiceState,
    slot_states: &mut SecondaryMap<SlotKey, SlotState>,
) -> HolderAction {
    service_state.version += 1;
    service_state.limits_changed = false;
    let mut limits = Vec::with_capacity(service_state.slots.len());
    for slot in &service_state.slots {
        if let Some(slot_state) = slot_states.get_mut(*slot) {
            slot_state.unacknowledged_limit = slot_state.unacknowledged_limit.max(slot_state.limit);
            limits.push(SlotLimit {
                slot: *slot,
                slots: slot_state.limit,
                connections: slot_state.capacity.connections_for(slot_state.limit),
                until: slot_state.lease_end,
            });
        }
    }
    HolderAction::Limits {
        service,
        version: service_state.version,
        limits,
    }
}
