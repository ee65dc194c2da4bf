//! Store, dispatchers and peers of the simulation.

use rand::Rng;
use rosemaryscale_domain::claim::{
    Answer, DispatchResult, Lookup, Nonce, PeerAnswer, PeerState, ReadResult, ShardId, ShardValue,
    WriteResult,
};
use rosemaryscale_domain::outcome::{NotRunReason, OutcomeUnknown, UnknownReason};
use rosemaryscale_domain::prelude::*;

use super::{
    CALL_TIMEOUT_MS, Event, Outcome, PEER_TIMEOUT_MS, PeerQuery, ProcessId, Submission, World,
    not_run_proof,
};

impl World {
    pub(super) fn store_read(&mut self, process: ProcessId, shard: ShardId) {
        let result = if self.store_down {
            ReadResult::Failed
        } else {
            match self.store.get(&shard) {
                None => ReadResult::Absent,
                Some((revision, value)) => {
                    ReadResult::Found(*revision, ShardValue::decode(value).expect("a value"))
                }
            }
        };
        let back_ms = self.rng.random_range(0..=self.store_delay_ms);
        self.schedule(back_ms, Event::ReadDone(process, shard, result));
    }

    /// Performs a write. The caller of a delayed or lost write times out, and the write may take
    /// effect later.
    pub(super) fn store_write(
        &mut self,
        process: ProcessId,
        shard: ShardId,
        revision: u64,
        value: Vec<u8>,
        lost: bool,
    ) {
        if self.store_down {
            let result = WriteResult::Failed;
            self.schedule(0, Event::WriteDone(process, shard, result));
            return;
        }
        if lost && self.rng.random_bool(0.3) {
            // The write is still in flight when its caller times out.
            let late_ms = CALL_TIMEOUT_MS + self.rng.random_range(0..3_000);
            self.schedule(
                late_ms,
                Event::StoreWrite((process.0, u32::MAX), shard, revision, value, true),
            );
            let result = WriteResult::Unknown;
            self.schedule(CALL_TIMEOUT_MS, Event::WriteDone(process, shard, result));
            return;
        }
        let found = self.store.get(&shard).map_or(0, |(revision, _)| *revision);
        let mut result = WriteResult::Conflict;
        if found == revision {
            self.revision += 1;
            self.store.insert(shard, (self.revision, value));
            result = WriteResult::Written(self.revision);
        }
        if lost {
            result = WriteResult::Unknown;
        }
        let back_ms = self.rng.random_range(0..=self.store_delay_ms);
        self.schedule(back_ms, Event::WriteDone(process, shard, result));
    }

    pub(super) fn run(&mut self, process: ProcessId, claim: ClaimKey, deadline: Millis) {
        let (key, digest) = self.daemons[process.0].payloads[&claim];
        let refused_now = self.rng.random_ratio(self.refuse_ppm, 1_000_000);
        if refused_now || self.now >= deadline {
            assert!(
                !self.runs.contains_key(&key),
                "reported as not run, but the key was run"
            );
            let dispatch_result = if self.rng.random_bool(0.8) {
                DispatchResult::NotRun(not_run_proof(NotRunReason::QueueFull))
            } else {
                DispatchResult::Withdrawn(NotRunReason::Stopping)
            };
            return self.schedule(1, Event::Ended(process, claim, dispatch_result));
        }
        let runs = self.runs.entry(key).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "{key:?} ran twice");
        assert!(
            !self.not_run.contains(&(process, claim)),
            "reported as not run, but was run"
        );
        self.ran.insert((process, claim));
        self.daemons[process.0]
            .outcomes
            .insert(claim, (key, digest));
        let dispatch_result = if self.rng.random_bool(0.1) {
            let reason = UnknownReason::ConnectionLost;
            DispatchResult::Unknown(OutcomeUnknown { reason })
        } else {
            DispatchResult::Ran { bytes: 1 << 20 }
        };
        let run_ms = self.rng.random_range(0..1_500);
        self.schedule(run_ms, Event::Ended(process, claim, dispatch_result));
    }

    pub(super) fn dispatch_ended(
        &mut self,
        process: ProcessId,
        claim: ClaimKey,
        dispatch_result: DispatchResult,
    ) {
        let now = self.now;
        self.daemons[process.0]
            .claims
            .dispatch_ended(claim, dispatch_result, now);
    }

    pub(super) fn ask_peer(&mut self, process: ProcessId, query: PeerQuery) {
        let index: usize = query.holder.daemon["entry-".len()..]
            .parse()
            .expect("a number");
        let target = &self.daemons[index];
        if !target.alive || target.suspended {
            let live = target.alive || self.rng.random_bool(0.5);
            let state = if live {
                PeerState::Live
            } else {
                PeerState::Gone
            };
            let answer = PeerAnswer::NoReply(state);
            self.schedule(
                PEER_TIMEOUT_MS,
                Event::PeerAnswered(process, query.claim, answer, None),
            );
        } else {
            self.schedule(1, Event::LookUp(process, index, query));
        }
    }

    pub(super) fn look_up(&mut self, querying_process: ProcessId, index: usize, query: &PeerQuery) {
        let PeerQuery {
            claim, key, nonce, ..
        } = *query;
        let incarnation = &query.holder.incarnation;
        let until = self.now.after_ms(500);
        let daemon = &mut self.daemons[index];
        match daemon.claims.look_up(incarnation, key, nonce, until) {
            Lookup::Waiting(waiter) => {
                daemon.peers.insert(waiter, (querying_process, claim));
            }
            Lookup::NotRun => {
                self.schedule(
                    1,
                    Event::PeerAnswered(querying_process, claim, PeerAnswer::NotRun, None),
                );
            }
            Lookup::Lost => {
                self.schedule(
                    1,
                    Event::PeerAnswered(querying_process, claim, PeerAnswer::Lost, None),
                );
            }
        }
    }

    pub(super) fn peer_answered(
        &mut self,
        process: ProcessId,
        claim: ClaimKey,
        answer: PeerAnswer,
        outcome: Option<Outcome>,
    ) {
        let (now, nonce) = (self.now, Nonce(self.rng.random()));
        let daemon = &mut self.daemons[process.0];
        if let Some(outcome) = outcome {
            daemon.outcomes.insert(claim, outcome);
        }
        daemon.claims.peer_answered(claim, answer, nonce, now);
    }

    pub(super) fn answer(&mut self, process: ProcessId, waiter: WaiterKey, answer: Answer) {
        let daemon = &mut self.daemons[process.0];
        if let Some((querying_process, claim)) = daemon.peers.remove(&waiter) {
            let (answer, outcome) = match answer {
                Answer::Outcome(own) => (
                    PeerAnswer::Ran { bytes: 1 << 20 },
                    Some(daemon.outcomes[&own]),
                ),
                Answer::NotRun { .. } => (PeerAnswer::NotRun, None),
                Answer::Unknown(unknown) => (PeerAnswer::Unknown(unknown), None),
                Answer::StillRunning => (PeerAnswer::Running, None),
                Answer::KeyReused => (PeerAnswer::Lost, None),
            };
            return self.schedule(
                1,
                Event::PeerAnswered(querying_process, claim, answer, outcome),
            );
        }
        let Some(submission) = daemon.callers.remove(&waiter) else {
            return;
        };
        self.answered += 1;
        match answer {
            Answer::Outcome(claim) => {
                self.outcomes += 1;
                let outcome = daemon.outcomes[&claim];
                assert_eq!(
                    outcome,
                    (submission.key, submission.digest),
                    "outcome of another key or body"
                );
            }
            Answer::NotRun { claim, .. } => {
                self.check_not_run(process, claim, submission);
            }
            Answer::KeyReused => assert!(self.bodies[&submission.key].len() > 1),
            Answer::Unknown(_) => {}
            Answer::StillRunning => panic!("a caller got an answer that is for peers only"),
        }
    }

    /// Checks that the claim was never run, and records it so that a later run is detected.
    fn check_not_run(&mut self, process: ProcessId, claim: ClaimKey, submission: Submission) {
        assert!(
            !self.ran.contains(&(process, claim)),
            "reported as not run, but was run"
        );
        assert!(submission.claim.is_none_or(|own| own == claim));
        self.not_run.insert((process, claim));
    }
}
