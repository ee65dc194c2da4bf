//! Unit tests of single rules of claims.

use rosemaryscale_domain::claim::{Answer, SubmitContext, Submitted, WAITING_MAX_BYTES};
use rosemaryscale_domain::claim::{
    BUCKET_MS, BodyDigest, CLAIM_WAIT_MAX_MS, CLOCK_DIFFERENCE_MAX_MS, ClaimAction, Claims, Holder,
    IdempotencyKey, KeyRefusal, Lookup, Nonce, RETENTION_MS, ReadResult, Record, RecordState,
    ShardValue, Sweep, VALUE_MAX_BYTES,
};
use rosemaryscale_domain::outcome::NotRunReason;
use rosemaryscale_domain::prelude::*;

use crate::model::key;

const WALL: Millis = Millis::from_ms(1_800_000_000_000);
const NOW: Millis = Millis::from_ms(1_000);

fn holder(name: &str) -> Holder {
    Holder {
        daemon: name.into(),
        incarnation: "1".into(),
    }
}

fn record(nonce: u128) -> Record {
    Record {
        holder: holder("entry-1"),
        digest: BodyDigest(1),
        nonce: Nonce(nonce),
        state: RecordState::Held,
    }
}

/// Guards against keys without a timestamp, whose age could not be checked.
#[test]
fn only_version_7_uuids_are_keys() {
    let valid = "01890a5d-ac96-774b-bcce-b302099a8057";
    assert_eq!(
        IdempotencyKey::parse(valid).unwrap().wall().as_ms(),
        0x0189_0a5d_ac96
    );
    for bad in [
        "",
        "01890a5d-ac96-474b-bcce-b302099a8057",
        "01890a5d-ac96-774b-3cce-b302099a8057",
        "01890a5dac96774bbcceb302099a80570000",
        "01890a5d-ac96-774b-bcce-b302099a805g",
        "01890a5d-ac96-774b-bcce-b302099a80é",
    ] {
        assert_eq!(
            IdempotencyKey::parse(bad),
            Err(KeyRefusal::Malformed),
            "{bad}"
        );
    }
}

/// Guards against a key that is accepted although its claim may have been deleted.
#[test]
fn a_bucket_is_kept_while_any_daemon_accepts_its_keys() {
    let old = key(1, RETENTION_MS);
    assert_eq!(old.check(WALL), Ok(()));
    assert_eq!(old.check(WALL.after_ms(1)), Err(KeyRefusal::TooOld));
    let ahead = key(1, 0).check(Millis::from_ms(WALL.as_ms() - CLOCK_DIFFERENCE_MAX_MS - 1));
    assert_eq!(ahead, Err(KeyRefusal::InFuture));
    for offset_ms in 0..2 * BUCKET_MS {
        let wall = WALL.after_ms(offset_ms);
        // The accepting daemon's clock is behind by the maximum difference, and it waits for the
        // maximum time before it writes the claim.
        let behind = Millis::from_ms(wall.as_ms() - CLOCK_DIFFERENCE_MAX_MS - CLAIM_WAIT_MAX_MS);
        let oldest = Millis::from_ms(behind.as_ms() - RETENTION_MS);
        assert!(Sweep::first_kept(wall) <= oldest.as_ms() / BUCKET_MS);
    }
}

/// Guards against buckets that are never deleted, and against one transaction per bucket.
#[test]
fn a_sweep_deletes_every_expired_bucket_once() {
    let mut sweep = Sweep::default();
    let mut next = sweep.due(WALL).unwrap().start;
    while let Some(buckets) = sweep.due(WALL) {
        assert_eq!(buckets.start, next);
        next = buckets.end;
        sweep.swept(buckets.end);
    }
    assert!(next <= Sweep::first_kept(WALL));
    assert!(sweep.due(WALL.after_ms(60_000)).is_some());
}

/// Guards against records that change when they are encoded, and against undetected corruption.
#[test]
fn values_round_trip_and_corruption_is_detected() {
    let mut value = ShardValue::default();
    for number in 0..100 {
        value.records.insert(key(number, 0), record(number.into()));
    }
    value.records.get_mut(&key(7, 0)).unwrap().state = RecordState::Released;
    value.records.get_mut(&key(8, 0)).unwrap().holder = holder("entry-2");
    let encoded = value.encode();
    assert!(encoded.len() <= value.size_bytes(0));
    assert_eq!(ShardValue::decode(&encoded), Ok(value));
    assert!(ShardValue::decode(&encoded[..encoded.len() - 1]).is_err());
    assert!(ShardValue::decode(&[]).is_err());
}

fn context(waiting_bytes: u64) -> SubmitContext {
    SubmitContext {
        now: NOW,
        wall: WALL,
        waiting_bytes,
    }
}

/// Guards against unbounded memory growth while the store is down.
#[test]
fn at_the_memory_limit_new_keys_are_refused_and_retries_join() {
    let mut claims = Claims::new(holder("entry-1"));
    let deadline = NOW.after_ms(1_000);
    let full = context(WAITING_MAX_BYTES);
    claims.submit(key(1, 0), BodyDigest(1), Nonce(5), deadline, context(0));
    let joined = claims.submit(key(1, 0), BodyDigest(1), Nonce(6), deadline, full);
    assert!(matches!(joined, Submitted::Joined { .. }), "{joined:?}");
    let refused = claims.submit(key(2, 0), BodyDigest(1), Nonce(7), deadline, full);
    assert!(
        matches!(refused, Submitted::MemoryLimitReached(_)),
        "{refused:?}"
    );
}

fn answers(actions: Vec<ClaimAction>) -> Vec<Answer> {
    let answer = |action| match action {
        ClaimAction::Answer { answer, .. } => Some(answer),
        _ => None,
    };
    actions.into_iter().filter_map(answer).collect()
}

fn answers_after_read(result: ReadResult) -> Vec<Answer> {
    let mut claims = Claims::new(holder("entry-1"));
    let deadline = NOW.after_ms(1_000);
    claims.submit(key(1, 0), BodyDigest(1), Nonce(5), deadline, context(0));
    claims.advance(NOW, 1);
    claims.read_done(key(1, 0).shard_id(), result, NOW);
    answers(claims.advance(NOW, 1))
}

/// Guards against a value above the store's size limit, which would fail every later claim of its
/// shard, and against a corrupt value that is treated as empty.
#[test]
fn a_full_or_corrupt_value_refuses_requests_as_not_run() {
    let mut value = ShardValue::default();
    let mut number = 0;
    while value.size_bytes(1) <= VALUE_MAX_BYTES {
        number += 1;
        value
            .records
            .insert(IdempotencyKey::from_bits(number), record(number));
    }
    for result in [ReadResult::Found(1, value), ReadResult::Malformed] {
        let [Answer::NotRun { proof, .. }] = answers_after_read(result)[..] else {
            panic!("not refused as not run");
        };
        assert_eq!(proof.reason(), NotRunReason::ClaimUnavailable);
    }
}

/// Guards against a second run after this process dropped the outcome of the first one.
#[test]
fn a_claim_without_an_outcome_in_memory_is_unknown() {
    let mut value = ShardValue::default();
    value.records.insert(key(1, 0), record(4));
    let found = answers_after_read(ReadResult::Found(1, value));
    assert!(matches!(found[..], [Answer::Unknown(_)]), "{found:?}");
}

/// Guards against telling a peer that a claim will not be dispatched while its write is in flight.
/// The request may still be dispatched, so a peer that found the claim in the store must wait.
#[test]
fn a_peer_waits_for_a_claim_whose_write_is_in_flight() {
    let mut claims = Claims::new(holder("entry-1"));
    let (deadline, until) = (NOW.after_ms(1_000), NOW.after_ms(100));
    claims.submit(key(1, 0), BodyDigest(1), Nonce(5), deadline, context(0));
    claims.advance(NOW, 1);
    claims.read_done(key(1, 0).shard_id(), ReadResult::Absent, NOW);
    let found = claims.look_up("1", key(1, 0), Nonce(5), until);
    assert!(matches!(found, Lookup::Waiting(_)), "{found:?}");
    assert_eq!(
        claims.look_up("0", key(1, 0), Nonce(5), until),
        Lookup::Lost
    );
    assert_eq!(
        claims.look_up("1", key(1, 0), Nonce(6), until),
        Lookup::Lost
    );
}
