//! Outcomes on their way between dispatchers, the claim table, callers and peers.

use rosemaryscale_domain::claim::{Answer, BodyDigest, DispatchResult, Holder, PeerAnswer};
use rosemaryscale_domain::outcome::{NotRunReason, OutcomeUnknown, UnknownReason};
use rosemaryscale_ports::claim::{EncodedResponse, OutcomeCall, OutcomeReply};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::dispatch::{DispatchMessage, Invalid, Outcome};
use rosemaryscale_ports::link::{OutboundRequest, Response};
use rosemaryscale_ports::peer::{PeerReply, PeerRequest, Peers};
use rosemaryscale_ports::prelude::*;
use sha2::{Digest, Sha256};

use super::{Done, Waiting};

/// Memory of a header besides its name and value.
const HEADER_BYTES: usize = 64;

/// The dispatcher ended without an outcome; the request may have been sent.
const OUTCOME_LOST: OutcomeUnknown = OutcomeUnknown {
    reason: UnknownReason::HolderGone,
};

/// Digest over what makes two requests the same. Lengths keep neighbouring parts apart.
pub(super) fn digest(service: &str, outbound: &OutboundRequest) -> BodyDigest {
    let mut digest = Sha256::new();
    for part in [
        service.as_bytes(),
        outbound.method.as_str().as_bytes(),
        outbound.path.as_bytes(),
        &outbound.body,
    ] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    let half = digest.finalize().into_iter().take(size_of::<u128>());
    BodyDigest(half.fold(0, |bits, byte| bits << 8 | u128::from(byte)))
}

/// Hands a claimed request to its dispatcher and waits for the outcome.
pub(super) async fn forward(
    claim: ClaimKey,
    waiting: Waiting,
    deadline: Millis,
    clock: ClockHandle,
) -> Done {
    let Waiting {
        dispatch,
        mut submission,
    } = waiting;
    let Ok(permit) = dispatch.messages.reserve().await else {
        return Done::Dispatched(claim, None);
    };
    let left_ms = deadline.ms_since(clock.now());
    if left_ms == 0 {
        return Done::Dispatched(claim, None);
    }
    let (reply, outcome) = oneshot::channel();
    submission.reply = reply;
    submission.deadline_ms = Some(left_ms);
    permit.send(DispatchMessage::Submit(submission));
    let outcome = outcome.await.unwrap_or(Outcome::Unknown(OUTCOME_LOST));
    Done::Dispatched(claim, Some(outcome))
}

/// Asks the holder of a claim; none if it does not answer.
pub(super) async fn ask(peers: &Peers, holder: &Holder, call: OutcomeCall) -> Option<OutcomeReply> {
    let request = PeerRequest::Outcome(call);
    match peers.call(Arc::clone(&holder.daemon), request).await {
        Ok(PeerReply::Outcome(reply)) => Some(reply),
        Ok(_) | Err(_) => None,
    }
}

/// What an outcome of the dispatcher means for the claim.
pub(super) fn dispatch_result(outcome: &Outcome) -> DispatchResult {
    match outcome {
        Outcome::Answered(response) => DispatchResult::Ran {
            bytes: size_bytes(response),
        },
        Outcome::ResponseTooLarge { .. } => DispatchResult::Ran { bytes: 0 },
        Outcome::NotRun(proof) => DispatchResult::NotRun(*proof),
        Outcome::Unknown(unknown) => DispatchResult::Unknown(*unknown),
        Outcome::Invalid(_) => DispatchResult::Withdrawn(NotRunReason::UpstreamRefused),
    }
}

fn size_bytes(response: &Response) -> u64 {
    let headers = response.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    (response.body.len() + headers.sum::<usize>()) as u64
}

/// What a peer's reply means, and the outcome to keep.
pub(super) fn from_peer(reply: OutcomeReply) -> (PeerAnswer, Option<Outcome>) {
    match reply {
        OutcomeReply::Answered(encoded) => match encoded.decode() {
            Some(response) => {
                let bytes = size_bytes(&response);
                let outcome = Outcome::Answered(response);
                (PeerAnswer::Ran { bytes }, Some(outcome))
            }
            None => (PeerAnswer::Unknown(OUTCOME_LOST), None),
        },
        OutcomeReply::ResponseTooLarge { limit_bytes } => {
            let outcome = Outcome::ResponseTooLarge { limit_bytes };
            (PeerAnswer::Ran { bytes: 0 }, Some(outcome))
        }
        OutcomeReply::NotRun => (PeerAnswer::NotRun, None),
        OutcomeReply::Unknown(reason) => (PeerAnswer::Unknown(OutcomeUnknown { reason }), None),
        OutcomeReply::Running => (PeerAnswer::Running, None),
        OutcomeReply::Lost => (PeerAnswer::Lost, None),
    }
}

/// What a caller is told.
pub(super) fn to_caller(answer: Answer, outcomes: &SecondaryMap<ClaimKey, Outcome>) -> Outcome {
    match answer {
        Answer::Outcome(claim) => outcomes
            .get(claim)
            .cloned()
            .unwrap_or(Outcome::Unknown(OUTCOME_LOST)),
        // A request that the dispatcher found malformed was not run either.
        Answer::NotRun { claim, proof } => match outcomes.get(claim) {
            Some(Outcome::Invalid(invalid)) => Outcome::Invalid(invalid.clone()),
            _ => Outcome::NotRun(proof),
        },
        Answer::Unknown(unknown) => Outcome::Unknown(unknown),
        Answer::KeyReused => Outcome::Invalid(Invalid::KeyReused),
        Answer::StillRunning => Outcome::Unknown(OUTCOME_LOST),
    }
}

/// What a peer is told.
pub(super) fn to_peer(answer: Answer, outcomes: &SecondaryMap<ClaimKey, Outcome>) -> OutcomeReply {
    match answer {
        Answer::Outcome(claim) => match outcomes.get(claim) {
            Some(Outcome::Answered(response)) => {
                OutcomeReply::Answered(EncodedResponse::encode(response))
            }
            Some(Outcome::ResponseTooLarge { limit_bytes }) => OutcomeReply::ResponseTooLarge {
                limit_bytes: *limit_bytes,
            },
            _ => OutcomeReply::Lost,
        },
        Answer::NotRun { .. } => OutcomeReply::NotRun,
        Answer::Unknown(unknown) => OutcomeReply::Unknown(unknown.reason),
        Answer::StillRunning => OutcomeReply::Running,
        Answer::KeyReused => OutcomeReply::Lost,
    }
}
