//! Frames between a leader and a gateway.

use std::sync::Arc;

use bytes::Bytes;
use rosemaryscale_domain::job::TaskName;
use rosemaryscale_domain::schedule::order::{OrderResult, PollOrder, PollResult};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Version of the frames. A gateway of another version refuses the leader, which then uses other ones.
pub(super) const PROTOCOL_VERSION: u32 = 2;
/// A frame holds the orders or results of one cycle, each of a few kilobytes at most.
const FRAME_MAX_BYTES: usize = 16 << 20;
/// Size at which a frame takes no further message. The other side hears a frame when it is complete, so a link of
/// 2 Mbit/s must carry one well within the times below.
const FULL_FRAME_BYTES: usize = 32 << 10;
/// Size of a message without its texts and rows, with a margin.
const MESSAGE_BYTES: usize = 64;
/// Size of a row of a worker's answer.
const ROW_BYTES: usize = 64;
/// Interval at which each side sends a frame when it has nothing else to send.
pub(super) const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// Time without a frame after which a leader gives up a gateway. A gateway with a small share of a
/// processor may be busy for several hundred milliseconds.
pub(super) const GATEWAY_TIMEOUT_MS: u64 = 1_200;
/// Time without a frame after which a gateway closes the links of a leader.
pub(super) const LEADER_TIMEOUT_MS: u64 = 3_000;
/// Age after which a gateway no longer carries out an order: the gateway, the leader or the network
/// was stopped in between. A new leader waits for orders of this age.
pub const ORDER_AGE_MAX_MS: u64 = 1_500;

/// First frame of a leader.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct Hello {
    pub(super) version: u32,
    /// Name of the leader's daemon.
    pub(super) leader: Arc<str>,
    /// Fencing token of the leader's term.
    pub(super) fencing_token: u64,
}

/// Orders of a leader.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct OrderFrame {
    /// Newest [`ResultFrame::sent_at_ms`] that the leader has received, from which the gateway computes
    /// the age of the orders.
    pub(super) seen_ms: u64,
    pub(super) orders: Vec<GatewayOrder>,
}

/// An order. Workers are named by their ids; `call` identifies the result.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) enum GatewayOrder {
    Open {
        worker: Arc<str>,
        address: Arc<str>,
    },
    Close {
        worker: Arc<str>,
    },
    Start {
        call: u64,
        worker: Arc<str>,
        task: TaskName,
        number: u32,
        text: Arc<str>,
        deadline_ms: u64,
        checkpoint: Arc<str>,
        ticket: Option<Arc<str>>,
    },
    Stop {
        call: u64,
        worker: Arc<str>,
        task: TaskName,
        number: u32,
    },
    Pace {
        call: u64,
        worker: Arc<str>,
        task: TaskName,
        number: u32,
        percent: u32,
    },
    Poll {
        call: u64,
        worker: Arc<str>,
        order: PollOrder,
    },
}

impl GatewayOrder {
    /// Estimated size in a frame.
    fn estimated_bytes(&self) -> usize {
        let texts_bytes = match self {
            Self::Start {
                text, checkpoint, ..
            } => text.len() + checkpoint.len(),
            _ => 0,
        };
        MESSAGE_BYTES + texts_bytes
    }
}

/// Results of a gateway.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct ResultFrame {
    /// Reading of the gateway's clock, which runs while the process is stopped.
    pub(super) sent_at_ms: u64,
    /// Whether the gateway is about to stop.
    pub(super) leaving: bool,
    pub(super) results: Vec<GatewayResult>,
}

/// Result of an order.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) enum GatewayResult {
    Order { call: u64, result: OrderResult },
    Poll { call: u64, result: PollResult },
}

impl GatewayResult {
    /// Estimated size in a frame.
    fn estimated_bytes(&self) -> usize {
        let rows = match self {
            Self::Poll {
                result: PollResult::Listed(listing) | PollResult::ListedInPart(listing, _),
                ..
            } => listing.running.len() + listing.ended.len(),
            _ => 0,
        };
        MESSAGE_BYTES + rows * ROW_BYTES
    }
}

/// Divides orders among frames that a thin link carries in time. There is always one frame, which may be empty.
pub(super) fn order_frames(orders: Vec<GatewayOrder>) -> Vec<Vec<GatewayOrder>> {
    divide(orders, GatewayOrder::estimated_bytes)
}

/// Divides results among frames, as [`order_frames`] does.
pub(super) fn result_frames(results: Vec<GatewayResult>) -> Vec<Vec<GatewayResult>> {
    divide(results, GatewayResult::estimated_bytes)
}

fn divide<T>(messages: Vec<T>, estimated_bytes: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut frames = vec![Vec::new()];
    let mut frame_bytes = 0;
    for message in messages {
        if frame_bytes >= FULL_FRAME_BYTES {
            frames.push(Vec::new());
            frame_bytes = 0;
        }
        frame_bytes += estimated_bytes(&message);
        if let Some(frame) = frames.last_mut() {
            frame.push(message);
        }
    }
    frames
}

pub(super) type FrameStream = Framed<TcpStream, LengthDelimitedCodec>;

pub(super) fn frames(stream: TcpStream) -> FrameStream {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

pub(super) fn encode<T: Serialize>(message: &T) -> Result<Bytes, postcard::Error> {
    postcard::to_allocvec(message).map(Bytes::from)
}

pub(super) fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(frame)
}
