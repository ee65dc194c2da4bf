//! The platform's metadata store.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{Answer, Request};
use crate::json::Json;

/// Most items on a page of a listing.
const PAGE_ITEMS: usize = 500;
/// Time that a call takes.
const ANSWER_MS: u64 = 4;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.locked().revision = 100;
        let watched = Arc::downgrade(&store);
        thread::spawn(move || {
            while let Some(store) = watched.upgrade() {
                store.locked().expire();
                store.changed.notify_all();
                drop(store);
                thread::sleep(Duration::from_millis(10));
            }
        });
        store
    }

    fn locked(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a value, as the operator or a runner does.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = self.locked();
        state.revision += 1;
        state.write(key, base64::encode(value.to_string().as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.locked();
        state.revision += 1;
        state.delete(key);
        drop(state);
        self.changed.notify_all();
    }

    /// Decoded value of a key.
    pub fn value(&self, key: &str) -> Option<Json> {
        let value = self.locked().items.get(key)?.value.clone();
        let bytes = base64::decode(&value);
        Json::parse(std::str::from_utf8(&bytes).ok()?)
    }

    pub fn handle(&self, request: &Request) -> Answer {
        thread::sleep(Duration::from_millis(ANSWER_MS));
        let path = request.path.as_str();
        let answer = match (request.method.as_str(), path) {
            ("GET", "/kv-key") => self.locked().read(request.query("key")),
            ("GET", "/kv-range") => self.locked().range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.locked().transact(&request.body),
            ("POST", "/kv-lease") => self.locked().grant(&request.body),
            ("POST", _) if path.starts_with("/kv-keep/") => self.locked().keep(path),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => self.locked().end(path),
            _ => (404, Json::map(vec![])),
        };
        self.changed.notify_all();
        Some(answer)
    }

    fn watch(&self, request: &Request) -> (u16, Json) {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.locked();
        loop {
            let events = state.events_after(request.query("prefix"), after);
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let as_of = state.revision.into();
                return (200, Json::map(vec![("events", Json::List(events)), ("as_of", as_of)]));
            }
            let waited = self.changed.wait_timeout(state, until - now);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let leases = self.leases.iter().filter(|(_, (_, until))| *until < now);
        let expired: Vec<u64> = leases.map(|(id, _)| *id).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.delete(&key);
        }
    }

    fn read(&mut self, key: &str) -> (u16, Json) {
        match self.items.get(key) {
            Some(item) => (200, item_json(key, item)),
            None => (404, Json::map(vec![])),
        }
    }

    fn range(&mut self, request: &Request) -> (u16, Json) {
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let in_range = |key: &str| key.starts_with(prefix) && key > after;
        let found: Vec<_> = self.items.iter().filter(|(key, _)| in_range(key)).collect();
        let page = found.iter().take(PAGE_ITEMS);
        let items = page.map(|(key, item)| item_json(key, item)).collect();
        let truncated = found.len() > PAGE_ITEMS;
        let fields = vec![
            ("items", Json::List(items)),
            ("truncated", truncated.into()),
            ("as_of", self.revision.into()),
        ];
        (200, Json::map(fields))
    }

    fn events_after(&self, prefix: &str, after: u64) -> Vec<Json> {
        let first = self.events.partition_point(|(revision, ..)| *revision <= after);
        let events = self.events[first..].iter();
        let events = events.filter(|(_, key, _)| key.starts_with(prefix));
        let event = |(revision, key, item): &(u64, String, Option<Item>)| match item {
            Some(item) => item_json(key, item),
            None => Json::map(vec![
                ("key", key.as_str().into()),
                ("revision", (*revision).into()),
                ("removed", true.into()),
            ]),
        };
        events.map(event).collect()
    }

    fn transact(&mut self, body: &Json) -> (u16, Json) {
        self.expire();
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let mut expected = body.get("expect").list().iter();
        let holds = |row: &Json| row.get("revision").number() == Some(revision_of(row.get("key").text()));
        if !expected.all(holds) {
            return (412, Json::map(vec![("items", Json::List(vec![]))]));
        }
        let lease_of = |put: &Json| put.get("lease").number().unwrap_or(0);
        let leases = body.get("puts").list().iter().map(lease_of);
        if leases.into_iter().any(|lease| lease != 0 && !self.leases.contains_key(&lease)) {
            return (404, Json::map(vec![]));
        }
        self.revision += 1;
        for put in body.get("puts").list() {
            let value = put.get("value").text().to_owned();
            self.write(put.get("key").text(), value, lease_of(put));
        }
        for key in body.get("remove").list() {
            self.delete(key.text());
        }
        (200, Json::map(vec![("revision", self.revision.into())]))
    }

    fn grant(&mut self, body: &Json) -> (u16, Json) {
        let ttl_ms = body.get("ttl_ms").number().unwrap_or(1_000).max(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        self.revision += 1;
        self.leases.insert(self.revision, (ttl, Instant::now() + ttl));
        (200, Json::map(vec![("lease", self.revision.into()), ("ttl_ms", ttl_ms.into())]))
    }

    fn keep(&mut self, path: &str) -> (u16, Json) {
        self.expire();
        match self.leases.get_mut(&last_number(path)) {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                (200, Json::map(vec![("ttl_ms", (ttl.as_millis() as u64).into())]))
            }
            None => (404, Json::map(vec![])),
        }
    }

    fn end(&mut self, path: &str) -> (u16, Json) {
        self.end_lease(last_number(path));
        (200, Json::map(vec![]))
    }
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0)
}

fn item_json(key: &str, item: &Item) -> Json {
    Json::map(vec![
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}
