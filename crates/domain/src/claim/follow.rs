//! Handling of requests whose key is claimed by another daemon.

use super::action::{Answer, ClaimAction};
use super::lifecycle::{Claim, ClaimOutcome, Following};
use super::record::Nonce;
use super::table::{ClaimState, Claims, HOLDER_GONE};
use crate::outcome::OutcomeUnknown;
use crate::prelude::*;

/// Delay before an unresponsive peer is asked again.
const PEER_RETRY_DELAY_MS: u64 = 200;

/// Membership state of a peer that did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It has a current heartbeat under the incarnation that holds the claim.
    Live,
    /// It has no heartbeat, is not a member, or was restarted.
    Gone,
}

/// Result of asking the holder of a claim for its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// The request ran; the task stores the outcome under the local claim that follows it.
    Ran {
        /// Size of the outcome.
        bytes: u64,
    },
    /// It may have run.
    Unknown(OutcomeUnknown),
    /// The holder promised never to dispatch it.
    NotRun,
    /// It is still running.
    Running,
    /// The holder does not have the outcome and never will.
    Lost,
    /// No answer.
    NoReply(PeerState),
}

impl Claims {
    /// Asks the holders of followed claims whose next query is due.
    pub(super) fn ask_peers(&mut self, now: Millis) {
        for claim in &self.following {
            let Some(ClaimState::Following(following)) =
                self.entries.get_mut(*claim).map(|entry| &mut entry.state)
            else {
                continue;
            };
            if following.state.ask_at.is_some_and(|at| at <= now) {
                following.state.ask_at = None;
                self.actions.push(ClaimAction::AskPeer {
                    claim: *claim,
                    holder: following.state.holder.clone(),
                    key: following.key,
                    nonce: following.state.nonce,
                });
            }
        }
    }

    /// Returns whether the claim still waits for another daemon.
    #[must_use]
    pub fn is_following(&self, claim: ClaimKey) -> bool {
        let entry = self.entries.get(claim);
        entry.is_some_and(|entry| matches!(entry.state, ClaimState::Following(_)))
    }

    /// Records the answer of the holder. `nonce` is used if the key is claimed again. This daemon
    /// never runs a request that another daemon may have dispatched; only the holder's promise not
    /// to dispatch it frees the key.
    pub fn peer_answered(
        &mut self,
        claim: ClaimKey,
        answer: PeerAnswer,
        nonce: Nonce,
        now: Millis,
    ) {
        let Some(ClaimState::Following(following)) =
            self.entries.get(claim).map(|entry| entry.state.clone())
        else {
            return;
        };
        match answer {
            PeerAnswer::Ran { bytes } => {
                self.settle(claim, following.settle(ClaimOutcome::Ran { bytes }), now);
            }
            PeerAnswer::Unknown(unknown) => {
                self.settle(claim, following.settle(ClaimOutcome::Unknown(unknown)), now);
            }
            PeerAnswer::Lost => {
                self.settle(
                    claim,
                    following.settle(ClaimOutcome::Unknown(HOLDER_GONE)),
                    now,
                );
            }
            // The answer is not stored: a suspended holder may resume and give the outcome to a
            // later request.
            PeerAnswer::NoReply(PeerState::Gone) => {
                self.answer_all(claim, Answer::Unknown(HOLDER_GONE));
                self.remove(claim);
            }
            PeerAnswer::NotRun => self.request_again(claim, following, nonce, now),
            PeerAnswer::Running => self.schedule_ask(claim, now),
            PeerAnswer::NoReply(PeerState::Live) => {
                self.schedule_ask(claim, now.after_ms(PEER_RETRY_DELAY_MS));
            }
        }
    }

    fn schedule_ask(&mut self, claim: ClaimKey, at: Millis) {
        if let Some(ClaimState::Following(following)) =
            self.entries.get_mut(claim).map(|entry| &mut entry.state)
        {
            following.state.ask_at = Some(at);
        }
    }

    fn request_again(
        &mut self,
        claim: ClaimKey,
        following: Claim<Following>,
        nonce: Nonce,
        now: Millis,
    ) {
        let id = following.key.shard_id();
        let requested = following.request_again(nonce);
        self.entries[claim].state = ClaimState::Requested(requested);
        self.enqueue(id, claim, now);
    }
}
