//! Bounded queues of a service: one per work class, in which callers take turns.

use std::collections::{BTreeSet, VecDeque};

use crate::class_share::ClassPolicy;
use crate::prelude::*;
use crate::request::{ClassIndex, RequestInfo};

/// Turns that a caller may have saved up, or owe, in relation to the others of its class. The
/// limit also bounds the search for the next caller.
const TURNS_MAX: f64 = 8.0;
const TURN_MIN_MS: f64 = 1.0;

/// Bounds of a service's queue.
#[derive(Clone, Debug)]
pub struct QueueLimits {
    /// Requests that are queued at most.
    pub service: u32,
    /// Requests of one caller that are queued at most.
    pub caller: u32,
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    key: RequestKey,
    deadline: Millis,
}

/// A caller with requests in a class.
#[derive(Clone, Debug, Default)]
struct Turn {
    queue: VecDeque<Waiting>,
    /// Requests that were sent and have not ended, also those that wait for a retry.
    in_flight: u32,
    /// Slot time that the caller may use before the next caller's turn.
    deficit_ms: f64,
}

/// Queue of a work class.
#[derive(Clone, Debug, Default)]
struct ClassQueue {
    limit: usize,
    /// Places in the service's queue that other classes leave to this class.
    guaranteed: usize,
    len: usize,
    /// Callers with queued requests, in the order of their turns.
    ring: VecDeque<CallerKey>,
    turns: FastMap<CallerKey, Turn>,
    by_deadline: BTreeSet<(Millis, RequestKey)>,
}

/// Why a request found no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// Queues of the work classes of a service.
#[derive(Clone, Debug)]
pub struct FairQueue {
    limits: QueueLimits,
    classes: Vec<ClassQueue>,
    queued_by_caller: SecondaryMap<CallerKey, u32>,
    len: usize,
}

impl ClassQueue {
    fn new(policy: &ClassPolicy, limits: &QueueLimits, sum_of_limits: u64) -> Self {
        let part = u64::from(limits.service) * u64::from(policy.queue_limit);
        let guaranteed = part / sum_of_limits.max(1);
        Self {
            limit: policy.queue_limit as usize,
            guaranteed: usize::try_from(guaranteed).unwrap_or(usize::MAX),
            ..Self::default()
        }
    }

    fn insert(&mut self, key: RequestKey, info: &RequestInfo) {
        let turn = self.turns.entry(info.caller).or_default();
        if turn.queue.is_empty() {
            self.ring.push_back(info.caller);
        }
        let deadline = info.deadline;
        turn.queue.push_back(Waiting { key, deadline });
        self.by_deadline.insert((deadline, key));
        self.len += 1;
    }

    /// Forgets a caller that has no request left and takes it out of the ring when none is queued.
    fn tidy(&mut self, caller: CallerKey) {
        let Some(turn) = self.turns.get(&caller) else {
            return;
        };
        if !turn.queue.is_empty() {
            return;
        }
        if turn.in_flight == 0 {
            self.turns.remove(&caller);
        }
        self.ring.retain(|other| *other != caller);
    }

    fn remove(&mut self, key: RequestKey, info: &RequestInfo) -> bool {
        if !self.by_deadline.remove(&(info.deadline, key)) {
            return false;
        }
        if let Some(turn) = self.turns.get_mut(&info.caller) {
            turn.queue.retain(|waiting| waiting.key != key);
        }
        self.tidy(info.caller);
        self.len -= 1;
        true
    }

    /// Gives each caller in turn `turn_ms` until one may send.
    fn pop(&mut self, turn_ms: f64) -> Option<(CallerKey, RequestKey)> {
        let turn_ms = turn_ms.max(TURN_MIN_MS);
        while let Some(caller) = self.ring.front().copied() {
            let Some(turn) = self.turns.get_mut(&caller) else {
                self.ring.pop_front();
                continue;
            };
            if turn.deficit_ms <= 0.0 {
                turn.deficit_ms = turn.deficit_ms.max(-TURNS_MAX * turn_ms) + turn_ms;
                self.ring.rotate_left(1);
                continue;
            }
            let waiting = turn.queue.pop_front();
            if turn.queue.is_empty() {
                self.ring.pop_front();
            }
            if let Some(waiting) = waiting {
                turn.deficit_ms -= turn_ms;
                turn.in_flight += 1;
                self.by_deadline.remove(&(waiting.deadline, waiting.key));
                self.len -= 1;
                return Some((caller, waiting.key));
            }
        }
        None
    }

    /// The newest request of the caller with the most queued requests, if that caller has at least
    /// two more than `caller`.
    fn longest(&self, caller: CallerKey) -> Option<RequestKey> {
        let queued = |turn: &Turn| turn.queue.len();
        let own = self.turns.get(&caller).map_or(0, queued);
        let longest = self
            .ring
            .iter()
            .filter_map(|other| self.turns.get(other))
            .max_by_key(|turn| queued(turn))?;
        let newest = longest.queue.back()?;
        (queued(longest) >= own + 2).then_some(newest.key)
    }
}

impl FairQueue {
    /// Empty queues.
    #[must_use]
    pub fn new(limits: QueueLimits, policies: &[ClassPolicy]) -> Self {
        let sum_of_limits = policies
            .iter()
            .map(|class| u64::from(class.queue_limit))
            .sum();
        let classes = policies
            .iter()
            .map(|policy| ClassQueue::new(policy, &limits, sum_of_limits))
            .collect();
        Self {
            limits,
            classes,
            queued_by_caller: SecondaryMap::new(),
            len: 0,
        }
    }

    /// Queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queued requests of a class.
    #[must_use]
    pub fn len_of(&self, class: ClassIndex) -> usize {
        self.class(class).map_or(0, |queue| queue.len)
    }

    /// Queued requests of a caller, in all classes.
    #[must_use]
    pub fn len_of_caller(&self, caller: CallerKey) -> u32 {
        self.queued_by_caller.get(caller).copied().unwrap_or(0)
    }

    /// Callers that have a request queued or in flight in a class.
    #[must_use]
    pub fn callers_of(&self, class: ClassIndex) -> usize {
        self.class(class).map_or(0, |queue| queue.turns.len())
    }

    /// Requests of the class that are sent before the next one of `caller`, as callers take turns.
    #[must_use]
    pub fn ahead(&self, class: ClassIndex, caller: CallerKey) -> usize {
        let Some(queue) = self.class(class) else {
            return 0;
        };
        let own = queue.turns.get(&caller).map_or(0, |turn| turn.queue.len());
        let others = queue.ring.iter().filter(|other| **other != caller);
        let theirs = others
            .filter_map(|other| queue.turns.get(other))
            .map(|turn| turn.queue.len().min(own + 1));
        own + theirs.sum::<usize>()
    }

    /// Checks whether a new request has a place. When only its class is full, a caller with many
    /// queued requests gives way: `Ok(Some(key))` names the request to refuse instead.
    ///
    /// # Errors
    ///
    /// Fails when the new request is the one to refuse.
    pub fn place(&self, info: &RequestInfo) -> Result<Option<RequestKey>, Full> {
        let queue = self.class(info.class).ok_or(Full)?;
        if self.len_of_caller(info.caller) >= self.limits.caller {
            return Err(Full);
        }
        if queue.len < queue.limit && self.has_room_for(queue) {
            return Ok(None);
        }
        if queue.len > queue.limit || self.len > self.limits.service as usize {
            // New bounds can be below the queue; an exchange would keep them passed.
            return Err(Full);
        }
        queue.longest(info.caller).map(Some).ok_or(Full)
    }

    /// A flood of one class leaves the guaranteed places of the other classes free.
    fn has_room_for(&self, queue: &ClassQueue) -> bool {
        let limit = self.limits.service as usize;
        if queue.len < queue.guaranteed {
            return self.len < limit;
        }
        let unused: usize = self
            .classes
            .iter()
            .map(|other| other.guaranteed.saturating_sub(other.len))
            .sum();
        self.len + unused < limit
    }

    /// Queues a new request that [`Self::place`] accepted.
    pub fn push(&mut self, key: RequestKey, info: &RequestInfo) {
        let Some(queue) = self.classes.get_mut(usize::from(info.class.0)) else {
            return;
        };
        queue.insert(key, info);
        self.len += 1;
        let queued = self.len_of_caller(info.caller);
        self.queued_by_caller.insert(info.caller, queued + 1);
    }

    /// Counts a request that was sent and whose caller must be known, after a change of the classes.
    pub fn restore_in_flight(&mut self, info: &RequestInfo) {
        if let Some(queue) = self.classes.get_mut(usize::from(info.class.0)) {
            queue.turns.entry(info.caller).or_default().in_flight += 1;
        }
    }

    /// Removes a queued request; `false` if it is not queued.
    pub fn remove(&mut self, key: RequestKey, info: &RequestInfo) -> bool {
        let queue = self.classes.get_mut(usize::from(info.class.0));
        let removed = queue.is_some_and(|queue| queue.remove(key, info));
        if removed {
            self.forget(info.caller);
        }
        removed
    }

    /// Takes the next request of a class; `turn_ms` is the slot time of a mean request.
    pub fn pop(&mut self, class: ClassIndex, turn_ms: f64) -> Option<RequestKey> {
        let queue = self.classes.get_mut(usize::from(class.0))?;
        let (caller, key) = queue.pop(turn_ms)?;
        self.forget(caller);
        Some(key)
    }

    fn forget(&mut self, caller: CallerKey) {
        self.len -= 1;
        let queued = self.len_of_caller(caller).saturating_sub(1);
        if queued == 0 {
            self.queued_by_caller.remove(caller);
        } else {
            self.queued_by_caller.insert(caller, queued);
        }
    }

    /// Corrects the turn of a caller by the slot time that its request held beyond the expected
    /// time.
    pub fn settle(&mut self, info: &RequestInfo, excess_ms: f64, turn_ms: f64) {
        let Some(queue) = self.classes.get_mut(usize::from(info.class.0)) else {
            return;
        };
        if let Some(turn) = queue.turns.get_mut(&info.caller) {
            let limit_ms = TURNS_MAX * turn_ms.max(TURN_MIN_MS);
            turn.deficit_ms = (turn.deficit_ms - excess_ms).clamp(-limit_ms, limit_ms);
        }
    }

    /// Ends a request that was sent, or that waited for a retry.
    pub fn ended(&mut self, info: &RequestInfo) {
        let Some(queue) = self.classes.get_mut(usize::from(info.class.0)) else {
            return;
        };
        if let Some(turn) = queue.turns.get_mut(&info.caller) {
            turn.in_flight = turn.in_flight.saturating_sub(1);
        }
        queue.tidy(info.caller);
    }

    /// The request of a class whose deadline comes first.
    #[must_use]
    pub fn most_urgent(&self, class: ClassIndex) -> Option<RequestKey> {
        let (_, key) = self.class(class)?.by_deadline.first()?;
        Some(*key)
    }

    /// Takes out every queued request; those of one caller keep their order.
    pub fn drain(&mut self) -> Vec<RequestKey> {
        let mut keys = Vec::with_capacity(self.len);
        for queue in &mut self.classes {
            for caller in std::mem::take(&mut queue.ring) {
                if let Some(turn) = queue.turns.remove(&caller) {
                    keys.extend(turn.queue.iter().map(|waiting| waiting.key));
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

    /// The classes.
    pub fn classes(&self) -> impl Iterator<Item = ClassIndex> + use<> {
        (0..).map(ClassIndex).take(self.classes.len())
    }

    fn class(&self, class: ClassIndex) -> Option<&ClassQueue> {
        self.classes.get(usize::from(class.0))
    }
}
