//! Which source of the configuration a daemon uses, and how long it counts as confirmed.

use rosemaryscale_domain::Millis;
use rosemaryscale_domain::config_source::{
    ASK_INTERVAL_MS, ConfigPeer, ConfigSource, Confirmation, KeyRefusal, PeerStatement,
    PeerVerdict, RevocationBound,
};

fn ms(ms: u64) -> Millis {
    Millis::from_ms(ms)
}

/// A source with version 4 in force, which the store confirmed at 10 s and 10.7 s, and two peers.
fn source() -> ConfigSource {
    let mut source = ConfigSource::new("one", ms(9_000));
    source.set_peers(["b", "a"].map(|name| ConfigPeer {
        name: name.into(),
        address: ([10, 0, 0, name.as_bytes()[0]], 7_000).into(),
    }));
    assert!(source.put_in_force(4, None));
    source.store_answered(Some(4), ms(10_000));
    source.store_answered(None, ms(10_700));
    source
}

/// Asks as soon as the source allows it. Returns the time and the name of the peer.
fn ask(source: &mut ConfigSource) -> Option<(Millis, String)> {
    let at = source.ask_at()?;
    assert_eq!(source.ask(ms(at.as_ms() - 1)), None, "not before its time");
    let peer = source.ask(at)?;
    Some((at, peer.name.to_string()))
}

fn statement(version: u64, confirmed_age_ms: u64) -> PeerStatement {
    PeerStatement {
        version,
        confirmed_age_ms: Some(confirmed_age_ms),
    }
}

/// Guards against calls to peers while the store answers, and against more than one call a second otherwise.
#[test]
fn peers_are_asked_one_at_a_time_while_the_store_does_not_answer() {
    let mut source = source();
    assert!(
        source.ask_at() >= Some(ms(12_700)),
        "the store is not silent yet"
    );
    source.store_failed(ms(11_000));
    source.store_failed(ms(11_300));
    let (first_at, first) = ask(&mut source).expect("a peer");
    assert!((11_000..12_000).contains(&first_at.as_ms()), "{first_at:?}");
    assert_eq!(source.ask_at(), None, "one question at a time");
    source.peer_failed();
    let (second_at, second) = ask(&mut source).expect("a peer");
    assert_eq!(second_at.ms_since(first_at), ASK_INTERVAL_MS);
    assert_ne!(first, second, "another peer after a failure");
    source.peer_answered(statement(4, 100), second_at);
    let (_, third) = ask(&mut source).expect("a peer");
    assert_eq!(third, second, "a peer that is confirmed is asked again");
    source.peer_answered(statement(4, 9_000), second_at.after_ms(1_000));
    let (_, fourth) = ask(&mut source).expect("a peer");
    assert_eq!(fourth, first, "a peer that is cut off as well is left");
    source.peer_failed();
    source.store_answered(Some(4), ms(20_000));
    assert!(source.ask_at() > Some(ms(21_999)), "{:?}", source.ask_at());
}

/// Guards against all daemons asking at the same moment.
#[test]
fn daemons_ask_at_different_times() {
    let times = ["a", "b", "c", "d", "e"].map(|name| {
        let mut source = ConfigSource::new(name, ms(0));
        source.set_peers([ConfigPeer {
            name: "p".into(),
            address: ([10, 0, 0, 1], 7_000).into(),
        }]);
        source.store_failed(ms(1_000));
        source.ask_at()
    });
    let mut distinct = times.to_vec();
    distinct.sort();
    distinct.dedup();
    assert!(distinct.len() > 3, "{times:?}");
}

/// Guards against confirmations that prove less than they seem to: the answer of a suspended process or peer, and
/// that of a peer which is cut off itself.
#[test]
fn a_confirmation_counts_from_the_request() {
    let mut source = source();
    assert_eq!(source.confirmation().confirmed_at, Some(ms(10_000)));
    // The process was suspended while the watch waited.
    source.store_answered(None, ms(60_000));
    assert_eq!(source.confirmation().confirmed_at, Some(ms(10_700)));
    source.store_failed(ms(60_100));
    let (asked_at, _) = ask(&mut source).expect("a peer");
    let verdict = source.peer_answered(statement(4, 700), asked_at.after_ms(5_000));
    assert_eq!(verdict, PeerVerdict::Same);
    assert_eq!(
        source.confirmation().confirmed_at,
        Some(ms(asked_at.as_ms() - 700))
    );
    let before = source.confirmation().confirmed_at;
    let statements = [
        statement(4, 50_000),
        statement(3, 0),
        PeerStatement {
            version: 4,
            confirmed_age_ms: None,
        },
        // Older than this process.
        statement(4, 1_000_000),
    ];
    for statement in statements {
        let (asked_at, _) = ask(&mut source).expect("a peer");
        source.peer_answered(statement, asked_at);
        assert_eq!(source.confirmation().confirmed_at, before, "{statement:?}");
    }
}

/// Guards against a version that goes back, and against an older answer of the store that confirms a version
/// which came from a peer.
#[test]
fn versions_never_go_back() {
    let mut source = source();
    source.store_failed(ms(11_000));
    let (asked_at, _) = ask(&mut source).expect("a peer");
    let verdict = source.peer_answered(statement(6, 200), asked_at);
    let confirmed_at = Some(ms(asked_at.as_ms() - 200));
    assert_eq!(verdict, PeerVerdict::Newer(confirmed_at));
    assert!(source.put_in_force(6, confirmed_at));
    for older in [4, 5, 6] {
        assert!(!source.put_in_force(older, None));
    }
    assert_eq!(source.confirmation().confirmed_at, confirmed_at);
    let (asked_at, _) = ask(&mut source).expect("a peer");
    assert_eq!(
        source.peer_answered(statement(5, 0), asked_at),
        PeerVerdict::Older
    );
    source.store_answered(Some(5), ms(15_000));
    assert_eq!(
        source.confirmation().confirmed_at,
        confirmed_at,
        "the store is behind"
    );
    assert!(source.ask_at() < Some(ms(17_000)), "peers are still asked");
    source.store_answered(Some(6), ms(16_000));
    assert_eq!(source.confirmation().confirmed_at, Some(ms(15_000)));
    assert_eq!(source.statement(ms(16_000)), statement(6, 1_000));
}

/// Guards against a daemon that honours withdrawn keys for ever, and against one that refuses calls where
/// availability has precedence.
#[test]
fn only_a_strict_bound_refuses_calls() {
    let bound = |revoke_ms, is_strict| RevocationBound {
        revoke_ms,
        is_strict,
    };
    let confirmed_at = |confirmed_at, now: u64| Confirmation {
        confirmed_at,
        store_event_at: ms(now),
    };
    let refusal = |bound: RevocationBound, confirmed, now| {
        bound.refusal(confirmed_at(confirmed, now), ms(now))
    };
    let (confirmed, strict) = (Some(ms(1_000)), bound(Some(5_000), true));
    assert_eq!(refusal(strict, confirmed, 6_000), None);
    let unconfirmed = Some(KeyRefusal::Unconfirmed);
    assert_eq!(refusal(strict, confirmed, 6_001), unconfirmed);
    assert_eq!(refusal(strict, None, 0), unconfirmed, "never confirmed");
    let lenient = bound(Some(5_000), false);
    assert!(lenient.is_exceeded(confirmed_at(confirmed, 6_001), ms(6_001)));
    assert_eq!(refusal(lenient, confirmed, 6_001), None);
    assert_eq!(refusal(bound(None, false), None, 90_000), None);
}

/// Guards against a withdrawn key that a daemon accepts right after it was suspended, before it has heard of the
/// withdrawal.
#[test]
fn a_suspended_daemon_accepts_keys_after_it_has_heard_of_the_store() {
    let mut source = source();
    let lenient = RevocationBound::default();
    assert_eq!(lenient.refusal(source.confirmation(), ms(13_700)), None);
    let refusal = lenient.refusal(source.confirmation(), ms(60_000));
    assert_eq!(refusal, Some(KeyRefusal::Suspended));
    source.store_failed(ms(60_100));
    assert_eq!(lenient.refusal(source.confirmation(), ms(60_200)), None);
}

/// Guards against a daemon that refuses calls as if it had been suspended, or asks peers for what the store is sending
/// already, while a large configuration arrives over a thin link; and against a part of an answer that confirms a
/// version or hides a suspension.
#[test]
fn an_answer_under_way_shows_that_the_store_is_heard() {
    let mut source = source();
    let lenient = RevocationBound::default();
    for now in (11_000..20_000).step_by(250) {
        source.store_sending(ms(now));
        assert_eq!(lenient.refusal(source.confirmation(), ms(now)), None);
        assert!(source.ask_at() >= Some(ms(now + 2_000)), "{now}");
    }
    assert_eq!(source.confirmation().confirmed_at, Some(ms(10_000)));
    let refusal = lenient.refusal(source.confirmation(), ms(60_000));
    assert_eq!(refusal, Some(KeyRefusal::Suspended));
    source.store_answered(Some(4), ms(60_100));
    assert_eq!(source.confirmation().confirmed_at, Some(ms(10_700)));
    source.store_failed(ms(61_000));
    let (asked_at, _) = ask(&mut source).expect("a peer");
    assert!(asked_at < ms(62_000), "{asked_at:?}");
    source.peer_failed();
    source.store_sending(ms(62_000));
    assert!(source.ask_at() >= Some(ms(64_000)), "the store answers");
}
