//! The platform's store.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{Json, quote};

/// Items of a page.
const PAGE_ITEMS: usize = 500;
/// Bytes of the values of a page.
const PAGE_BYTES: usize = 1_000_000;
/// Largest value.
const VALUE_BYTES: usize = 1_048_576;
/// Entries of a transaction.
const TRANSACTION_ENTRIES: usize = 32;

#[derive(Clone)]
struct Item {
    /// As base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item as it was written; `None` if it was removed.
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Whether the store answers no call.
    is_silent: bool,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

pub fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit)) & 63;
            text.push(if digit <= chunk.len() {
                char::from(DIGITS[value as usize])
            } else {
                '='
            });
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let value = match byte {
            b'A'..=b'Z' => byte - b'A',
            b'a'..=b'z' => byte - b'a' + 26,
            b'0'..=b'9' => byte - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => continue,
        };
        bits = bits << 6 | u32::from(value);
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}

impl Store {
    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("lock");
        state.expire_leases();
        state
    }

    /// Writes a key on behalf of the operator or a server.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.write(key, encode_base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.delete(key);
        self.changed.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state();
        String::from_utf8(decode_base64(&state.items.get(key)?.value)).ok()
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.state().is_silent = is_silent;
    }

    pub fn handle(&self, request: &Request) -> Answer {
        if self.state().is_silent {
            return None;
        }
        let query = |name: &str| request.query.get(name).map_or("", String::as_str);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.get(query("key")),
            ("GET", "/kv-range") => self.range(query("prefix"), query("after")),
            ("GET", "/kv-watch") => {
                let after = query("after").parse().unwrap_or(0);
                let wait_ms = query("wait_ms").parse().unwrap_or(0);
                self.watch(query("prefix"), after, wait_ms)
            }
            ("POST", "/kv-txn") => self.transact(&body),
            ("POST", "/kv-lease") => self.grant(&body),
            ("POST", path) => match path.strip_prefix("/kv-keep/") {
                Some(id) => self.renew(id),
                None => (404, "{}".into()),
            },
            ("DELETE", path) => {
                if let Some(id) = path.strip_prefix("/kv-lease-end/") {
                    self.state().end_lease(id.parse().unwrap_or(0));
                    self.changed.notify_all();
                }
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        };
        // A call that was waiting when the store became silent gets no answer either.
        (!self.state().is_silent).then_some(answer)
    }

    fn get(&self, key: &str) -> (u16, String) {
        let state = self.state();
        match state.items.get(key) {
            Some(item) => (200, item.text(key)),
            None => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state();
        let mut rows = Vec::new();
        let (mut bytes, mut truncated) = (0, false);
        let items = state.items.range(prefix.to_owned()..);
        let items = items
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after.is_empty() || key.as_str() > after);
        for (key, item) in items {
            if rows.len() >= PAGE_ITEMS || (bytes > 0 && bytes + item.value.len() > PAGE_BYTES) {
                truncated = true;
                break;
            }
            bytes += item.value.len();
            rows.push(item.text(key));
        }
        let text = format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"as_of\":{}}}",
            rows.join(","),
            state.revision
        );
        (200, text)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let state = self.state();
            let first = state
                .events
                .partition_point(|(revision, ..)| *revision <= after);
            let events: Vec<String> = state.events[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item.text(key),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"removed\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until || state.is_silent {
                let text = format!(
                    "{{\"events\":[{}],\"as_of\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, text);
            }
            // Leases also end while nothing else changes.
            let wait = (until - now).min(Duration::from_millis(20));
            drop(self.changed.wait_timeout(state, wait).expect("lock"));
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state();
        let (expect, puts) = (body.get("expect").list(), body.get("puts").list());
        let remove = body.get("remove").list();
        if expect.len() + puts.len() + remove.len() > TRANSACTION_ENTRIES {
            return (400, "{}".into());
        }
        let is_large = |put: &Json| put.get("value").text().len() / 4 * 3 > VALUE_BYTES;
        if puts.iter().any(is_large) {
            return (400, "{}".into());
        }
        let forbidden = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().any(|put| forbidden(put.get("key").text())) {
            return (403, "{}".into());
        }
        let holds = expect.iter().all(|row| {
            let item = state.items.get(row.get("key").text());
            row.get("revision").number() == Some(item.map_or(0, |item| item.revision))
        });
        if !holds {
            let rows = expect.iter().filter_map(|row| {
                let key = row.get("key").text();
                Some(state.items.get(key)?.text(key))
            });
            let rows: Vec<String> = rows.collect();
            return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        let lease_of = |put: &Json| put.get("lease").number().unwrap_or(0);
        let has_lease = |lease: u64| lease == 0 || state.leases.contains_key(&lease);
        if !puts.iter().map(lease_of).all(has_lease) {
            return (404, "{}".into());
        }
        state.revision += 1;
        for put in puts {
            let value = put.get("value").text().to_owned();
            state.write(put.get("key").text(), value, lease_of(put));
        }
        for key in remove {
            state.delete(key.text());
        }
        let text = format!("{{\"revision\":{}}}", state.revision);
        self.changed.notify_all();
        (200, text)
    }

    fn grant(&self, body: &Json) -> (u16, String) {
        let mut state = self.state();
        let ttl_ms = body
            .get("ttl_ms")
            .number()
            .unwrap_or(0)
            .clamp(1_000, 600_000);
        state.next_lease += 1;
        let lease = 70_000 + state.next_lease;
        let ttl = Duration::from_millis(ttl_ms);
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn renew(&self, id: &str) -> (u16, String) {
        let mut state = self.state();
        match state.leases.get_mut(&id.parse().unwrap_or(0)) {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => (404, "{}".into()),
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    /// Ends the leases whose time is over. While the store is silent, leases pause.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        if self.is_silent {
            for (ttl, until) in self.leases.values_mut() {
                *until = (*until).max(now + *ttl / 2);
            }
            return;
        }
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && lease != 0)
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.delete(&key);
        }
    }
}

impl Item {
    fn text(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            quote(key),
            self.value,
            self.revision,
            self.created,
            self.lease
        )
    }
}
