//! Reference-counted registry of the callers of a service.

use crate::prelude::*;

#[derive(Clone, Debug)]
struct Caller {
    name: Arc<str>,
    requests: u32,
}

/// Keys of the callers with at least one request. Their number is therefore bounded by the number
/// of requests that are queued or in flight.
#[derive(Clone, Debug, Default)]
pub struct Callers {
    callers: SlotMap<CallerKey, Caller>,
    keys: FastMap<Arc<str>, CallerKey>,
}

impl Callers {
    /// Counts a request of the caller and returns the caller's key.
    pub fn acquire(&mut self, name: &Arc<str>) -> CallerKey {
        if let Some(key) = self.keys.get(name).copied()
            && let Some(caller) = self.callers.get_mut(key)
        {
            caller.requests += 1;
            return key;
        }
        let caller = Caller {
            name: Arc::clone(name),
            requests: 1,
        };
        let key = self.callers.insert(caller);
        self.keys.insert(Arc::clone(name), key);
        key
    }

    /// Counts the end of a request and removes the caller after its last one.
    pub fn release(&mut self, key: CallerKey) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        caller.requests = caller.requests.saturating_sub(1);
        if caller.requests == 0
            && let Some(caller) = self.callers.remove(key)
        {
            self.keys.remove(&caller.name);
        }
    }

    /// Returns the number of callers with requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Returns whether no caller has a request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }
}
