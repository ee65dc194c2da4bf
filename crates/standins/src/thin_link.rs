//! A TCP relay with the bandwidth of a thin link, which all connections through it share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

/// Unit in which connections take turns.
const PACKET_BYTES: usize = 4_096;
/// Pause after which the link counts as idle. Within it, the next packet follows the last one without a gap, so that
/// tasks which wake late on a busy machine do not reduce the bandwidth.
const IDLE_AFTER: Duration = Duration::from_millis(100);
/// Packets that may wait for the link; a connection has one at a time.
const QUEUE_CAPACITY: usize = 256;

/// The relay. Each direction has the bandwidth.
#[derive(Debug)]
pub struct ThinLink {
    address: SocketAddr,
    to_caller: Arc<Direction>,
    task: JoinHandle<()>,
}

/// What tests observe and change in one direction.
#[derive(Debug, Default)]
struct Direction {
    carried_bytes: AtomicU64,
    is_stopped: AtomicBool,
}

/// A packet that waits for its turn.
struct Packet {
    bytes: usize,
    sent: oneshot::Sender<()>,
}

impl ThinLink {
    /// Starts a relay to the address with this bandwidth, in kilobits a second.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(target: SocketAddr, kbit_per_s: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let to_caller = Arc::new(Direction::default());
        let task = tokio::spawn(serve(listener, target, kbit_per_s, Arc::clone(&to_caller)));
        Ok(Self {
            address,
            to_caller,
            task,
        })
    }

    /// Address of the relay.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that the link has carried to its callers.
    #[must_use]
    pub fn carried_bytes(&self) -> u64 {
        self.to_caller.carried_bytes.load(Ordering::Relaxed)
    }

    /// Lets nothing more arrive at the callers, without closing their connections.
    pub fn stop_replies(&self) {
        self.to_caller.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Closes all connections.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn serve(
    listener: TcpListener,
    target: SocketAddr,
    kbit_per_s: u64,
    to_caller: Arc<Direction>,
) {
    let mut tasks = JoinSet::new();
    let (up, packets) = mpsc::channel(QUEUE_CAPACITY);
    tasks.spawn(carry(packets, kbit_per_s, Arc::default()));
    let (down, packets) = mpsc::channel(QUEUE_CAPACITY);
    tasks.spawn(carry(packets, kbit_per_s, to_caller));
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((caller, _)) = accepted else { continue };
                tasks.spawn(relay(caller, target, up.clone(), down.clone()));
            }
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// Carries one packet after the other.
async fn carry(mut packets: mpsc::Receiver<Packet>, kbit_per_s: u64, direction: Arc<Direction>) {
    let mut free_at = Instant::now();
    while let Some(packet) = packets.recv().await {
        if direction.is_stopped.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let duration_us = packet.bytes as u64 * 8 * 1_000 / kbit_per_s;
        let now = Instant::now();
        if now > free_at + IDLE_AFTER {
            free_at = now;
        }
        free_at += Duration::from_micros(duration_us);
        tokio::time::sleep_until(free_at).await;
        let bytes = packet.bytes as u64;
        direction.carried_bytes.fetch_add(bytes, Ordering::Relaxed);
        // The connection may have been closed.
        let _ = packet.sent.send(());
    }
}

async fn relay(
    mut caller: TcpStream,
    target: SocketAddr,
    up: mpsc::Sender<Packet>,
    down: mpsc::Sender<Packet>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_caller, to_caller) = caller.split();
    let (from_server, to_server) = server.split();
    tokio::select! {
        () = pump(from_caller, to_server, up) => {}
        () = pump(from_server, to_caller, down) => {}
    }
}

/// Copies one direction of a connection until it ends.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    link: mpsc::Sender<Packet>,
) {
    let mut buffer = [0; PACKET_BYTES];
    loop {
        let Ok(bytes @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let (sent, arrival) = oneshot::channel();
        if link.send(Packet { bytes, sent }).await.is_err() || arrival.await.is_err() {
            return;
        }
        if to.write_all(&buffer[..bytes]).await.is_err() {
            return;
        }
    }
}
