//! The claim task. It claims idempotency keys in the platform's store, forwards claimed requests to
//! their dispatchers and sends the outcomes to the callers and peers that wait for them.

use std::time::Duration;

use rosemaryscale_domain::claim::{
    Answer, ClaimAction, Claims, DispatchResult, Holder, IdempotencyKey, Lookup, Nonce, PeerAnswer,
    PeerState, ReadResult, ShardId, SubmitContext, Submitted, Sweep, WriteResult,
};
use rosemaryscale_domain::outcome::NotRunReason;
use rosemaryscale_ports::claim::{ClaimMessage, KeyedSubmission, OutcomeCall, OutcomeReply};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::dispatch::{DispatcherHandle, InvalidRequest, Outcome, Submission};
use rosemaryscale_ports::kv::KeyValue;
use rosemaryscale_ports::member::{MemberRecord, MemberWatch};
use rosemaryscale_ports::peer::Peers;
use rosemaryscale_ports::prelude::*;
use tokio::task::JoinSet;
use uuid::Uuid;

mod outcome;
mod store;

use outcome::{caller_outcome, decode_peer_reply, dispatch_result, peer_reply, request_digest};
use store::ClaimKeys;

/// Interval at which deadlines, disconnected callers and the write budget are checked while
/// requests wait.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for which a stopping daemon waits for pending store calls, such as releases of
/// claims.
const STOP_WAIT_MS: u64 = 2_000;
/// Estimated memory of a waiting request in addition to its body.
const REQUEST_OVERHEAD_BYTES: u64 = 2_048;
/// How long the holder of a claim may wait for the outcome. Below the timeout of a call to a peer.
const PEER_LOOKUP_WAIT_MS: u64 = 500;

/// Dependencies of the claim task.
pub struct ClaimTaskOptions {
    /// Environment that the daemon belongs to.
    pub environment: Arc<str>,
    /// Member record of this daemon.
    pub record: MemberRecord,
    /// The platform's store.
    pub kv: KeyValue,
    /// Calls to the other daemons.
    pub peers: Peers,
    /// The current members.
    pub members: MemberWatch,
    /// Clock of the process.
    pub clock: ClockHandle,
    /// Metrics of the process.
    pub metrics: Metrics,
}

/// A request that waits until its key is claimed.
struct WaitingRequest {
    dispatch: DispatcherHandle,
    submission: Submission,
}

impl WaitingRequest {
    fn size_bytes(&self) -> u64 {
        REQUEST_OVERHEAD_BYTES + self.submission.outbound.body.len() as u64
    }
}

/// Recipient of an outcome.
enum Waiter {
    Caller(oneshot::Sender<Outcome>),
    Peer(oneshot::Sender<OutcomeReply>),
}

/// Result of a background task.
enum Completion {
    Read(ShardId, ReadResult),
    Write(ShardId, WriteResult),
    /// The outcome from the dispatcher; `None` if the request did not reach it.
    Dispatched(ClaimKey, Option<Outcome>),
    /// The reply of the claim's holder; `None` if it did not answer.
    PeerAsked(ClaimKey, Holder, Option<OutcomeReply>),
    /// The end of the range of deleted buckets; `None` if the deletion failed.
    Swept(Option<u64>),
}

/// The claim task.
pub struct ClaimTask {
    options: ClaimTaskOptions,
    keys: ClaimKeys,
    claims: Claims,
    waiting: SecondaryMap<ClaimKey, WaitingRequest>,
    waiting_bytes: u64,
    outcomes: SecondaryMap<ClaimKey, Outcome>,
    waiters: SecondaryMap<WaiterKey, Waiter>,
    tasks: JoinSet<Completion>,
    sweep: Sweep,
    is_sweep_running: bool,
}

impl ClaimTask {
    /// Creates the task.
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
            waiters: SecondaryMap::new(),
            tasks: JoinSet::new(),
            sweep: Sweep::default(),
            is_sweep_running: false,
        }
    }

    /// Serves messages until `stop` resolves and every dispatched request has ended. The caller API
    /// server must stop before this task, and the dispatchers after it.
    pub async fn serve(
        mut self,
        mut messages: mpsc::Receiver<ClaimMessage>,
        mut stop: oneshot::Receiver<()>,
    ) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut stop_deadline = None;
        while !self.is_finished(stop_deadline) {
            tokio::select! {
                Some(message) = messages.recv() => self.handle(message),
                Some(Ok(completion)) = self.tasks.join_next() => self.handle_completion(completion),
                _ = tick.tick(), if self.claims.needs_timer() || stop_deadline.is_some() =>
                    self.remove_disconnected_waiters(),
                _ = sweep.tick() => self.start_sweep(),
                _ = &mut stop, if stop_deadline.is_none() => {
                    stop_deadline = Some(self.options.clock.now().after_ms(STOP_WAIT_MS));
                }
            }
            self.advance();
        }
        messages.close();
        self.tasks.shutdown().await;
    }

    fn is_finished(&self, stop_deadline: Option<Millis>) -> bool {
        let Some(stop_deadline) = stop_deadline else {
            return false;
        };
        let store_done =
            !self.claims.has_pending_store_calls() || self.options.clock.now() >= stop_deadline;
        store_done && !self.claims.has_dispatched()
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
        // The dispatcher replies to a channel of this task, so that the outcome is kept if the
        // caller disconnects.
        let (unused, _) = oneshot::channel();
        let reply = std::mem::replace(&mut submission.reply, unused);
        let Ok(key) = IdempotencyKey::parse(&key) else {
            let _ = reply.send(Outcome::Invalid(InvalidRequest::KeyExpired));
            return;
        };
        let digest = request_digest(&service, &submission.outbound);
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
        match self
            .claims
            .submit(key, digest, new_nonce(), deadline, context)
        {
            Submitted::New { claim, waiter } => {
                self.waiters.insert(waiter, Waiter::Caller(reply));
                let waiting = WaitingRequest {
                    dispatch,
                    submission,
                };
                self.waiting_bytes += waiting.size_bytes();
                self.waiting.insert(claim, waiting);
            }
            Submitted::Joined { waiter } => {
                self.options.metrics.count("claim.joined", 1);
                self.waiters.insert(waiter, Waiter::Caller(reply));
            }
            Submitted::Refused(_) => {
                let _ = reply.send(Outcome::Invalid(InvalidRequest::KeyExpired));
            }
            Submitted::KeyReused => {
                let _ = reply.send(Outcome::Invalid(InvalidRequest::KeyReused));
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
        let lookup = self
            .claims
            .look_up(&call.incarnation, key, Nonce(nonce), until);
        match lookup {
            Lookup::Waiting(waiter) => {
                self.waiters.insert(waiter, Waiter::Peer(reply));
            }
            Lookup::NotRun => {
                let _ = reply.send(OutcomeReply::NotRun);
            }
            Lookup::Lost => {
                let _ = reply.send(OutcomeReply::Lost);
            }
        }
    }

    fn handle_completion(&mut self, completion: Completion) {
        let now = self.options.clock.now();
        match completion {
            Completion::Read(shard, result) => self.claims.read_done(shard, result, now),
            Completion::Write(shard, result) => {
                if result == WriteResult::Conflict {
                    self.options.metrics.count("claim.conflicts", 1);
                }
                self.claims.write_done(shard, result, now);
            }
            Completion::Dispatched(claim, Some(outcome)) => {
                let dispatch_result = dispatch_result(&outcome);
                self.outcomes.insert(claim, outcome);
                self.claims.dispatch_ended(claim, dispatch_result, now);
            }
            Completion::Dispatched(claim, None) => {
                let dispatch_result = DispatchResult::Withdrawn(NotRunReason::Stopping);
                self.claims.dispatch_ended(claim, dispatch_result, now);
            }
            Completion::PeerAsked(claim, holder, reply) => {
                self.handle_peer_reply(claim, &holder, reply, now)
            }
            Completion::Swept(end) => {
                self.is_sweep_running = false;
                if let Some(end) = end {
                    self.sweep.swept(end);
                }
            }
        }
    }

    fn handle_peer_reply(
        &mut self,
        claim: ClaimKey,
        holder: &Holder,
        reply: Option<OutcomeReply>,
        now: Millis,
    ) {
        if !self.claims.is_following(claim) {
            return;
        }
        let answer = match reply.map(decode_peer_reply) {
            None => PeerAnswer::NoReply(self.peer_state(holder)),
            Some((answer, outcome)) => {
                if let Some(outcome) = outcome {
                    self.outcomes.insert(claim, outcome);
                }
                answer
            }
        };
        self.claims.peer_answered(claim, answer, new_nonce(), now);
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

    fn remove_disconnected_waiters(&mut self) {
        let now = self.options.clock.now();
        let is_disconnected = |waiter: &Waiter| match waiter {
            Waiter::Caller(reply) => reply.is_closed(),
            Waiter::Peer(reply) => reply.is_closed(),
        };
        let disconnected: Vec<WaiterKey> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| is_disconnected(waiter))
            .map(|(waiter, _)| waiter)
            .collect();
        for waiter in disconnected {
            self.waiters.remove(waiter);
            self.claims.waiter_disconnected(waiter, now);
        }
    }

    fn advance(&mut self) {
        let now = self.options.clock.now();
        let view = self.options.members.borrow().clone();
        let live = view.members.values().filter(|member| member.heartbeat);
        let live = live.count() as u64;
        for action in self.claims.advance(now, live) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: ClaimAction) {
        match action {
            ClaimAction::Read { shard } => {
                self.options.metrics.count("claim.reads", 1);
                let read = store::read(self.options.kv.clone(), self.keys.key(shard), shard);
                self.tasks.spawn(read);
            }
            ClaimAction::Write {
                shard,
                revision,
                value,
            } => {
                self.options.metrics.count("claim.writes", 1);
                let change = store::compare_and_swap(self.keys.key(shard), revision, value);
                let write = store::write(self.options.kv.clone(), change, shard);
                self.tasks.spawn(write);
            }
            ClaimAction::Dispatch { claim, deadline } => {
                if let Some(waiting) = self.take_waiting(claim) {
                    let clock = ClockHandle::clone(&self.options.clock);
                    let forward = outcome::forward(claim, waiting, deadline, clock);
                    self.tasks.spawn(forward);
                }
            }
            ClaimAction::AskPeer {
                claim,
                holder,
                key,
                nonce,
            } => self.ask_holder(claim, holder, key, nonce),
            ClaimAction::Answer { waiter, answer } => self.send_answer(waiter, answer),
            ClaimAction::DropRequest { claim } => {
                self.take_waiting(claim);
            }
            ClaimAction::Drop { claim } => {
                self.take_waiting(claim);
                self.outcomes.remove(claim);
            }
        }
    }

    fn take_waiting(&mut self, claim: ClaimKey) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(claim)?;
        self.waiting_bytes -= waiting.size_bytes();
        Some(waiting)
    }

    fn ask_holder(&mut self, claim: ClaimKey, holder: Holder, key: IdempotencyKey, nonce: Nonce) {
        let call = OutcomeCall {
            incarnation: Arc::clone(&holder.incarnation),
            key: to_hex(key.bits()),
            nonce: to_hex(nonce.0),
            wait_ms: PEER_LOOKUP_WAIT_MS,
        };
        let is_own_name = holder.daemon == self.options.record.name;
        let peers = self.options.peers.clone();
        self.tasks.spawn(async move {
            // An earlier process of this daemon no longer exists and has lost its outcomes.
            let reply = if is_own_name {
                Some(OutcomeReply::Lost)
            } else {
                outcome::ask_holder(&peers, &holder, call).await
            };
            Completion::PeerAsked(claim, holder, reply)
        });
    }

    fn send_answer(&mut self, waiter: WaiterKey, answer: Answer) {
        if matches!(answer, Answer::Unknown(_)) {
            self.options.metrics.count("claim.unknown", 1);
        }
        match self.waiters.remove(waiter) {
            Some(Waiter::Caller(reply)) => {
                let _ = reply.send(caller_outcome(answer, &self.outcomes));
            }
            Some(Waiter::Peer(reply)) => {
                let _ = reply.send(peer_reply(answer, &self.outcomes));
            }
            None => {}
        }
    }

    /// Deletes expired buckets if this daemon is the first live member by name. Only that member
    /// deletes them.
    fn start_sweep(&mut self) {
        let first = self.options.members.borrow().live().into_iter().next();
        if self.is_sweep_running || first.as_ref() != Some(&self.options.record.name) {
            return;
        }
        if let Some(buckets) = self.sweep.due(self.options.clock.wall()) {
            self.is_sweep_running = true;
            let transaction = self.keys.deletion(buckets.clone());
            let sweep = store::sweep(self.options.kv.clone(), transaction, buckets.end);
            self.tasks.spawn(sweep);
        }
    }
}

fn new_nonce() -> Nonce {
    Nonce(Uuid::new_v4().as_u128())
}

fn to_hex(bits: u128) -> Arc<str> {
    format!("{bits:032x}").into()
}

fn from_hex(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok()
}
