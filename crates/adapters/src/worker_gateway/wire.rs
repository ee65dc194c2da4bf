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
pub(super) const PROTOCOL_VERSION: u32 = 1;
/// A frame holds the orders or results of one cycle, each of a few kilobytes at most.
const FRAME_MAX_BYTES: usize = 16 << 20;
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
