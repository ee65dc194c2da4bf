//! Test bench: an upstream link that is connected to a scripted upstream.

#![allow(unreachable_pub, reason = "the module is private to its test")]
#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "test support panics on failure"
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
use rosemaryscale_standins::scripted::ScriptedUpstream;
pub use rosemaryscale_standins::scripted::{ObservedEvent, ScriptedAction};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

const WAIT: Duration = Duration::from_secs(10);

/// A clock that advances only when a test asks for it.
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

/// An upstream link and the upstream that it connects to.
pub struct Bench {
    pub clock: Arc<ManualClock>,
    link: Link,
    upstream: ScriptedUpstream,
    ends: mpsc::Receiver<DispatchMessage>,
    keys: SlotMap<RequestKey, ()>,
    _task: JoinSet<()>,
}

impl Bench {
    /// Starts a link that may open up to `connections` connections.
    pub async fn start(connections: u32, actions: &[ScriptedAction]) -> Self {
        let upstream = ScriptedUpstream::start(actions).await.expect("a port");
        let clock = Arc::new(ManualClock::default());
        let (exchange_ends, receiver) = mpsc::channel(64);
        let (link, task) = upstream_link::create(LinkOptions {
            instance: InstanceKey::default(),
            address: upstream.address,
            connections,
            clock: Arc::clone(&clock) as _,
            exchange_ends,
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

    /// Stops the upstream, so that its address refuses connections.
    pub async fn stop_upstream(&mut self) {
        self.upstream.stop().await;
    }

    /// Lets one [`ScriptedAction::WriteInTwoParts`] continue.
    pub fn release_second_part(&self) {
        self.upstream.release_second_part();
    }

    pub async fn send(
        &mut self,
        method: Method,
        body: Bytes,
        recently_used: bool,
        deadline_ms: u64,
    ) {
        let exchange = Exchange {
            request: self.keys.insert(()),
            outbound: OutboundRequest {
                method,
                path: "/x".into(),
                headers: HeaderMap::new(),
                body,
            },
            deadline: self.clock.now().after_ms(deadline_ms),
            prefer_recently_used: recently_used,
            response_limit_bytes: 1_000,
        };
        self.send_message(LinkMessage::Exchange(exchange)).await;
    }

    pub async fn send_message(&self, message: LinkMessage) {
        let sent = self.link.messages.send(message).await;
        sent.expect("the link runs");
    }

    /// Waits for the link's next message; `None` means that the link has ended.
    pub async fn next_message(&mut self) -> Option<DispatchMessage> {
        let message = tokio::time::timeout(WAIT, self.ends.recv()).await;
        message.expect("a message in time")
    }

    /// Waits for the end of the next exchange.
    pub async fn next_end(&mut self) -> ExchangeEnd {
        match self.next_message().await {
            Some(DispatchMessage::ExchangeEnded(end)) => end,
            other => panic!("{other:?}"),
        }
    }

    /// Sends a GET request and waits for its end.
    pub async fn get(&mut self) -> ExchangeEnd {
        self.send(Method::GET, Bytes::new(), false, 5_000).await;
        self.next_end().await
    }

    /// Waits for the next event at the upstream.
    pub async fn next_event(&mut self) -> ObservedEvent {
        let event = tokio::time::timeout(WAIT, self.upstream.events.recv()).await;
        event.expect("an event in time").expect("the upstream runs")
    }

    /// Waits until the upstream receives a request, and returns its connection.
    pub async fn next_request(&mut self) -> u32 {
        loop {
            if let ObservedEvent::Request { connection } = self.next_event().await {
                return connection;
            }
        }
    }

    /// Waits until a connection is closed at the upstream, and returns it.
    pub async fn next_closed(&mut self) -> u32 {
        loop {
            if let ObservedEvent::Closed { connection } = self.next_event().await {
                return connection;
            }
        }
    }
}

/// Body of a complete response.
pub fn body(end: &ExchangeEnd) -> &[u8] {
    match &end.result {
        ExchangeResult::Complete(response) => &response.body,
        other => panic!("{other:?}"),
    }
}

/// What a failed exchange proves about its request.
pub fn evidence(end: &ExchangeEnd) -> FailureEvidence {
    match &end.result {
        ExchangeResult::Failed(evidence) => *evidence,
        other => panic!("{other:?}"),
    }
}
