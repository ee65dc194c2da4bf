//! Encodes calls to the gateway and decodes its replies.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use rosemaryscale_ports::kv::{Change, KeyRange, KvEntry, KvError, KvResult, Transaction, Update};
use serde_json::{Value, json};

use super::key_from_bytes;

const MS_PER_S: u64 = 1_000;

pub(super) fn range(range: &KeyRange) -> Value {
    match range {
        KeyRange::Key(key) => json!({"key": encode(key.as_bytes())}),
        KeyRange::Prefix(prefix) => json!({
            "key": encode(prefix.as_bytes()),
            "range_end": encode(&prefix_end(prefix)),
        }),
    }
}

pub(super) fn watch(keys: &KeyRange, start_revision: u64) -> Value {
    let mut create = range(keys);
    create["start_revision"] = json!(start_revision.to_string());
    json!({"create_request": create})
}

pub(super) fn transaction(transaction: &Transaction) -> Value {
    let compares: Vec<Value> = transaction
        .compares
        .iter()
        .map(|compare| {
            json!({
                "target": "MOD",
                "result": "EQUAL",
                "key": encode(compare.key.as_bytes()),
                "mod_revision": compare.mod_revision.to_string(),
            })
        })
        .collect();
    let changes: Vec<Value> = transaction.changes.iter().map(change).collect();
    json!({"compare": compares, "success": changes, "failure": []})
}

fn change(change: &Change) -> Value {
    match change {
        Change::Put { key, value, lease } => json!({"request_put": {
            "key": encode(key.as_bytes()),
            "value": encode(value),
            "lease": lease.to_string(),
        }}),
        Change::Delete { key } => {
            json!({"request_delete_range": {"key": encode(key.as_bytes())}})
        }
    }
}

/// The gateway expects the time to live in whole seconds; fractions are rounded up.
pub(super) fn grant(ttl_ms: u64) -> Value {
    json!({"TTL": ttl_ms.div_ceil(MS_PER_S).to_string()})
}

pub(super) fn lease(lease: u64) -> Value {
    json!({"ID": lease.to_string()})
}

pub(super) fn revision(reply: &Value) -> u64 {
    reply
        .get("header")
        .map_or(0, |header| number(header, "revision"))
}

pub(super) fn entries(reply: &Value) -> KvResult<Vec<KvEntry>> {
    let kvs = reply.get("kvs").and_then(Value::as_array);
    kvs.into_iter().flatten().map(entry).collect()
}

/// Decodes the updates of a watch reply.
pub(super) fn updates(result: &Value) -> KvResult<Vec<Update>> {
    let events = result.get("events").and_then(Value::as_array);
    events.into_iter().flatten().map(update).collect()
}

fn update(event: &Value) -> KvResult<Update> {
    let kv = event.get("kv").unwrap_or(&Value::Null);
    if event.get("type").and_then(Value::as_str) == Some("DELETE") {
        return Ok(Update::Deleted(key(kv)?));
    }
    entry(kv).map(Update::Put)
}

fn entry(kv: &Value) -> KvResult<KvEntry> {
    Ok(KvEntry {
        key: key(kv)?,
        value: Bytes::from(decode(kv, "value")?),
        mod_revision: number(kv, "mod_revision"),
        lease: number(kv, "lease"),
    })
}

fn key(kv: &Value) -> KvResult<Arc<str>> {
    key_from_bytes(decode(kv, "key")?)
}

fn decode(kv: &Value, field: &str) -> KvResult<Vec<u8>> {
    let text = kv.get(field).and_then(Value::as_str).unwrap_or_default();
    STANDARD.decode(text).map_err(|_| KvError::Rejected {
        reason: format!("field {field} is not base64"),
    })
}

/// Decodes a 64-bit number, which the gateway encodes as a string. Returns 0 if it is missing.
pub(super) fn number(value: &Value, field: &str) -> u64 {
    match value.get(field) {
        Some(Value::String(text)) => text.parse().unwrap_or(0),
        Some(Value::Number(number)) => number.as_u64().unwrap_or(0),
        _ => 0,
    }
}

fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Returns the first key after all keys with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
