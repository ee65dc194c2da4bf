//! The platform's store: items, leases, watches and conditional writes, as the pages tell them.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{Handler, Reply, Request};
use crate::locked;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change: its revision, the key, and the item unless it was removed.
    changes: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Writes as the operator or a runner does.
    pub fn put(&self, key: &str, value: &Value) {
        locked(&self.state).put(key, STANDARD.encode(value.to_string()), 0);
        self.changed.notify_all();
    }

    /// The decoded value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        let state = locked(&self.state);
        let bytes = STANDARD.decode(&state.items.get(key)?.value).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = locked(&self.state);
        loop {
            state.expire();
            let changes = state.changes.iter();
            let events: Vec<Value> = changes
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item.as_json(key),
                    None => json!({"key": key, "revision": revision, "removed": true}),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = json!({"events": events, "as_of": state.revision});
                return Reply::Json(200, body);
            }
            let wait = (until - now).min(Duration::from_millis(20));
            state = match self.changed.wait_timeout(state, wait) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}

impl Item {
    fn as_json(&self, key: &str) -> Value {
        json!({"key": key, "value": self.value, "revision": self.revision,
            "created": self.created, "lease": self.lease})
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        self.put_at(self.revision, key, value, lease);
    }

    fn put_at(&mut self, revision: u64, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.contains_key(key) {
            self.revision += 1;
            self.remove_at(self.revision, key);
        }
    }

    fn remove_at(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| lease != 0 && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
        is_known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn answer(&mut self, request: &Request) -> Reply {
        self.expire();
        let (path, body) = (request.path.as_str(), &request.body);
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => {
                let key = request.query.get("key").cloned().unwrap_or_default();
                match self.items.get(&key) {
                    Some(item) => Reply::Json(200, item.as_json(&key)),
                    None => Reply::Json(404, json!({})),
                }
            }
            ("GET", "/kv-range") => self.range(request),
            ("POST", "/kv-txn") => self.transact(body),
            ("POST", "/kv-lease") => {
                let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(0).clamp(1_000, 600_000);
                self.next_lease += 1;
                let ttl = Duration::from_millis(ttl_ms);
                let lease = Lease {
                    ttl,
                    ends_at: Instant::now() + ttl,
                };
                self.leases.insert(self.next_lease, lease);
                Reply::Json(200, json!({"lease": self.next_lease, "ttl_ms": ttl_ms}))
            }
            ("POST", _) if path.starts_with("/kv-keep/") => {
                let id = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match self.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends_at = Instant::now() + lease.ttl;
                        let ttl_ms = lease.ttl.as_millis() as u64;
                        Reply::Json(200, json!({"ttl_ms": ttl_ms}))
                    }
                    None => Reply::Json(404, json!({})),
                }
            }
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let id = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let status = if self.end_lease(id) { 200 } else { 404 };
                Reply::Json(status, json!({}))
            }
            _ => Reply::Json(400, json!({})),
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let after = request.query.get("after");
        let mut found = self
            .items
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&prefix))
            .filter(|(key, _)| after.is_none_or(|after| *key > after));
        let items: Vec<Value> = found
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| item.as_json(key))
            .collect();
        let truncated = found.next().is_some();
        let body = json!({"items": items, "truncated": truncated, "as_of": self.revision});
        Reply::Json(200, body)
    }

    fn transact(&mut self, body: &Value) -> Reply {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expect, puts, remove) = (rows("expect"), rows("puts"), rows("remove"));
        if expect.len() + puts.len() + remove.len() > 32 {
            return Reply::Json(400, json!({}));
        }
        let key_of = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
        let holds = expect.iter().all(|row| {
            let revision = self.items.get(&key_of(row)).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(revision)
        });
        if !holds {
            let items = expect.iter().filter_map(|row| {
                let key = key_of(row);
                self.items.get(&key).map(|item| item.as_json(&key))
            });
            return Reply::Json(412, json!({"items": items.collect::<Vec<_>>()}));
        }
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        if puts
            .iter()
            .any(|row| lease_of(row) != 0 && !self.leases.contains_key(&lease_of(row)))
        {
            return Reply::Json(404, json!({}));
        }
        self.revision += 1;
        let revision = self.revision;
        for row in &puts {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            self.put_at(revision, &key_of(row), value, lease_of(row));
        }
        for key in remove.iter().filter_map(Value::as_str) {
            self.remove_at(revision, key);
        }
        Reply::Json(200, json!({"revision": revision}))
    }
}

impl Handler for Store {
    fn handle(&self, request: &Request) -> Reply {
        if request.path == "/kv-watch" {
            return self.watch(request);
        }
        std::thread::sleep(ANSWER_TIME);
        let mut state = locked(&self.state);
        let reply = state.answer(request);
        self.changed.notify_all();
        reply
    }
}
