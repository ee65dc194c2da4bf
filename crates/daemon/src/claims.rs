//! The claim task: claims idempotency keys in the platform, hands claimed requests to their
//! dispatchers, and answers everyone who waits for an outcome.

use std::time::Duration;

use rosemaryscale_domain::claim::{
    Answer, ClaimAction, Claims, DispatchResult, Holder, IdempotencyKey, Lookup, Nonce, PeerAnswer,
    PeerState, ReadResult, ShardId, SubmitContext, Submitted, Sweep, WriteResult,
};
use rosemaryscale_domain::outcome::NotRunReason;
use rosemaryscale_ports::claim::{ClaimMessage, KeyedSubmission, OutcomeCall, OutcomeReply};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::dispatch::{Dispatch, Invalid, Outcome, Submission};
use rosemaryscale_ports::kv::KeyValue;
use rosemaryscale_ports::member::{MemberRecord, MemberWatch};
use rosemaryscale_ports::peer::Peers;
use rosemaryscale_ports::prelude::*;
use tokio::task::JoinSet;
use uuid::Uuid;

mod outcome;
mod store;

use outcome::{digest, dispatch_result, from_peer, to_caller, to_peer};
use store::ClaimKeys;

/// Deadlines, callers that went away and the write budget are looked at this often while requests
/// wait.
const TICK: Duration = Duration::from_millis(10);
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait of a stopping daemon for releases that the store does not take.
const STOP_WAIT_MS: u64 = 2_000;
/// Memory of a waiting request besides its body.
const REQUEST_BYTES: u64 = 2_048;
/// Below the time-out of a call to a peer.
const LOOK_UP_WAIT_MS: u64 = 500;

/// What the claim task needs.
pub struct ClaimTaskOptions {
    /// Environment of the daemon.
    pub environment: Arc<str>,
    /// This daemon.
    pub record: MemberRecord,
    /// The platform's store.
    pub kv: KeyValue,
    /// The other daemons.
    pub peers: Peers,
    /// The members as last seen.
    pub members: MemberWatch,
    /// Clock of the process.
    pub clock: ClockHandle,
    /// Counters.
    pub metrics: Metrics,
}

/// A request that waits for its claim.
struct Waiting {
    dispatch: Dispatch,
    submission: Submission,
}

impl Waiting {
    fn size_bytes(&self) -> u64 {
        REQUEST_BYTES + self.submission.outbound.body.len() as u64
    }
}

/// Who is told an outcome.
enum Asker {
    Caller(oneshot::Sender<Outcome>),
    Peer(oneshot::Sender<OutcomeReply>),
}

/// End of a piece of work that the task started.
enum Done {
    Read(ShardId, ReadResult),
    Write(ShardId, WriteResult),
    /// The outcome of the dispatcher; none if the request did not reach it.
    Dispatched(ClaimKey, Option<Outcome>),
    /// The reply of a peer; none if it did not answer.
    Asked(ClaimKey, Holder, Option<OutcomeReply>),
    /// The end of the buckets that were deleted; none if the store did not answer.
    Swept(Option<u64>),
}

/// State of the claim task.
pub struct ClaimTask {
    options: ClaimTaskOptions,
    keys: ClaimKeys,
    claims: Claims,
    waiting: SecondaryMap<ClaimKey, Waiting>,
    waiting_bytes: u64,
    outcomes: SecondaryMap<ClaimKey, Outcome>,
    askers: SecondaryMap<WaiterKey, Asker>,
    work: JoinSet<Done>,
    sweep: Sweep,
    sweeping: bool,
}

impl ClaimTask {
    /// Makes the task's state.
    #[must_use]
    pub fn new(options: ClaimTaskOptions) -> Self {
        let holder = Holder {
            daemon: Arc::clone(&options.record.name),
            incarnation: Arc::clone(&options.record.incarnation),
        };
        Self {
            keys: ClaimKeys::new(&options.environment),
            claims: Claims::new(holder),
            options,
            waiting: SecondaryMap::new(),
            waiting_bytes: 0,
            outcomes: SecondaryMap::new(),
            askers: SecondaryMap::new(),
            work: JoinSet::new(),
            sweep: Sweep::default(),
            sweeping: false,
        }
    }

    /// Serves messages until `stop` resolves and every dispatched request has ended. The caller
    /// server must have ended before and the dispatchers must end after.
    pub async fn serve(
        mut self,
        mut messages: mpsc::Receiver<ClaimMessage>,
        mut stop: oneshot::Receiver<()>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut stop_by = None;
        while !self.has_ended(stop_by) {
            tokio::select! {
                Some(message) = messages.recv() => self.handle(message),
                Some(Ok(done)) = self.work.join_next() => self.finish(done),
                _ = tick.tick(), if self.claims.needs_timer() || stop_by.is_some() => self.drop_gone(),
                _ = sweep.tick() => self.start_sweep(),
                _ = &mut stop, if stop_by.is_none() => {
                    stop_by = Some(self.options.clock.now().after_ms(STOP_WAIT_MS));
                }
            }
            self.advance();
        }
        messages.close();
        self.work.shutdown().await;
    }

    fn has_ended(&self, stop_by: Option<Millis>) -> bool {
        let Some(stop_by) = stop_by else {
            return false;
        };
        let stored = !self.claims.has_pending_store_calls() || self.options.clock.now() >= stop_by;
        stored && !self.claims.has_dispatched()
    }

    fn handle(&mut self, message: ClaimMessage) {
        match message {
            ClaimMessage::Submit(keyed) => self.submit(*keyed),
            ClaimMessage::LookUp { call, reply } => self.look_up(&call, reply),
        }
    }

    fn submit(&mut self, keyed: KeyedSubmission) {
        self.options.metrics.count("claim.submitted", 1);
        let KeyedSubmission {
            service,
            dispatch,
            key,
            mut submission,
        } = keyed;
        // The task waits for the dispatcher on a channel of its own, so that the outcome is kept
        // when the caller goes away.
        let (unused, _) = oneshot::channel();
        let reply = std::mem::replace(&mut submission.reply, unused);
        let Ok(key) = IdempotencyKey::parse(&key) else {
            let _ = reply.send(Outcome::Invalid(Invalid::KeyExpired));
            return;
        };
        let digest = digest(&service, &submission.outbound);
        let now = self.options.clock.now();
        let wait_ms = submission
            .deadline_ms
            .unwrap_or(dispatch.default_deadline_ms)
            .min(dispatch.request_limit_ms);
        let context = SubmitContext {
            now,
            wall: self.options.clock.wall(),
            waiting_bytes: self.waiting_bytes,
        };
        let deadline = now.after_ms(wait_ms);
        match self.claims.submit(key, digest, nonce(), deadline, context) {
            Submitted::New { claim, waiter } => {
                self.askers.insert(waiter, Asker::Caller(reply));
                let waiting = Waiting {
                    dispatch,
                    submission,
                };
                self.waiting_bytes += waiting.size_bytes();
                self.waiting.insert(claim, waiting);
            }
            Submitted::Joined { waiter } => {
                self.options.metrics.count("claim.joined", 1);
                self.askers.insert(waiter, Asker::Caller(reply));
            }
            Submitted::Refused(_) => {
                let _ = reply.send(Outcome::Invalid(Invalid::KeyExpired));
            }
            Submitted::KeyReused => {
                let _ = reply.send(Outcome::Invalid(Invalid::KeyReused));
            }
            Submitted::MemoryLimitReached(proof) => {
                let _ = reply.send(Outcome::NotRun(proof));
            }
        }
    }

    fn look_up(&mut self, call: &OutcomeCall, reply: oneshot::Sender<OutcomeReply>) {
        self.options.metrics.count("claim.lookups", 1);
        let (Some(key), Some(nonce)) = (from_hex(&call.key), from_hex(&call.nonce)) else {
            let _ = reply.send(OutcomeReply::Lost);
            return;
        };
        let until = self.options.clock.now().after_ms(call.wait_ms);
        let key = IdempotencyKey::from_bits(key);
        let found = self
            .claims
            .look_up(&call.incarnation, key, Nonce(nonce), until);
        match found {
            Lookup::Waiting(waiter) => {
                self.askers.insert(waiter, Asker::Peer(reply));
            }
            Lookup::NotRun => {
                let _ = reply.send(OutcomeReply::NotRun);
            }
            Lookup::Lost => {
                let _ = reply.send(OutcomeReply::Lost);
            }
        }
    }

    fn finish(&mut self, done: Done) {
        let now = self.options.clock.now();
        match done {
            Done::Read(shard, result) => self.claims.read_done(shard, result, now),
            Done::Write(shard, result) => {
                if result == WriteResult::Conflict {
                    self.options.metrics.count("claim.conflicts", 1);
                }
                self.claims.write_done(shard, result, now);
            }
            Done::Dispatched(claim, Some(outcome)) => {
                let dispatch_result = dispatch_result(&outcome);
                self.outcomes.insert(claim, outcome);
                self.claims.dispatch_ended(claim, dispatch_result, now);
            }
            Done::Dispatched(claim, None) => {
                let dispatch_result = DispatchResult::Withdrawn(NotRunReason::Stopping);
                self.claims.dispatch_ended(claim, dispatch_result, now);
            }
            Done::Asked(claim, holder, reply) => self.peer_replied(claim, &holder, reply, now),
            Done::Swept(end) => {
                self.sweeping = false;
                if let Some(end) = end {
                    self.sweep.swept(end);
                }
            }
        }
    }

    fn peer_replied(
        &mut self,
        claim: ClaimKey,
        holder: &Holder,
        reply: Option<OutcomeReply>,
        now: Millis,
    ) {
        if !self.claims.is_following(claim) {
            return;
        }
        let answer = match reply.map(from_peer) {
            None => PeerAnswer::NoReply(self.peer_state(holder)),
            Some((answer, outcome)) => {
                if let Some(outcome) = outcome {
                    self.outcomes.insert(claim, outcome);
                }
                answer
            }
        };
        self.claims.peer_answered(claim, answer, nonce(), now);
    }

    fn peer_state(&self, holder: &Holder) -> PeerState {
        let view = self.options.members.borrow();
        match view.members.get(&holder.daemon) {
            Some(member) if member.heartbeat && member.record.incarnation == holder.incarnation => {
                PeerState::Live
            }
            _ => PeerState::Gone,
        }
    }

    fn drop_gone(&mut self) {
        let now = self.options.clock.now();
        let gone = |asker: &Asker| match asker {
            Asker::Caller(reply) => reply.is_closed(),
            Asker::Peer(reply) => reply.is_closed(),
        };
        let gone: Vec<WaiterKey> = self
            .askers
            .iter()
            .filter(|(_, asker)| gone(asker))
            .map(|(waiter, _)| waiter)
            .collect();
        for waiter in gone {
            self.askers.remove(waiter);
            self.claims.waiter_disconnected(waiter, now);
        }
    }

    fn advance(&mut self) {
        let now = self.options.clock.now();
        let view = self.options.members.borrow().clone();
        let live = view.members.values().filter(|member| member.heartbeat);
        let live = live.count() as u64;
        for action in self.claims.advance(now, live) {
            self.act(action);
        }
    }

    fn act(&mut self, action: ClaimAction) {
        match action {
            ClaimAction::Read { shard } => {
                self.options.metrics.count("claim.reads", 1);
                let read = store::read(self.options.kv.clone(), self.keys.key(shard), shard);
                self.work.spawn(read);
            }
            ClaimAction::Write {
                shard,
                revision,
                value,
            } => {
                self.options.metrics.count("claim.writes", 1);
                let change = store::change(self.keys.key(shard), revision, value);
                let write = store::write(self.options.kv.clone(), change, shard);
                self.work.spawn(write);
            }
            ClaimAction::Dispatch { claim, deadline } => {
                if let Some(waiting) = self.take_waiting(claim) {
                    let clock = ClockHandle::clone(&self.options.clock);
                    let forward = outcome::forward(claim, waiting, deadline, clock);
                    self.work.spawn(forward);
                }
            }
            ClaimAction::AskPeer {
                claim,
                holder,
                key,
                nonce,
            } => self.ask(claim, holder, key, nonce),
            ClaimAction::Answer { waiter, answer } => self.answer(waiter, answer),
            ClaimAction::DropRequest { claim } => {
                self.take_waiting(claim);
            }
            ClaimAction::Drop { claim } => {
                self.take_waiting(claim);
                self.outcomes.remove(claim);
            }
        }
    }

    fn take_waiting(&mut self, claim: ClaimKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(claim)?;
        self.waiting_bytes -= waiting.size_bytes();
        Some(waiting)
    }

    fn ask(&mut self, claim: ClaimKey, holder: Holder, key: IdempotencyKey, nonce: Nonce) {
        let call = OutcomeCall {
            incarnation: Arc::clone(&holder.incarnation),
            key: to_hex(key.bits()),
            nonce: to_hex(nonce.0),
            wait_ms: LOOK_UP_WAIT_MS,
        };
        let own_name = holder.daemon == self.options.record.name;
        let peers = self.options.peers.clone();
        self.work.spawn(async move {
            // An earlier process of this daemon cannot be asked.
            let reply = if own_name {
                Some(OutcomeReply::Lost)
            } else {
                outcome::ask(&peers, &holder, call).await
            };
            Done::Asked(claim, holder, reply)
        });
    }

    fn answer(&mut self, waiter: WaiterKey, answer: Answer) {
        if matches!(answer, Answer::Unknown(_)) {
            self.options.metrics.count("claim.unknown", 1);
        }
        match self.askers.remove(waiter) {
            Some(Asker::Caller(reply)) => {
                let _ = reply.send(to_caller(answer, &self.outcomes));
            }
            Some(Asker::Peer(reply)) => {
                let _ = reply.send(to_peer(answer, &self.outcomes));
            }
            None => {}
        }
    }

    /// One member deletes expired buckets for all: the first by name of those with a heartbeat.
    fn start_sweep(&mut self) {
        let first = self.options.members.borrow().live().into_iter().next();
        if self.sweeping || first.as_ref() != Some(&self.options.record.name) {
            return;
        }
        if let Some(buckets) = self.sweep.due(self.options.clock.wall()) {
            self.sweeping = true;
            let transaction = self.keys.deletion(buckets.clone());
            let sweep = store::sweep(self.options.kv.clone(), transaction, buckets.end);
            self.work.spawn(sweep);
        }
    }
}

fn nonce() -> Nonce {
    Nonce(Uuid::new_v4().as_u128())
}

fn to_hex(bits: u128) -> Arc<str> {
    format!("{bits:032x}").into()
}

fn from_hex(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok()
}
