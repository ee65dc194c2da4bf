//! Simulation of several daemons with their dispatchers, the store and the network between them.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::Request;
use rosemaryscale_domain::claim::{
    BodyDigest, ClaimAction, Claims, DispatchResult, Holder, IdempotencyKey, Nonce, PeerAnswer,
    ReadResult, ShardId, SubmitContext, Submitted, WriteResult,
};
use rosemaryscale_domain::outcome::{NotRun, NotRunReason};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::{ClassIndex, Refusal, RequestInfo};

mod network;

pub(crate) const DAEMONS: usize = 3;
const WALL_MS: u64 = 1_800_000_000_000;
const CALL_TIMEOUT_MS: u64 = 1_500;
const PEER_TIMEOUT_MS: u64 = 1_000;
const TICK_MS: u64 = 10;

/// Identifies a process by the index of its daemon and the number of restarts of that daemon.
type ProcessId = (usize, u32);

#[derive(Clone, Debug)]
enum Event {
    StoreRead(ProcessId, ShardId),
    StoreWrite(ProcessId, ShardId, u64, Vec<u8>, bool),
    ReadDone(ProcessId, ShardId, ReadResult),
    WriteDone(ProcessId, ShardId, WriteResult),
    Run(ProcessId, ClaimKey, Millis),
    Ended(ProcessId, ClaimKey, DispatchResult),
    LookUp(ProcessId, usize, PeerQuery),
    PeerAnswered(ProcessId, ClaimKey, PeerAnswer, Option<Outcome>),
    CallerDisconnected(ProcessId, WaiterKey),
}

/// A peer's query for the outcome of a claim.
#[derive(Clone, Debug)]
struct PeerQuery {
    claim: ClaimKey,
    holder: Holder,
    key: IdempotencyKey,
    nonce: Nonce,
}

/// The key and body for which the upstream returned an outcome.
type Outcome = (IdempotencyKey, BodyDigest);

#[derive(Clone, Copy, Debug)]
struct Submission {
    key: IdempotencyKey,
    digest: BodyDigest,
    claim: Option<ClaimKey>,
}

struct Daemon {
    claims: Claims,
    incarnation: u32,
    alive: bool,
    suspended: bool,
    /// Events that arrived while the process was suspended.
    deferred_events: Vec<Event>,
    payloads: BTreeMap<ClaimKey, (IdempotencyKey, BodyDigest)>,
    outcomes: BTreeMap<ClaimKey, Outcome>,
    callers: BTreeMap<WaiterKey, Submission>,
    peers: BTreeMap<WaiterKey, (ProcessId, ClaimKey)>,
    writes: u64,
}

pub(crate) struct World {
    now: Millis,
    rng: StdRng,
    daemons: Vec<Daemon>,
    store: BTreeMap<ShardId, (u64, Vec<u8>)>,
    revision: u64,
    pub(crate) store_down: bool,
    pub(crate) store_delay_ms: u64,
    pub(crate) lose_replies: u32,
    pub(crate) refuse_ppm: u32,
    events: BTreeMap<(Millis, u64), Event>,
    sequence: u64,
    runs: BTreeMap<IdempotencyKey, u32>,
    bodies: BTreeMap<IdempotencyKey, BTreeSet<u128>>,
    not_run: BTreeSet<(ProcessId, ClaimKey)>,
    ran: BTreeSet<(ProcessId, ClaimKey)>,
    pub(crate) answered: u64,
    pub(crate) outcomes: u64,
}

fn holder(index: usize, incarnation: u32) -> Holder {
    Holder {
        daemon: format!("entry-{index}").into(),
        incarnation: format!("{index}/{incarnation}").into(),
    }
}

fn daemon(index: usize, incarnation: u32) -> Daemon {
    Daemon {
        claims: Claims::new(holder(index, incarnation)),
        incarnation,
        alive: true,
        suspended: false,
        deferred_events: Vec::new(),
        payloads: BTreeMap::new(),
        outcomes: BTreeMap::new(),
        callers: BTreeMap::new(),
        peers: BTreeMap::new(),
        writes: 0,
    }
}

/// Returns a key created `age_ms` before the start of the simulation.
pub(crate) fn key(number: u8, age_ms: u64) -> IdempotencyKey {
    let time = u128::from(WALL_MS - age_ms);
    IdempotencyKey::from_bits(time << 80 | 7 << 76 | 0b10 << 62 | u128::from(number))
}

/// Returns the proof that a dispatcher refused a request without running it.
pub(crate) fn not_run_proof(reason: NotRunReason) -> NotRun {
    let info = RequestInfo {
        caller: CallerKey::default(),
        class: ClassIndex(0),
        arrived: Millis::ZERO,
        deadline: Millis::MAX,
        repeatable: false,
        keyed: true,
    };
    match Request::new(info).refuse(reason) {
        Refusal::NotRun(proof) => proof,
        Refusal::Unknown(_) => unreachable!("a queued request has not run"),
    }
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: Millis::from_ms(1_000),
            rng: StdRng::seed_from_u64(seed),
            daemons: (0..DAEMONS).map(|index| daemon(index, 0)).collect(),
            store: BTreeMap::new(),
            revision: 0,
            store_down: false,
            store_delay_ms: 2,
            lose_replies: 0,
            refuse_ppm: 0,
            events: BTreeMap::new(),
            sequence: 0,
            runs: BTreeMap::new(),
            bodies: BTreeMap::new(),
            not_run: BTreeSet::new(),
            ran: BTreeSet::new(),
            answered: 0,
            outcomes: 0,
        }
    }

    pub(crate) fn submit(
        &mut self,
        index: usize,
        number: u8,
        body: u8,
        wait_ms: u64,
        disconnect_after_ms: u64,
    ) {
        let (now, key) = (self.now, key(number, 0));
        let (digest, nonce) = (BodyDigest(body.into()), Nonce(self.rng.random()));
        let daemon = &mut self.daemons[index];
        if !daemon.alive || daemon.suspended {
            return;
        }
        self.bodies.entry(key).or_default().insert(digest.0);
        let context = SubmitContext {
            now,
            wall: Millis::from_ms(WALL_MS + now.as_ms()),
            waiting_bytes: 0,
        };
        let deadline = now.after_ms(wait_ms);
        let (waiter, claim) = match daemon.claims.submit(key, digest, nonce, deadline, context) {
            Submitted::New { claim, waiter } => (waiter, Some(claim)),
            Submitted::Joined { waiter } => (waiter, None),
            Submitted::KeyReused => {
                assert!(
                    self.bodies[&key].len() > 1,
                    "key reported as reused with a single body"
                );
                return;
            }
            refused @ (Submitted::Refused(_) | Submitted::MemoryLimitReached(_)) => {
                panic!("{refused:?}")
            }
        };
        let submission = Submission { key, digest, claim };
        daemon.callers.insert(waiter, submission);
        if let Some(claim) = claim {
            daemon.payloads.insert(claim, (key, digest));
        }
        if disconnect_after_ms > 0 {
            let process = (index, daemon.incarnation);
            self.schedule(
                disconnect_after_ms,
                Event::CallerDisconnected(process, waiter),
            );
        }
        self.advance_daemon(index);
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.daemons[index].alive = false;
    }

    pub(crate) fn restart(&mut self, index: usize) {
        if !self.daemons[index].alive {
            self.daemons[index] = daemon(index, self.daemons[index].incarnation + 1);
        }
    }

    pub(crate) fn suspend(&mut self, index: usize) {
        self.daemons[index].suspended = true;
    }

    pub(crate) fn resume(&mut self, index: usize) {
        self.daemons[index].suspended = false;
        for event in std::mem::take(&mut self.daemons[index].deferred_events) {
            self.schedule(0, event);
        }
    }

    /// Advances time and processes the events that become due.
    pub(crate) fn advance_time(&mut self, ms: u64) {
        let end = self.now.after_ms(ms);
        while self.now < end {
            let next_tick = self.now.after_ms(TICK_MS);
            while let Some((at, _)) = self.events.keys().next().copied()
                && at <= next_tick
            {
                let (_, event) = self.events.pop_first().expect("the queue is not empty");
                self.now = self.now.max(at);
                self.handle_event(event);
            }
            self.now = next_tick;
            for index in 0..DAEMONS {
                self.advance_daemon(index);
            }
        }
    }

    /// Returns the number of unanswered requests at live daemons.
    pub(crate) fn unanswered(&self) -> usize {
        let alive = self.daemons.iter().filter(|daemon| daemon.alive);
        alive.map(|daemon| daemon.callers.len()).sum()
    }

    pub(crate) fn writes(&self) -> u64 {
        self.daemons.iter().map(|daemon| daemon.writes).sum()
    }

    pub(crate) fn runs(&self, number: u8) -> u32 {
        self.runs.get(&key(number, 0)).copied().unwrap_or(0)
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        self.sequence += 1;
        let at = (self.now.after_ms(ms), self.sequence);
        self.events.insert(at, event);
    }

    fn is_running(&self, (index, incarnation): ProcessId) -> bool {
        self.daemons[index].alive && self.daemons[index].incarnation == incarnation
    }

    /// Returns whether the process can receive the event. If it is suspended, the event is
    /// deferred.
    fn can_receive(&mut self, process: ProcessId, event: &Event) -> bool {
        if !self.is_running(process) {
            return false;
        }
        let daemon = &mut self.daemons[process.0];
        if daemon.suspended {
            daemon.deferred_events.push(event.clone());
        }
        !daemon.suspended
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event.clone() {
            Event::StoreRead(process, shard) => self.store_read(process, shard),
            Event::StoreWrite(process, shard, revision, value, lost) => {
                self.store_write(process, shard, revision, value, lost);
            }
            Event::ReadDone(process, shard, result) => {
                if self.can_receive(process, &event) {
                    self.daemons[process.0].claims.read_done(shard, result, now);
                }
            }
            Event::WriteDone(process, shard, result) => {
                if self.can_receive(process, &event) {
                    let claims = &mut self.daemons[process.0].claims;
                    claims.write_done(shard, result, now);
                }
            }
            Event::Run(process, claim, deadline) => {
                if self.can_receive(process, &event) {
                    self.run(process, claim, deadline);
                }
            }
            Event::Ended(process, claim, dispatch_result) => {
                if self.can_receive(process, &event) {
                    self.dispatch_ended(process, claim, dispatch_result);
                }
            }
            Event::LookUp(asker, index, query) => {
                let process = (index, self.daemons[index].incarnation);
                if self.can_receive(process, &event) {
                    self.look_up(asker, index, &query);
                }
            }
            Event::PeerAnswered(process, claim, answer, outcome) => {
                if self.can_receive(process, &event) {
                    self.peer_answered(process, claim, answer, outcome);
                }
            }
            Event::CallerDisconnected(process, waiter) => {
                if self.can_receive(process, &event) {
                    let daemon = &mut self.daemons[process.0];
                    daemon.callers.remove(&waiter);
                    daemon.claims.waiter_disconnected(waiter, now);
                }
            }
        }
        for index in 0..DAEMONS {
            self.advance_daemon(index);
        }
    }

    fn advance_daemon(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if !daemon.alive || daemon.suspended {
            return;
        }
        let process = (index, daemon.incarnation);
        for action in daemon.claims.advance(self.now, DAEMONS as u64) {
            self.perform(process, action);
        }
    }

    fn perform(&mut self, process: ProcessId, action: ClaimAction) {
        let (index, _) = process;
        let jitter = self.rng.random_range(0..=self.store_delay_ms);
        match action {
            ClaimAction::Read { shard } => self.schedule(jitter, Event::StoreRead(process, shard)),
            ClaimAction::Write {
                shard,
                revision,
                value,
            } => {
                self.daemons[index].writes += 1;
                let lost = self.lose_replies > 0;
                self.lose_replies = self.lose_replies.saturating_sub(1);
                let event = Event::StoreWrite(process, shard, revision, value, lost);
                self.schedule(jitter, event);
            }
            ClaimAction::Dispatch { claim, deadline } => {
                let queued_ms = self.rng.random_range(0..400);
                self.schedule(queued_ms, Event::Run(process, claim, deadline));
            }
            ClaimAction::AskPeer {
                claim,
                holder,
                key,
                nonce,
            } => {
                let query = PeerQuery {
                    claim,
                    holder,
                    key,
                    nonce,
                };
                self.ask_peer(process, query);
            }
            ClaimAction::Answer { waiter, answer } => self.answer(process, waiter, answer),
            ClaimAction::DropRequest { claim } => {
                self.daemons[index].payloads.remove(&claim);
            }
            ClaimAction::Drop { claim } => {
                self.daemons[index].payloads.remove(&claim);
                self.daemons[index].outcomes.remove(&claim);
            }
        }
    }
}
