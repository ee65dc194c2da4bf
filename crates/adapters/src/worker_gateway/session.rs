//! The leader's connection to one gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rosemaryscale_ports::prelude::*;
use slog::{Logger, info};
use tokio::net::TcpStream;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use super::wire::{
    self, FrameStream, GATEWAY_TIMEOUT_MS, GatewayOrder, GatewayResult, HEARTBEAT_INTERVAL_MS,
    Hello, OrderFrame, ResultFrame,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a lost gateway is connected again.
const RECONNECT_DELAY: Duration = Duration::from_millis(1_000);
const GATEWAY_TIMEOUT: Duration = Duration::from_millis(GATEWAY_TIMEOUT_MS);
/// Maximum number of orders in one frame.
const ORDERS_PER_FRAME: usize = 512;

/// What happened on the connection to a gateway.
#[derive(Debug)]
pub(super) enum SessionEvent {
    /// The gateway is connected and takes orders through this channel.
    Connected(mpsc::UnboundedSender<GatewayOrder>),
    /// Results of orders, and whether the gateway is about to stop.
    Results(Vec<GatewayResult>, bool),
    /// The connection was lost; orders without a result get none.
    Lost(Arc<str>),
}

/// The connection to a gateway, which is made again after each loss.
#[derive(Clone)]
pub(super) struct Connection {
    pub(super) key: GatewayKey,
    pub(super) address: SocketAddr,
    pub(super) hello: Hello,
    pub(super) events: mpsc::UnboundedSender<(GatewayKey, SessionEvent)>,
    /// Log whose lines name the gateway.
    pub(super) log: Logger,
}

impl Connection {
    /// Connects again and again, until the receiver of the events is gone.
    pub(super) async fn run(self) {
        loop {
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await
            {
                let _ = stream.set_nodelay(true);
                if let Some((frames, seen_ms)) = greet(stream, &self.hello).await {
                    let (orders, receiver) = mpsc::unbounded_channel();
                    if self.report(SessionEvent::Connected(orders)).is_err() {
                        return;
                    }
                    info!(self.log, "gateway connected");
                    let reason = exchange(self.key, frames, seen_ms, receiver, &self.events).await;
                    if self.report(SessionEvent::Lost(reason)).is_err() {
                        return;
                    }
                }
            }
            tokio::select! {
                () = sleep(RECONNECT_DELAY) => {}
                () = self.events.closed() => return,
            }
        }
    }

    /// As [`Self::run`], after a pause, so that a task that fails at once is not replaced all the time.
    pub(super) async fn run_after_failure(self) {
        sleep(RECONNECT_DELAY).await;
        self.run().await;
    }

    fn report(
        &self,
        event: SessionEvent,
    ) -> Result<(), mpsc::error::SendError<(GatewayKey, SessionEvent)>> {
        self.events.send((self.key, event))
    }
}

/// Introduces the leader. The first frame of the gateway has the reading of its clock without which it
/// carries out no order; a gateway that refuses the leader closes the connection instead.
async fn greet(stream: TcpStream, hello: &Hello) -> Option<(FrameStream, u64)> {
    let mut frames = wire::frames(stream);
    send(&mut frames, hello).await.ok()?;
    let frame = timeout(GATEWAY_TIMEOUT, frames.next()).await.ok()??.ok()?;
    let frame: ResultFrame = wire::decode(&frame).ok()?;
    Some((frames, frame.sent_at_ms))
}

/// Exchanges frames until the connection is lost, and returns the reason.
async fn exchange(
    key: GatewayKey,
    mut frames: FrameStream,
    mut seen_ms: u64,
    mut orders: mpsc::UnboundedReceiver<GatewayOrder>,
    events: &mpsc::UnboundedSender<(GatewayKey, SessionEvent)>,
) -> Arc<str> {
    let mut heartbeat = interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut batch = Vec::new();
    let silence = sleep(GATEWAY_TIMEOUT);
    tokio::pin!(silence);
    loop {
        let orders = tokio::select! {
            // Received frames come before the timeout, which may pass while the process is busy.
            biased;
            frame = frames.next() => {
                let frame: ResultFrame = match frame {
                    Some(Ok(frame)) => match wire::decode(&frame) {
                        Ok(frame) => frame,
                        Err(error) => return format!("a frame cannot be decoded: {error}").into(),
                    },
                    Some(Err(error)) => return error.to_string().into(),
                    None => return "closed by the gateway".into(),
                };
                silence.as_mut().reset(tokio::time::Instant::now() + GATEWAY_TIMEOUT);
                seen_ms = seen_ms.max(frame.sent_at_ms);
                let results = SessionEvent::Results(frame.results, frame.leaving);
                if events.send((key, results)).is_err() {
                    return "the leader has stopped".into();
                }
                continue;
            }
            count = orders.recv_many(&mut batch, ORDERS_PER_FRAME) => {
                if count == 0 {
                    return "the leader has closed it".into();
                }
                std::mem::take(&mut batch)
            }
            _ = heartbeat.tick() => Vec::new(),
            () = &mut silence => return "no frame in time".into(),
        };
        for orders in wire::order_frames(orders) {
            if let Err(reason) = send(&mut frames, &OrderFrame { seen_ms, orders }).await {
                return reason;
            }
        }
    }
}

async fn send<T: serde::Serialize>(frames: &mut FrameStream, message: &T) -> Result<(), Arc<str>> {
    let frame = wire::encode(message).map_err(|error| Arc::from(error.to_string()))?;
    match timeout(GATEWAY_TIMEOUT, frames.send(frame)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(error.to_string().into()),
        Err(_) => Err("a frame was not sent in time".into()),
    }
}
