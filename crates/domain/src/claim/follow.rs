//! Requests whose key is claimed by another daemon.

use super::action::{Answer, ClaimAction};
use super::life::{Claim, End, Following};
use super::record::Nonce;
use super::table::{Claims, HOLDER_GONE, Life};
use crate::outcome::OutcomeUnknown;
use crate::prelude::*;

/// Pause before a silent peer is asked again.
const ASK_AGAIN_MS: u64 = 200;

/// What this daemon knows of a peer that did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It has a heartbeat under the incarnation that holds the claim.
    Live,
    /// It has no heartbeat, is no member, or was restarted.
    Gone,
}

/// What came of asking the holder of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// The request ran; the task keeps the outcome, of this size, under the claim that follows.
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
    Silent(PeerState),
}

impl Claims {
    /// Asks the holders of followed claims.
    pub(super) fn ask_peers(&mut self, now: Millis) {
        for claim in &self.following {
            let Some(Life::Following(following)) =
                self.entries.get_mut(*claim).map(|entry| &mut entry.life)
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

    /// Whether the claim still waits for another daemon.
    #[must_use]
    pub fn is_following(&self, claim: ClaimKey) -> bool {
        let entry = self.entries.get(claim);
        entry.is_some_and(|entry| matches!(entry.life, Life::Following(_)))
    }

    /// Records the answer of the holder. `nonce` is used if the key is claimed again. A request that
    /// another daemon may have dispatched is never run here: only the holder's promise frees the key.
    pub fn peer_answered(
        &mut self,
        claim: ClaimKey,
        answer: PeerAnswer,
        nonce: Nonce,
        now: Millis,
    ) {
        let Some(Life::Following(following)) =
            self.entries.get(claim).map(|entry| entry.life.clone())
        else {
            return;
        };
        match answer {
            PeerAnswer::Ran { bytes } => {
                self.settle(claim, following.settle(End::Ran { bytes }), now);
            }
            PeerAnswer::Unknown(unknown) => {
                self.settle(claim, following.settle(End::Unknown(unknown)), now);
            }
            PeerAnswer::Lost => {
                self.settle(claim, following.settle(End::Unknown(HOLDER_GONE)), now);
            }
            // Not kept: a frozen holder may come back and tell the outcome to a later request.
            PeerAnswer::Silent(PeerState::Gone) => {
                self.answer_all(claim, Answer::Unknown(HOLDER_GONE));
                self.remove(claim);
            }
            PeerAnswer::NotRun => self.request_again(claim, following, nonce, now),
            PeerAnswer::Running => self.ask_later(claim, now),
            PeerAnswer::Silent(PeerState::Live) => {
                self.ask_later(claim, now.after_ms(ASK_AGAIN_MS));
            }
        }
    }

    fn ask_later(&mut self, claim: ClaimKey, at: Millis) {
        if let Some(Life::Following(following)) =
            self.entries.get_mut(claim).map(|entry| &mut entry.life)
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
        self.entries[claim].life = Life::Requested(requested);
        self.enqueue(id, claim, now);
    }
}
