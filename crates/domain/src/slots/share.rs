//! The holder side: what this daemon may use of every instance, and what it needs.

use super::share_link::ShareLink;
use super::{GrantList, HEADROOM, IDLE_MS, Need, Report, SlotCapacity, ViewId};
use crate::prelude::*;

/// After a home granted less than was wanted, other homes are asked first for this time.
const DENIED_MS: u64 = 500;
/// Homes are told of vanished members for this time, which exceeds every request limit.
const VANISHED_RETENTION_MS: u64 = 3_600_000;

/// What a dispatcher says of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceUse {
    /// The newest limits that it applied.
    pub applied: u64,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Exchanges in flight by instance.
    pub in_flight: Vec<(SlotKey, u32)>,
    /// Instances that get no more exchanges now, for example since they are ejected. Their unused
    /// slots serve no waiting request.
    pub blocked: Vec<SlotKey>,
}

/// What a dispatcher may use of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The instance.
    pub slot: SlotKey,
    /// Exchanges in flight at most.
    pub slots: u32,
    /// Connections open at most.
    pub connections: u32,
    /// No exchange starts at or after this time.
    pub until: Millis,
}

/// What the task around the share must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShareAction {
    /// Send a report to a home, which may be this daemon.
    Report {
        /// The home.
        to: DaemonKey,
        /// The report.
        report: Report,
    },
    /// Tell the dispatcher of a service all its limits.
    Limits {
        /// The service.
        service: ServiceKey,
        /// Number that the dispatcher acknowledges.
        version: u64,
        /// The limits.
        limits: Vec<Limit>,
    },
}

#[derive(Clone, Copy, Debug)]
struct Account {
    capacity: SlotCapacity,
    home: Option<DaemonKey>,
    /// What the dispatcher was told.
    limit: u32,
    /// The most that it may still act on.
    limit_unacknowledged: u32,
    in_flight: u32,
    /// Whether the dispatcher sends nothing more to the instance.
    blocked: bool,
    /// Most exchanges in flight in the current window and the one before.
    peaks: [u32; 2],
    until: Millis,
    denied_until: Millis,
    wanted: u32,
    /// What may be kept after a recall that the home waits for.
    recalled: Option<u32>,
}

impl Account {
    fn committed(&self) -> u32 {
        self.limit_unacknowledged.max(self.in_flight)
    }

    /// Whether a recall is done and its home has not been told.
    fn has_returned(&self) -> bool {
        self.recalled.is_some_and(|keep| self.committed() <= keep)
    }

    fn peak(&self) -> u32 {
        self.peaks[0].max(self.peaks[1]).max(self.in_flight)
    }
}

#[derive(Debug, Default)]
struct Service {
    slots: Vec<SlotKey>,
    queued: u32,
    version: u64,
    changed: bool,
}

/// Slots that this daemon may use.
#[derive(Debug)]
pub struct SlotShare {
    own: DaemonKey,
    /// Where the search for free slots starts; differs between daemons.
    preference: usize,
    view: ViewId,
    accounts: SecondaryMap<SlotKey, Account>,
    services: SecondaryMap<ServiceKey, Service>,
    links: SecondaryMap<DaemonKey, ShareLink>,
    window_start: Millis,
    vanished: Option<Millis>,
    /// Counts the homes that were asked for an answer.
    asked: usize,
}

impl SlotShare {
    /// A share of nothing.
    #[must_use]
    pub fn new(own: DaemonKey, preference: usize) -> Self {
        Self {
            own,
            preference,
            view: ViewId::default(),
            accounts: SecondaryMap::new(),
            services: SecondaryMap::new(),
            links: SecondaryMap::new(),
            window_start: Millis::ZERO,
            vanished: None,
            asked: 0,
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
            let home = self.accounts.remove(*slot).and_then(|account| account.home);
            if let Some(link) = home.and_then(|home| self.links.get_mut(home)) {
                link.ask();
            }
        }
        for (slot, home) in slots {
            match self.accounts.get_mut(slot) {
                Some(account) => account.capacity = capacity,
                None => {
                    self.accounts.insert(slot, Account::new(capacity, home));
                }
            }
        }
        if keys.is_empty() {
            return;
        }
        let service_state = Service {
            slots: keys,
            changed: true,
            ..old
        };
        self.services.insert(service, service_state);
    }

    /// Adopts a view with the home of every instance. What is held stays usable until its lease
    /// ends, and every home is told of it.
    pub fn set_view(
        &mut self,
        view: ViewId,
        live: &[DaemonKey],
        home: impl Fn(SlotKey) -> Option<DaemonKey>,
    ) {
        if view == self.view {
            return;
        }
        self.view = view;
        for (slot, account) in &mut self.accounts {
            account.home = home(slot);
            account.denied_until = Millis::ZERO;
        }
        for member in live {
            if !self.links.contains_key(*member) {
                let mut link = ShareLink::default();
                link.own = *member == self.own;
                self.links.insert(*member, link);
            }
        }
        // Links to members that left stay: a member that returns must not see old numbers again.
        for (member, link) in &mut self.links {
            link.set_view(live.contains(&member));
        }
    }

    /// Records that a member vanished; homes learn of it with the next reports.
    pub fn note_vanished(&mut self, at: Millis) {
        self.vanished = self.vanished.max(Some(at));
    }

    /// Asks every home for an answer, to find out whether the view still holds.
    pub fn probe(&mut self) {
        for (member, link) in &mut self.links {
            if member != self.own {
                link.ask();
            }
        }
    }

    /// Asks one other home for an answer, each time the next one.
    pub fn ask_next(&mut self) {
        let mut others: Vec<&mut ShareLink> = self
            .links
            .iter_mut()
            .filter(|(member, link)| *member != self.own && link.is_live())
            .map(|(_, link)| link)
            .collect();
        let count = others.len();
        self.asked = self.asked.wrapping_add(1);
        if count > 0 {
            others[self.asked % count].ask();
        }
    }

    /// Slots of an instance that this daemon may be using.
    #[must_use]
    pub fn committed(&self, slot: SlotKey) -> u32 {
        self.accounts.get(slot).map_or(0, Account::committed)
    }

    /// Records what a dispatcher says of a service.
    pub fn record_use(&mut self, service: ServiceKey, service_use: &ServiceUse) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        state.queued = service_use.queued;
        let acknowledged = service_use.applied == state.version;
        let in_flight: FastMap<SlotKey, u32> = service_use.in_flight.iter().copied().collect();
        for slot in &state.slots {
            if let Some(account) = self.accounts.get_mut(*slot) {
                account.in_flight = in_flight.get(slot).copied().unwrap_or_default();
                account.peaks[0] = account.peaks[0].max(account.in_flight);
                account.blocked = service_use.blocked.contains(slot);
                if acknowledged {
                    account.limit_unacknowledged = account.limit;
                }
            }
        }
    }

    /// The instances of a service.
    #[must_use]
    pub fn slots_of(&self, service: ServiceKey) -> Vec<SlotKey> {
        let state = self.services.get(service);
        state.map(|state| state.slots.clone()).unwrap_or_default()
    }

    /// Takes a list from a home; returns whether it was valid.
    pub fn accept(&mut self, from: DaemonKey, list: &GrantList, now: Millis) -> bool {
        let Some(link) = self.links.get_mut(from) else {
            return false;
        };
        let Some(until) = link.accept(list) else {
            return false;
        };
        let told: FastMap<SlotKey, u32> = list
            .allowances
            .iter()
            .map(|allowance| (allowance.slot, allowance.slots))
            .collect();
        for state in self.services.values_mut() {
            for slot in &state.slots {
                let Some(account) = self.accounts.get_mut(*slot) else {
                    continue;
                };
                if account.home != Some(from) {
                    continue;
                }
                if account.until != until && account.limit > 0 {
                    state.changed = true;
                }
                account.until = until;
                if let Some(slots) = told.get(slot) {
                    let raised = *slots > account.limit;
                    account.recalled = (!raised).then_some(*slots);
                    state.changed |= *slots != account.limit;
                    account.limit = *slots;
                }
                let reported = link.reported(*slot).map_or(0, |need| need.wanted);
                if reported > account.limit {
                    account.denied_until = now.after_ms(DENIED_MS);
                }
            }
        }
        true
    }

    /// A report got no answer or a refusal.
    pub fn refused(&mut self, from: DaemonKey, seq: u64, now: Millis) {
        if let Some(link) = self.links.get_mut(from) {
            link.refused(seq, now);
        }
    }

    /// Ends leases, returns what is idle, and says what to send.
    pub fn advance(&mut self, now: Millis) -> Vec<ShareAction> {
        let window_ended = now.ms_since(self.window_start) >= IDLE_MS;
        if window_ended {
            self.window_start = now;
        }
        let mut actions = Vec::new();
        for (service, state) in &mut self.services {
            for slot in &state.slots {
                if let Some(account) = self.accounts.get_mut(*slot) {
                    let idle = window_ended && state.queued == 0;
                    state.changed |= account.shrink(idle, self.own, now);
                    if window_ended {
                        account.peaks = [account.in_flight, account.peaks[0]];
                    }
                }
            }
            demand(state, &mut self.accounts, self.own, self.preference, now);
            if state.changed {
                actions.push(limits(service, state, &mut self.accounts));
            }
        }
        self.report(&mut actions, now);
        actions
    }

    fn report(&mut self, actions: &mut Vec<ShareAction>, now: Millis) {
        let mut needs: SecondaryMap<DaemonKey, (Vec<Need>, bool)> = SecondaryMap::new();
        for (slot, account) in &self.accounts {
            let Some(home) = account.home else { continue };
            let Some(link) = self.links.get(home) else {
                continue;
            };
            let need = Need {
                slot,
                committed: account.committed(),
                wanted: account.wanted,
            };
            let urgent = account.has_returned()
                || is_urgent(&need, link.reported(slot), account.denied_until, now);
            if !needs.contains_key(home) {
                needs.insert(home, (Vec::new(), false));
            }
            if let Some((list, any_urgent)) = needs.get_mut(home) {
                if need.committed > 0 || need.wanted > 0 {
                    list.push(need);
                }
                *any_urgent |= urgent;
            }
        }
        for (to, link) in &mut self.links {
            let (list, urgent) = needs.remove(to).unwrap_or_default();
            if let Some(mut report) = link.report(self.view, list, urgent, now) {
                for account in self.accounts.values_mut() {
                    if account.home == Some(to) && account.has_returned() {
                        account.recalled = None;
                    }
                }
                let ago = self.vanished.map(|at| now.ms_since(at));
                report.vanished_ms_ago = ago.filter(|ago| *ago < VANISHED_RETENTION_MS);
                actions.push(ShareAction::Report { to, report });
            }
        }
    }
}

/// Whether a home must learn of a need before the next renewal: slots were given back, or more are
/// wanted and the home did not just deny them.
fn is_urgent(need: &Need, reported: Option<&Need>, denied_until: Millis, now: Millis) -> bool {
    let (committed, wanted) = reported.map_or((0, 0), |known| (known.committed, known.wanted));
    let given_back = need.committed < committed;
    let more = need.wanted > wanted && need.wanted > need.committed;
    given_back || (more && now >= denied_until)
}

impl Account {
    const fn new(capacity: SlotCapacity, home: Option<DaemonKey>) -> Self {
        Self {
            capacity,
            home,
            limit: 0,
            limit_unacknowledged: 0,
            in_flight: 0,
            blocked: false,
            peaks: [0; 2],
            until: Millis::ZERO,
            denied_until: Millis::ZERO,
            wanted: 0,
            recalled: None,
        }
    }

    /// Lowers the limit when the lease ended or slots were idle; returns whether it did.
    fn shrink(&mut self, idle: bool, own: DaemonKey, now: Millis) -> bool {
        let before = self.limit;
        if self.until <= now {
            self.limit = 0;
        } else if idle {
            let spare = if self.home == Some(own) { HEADROOM } else { 0 };
            self.limit = self.limit.min(self.peak() + spare);
        }
        self.limit != before
    }
}

/// Computes what the daemon wants of each instance of a service.
fn demand(
    state: &Service,
    accounts: &mut SecondaryMap<SlotKey, Account>,
    own: DaemonKey,
    preference: usize,
    now: Millis,
) {
    let mut unused = 0;
    for slot in &state.slots {
        if let Some(account) = accounts.get_mut(*slot) {
            let limit = account.limit;
            account.wanted = account.peak().min(account.capacity.slots);
            if account.blocked {
                continue;
            }
            if state.queued > 0 {
                account.wanted = account.wanted.max(limit);
            }
            unused += limit.saturating_sub(account.in_flight);
        }
    }
    let missing = state.queued.saturating_sub(unused);
    if missing == 0 || state.slots.is_empty() {
        return;
    }
    let mut left = missing + missing / 2 + 1;
    let start = preference % state.slots.len();
    let in_order = || state.slots[start..].iter().chain(&state.slots[..start]);
    for own_home in [true, false] {
        for slot in in_order() {
            if let Some(account) = accounts.get_mut(*slot)
                && (account.home == Some(own)) == own_home
                && now >= account.denied_until
                && !account.blocked
            {
                let room = account.capacity.slots.saturating_sub(account.wanted);
                let more = room.min(left);
                account.wanted += more;
                left -= more;
            }
        }
    }
    let denied = |account: &Account| now < account.denied_until && !account.blocked;
    let of_service = state.slots.iter().filter_map(|slot| accounts.get(*slot));
    let count = of_service.filter(|account| denied(account)).count();
    let each = left.div_ceil(u32::try_from(count.max(1)).unwrap_or(u32::MAX));
    for slot in &state.slots {
        if let Some(account) = accounts.get_mut(*slot)
            && denied(account)
        {
            account.wanted = (account.wanted + each).min(account.capacity.slots);
        }
    }
}

fn limits(
    service: ServiceKey,
    state: &mut Service,
    accounts: &mut SecondaryMap<SlotKey, Account>,
) -> ShareAction {
    state.version += 1;
    state.changed = false;
    let mut limits = Vec::with_capacity(state.slots.len());
    for slot in &state.slots {
        if let Some(account) = accounts.get_mut(*slot) {
            account.limit_unacknowledged = account.limit_unacknowledged.max(account.limit);
            limits.push(Limit {
                slot: *slot,
                slots: account.limit,
                connections: account.capacity.connections_for(account.limit),
                until: account.until,
            });
        }
    }
    ShareAction::Limits {
        service,
        version: state.version,
        limits,
    }
}
