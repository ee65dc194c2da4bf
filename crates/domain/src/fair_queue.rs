//! Bounded queues of a service, one per work class. Callers of a class are served by deficit round
//! robin.

use std::collections::{BTreeSet, VecDeque};

use crate::class_share::ClassPolicy;
use crate::prelude::*;
use crate::request::{ClassIndex, RequestInfo};

/// Limit of a caller's deficit in either direction, in quanta. It also bounds the search for the
/// next caller.
const MAX_DEFICIT_QUANTA: f64 = 8.0;
const MIN_QUANTUM_MS: f64 = 1.0;

/// Limits of a service's queue.
#[derive(Clone, Debug)]
pub struct QueueLimits {
    /// Maximum number of queued requests.
    pub service: u32,
    /// Maximum number of queued requests of one caller.
    pub caller: u32,
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    key: RequestKey,
    deadline: Millis,
}

/// Requests of one caller in a class.
#[derive(Clone, Debug, Default)]
struct CallerQueue {
    requests: VecDeque<QueuedRequest>,
    /// Number of requests that were sent and have not ended, including pending retries.
    in_flight: u32,
    /// Slot time that the caller may use before the next caller is served.
    deficit_ms: f64,
}

/// Queue of a work class.
#[derive(Clone, Debug, Default)]
struct ClassQueue {
    limit: usize,
    /// Places in the service's queue that are reserved for this class.
    reserved: usize,
    len: usize,
    /// Callers with queued requests, in round-robin order.
    active_callers: VecDeque<CallerKey>,
    callers: FastMap<CallerKey, CallerQueue>,
    by_deadline: BTreeSet<(Millis, RequestKey)>,
}

/// Error for a request that exceeds a queue limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Queues of the work classes of a service.
#[derive(Clone, Debug)]
pub struct FairQueue {
    limits: QueueLimits,
    classes: Vec<ClassQueue>,
    queued_by_caller: SecondaryMap<CallerKey, u32>,
    len: usize,
}

impl ClassQueue {
    fn new(policy: &ClassPolicy, limits: &QueueLimits, total_limit: u64) -> Self {
        let part = u64::from(limits.service) * u64::from(policy.queue_limit);
        let reserved = part / total_limit.max(1);
        Self {
            limit: policy.queue_limit as usize,
            reserved: usize::try_from(reserved).unwrap_or(usize::MAX),
            ..Self::default()
        }
    }

    fn insert(&mut self, key: RequestKey, info: &RequestInfo) {
        let caller_queue = self.callers.entry(info.caller).or_default();
        if caller_queue.requests.is_empty() {
            self.active_callers.push_back(info.caller);
        }
        let deadline = info.deadline;
        caller_queue
            .requests
            .push_back(QueuedRequest { key, deadline });
        self.by_deadline.insert((deadline, key));
        self.len += 1;
    }

    /// Deactivates a caller without queued requests and removes it if none is in flight either.
    fn remove_if_idle(&mut self, caller: CallerKey) {
        let Some(caller_queue) = self.callers.get(&caller) else {
            return;
        };
        if !caller_queue.requests.is_empty() {
            return;
        }
        if caller_queue.in_flight == 0 {
            self.callers.remove(&caller);
        }
        self.active_callers.retain(|other| *other != caller);
    }

    fn remove(&mut self, key: RequestKey, info: &RequestInfo) -> bool {
        if !self.by_deadline.remove(&(info.deadline, key)) {
            return false;
        }
        if let Some(caller_queue) = self.callers.get_mut(&info.caller) {
            caller_queue.requests.retain(|request| request.key != key);
        }
        self.remove_if_idle(info.caller);
        self.len -= 1;
        true
    }

    /// Serves the callers in round-robin order, adding a quantum to each one without positive
    /// deficit.
    fn pop(&mut self, quantum_ms: f64) -> Option<(CallerKey, RequestKey)> {
        let quantum_ms = quantum_ms.max(MIN_QUANTUM_MS);
        while let Some(caller) = self.active_callers.front().copied() {
            let Some(caller_queue) = self.callers.get_mut(&caller) else {
                self.active_callers.pop_front();
                continue;
            };
            if caller_queue.deficit_ms <= 0.0 {
                caller_queue.deficit_ms = caller_queue
                    .deficit_ms
                    .max(-MAX_DEFICIT_QUANTA * quantum_ms)
                    + quantum_ms;
                self.active_callers.rotate_left(1);
                continue;
            }
            let request = caller_queue.requests.pop_front();
            if caller_queue.requests.is_empty() {
                self.active_callers.pop_front();
            }
            if let Some(request) = request {
                caller_queue.deficit_ms -= quantum_ms;
                caller_queue.in_flight += 1;
                self.by_deadline.remove(&(request.deadline, request.key));
                self.len -= 1;
                return Some((caller, request.key));
            }
        }
        None
    }

    /// Newest request of the caller with the longest queue, if that queue has at least two requests
    /// more than the queue of `caller`.
    fn newest_of_longest(&self, caller: CallerKey) -> Option<RequestKey> {
        let queued = |caller_queue: &CallerQueue| caller_queue.requests.len();
        let own = self.callers.get(&caller).map_or(0, queued);
        let longest = self
            .active_callers
            .iter()
            .filter_map(|other| self.callers.get(other))
            .max_by_key(|caller_queue| queued(caller_queue))?;
        let newest = longest.requests.back()?;
        (queued(longest) >= own + 2).then_some(newest.key)
    }
}

impl FairQueue {
    /// Creates empty queues.
    #[must_use]
    pub fn new(limits: QueueLimits, policies: &[ClassPolicy]) -> Self {
        let total_limit = policies
            .iter()
            .map(|class| u64::from(class.queue_limit))
            .sum();
        let classes = policies
            .iter()
            .map(|policy| ClassQueue::new(policy, &limits, total_limit))
            .collect();
        Self {
            limits,
            classes,
            queued_by_caller: SecondaryMap::new(),
            len: 0,
        }
    }

    /// Number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of queued requests of a class.
    #[must_use]
    pub fn class_len(&self, class: ClassIndex) -> usize {
        self.class(class).map_or(0, |queue| queue.len)
    }

    /// Number of queued requests of a caller in all classes.
    #[must_use]
    pub fn caller_len(&self, caller: CallerKey) -> u32 {
        self.queued_by_caller.get(caller).copied().unwrap_or(0)
    }

    /// Number of callers with a request queued or in flight in a class.
    #[must_use]
    pub fn caller_count(&self, class: ClassIndex) -> usize {
        self.class(class).map_or(0, |queue| queue.callers.len())
    }

    /// Number of requests of the class that are sent before the next new one of `caller`.
    #[must_use]
    pub fn requests_ahead(&self, class: ClassIndex, caller: CallerKey) -> usize {
        let Some(queue) = self.class(class) else {
            return 0;
        };
        let own = queue
            .callers
            .get(&caller)
            .map_or(0, |caller_queue| caller_queue.requests.len());
        let others = queue
            .active_callers
            .iter()
            .filter(|other| **other != caller);
        let theirs = others
            .filter_map(|other| queue.callers.get(other))
            .map(|caller_queue| caller_queue.requests.len().min(own + 1));
        own + theirs.sum::<usize>()
    }

    /// Checks whether a new request can be queued. If the queue is full, `Ok(Some(key))` names a
    /// request of a caller with a longer queue to evict instead.
    ///
    /// # Errors
    ///
    /// Returns an error if the new request has to be refused.
    pub fn check_capacity(&self, info: &RequestInfo) -> Result<Option<RequestKey>, QueueFull> {
        let queue = self.class(info.class).ok_or(QueueFull)?;
        if self.caller_len(info.caller) >= self.limits.caller {
            return Err(QueueFull);
        }
        if queue.len < queue.limit && self.has_capacity_for(queue) {
            return Ok(None);
        }
        if queue.len > queue.limit || self.len > self.limits.service as usize {
            // Lower limits can leave the queue over them; an eviction would keep it there.
            return Err(QueueFull);
        }
        queue
            .newest_of_longest(info.caller)
            .map(Some)
            .ok_or(QueueFull)
    }

    /// Whether the class can use a place without taking the unused reserved places of other
    /// classes.
    fn has_capacity_for(&self, queue: &ClassQueue) -> bool {
        let limit = self.limits.service as usize;
        if queue.len < queue.reserved {
            return self.len < limit;
        }
        let unused: usize = self
            .classes
            .iter()
            .map(|other| other.reserved.saturating_sub(other.len))
            .sum();
        self.len + unused < limit
    }

    /// Queues a request that [`Self::check_capacity`] has accepted.
    pub fn push(&mut self, key: RequestKey, info: &RequestInfo) {
        let Some(queue) = self.classes.get_mut(usize::from(info.class.0)) else {
            return;
        };
        queue.insert(key, info);
        self.len += 1;
        let queued = self.caller_len(info.caller);
        self.queued_by_caller.insert(info.caller, queued + 1);
    }

    /// Counts a request in flight for its caller after a change of the classes.
    pub fn restore_in_flight(&mut self, info: &RequestInfo) {
        if let Some(queue) = self.classes.get_mut(usize::from(info.class.0)) {
            queue.callers.entry(info.caller).or_default().in_flight += 1;
        }
    }

    /// Removes a queued request. Returns `false` if it is not queued.
    pub fn remove(&mut self, key: RequestKey, info: &RequestInfo) -> bool {
        let queue = self.classes.get_mut(usize::from(info.class.0));
        let removed = queue.is_some_and(|queue| queue.remove(key, info));
        if removed {
            self.record_removal(info.caller);
        }
        removed
    }

    /// Removes and returns the next request of a class. `quantum_ms` is the mean slot time of a
    /// request.
    pub fn pop(&mut self, class: ClassIndex, quantum_ms: f64) -> Option<RequestKey> {
        let queue = self.classes.get_mut(usize::from(class.0))?;
        let (caller, key) = queue.pop(quantum_ms)?;
        self.record_removal(caller);
        Some(key)
    }

    fn record_removal(&mut self, caller: CallerKey) {
        self.len -= 1;
        let queued = self.caller_len(caller).saturating_sub(1);
        if queued == 0 {
            self.queued_by_caller.remove(caller);
        } else {
            self.queued_by_caller.insert(caller, queued);
        }
    }

    /// Reduces a caller's deficit by the slot time that its request used beyond the expected time.
    pub fn charge_caller(&mut self, info: &RequestInfo, excess_ms: f64, quantum_ms: f64) {
        let Some(queue) = self.classes.get_mut(usize::from(info.class.0)) else {
            return;
        };
        if let Some(caller_queue) = queue.callers.get_mut(&info.caller) {
            let limit_ms = MAX_DEFICIT_QUANTA * quantum_ms.max(MIN_QUANTUM_MS);
            caller_queue.deficit_ms =
                (caller_queue.deficit_ms - excess_ms).clamp(-limit_ms, limit_ms);
        }
    }

    /// Records the end of a request that was sent or waited for a retry.
    pub fn finish_request(&mut self, info: &RequestInfo) {
        let Some(queue) = self.classes.get_mut(usize::from(info.class.0)) else {
            return;
        };
        if let Some(caller_queue) = queue.callers.get_mut(&info.caller) {
            caller_queue.in_flight = caller_queue.in_flight.saturating_sub(1);
        }
        queue.remove_if_idle(info.caller);
    }

    /// Queued request of a class with the earliest deadline.
    #[must_use]
    pub fn earliest_deadline(&self, class: ClassIndex) -> Option<RequestKey> {
        let (_, key) = self.class(class)?.by_deadline.first()?;
        Some(*key)
    }

    /// Removes and returns all queued requests. Those of one caller keep their order.
    pub fn drain(&mut self) -> Vec<RequestKey> {
        let mut keys = Vec::with_capacity(self.len);
        for queue in &mut self.classes {
            for caller in std::mem::take(&mut queue.active_callers) {
                if let Some(caller_queue) = queue.callers.remove(&caller) {
                    keys.extend(caller_queue.requests.iter().map(|request| request.key));
                }
            }
        }
        *self = Self {
            limits: self.limits.clone(),
            classes: Vec::new(),
            queued_by_caller: SecondaryMap::new(),
            len: 0,
        };
        keys
    }

    /// Indices of all classes.
    pub fn classes(&self) -> impl Iterator<Item = ClassIndex> + use<> {
        (0..).map(ClassIndex).take(self.classes.len())
    }

    fn class(&self, class: ClassIndex) -> Option<&ClassQueue> {
        self.classes.get(usize::from(class.0))
    }
}
