//! Conversion of outcomes between dispatchers, the claim table, callers and peers.

use rosemaryscale_domain::claim::{Answer, BodyDigest, DispatchResult, Holder, PeerAnswer};
use rosemaryscale_domain::outcome::{NotRunReason, OutcomeUnknown, UnknownReason};
use rosemaryscale_ports::claim::{EncodedResponse, OutcomeCall, OutcomeReply};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::dispatch::{DispatchMessage, InvalidRequest, Outcome};
use rosemaryscale_ports::link::{OutboundRequest, Response};
use rosemaryscale_ports::peer::{PeerReply, PeerRequest, Peers};
use rosemaryscale_ports::prelude::*;
use sha2::{Digest, Sha256};

use super::{Completion, WaitingRequest};

/// Estimated memory of a header in addition to its name and value.
const HEADER_OVERHEAD_BYTES: usize = 64;

/// Used when the dispatcher ended without an outcome; the request may have been sent.
const OUTCOME_LOST: OutcomeUnknown = OutcomeUnknown {
    reason: UnknownReason::HolderGone,
};

/// Digest of the service, method, path and body, by which a reused key is detected. Each part is
/// preceded by its length, so that the boundaries between the parts are unambiguous.
pub(super) fn request_digest(service: &str, outbound: &OutboundRequest) -> BodyDigest {
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
    let truncated = digest.finalize().into_iter().take(size_of::<u128>());
    BodyDigest(truncated.fold(0, |bits, byte| bits << 8 | u128::from(byte)))
}

/// Forwards a claimed request to its dispatcher and waits for the outcome.
pub(super) async fn forward(
    claim: ClaimKey,
    waiting: WaitingRequest,
    deadline: Millis,
    clock: ClockHandle,
) -> Completion {
    let WaitingRequest {
        dispatch,
        mut submission,
    } = waiting;
    let Ok(permit) = dispatch.messages.reserve().await else {
        return Completion::Dispatched(claim, None);
    };
    let remaining_ms = deadline.ms_since(clock.now());
    if remaining_ms == 0 {
        return Completion::Dispatched(claim, None);
    }
    let (reply, outcome) = oneshot::channel();
    submission.reply = reply;
    submission.deadline_ms = Some(remaining_ms);
    permit.send(DispatchMessage::Submit(submission));
    let outcome = outcome.await.unwrap_or(Outcome::Unknown(OUTCOME_LOST));
    Completion::Dispatched(claim, Some(outcome))
}

/// Asks the holder of a claim for the outcome. Returns `None` if it does not answer.
pub(super) async fn ask_holder(
    peers: &Peers,
    holder: &Holder,
    call: OutcomeCall,
) -> Option<OutcomeReply> {
    let request = PeerRequest::Outcome(call);
    match peers.call(Arc::clone(&holder.daemon), request).await {
        Ok(PeerReply::Outcome(reply)) => Some(reply),
        Ok(_) | Err(_) => None,
    }
}

/// Converts an outcome of the dispatcher into the result that the claim table records.
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
    let headers =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES);
    (response.body.len() + headers.sum::<usize>()) as u64
}

/// Converts a peer's reply into its meaning for the claim and the outcome to keep.
pub(super) fn decode_peer_reply(reply: OutcomeReply) -> (PeerAnswer, Option<Outcome>) {
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

/// Converts an answer of the claim table into the outcome for a caller.
pub(super) fn caller_outcome(
    answer: Answer,
    outcomes: &SecondaryMap<ClaimKey, Outcome>,
) -> Outcome {
    match answer {
        Answer::Outcome(claim) => outcomes
            .get(claim)
            .cloned()
            .unwrap_or(Outcome::Unknown(OUTCOME_LOST)),
        // A request that the dispatcher rejected as malformed was not run either.
        Answer::NotRun { claim, proof } => match outcomes.get(claim) {
            Some(Outcome::Invalid(invalid)) => Outcome::Invalid(invalid.clone()),
            _ => Outcome::NotRun(proof),
        },
        Answer::Unknown(unknown) => Outcome::Unknown(unknown),
        Answer::KeyReused => Outcome::Invalid(InvalidRequest::KeyReused),
        Answer::StillRunning => Outcome::Unknown(OUTCOME_LOST),
    }
}

/// Converts an answer of the claim table into the reply to a peer.
pub(super) fn peer_reply(
    answer: Answer,
    outcomes: &SecondaryMap<ClaimKey, Outcome>,
) -> OutcomeReply {
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
