//! Bounds on the silence of a server. A reply that keeps arriving is read to its end, however long a thin link takes
//! for it; one that stops arriving is given up.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

/// Less than this within the longest pause does not count as progress, so that a server cannot hold a call by single
/// bytes.
const PROGRESS_MIN_BYTES: u64 = 1_024;
/// Rate at which a request is expected to be sent, in bytes a millisecond: half of the thinnest link of the
/// deployments, 2 Mbit/s.
const UPLOAD_BYTES_PER_MS: u64 = 125;

/// Longest silences during a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyBounds {
    /// Time until the head of the reply arrives.
    pub head_ms: u64,
    /// Time without progress afterwards.
    pub pause_ms: u64,
}

impl ReplyBounds {
    /// Bounds for a request with a body of this size. Its bytes are sent before the server can answer, and nothing
    /// shows their progress.
    #[must_use]
    pub const fn with_upload(self, body_bytes: u64) -> Self {
        Self {
            head_ms: self.head_ms + body_bytes / UPLOAD_BYTES_PER_MS,
            pause_ms: self.pause_ms,
        }
    }

    pub(crate) const fn head(self) -> Duration {
        Duration::from_millis(self.head_ms)
    }
}

/// The same bound for the head and for pauses.
impl From<Duration> for ReplyBounds {
    fn from(silence: Duration) -> Self {
        let silence_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
        Self {
            head_ms: silence_ms,
            pause_ms: silence_ms,
        }
    }
}

/// Why the body of a reply is incomplete.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum ReplyError {
    /// The reply did not begin in time.
    #[snafu(display("timeout after {waited_ms} ms, no reply has begun"))]
    NotBegun {
        /// Time waited.
        waited_ms: u64,
    },
    /// The reply stopped arriving.
    #[snafu(display(
        "timeout after a pause of {pause_ms} ms, {received_bytes} of {} bytes received",
        total(*expected_bytes)
    ))]
    Paused {
        /// Longest pause.
        pause_ms: u64,
        /// Bytes of the body that had arrived.
        received_bytes: u64,
        /// Length of the body, if the server stated it.
        expected_bytes: Option<u64>,
    },
    /// The connection was lost, or the reply is too large.
    #[snafu(display("{reason}, {received_bytes} bytes received"))]
    Broken {
        /// Description of the failure.
        reason: String,
        /// Bytes of the body that had arrived.
        received_bytes: u64,
    },
}

impl ReplyError {
    /// Bytes of the body that had arrived.
    pub(crate) const fn received_bytes(&self) -> u64 {
        match self {
            Self::NotBegun { .. } => 0,
            Self::Paused { received_bytes, .. } | Self::Broken { received_bytes, .. } => {
                *received_bytes
            }
        }
    }
}

fn total(expected_bytes: Option<u64>) -> String {
    expected_bytes.map_or_else(|| "an unknown number of".into(), |bytes| bytes.to_string())
}

/// Reads a body to its end, and publishes the number of bytes received so far.
pub(crate) async fn read_body<B>(
    body: B,
    bounds: ReplyBounds,
    max_bytes: usize,
    progress: Option<&watch::Sender<u64>>,
) -> Result<Bytes, ReplyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let pause = Duration::from_millis(bounds.pause_ms);
    let expected_bytes = body.size_hint().exact();
    let mut body = Limited::new(body, max_bytes);
    let mut content = BytesMut::new();
    let mut counted_bytes = 0;
    let mut deadline = Instant::now() + pause;
    loop {
        let received_bytes = content.len() as u64;
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(content.freeze()),
            Err(_) => {
                return Err(ReplyError::Paused {
                    pause_ms: bounds.pause_ms,
                    received_bytes,
                    expected_bytes,
                });
            }
        };
        let frame = frame.map_err(|error| ReplyError::Broken {
            reason: error.to_string(),
            received_bytes,
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        content.extend_from_slice(&data);
        let received_bytes = content.len() as u64;
        if received_bytes >= counted_bytes + PROGRESS_MIN_BYTES {
            counted_bytes = received_bytes;
            deadline = Instant::now() + pause;
        }
        if let Some(progress) = progress {
            progress.send_replace(received_bytes);
        }
    }
}
