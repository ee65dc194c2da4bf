//! A link and a scripted upstream.

#![allow(unreachable_pub, reason = "the module is private to its test")]
#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "test support fails loudly"
)]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use rosemaryscale_adapters::upstream_link::{self, LinkOptions};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::FailureEvidence;
use rosemaryscale_ports::clock::Clock;
use rosemaryscale_ports::dispatch::DispatchMessage;
use rosemaryscale_ports::link::{
    Exchange, ExchangeEnd, ExchangeResult, Link, LinkMessage, OutboundRequest,
};
use rosemaryscale_standins::scripted::Scripted;
pub use rosemaryscale_standins::scripted::{Act, Seen};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

const WAIT: Duration = Duration::from_secs(10);

/// A clock that tests set.
#[derive(Default)]
pub struct ManualClock(AtomicU64);

impl ManualClock {
    pub fn advance(&self, ms: u64) {
        self.0.fetch_add(ms, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis::from_ms(self.0.load(Ordering::SeqCst))
    }

    fn wall(&self) -> Millis {
        self.now()
    }
}

/// A link and the upstream that it leads to.
pub struct Bench {
    pub clock: Arc<ManualClock>,
    link: Link,
    upstream: Scripted,
    ends: mpsc::Receiver<DispatchMessage>,
    keys: SlotMap<RequestKey, ()>,
    _task: JoinSet<()>,
}

impl Bench {
    /// Starts a link that may open so many connections.
    pub async fn start(connections: u32, acts: &[Act]) -> Self {
        let upstream = Scripted::start(acts).await.expect("a port");
        let clock = Arc::new(ManualClock::default());
        let (ends, receiver) = mpsc::channel(64);
        let (link, task) = upstream_link::make(LinkOptions {
            instance: InstanceKey::default(),
            address: upstream.address,
            connections,
            clock: Arc::clone(&clock) as _,
            ends,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(task);
        Self {
            clock,
            link,
            upstream,
            ends: receiver,
            keys: SlotMap::with_key(),
            _task: tasks,
        }
    }

    /// Stops the upstream; its address refuses connections then.
    pub async fn stop_upstream(&mut self) {
        self.upstream.stop().await;
    }

    /// Lets one [`Act::WriteLate`] go on.
    pub fn release(&self) {
        self.upstream.release();
    }

    pub async fn send(&mut self, method: Method, body: Bytes, proven: bool, deadline_ms: u64) {
        let exchange = Exchange {
            request: self.keys.insert(()),
            outbound: OutboundRequest {
                method,
                path: "/x".into(),
                headers: HeaderMap::new(),
                body,
            },
            deadline: self.clock.now().after_ms(deadline_ms),
            prefer_proven: proven,
            response_limit_bytes: 1_000,
        };
        self.tell(LinkMessage::Exchange(exchange)).await;
    }

    pub async fn tell(&self, message: LinkMessage) {
        let sent = self.link.messages.send(message).await;
        sent.expect("the link runs");
    }

    /// The link's next message; `None` when the link has ended.
    pub async fn message(&mut self) -> Option<DispatchMessage> {
        let message = tokio::time::timeout(WAIT, self.ends.recv()).await;
        message.expect("a message in time")
    }

    pub async fn end(&mut self) -> ExchangeEnd {
        match self.message().await {
            Some(DispatchMessage::Exchanged(end)) => end,
            other => panic!("{other:?}"),
        }
    }

    pub async fn get(&mut self) -> ExchangeEnd {
        self.send(Method::GET, Bytes::new(), false, 5_000).await;
        self.end().await
    }

    pub async fn seen(&mut self) -> Seen {
        let seen = tokio::time::timeout(WAIT, self.upstream.seen.recv()).await;
        seen.expect("the upstream sees it").expect("it runs")
    }

    /// Waits until the upstream sees a request, and returns its connection.
    pub async fn connection(&mut self) -> u32 {
        loop {
            if let Seen::Request { connection } = self.seen().await {
                return connection;
            }
        }
    }

    /// Waits until the upstream sees the end of a connection.
    pub async fn closed(&mut self) -> u32 {
        loop {
            if let Seen::Closed { connection } = self.seen().await {
                return connection;
            }
        }
    }
}

pub fn body(end: &ExchangeEnd) -> &[u8] {
    match &end.result {
        ExchangeResult::Complete(response) => &response.body,
        other => panic!("{other:?}"),
    }
}

pub fn evidence(end: &ExchangeEnd) -> FailureEvidence {
    match &end.result {
        ExchangeResult::Failed(evidence) => *evidence,
        other => panic!("{other:?}"),
    }
}
