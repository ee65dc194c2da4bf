//! A load generator: closed loops on a fixed set of connections, and open loops at a fixed rate.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// A request of the load.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl LoadRequest {
    fn build(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = Method::POST;
        let uri = format!("http://{address}{}", self.path);
        *request.uri_mut() = uri.parse().expect("paths of a load are valid");
        for (name, value) in &self.headers {
            let value = value.parse().expect("headers of a load are valid");
            request.headers_mut().insert(*name, value);
        }
        request
    }
}

/// What a load measured.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with a success status.
    pub answered: u64,
    /// Requests answered with another status.
    pub refused: u64,
    /// Requests without a complete response.
    pub lost: u64,
    /// How long the load ran.
    pub elapsed: Duration,
    /// Latency of the successes, in microseconds.
    pub latency_us: Histogram<u64>,
}

impl LoadReport {
    fn new() -> Self {
        Self {
            sent: 0,
            answered: 0,
            refused: 0,
            lost: 0,
            elapsed: Duration::ZERO,
            latency_us: Histogram::new(3).expect("three significant digits are valid"),
        }
    }

    fn record(&mut self, status: Option<StatusCode>, latency: Duration) {
        self.sent += 1;
        match status {
            Some(status) if status.is_success() => {
                self.answered += 1;
                let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                let _ = self.latency_us.record(latency_us);
            }
            Some(_) => self.refused += 1,
            None => self.lost += 1,
        }
    }

    fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.refused += other.refused;
        self.lost += other.lost;
        self.elapsed = self.elapsed.max(other.elapsed);
        self.latency_us
            .add(&other.latency_us)
            .expect("histograms have one shape");
    }

    /// Successes in a second.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        reason = "counts of a short run are small"
    )]
    pub fn rate(&self) -> f64 {
        self.answered as f64 / self.elapsed.as_secs_f64().max(f64::EPSILON)
    }

    /// Share of the requests that were answered with a success status.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        reason = "counts of a short run are small"
    )]
    pub fn answered_share(&self) -> f64 {
        self.answered as f64 / (self.sent as f64).max(1.0)
    }

    /// Latency at a quantile, in microseconds.
    #[must_use]
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }
}

/// Sends requests one after the other on each of `connections` connections.
///
/// # Panics
///
/// Panics when a connection cannot be opened.
pub async fn closed_loop(
    address: SocketAddr,
    connections: usize,
    duration: Duration,
    request: LoadRequest,
) -> LoadReport {
    let mut loops = JoinSet::new();
    for _ in 0..connections {
        loops.spawn(one_connection(address, duration, request.clone()));
    }
    let mut report = LoadReport::new();
    while let Some(joined) = loops.join_next().await {
        report.merge(&joined.expect("a load loop does not fail"));
    }
    report
}

async fn one_connection(
    address: SocketAddr,
    duration: Duration,
    request: LoadRequest,
) -> LoadReport {
    let stream = TcpStream::connect(address)
        .await
        .expect("the server accepts connections");
    stream
        .set_nodelay(true)
        .expect("TCP sockets have this option");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("HTTP starts");
    let mut report = LoadReport::new();
    let started = Instant::now();
    let requests = async {
        while started.elapsed() < duration {
            let sent = Instant::now();
            let status = exchange(&mut sender, request.build(address)).await;
            report.record(status, sent.elapsed());
            if status.is_none() {
                break;
            }
        }
    };
    tokio::select! {
        () = requests => {}
        _ = connection => {}
    }
    report.elapsed = started.elapsed();
    report
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Option<StatusCode> {
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}

/// Settings of an open loop.
#[derive(Clone, Debug)]
pub struct OpenLoop {
    /// Where the requests go, in turns.
    pub addresses: Vec<SocketAddr>,
    /// Mean arrivals in a second; the gaps between them are exponential.
    pub rate_per_s: f64,
    /// How long requests arrive.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Sends requests at their arrival times, whether or not earlier ones were answered.
///
/// # Panics
///
/// Panics when a request of the load is malformed.
pub async fn open_loop(options: OpenLoop, mut make: impl FnMut(u64) -> LoadRequest) -> LoadReport {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut running = JoinSet::new();
    let mut report = LoadReport::new();
    let started = Instant::now();
    let mut next = started;
    let mut number = 0;
    while next.duration_since(started) < options.duration {
        tokio::time::sleep_until(next).await;
        let target = usize::try_from(number).unwrap_or(0) % options.addresses.len();
        let request = make(number).build(options.addresses[target]);
        let client = client.clone();
        running.spawn(async move {
            let sent = Instant::now();
            let status = send(&client, request).await;
            (status, sent.elapsed())
        });
        while let Some(ended) = running.try_join_next() {
            let (status, latency) = ended.expect("a request does not panic");
            report.record(status, latency);
        }
        number += 1;
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        next += Duration::from_secs_f64(-uniform.ln() / options.rate_per_s);
    }
    while let Some(ended) = running.join_next().await {
        let (status, latency) = ended.expect("a request does not panic");
        report.record(status, latency);
    }
    report.elapsed = started.elapsed();
    report
}

async fn send(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Option<StatusCode> {
    let response = client.request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}
