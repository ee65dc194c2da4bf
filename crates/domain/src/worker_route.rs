//! Chooses which daemon holds the link to each worker.
//!
//! The leader alone decides which task runs where. While it has few workers it also holds the links to
//! them. In a large fleet the requests to workers cost more processor time than the decisions, so the
//! links are spread over other daemons, the gateways.

use std::collections::VecDeque;

use crate::prelude::*;

/// Number of workers up to which the leader holds all links itself.
pub const LOCAL_WORKERS_MAX: usize = 150;
/// Maximum number of gateways of a leader: each one costs it a connection and wake-ups.
const GATEWAYS_MAX: usize = 24;
/// Processor time, in thousandths of a processor, that a gateway needs for one worker. A busy worker
/// starts four tasks a second, and each start, end and poll takes a tenth of a millisecond.
const PROCESSOR_MILLI_PER_WORKER: u64 = 3;
/// Factor, in percent, by which the load of a gateway in another availability zone counts more, since
/// traffic between zones is charged.
const OTHER_ZONE_LOAD_PERCENT: u64 = 150;
/// Workers above twice the load of the least loaded gateway after which a gateway hands some over.
const IMBALANCE_WORKERS: usize = 16;
/// Unanswered polls in a row after which another daemon is tried; a single answer may be lost.
const UNANSWERED_POLLS_MAX: u32 = 2;
/// Maximum number of addresses of a worker whose tries are kept: the known one, a claimed one, and one more for
/// an entry that changes.
const ADDRESSES_MAX: usize = 3;
/// Maximum number of closed links whose tries are kept. A link that is opened for another address is closed just
/// before, so this covers a change of all workers of a large fleet at once.
const CLOSED_LINKS_MAX: usize = 1_024;

/// A daemon that offers to hold links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayOffer {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Address for the leader.
    pub address: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its share of a processor, in thousandths.
    pub processor_milli: u64,
}

/// Where the link to a worker is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// By the leader itself.
    Local,
    /// By a gateway.
    Gateway(GatewayKey),
}

/// Connection state of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GatewayState {
    /// Not connected.
    Disconnected,
    /// Connected, and takes workers.
    Connected,
    /// Connected, but about to stop.
    Leaving,
}

#[derive(Debug)]
struct Gateway {
    offer: GatewayOffer,
    state: GatewayState,
    workers: usize,
}

impl Gateway {
    fn workers_max(&self) -> usize {
        let workers = self.offer.processor_milli / PROCESSOR_MILLI_PER_WORKER;
        usize::try_from(workers).unwrap_or(usize::MAX).max(1)
    }

    fn takes_workers(&self) -> bool {
        self.state == GatewayState::Connected && self.workers < self.workers_max()
    }

    /// Load by number of workers, in millionths of what the gateway can hold.
    fn load_ppm(&self) -> u64 {
        self.workers as u64 * 1_000_000 / self.workers_max() as u64
    }
}

/// Gateways to connect to and to leave after a new list of offers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatewayChanges {
    /// New gateways.
    pub added: Vec<GatewayKey>,
    /// Gateways that are no longer offered and are not connected.
    pub removed: Vec<GatewayKey>,
}

/// Over which routes an address of a worker was tried.
#[derive(Debug)]
struct Tries {
    address: Arc<str>,
    /// Current route, or the last one if another address is in use.
    route: Route,
    /// Polls in a row that got no answer on this route.
    unanswered_polls: u32,
    /// Routes on which the worker did not answer. They are tried again once it answers on none.
    failed_routes: Vec<Route>,
}

impl Tries {
    const fn is_unreachable(&self) -> bool {
        self.unanswered_polls >= UNANSWERED_POLLS_MAX
    }

    fn has_failed(&self, route: Route) -> bool {
        self.failed_routes.contains(&route)
    }
}

#[derive(Debug)]
struct RoutedWorker {
    availability_zone: Arc<str>,
    /// Tries of the address in use.
    tries: Tries,
    /// Tries of other addresses, the last one used first.
    other_tries: Vec<Tries>,
}

/// Tries of workers whose links are closed. A link may be opened again at once, for the same address or for
/// another one.
#[derive(Debug, Default)]
struct ClosedLinks {
    tries: FastMap<WorkerKey, Vec<Tries>>,
    /// Order in which the links were closed.
    order: VecDeque<WorkerKey>,
}

impl ClosedLinks {
    fn insert(&mut self, worker: WorkerKey, tries: Vec<Tries>) {
        self.tries.insert(worker, tries);
        self.order.push_back(worker);
        if self.order.len() > CLOSED_LINKS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.tries.remove(&oldest);
        }
    }

    fn take(&mut self, worker: WorkerKey) -> Vec<Tries> {
        let Some(tries) = self.tries.remove(&worker) else {
            return Vec::new();
        };
        // Links are mostly opened again just after they were closed, so the newest come first.
        if let Some(index) = self.order.iter().rposition(|key| *key == worker) {
            self.order.remove(index);
        }
        tries
    }
}

/// Routes of all workers of a leader.
#[derive(Debug, Default)]
pub struct RoutePlan {
    gateways: SlotMap<GatewayKey, Gateway>,
    by_name: FastMap<Arc<str>, GatewayKey>,
    workers: FastMap<WorkerKey, RoutedWorker>,
    closed: ClosedLinks,
}

impl RoutePlan {
    /// Applies the current offers. The gateways with the most processor time are used; those with less
    /// than half of the largest offer are left to their callers.
    pub fn offered(&mut self, mut offers: Vec<GatewayOffer>) -> GatewayChanges {
        let mut changes = GatewayChanges::default();
        let listed: FastSet<Arc<str>> = offers.iter().map(|o| Arc::clone(&o.name)).collect();
        self.gateways.retain(|key, gateway| {
            let keep =
                gateway.state != GatewayState::Disconnected || listed.contains(&gateway.offer.name);
            if !keep {
                changes.removed.push(key);
            }
            keep
        });
        let gateways = &self.gateways;
        self.by_name.retain(|_, key| gateways.contains_key(*key));
        offers.sort_by(|a, b| {
            let by_processor = b.processor_milli.cmp(&a.processor_milli);
            by_processor.then_with(|| a.name.cmp(&b.name))
        });
        let largest = offers.first().map_or(0, |offer| offer.processor_milli);
        for offer in offers {
            if self.gateways.len() >= GATEWAYS_MAX || offer.processor_milli * 2 < largest {
                break;
            }
            if self.by_name.contains_key(&offer.name) {
                continue;
            }
            let name = Arc::clone(&offer.name);
            let key = self.gateways.insert(Gateway {
                offer,
                state: GatewayState::Disconnected,
                workers: 0,
            });
            self.by_name.insert(name, key);
            changes.added.push(key);
        }
        changes
    }

    /// The offer of a gateway.
    #[must_use]
    pub fn offer(&self, key: GatewayKey) -> Option<&GatewayOffer> {
        self.gateways.get(key).map(|gateway| &gateway.offer)
    }

    /// Marks a gateway as connected.
    pub fn connected(&mut self, key: GatewayKey) {
        if let Some(gateway) = self.gateways.get_mut(key) {
            gateway.state = GatewayState::Connected;
        }
        let open = self.workers.values_mut();
        let open = open.flat_map(|worker| worker.other_tries.iter_mut().chain([&mut worker.tries]));
        for tries in open.chain(self.closed.tries.values_mut().flatten()) {
            let is_other = |route: &Route| *route != Route::Gateway(key);
            tries.failed_routes.retain(is_other);
        }
    }

    /// Marks a gateway that is about to stop, so that its workers are handed over.
    pub fn leaving(&mut self, key: GatewayKey) {
        if let Some(gateway) = self.gateways.get_mut(key)
            && gateway.state == GatewayState::Connected
        {
            gateway.state = GatewayState::Leaving;
        }
    }

    /// Marks a gateway as lost, and returns the new routes of its workers.
    pub fn lost(&mut self, key: GatewayKey) -> Vec<(WorkerKey, Route)> {
        if let Some(gateway) = self.gateways.get_mut(key) {
            gateway.state = GatewayState::Disconnected;
        }
        let workers: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.tries.route == Route::Gateway(key))
            .map(|(worker, _)| *worker)
            .collect();
        workers
            .into_iter()
            .filter_map(|worker| Some((worker, self.reroute(worker)?)))
            .collect()
    }

    /// Chooses the route for a link to an address of a worker. An address that was used before continues its
    /// tries, so that two addresses in turn do not begin them again each time; a new address deserves new ones.
    pub fn open(
        &mut self,
        worker: WorkerKey,
        address: Arc<str>,
        availability_zone: Arc<str>,
    ) -> Route {
        self.close(worker);
        let mut other_tries = self.closed.take(worker);
        let known = other_tries
            .iter()
            .position(|tries| tries.address == address);
        let known = known.map(|index| other_tries.remove(index));
        let tries = match known {
            Some(tries) if tries.unanswered_polls > 0 && self.is_usable(tries.route) => tries,
            known => {
                let failed_routes = known.map(|tries| tries.failed_routes).unwrap_or_default();
                self.first_try(address, &availability_zone, failed_routes)
            }
        };
        let routed = RoutedWorker {
            availability_zone,
            tries,
            other_tries,
        };
        self.insert(worker, routed)
    }

    fn first_try(
        &self,
        address: Arc<str>,
        availability_zone: &Arc<str>,
        failed_routes: Vec<Route>,
    ) -> Tries {
        Tries {
            address,
            route: self.best_route(availability_zone, &failed_routes),
            unanswered_polls: 0,
            failed_routes,
        }
    }

    fn insert(&mut self, worker: WorkerKey, routed: RoutedWorker) -> Route {
        let route = routed.tries.route;
        self.count(route, 1);
        self.workers.insert(worker, routed);
        route
    }

    fn is_usable(&self, route: Route) -> bool {
        match route {
            Route::Local => true,
            Route::Gateway(key) => self.gateways.get(key).is_some_and(Gateway::takes_workers),
        }
    }

    /// Notes whether a worker has answered a poll on its current route.
    pub fn polled(&mut self, worker: WorkerKey, is_answered: bool) {
        if let Some(worker) = self.workers.get_mut(&worker) {
            let tries = &mut worker.tries;
            tries.unanswered_polls = if is_answered {
                0
            } else {
                tries.unanswered_polls.saturating_add(1)
            };
        }
    }

    /// Closes the link to a worker. Its tries are kept for a while, in case it is opened again.
    pub fn close(&mut self, worker: WorkerKey) {
        let Some(routed) = self.workers.remove(&worker) else {
            return;
        };
        self.count(routed.tries.route, -1);
        let mut tries = routed.other_tries;
        tries.insert(0, routed.tries);
        tries.truncate(ADDRESSES_MAX);
        self.closed.insert(worker, tries);
    }

    /// The route of a worker.
    #[must_use]
    pub fn route(&self, worker: WorkerKey) -> Option<Route> {
        self.workers.get(&worker).map(|worker| worker.tries.route)
    }

    /// Whether the worker's link should be held by another daemon.
    #[must_use]
    pub fn should_reroute(&self, worker: WorkerKey) -> bool {
        let Some(routed) = self.workers.get(&worker).map(|worker| &worker.tries) else {
            return false;
        };
        let mut available = self
            .gateways
            .iter()
            .filter(|(key, gateway)| {
                gateway.takes_workers() && Route::Gateway(*key) != routed.route
            })
            .map(|(key, gateway)| (Route::Gateway(key), gateway.workers));
        if routed.is_unreachable() {
            return routed.route != Route::Local || available.next().is_some();
        }
        let mut untried = available.filter(|(route, _)| !routed.has_failed(*route));
        match routed.route {
            Route::Local => untried.next().is_some(),
            Route::Gateway(key) => self.gateways.get(key).is_none_or(|gateway| {
                gateway.state != GatewayState::Connected
                    || untried
                        .map(|(_, workers)| workers)
                        .min()
                        .is_some_and(|least| gateway.workers > 2 * least + IMBALANCE_WORKERS)
            }),
        }
    }

    /// Chooses a new route for a worker and returns it. A route on which it did not answer is chosen only if
    /// it answered on no other one either.
    pub fn reroute(&mut self, worker: WorkerKey) -> Option<Route> {
        let routed = &self.workers.get(&worker)?.tries;
        let mut failed = routed.failed_routes.clone();
        if routed.is_unreachable() && !routed.has_failed(routed.route) {
            failed.push(routed.route);
        }
        let is_untried = |route: Route| !failed.contains(&route);
        let mut gateways = self.gateways.iter().filter(|(_, g)| g.takes_workers());
        if routed.is_unreachable()
            && !is_untried(Route::Local)
            && !gateways.any(|(key, _)| is_untried(Route::Gateway(key)))
        {
            failed = vec![routed.route];
        }
        let mut routed = self.workers.remove(&worker)?;
        self.count(routed.tries.route, -1);
        let address = Arc::clone(&routed.tries.address);
        routed.tries = self.first_try(address, &routed.availability_zone, failed);
        Some(self.insert(worker, routed))
    }

    /// Number of workers on each connected gateway, for reports.
    pub fn loads(&self) -> impl Iterator<Item = (&Arc<str>, usize)> {
        self.gateways
            .values()
            .filter(|gateway| gateway.state != GatewayState::Disconnected)
            .map(|gateway| (&gateway.offer.name, gateway.workers))
    }

    fn best_route(&self, availability_zone: &Arc<str>, failed: &[Route]) -> Route {
        let load = |gateway: &Gateway| {
            let load_ppm = gateway.load_ppm() + 1;
            if gateway.offer.availability_zone == *availability_zone {
                load_ppm * 100
            } else {
                load_ppm * OTHER_ZONE_LOAD_PERCENT
            }
        };
        self.gateways
            .iter()
            .filter(|(key, gateway)| {
                gateway.takes_workers() && !failed.contains(&Route::Gateway(*key))
            })
            .min_by_key(|(key, gateway)| (load(gateway), *key))
            .map_or(Route::Local, |(key, _)| Route::Gateway(key))
    }

    fn count(&mut self, route: Route, change: isize) {
        if let Route::Gateway(key) = route
            && let Some(gateway) = self.gateways.get_mut(key)
        {
            gateway.workers = gateway.workers.saturating_add_signed(change);
        }
    }
}
