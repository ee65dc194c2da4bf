//! State of the key-value store of the platform stand-in: keys, leases, watches and the event log.
//!
//! Calls and replies follow the JSON gateway of etcd v3.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::sync::mpsc;

/// Maximum number of events in the log; older ones are compacted.
const LOG_EVENTS_MAX: usize = 20_000;
const VALUE_MAX_BYTES: usize = 1 << 20;

/// Error of a call, as the gateway reports it.
#[derive(Clone, Debug)]
pub struct StoreError {
    /// gRPC status code.
    pub code: u32,
    /// Error message.
    pub message: String,
}

fn invalid_argument(message: &str) -> StoreError {
    StoreError {
        code: 3,
        message: message.into(),
    }
}

#[derive(Clone, Debug)]
struct Entry {
    value: Vec<u8>,
    create_revision: u64,
    mod_revision: u64,
    version: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

#[derive(Debug)]
struct Watcher {
    first: Vec<u8>,
    end: Vec<u8>,
    events: mpsc::UnboundedSender<Value>,
}

#[derive(Clone, Debug)]
struct LoggedEvent {
    revision: u64,
    key: Vec<u8>,
    event: Value,
}

/// A key-value store with leases and watches.
#[derive(Debug)]
pub struct Store {
    keys: BTreeMap<Vec<u8>, Entry>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    next_lease: u64,
    log: VecDeque<LoggedEvent>,
    /// Newest revision that the log no longer holds.
    compacted_revision: u64,
    watchers: Vec<Watcher>,
    /// Watches that stay open but deliver nothing.
    unresponsive_watchers: Vec<Watcher>,
    withhold_changes: bool,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            revision: 1,
            next_lease: 1,
            log: VecDeque::new(),
            compacted_revision: 0,
            watchers: Vec::new(),
            unresponsive_watchers: Vec::new(),
            withhold_changes: false,
        }
    }
}

impl Store {
    /// Executes a unary call of the gateway.
    ///
    /// # Errors
    ///
    /// Returns the gateway's error for an invalid call.
    pub fn call(&mut self, path: &str, body: &Value, now: Instant) -> Result<Value, StoreError> {
        self.expire(now);
        match path {
            "/v3/kv/range" => self.range(body),
            "/v3/kv/put" => self.put(body),
            "/v3/kv/txn" => self.txn(body),
            "/v3/lease/grant" => self.grant(body, now),
            "/v3/lease/keepalive" => self.keep_alive(body, now),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => self.revoke(body),
            _ => Err(StoreError {
                code: 5,
                message: format!("unknown call: {path}"),
            }),
        }
    }

    /// Deletes keys whose lease has expired.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.remove_lease(id);
        }
    }

    /// Restarts the time to live of every lease, as the platform does after an outage.
    pub fn extend_leases(&mut self, now: Instant) {
        for lease in self.leases.values_mut() {
            lease.expires = now + lease.ttl;
        }
    }

    /// Starts a watch.
    ///
    /// # Errors
    ///
    /// Returns the gateway's error for an invalid call.
    pub fn watch(&mut self, body: &Value) -> Result<mpsc::UnboundedReceiver<Value>, StoreError> {
        let create = body
            .get("create_request")
            .ok_or_else(|| invalid_argument("no create_request"))?;
        let first = bytes_field(create, "key")?;
        let end = bytes_field(create, "range_end")?;
        let start = number_field(create, "start_revision");
        let (events, receiver) = mpsc::unbounded_channel();
        if start != 0 && start <= self.compacted_revision {
            let _ = events.send(json!({"result": {
                "header": self.header(), "canceled": true,
                "compact_revision": (self.compacted_revision + 1).to_string(),
            }}));
            return Ok(receiver);
        }
        let _ = events.send(json!({"result": {"header": self.header(), "created": true}}));
        let backlog: Vec<Value> = self
            .log
            .iter()
            .filter(|logged| !self.withhold_changes && start != 0 && logged.revision >= start)
            .filter(|logged| in_range(&logged.key, &first, &end))
            .map(|logged| logged.event.clone())
            .collect();
        if !backlog.is_empty() {
            let _ = events.send(json!({"result": {"header": self.header(), "events": backlog}}));
        }
        self.watchers.push(Watcher { first, end, events });
        Ok(receiver)
    }

    /// Makes the currently open watches deliver nothing more while they stay open.
    pub fn stall_watches(&mut self) {
        self.unresponsive_watchers
            .retain(|watcher| !watcher.events.is_closed());
        self.unresponsive_watchers.append(&mut self.watchers);
    }

    /// Sets whether every watch withholds changes.
    pub fn set_withhold_changes(&mut self, withhold: bool) {
        self.withhold_changes = withhold;
    }

    /// Number of open watches that can deliver changes.
    pub fn watch_count(&mut self) -> usize {
        self.watchers.retain(|watcher| !watcher.events.is_closed());
        self.watchers.len()
    }

    fn header(&self) -> Value {
        json!({"revision": self.revision.to_string()})
    }

    fn range(&self, body: &Value) -> Result<Value, StoreError> {
        let first = bytes_field(body, "key")?;
        let end = bytes_field(body, "range_end")?;
        let kvs: Vec<Value> = self
            .keys
            .iter()
            .filter(|(key, _)| in_range(key, &first, &end))
            .map(|(key, entry)| kv_json(key, entry))
            .collect();
        Ok(json!({"header": self.header(), "count": kvs.len().to_string(), "kvs": kvs}))
    }

    fn put(&mut self, body: &Value) -> Result<Value, StoreError> {
        let put = self.validate_put(body)?;
        self.revision += 1;
        let events = vec![self.apply_put(put)];
        self.publish(events);
        Ok(json!({"header": self.header()}))
    }

    fn txn(&mut self, body: &Value) -> Result<Value, StoreError> {
        let no_items = Vec::new();
        let items = |name: &str| {
            body.get(name)
                .and_then(Value::as_array)
                .unwrap_or(&no_items)
        };
        let mut succeeded = true;
        for compare in items("compare") {
            let key = bytes_field(compare, "key")?;
            let expected = number_field(compare, "mod_revision");
            let actual = self.keys.get(&key).map_or(0, |entry| entry.mod_revision);
            succeeded &= expected == actual;
        }
        let operations = items(if succeeded { "success" } else { "failure" });
        let mut puts = Vec::new();
        let mut deletes = Vec::new();
        for operation in operations {
            if let Some(put) = operation.get("request_put") {
                puts.push(self.validate_put(put)?);
            }
            if let Some(delete) = operation.get("request_delete_range") {
                deletes.push(bytes_field(delete, "key")?);
            }
        }
        if !puts.is_empty() || !deletes.is_empty() {
            self.revision += 1;
            let mut events = Vec::new();
            for put in puts {
                events.push(self.apply_put(put));
            }
            for key in deletes {
                events.extend(self.apply_delete(&key));
            }
            self.publish(events);
        }
        Ok(json!({"header": self.header(), "succeeded": succeeded}))
    }

    fn validate_put(&self, body: &Value) -> Result<(Vec<u8>, Vec<u8>, u64), StoreError> {
        let key = bytes_field(body, "key")?;
        let value = bytes_field(body, "value")?;
        let lease = number_field(body, "lease");
        if value.len() > VALUE_MAX_BYTES {
            return Err(invalid_argument("etcdserver: request is too large"));
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            let message = "etcdserver: requested lease not found".into();
            return Err(StoreError { code: 5, message });
        }
        Ok((key, value, lease))
    }

    fn apply_put(&mut self, (key, value, lease): (Vec<u8>, Vec<u8>, u64)) -> LoggedEvent {
        let revision = self.revision;
        let previous = self.keys.get(&key);
        let entry = Entry {
            value,
            create_revision: previous.map_or(revision, |entry| entry.create_revision),
            mod_revision: revision,
            version: previous.map_or(1, |entry| entry.version + 1),
            lease,
        };
        let event = json!({"kv": kv_json(&key, &entry)});
        self.keys.insert(key.clone(), entry);
        LoggedEvent {
            revision,
            key,
            event,
        }
    }

    fn apply_delete(&mut self, key: &[u8]) -> Option<LoggedEvent> {
        self.keys.remove(key)?;
        let revision = self.revision;
        let event = json!({"type": "DELETE", "kv": {
            "key": STANDARD.encode(key), "mod_revision": revision.to_string(),
        }});
        Some(LoggedEvent {
            revision,
            key: key.to_vec(),
            event,
        })
    }

    fn publish(&mut self, events: Vec<LoggedEvent>) {
        let header = self.header();
        self.watchers.retain(|watcher| {
            let matching: Vec<Value> = events
                .iter()
                .filter(|logged| in_range(&logged.key, &watcher.first, &watcher.end))
                .map(|logged| logged.event.clone())
                .collect();
            if matching.is_empty() || self.withhold_changes {
                return !watcher.events.is_closed();
            }
            watcher
                .events
                .send(json!({"result": {"header": header, "events": matching}}))
                .is_ok()
        });
        self.log.extend(events);
        while self.log.len() > LOG_EVENTS_MAX {
            if let Some(compacted) = self.log.pop_front() {
                self.compacted_revision = compacted.revision;
            }
        }
    }

    fn grant(&mut self, body: &Value, now: Instant) -> Result<Value, StoreError> {
        let ttl_s = number_field(body, "TTL");
        if ttl_s == 0 {
            return Err(invalid_argument("etcdserver: TTL must be positive"));
        }
        let ttl = Duration::from_secs(ttl_s);
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(
            id,
            Lease {
                ttl,
                expires: now + ttl,
            },
        );
        let (id, ttl) = (id.to_string(), ttl_s.to_string());
        Ok(json!({"header": self.header(), "ID": id, "TTL": ttl}))
    }

    fn keep_alive(&mut self, body: &Value, now: Instant) -> Result<Value, StoreError> {
        let id = number_field(body, "ID");
        let ttl_s = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires = now + lease.ttl;
            lease.ttl.as_secs()
        });
        let (id, ttl) = (id.to_string(), ttl_s.to_string());
        Ok(json!({"result": {"header": self.header(), "ID": id, "TTL": ttl}}))
    }

    fn revoke(&mut self, body: &Value) -> Result<Value, StoreError> {
        let id = number_field(body, "ID");
        if !self.leases.contains_key(&id) {
            let message = "etcdserver: requested lease not found".into();
            return Err(StoreError { code: 5, message });
        }
        self.remove_lease(id);
        Ok(json!({"header": self.header()}))
    }

    fn remove_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<Vec<u8>> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        let events = keys
            .iter()
            .filter_map(|key| self.apply_delete(key))
            .collect();
        self.publish(events);
    }
}

fn kv_json(key: &[u8], entry: &Entry) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&entry.value),
        "create_revision": entry.create_revision.to_string(),
        "mod_revision": entry.mod_revision.to_string(),
        "version": entry.version.to_string(),
        "lease": entry.lease.to_string(),
    })
}

/// Whether `key` is in the range; an empty `end` selects the single key `first`.
fn in_range(key: &[u8], first: &[u8], end: &[u8]) -> bool {
    if end.is_empty() {
        key == first
    } else {
        key >= first && key < end
    }
}

fn bytes_field(body: &Value, name: &str) -> Result<Vec<u8>, StoreError> {
    let text = body.get(name).and_then(Value::as_str).unwrap_or_default();
    STANDARD
        .decode(text)
        .map_err(|_| invalid_argument(&format!("{name} is not base64")))
}

/// Reads a number that may be encoded as a string; 0 if it is missing or invalid.
fn number_field(body: &Value, name: &str) -> u64 {
    match body.get(name) {
        Some(Value::String(text)) => text.parse().unwrap_or(0),
        Some(Value::Number(number)) => number.as_u64().unwrap_or(0),
        _ => 0,
    }
}
