//! A load generator: closed loops on a fixed number of connections, and open loops at a fixed mean
//! arrival rate.

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

/// Template of a request.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// Request path.
    pub path: String,
    /// Request headers.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Bytes,
}

impl LoadRequest {
    fn build(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = Method::POST;
        let uri = format!("http://{address}{}", self.path);
        *request.uri_mut() = uri.parse().expect("the path of a load request is valid");
        for (name, value) in &self.headers {
            let value = value
                .parse()
                .expect("the headers of a load request are valid");
            request.headers_mut().insert(*name, value);
        }
        request
    }
}

/// Measurements of a load run.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with a success status.
    pub succeeded: u64,
    /// Requests answered with any other status.
    pub refused: u64,
    /// Requests without a complete response.
    pub lost: u64,
    /// Duration of the run.
    pub elapsed: Duration,
    /// Latency of the successful requests, in microseconds.
    pub latency_us: Histogram<u64>,
}

impl LoadReport {
    fn new() -> Self {
        Self {
            sent: 0,
            succeeded: 0,
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
                self.succeeded += 1;
                let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                let _ = self.latency_us.record(latency_us);
            }
            Some(_) => self.refused += 1,
            None => self.lost += 1,
        }
    }

    fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.succeeded += other.succeeded;
        self.refused += other.refused;
        self.lost += other.lost;
        self.elapsed = self.elapsed.max(other.elapsed);
        self.latency_us
            .add(&other.latency_us)
            .expect("the histograms have the same configuration");
    }

    /// Successful requests per second.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        reason = "counts of a short run are small"
    )]
    pub fn successes_per_s(&self) -> f64 {
        self.succeeded as f64 / self.elapsed.as_secs_f64().max(f64::EPSILON)
    }

    /// Ratio of successful requests to requests sent.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        reason = "counts of a short run are small"
    )]
    pub fn success_ratio(&self) -> f64 {
        self.succeeded as f64 / (self.sent as f64).max(1.0)
    }

    /// Latency at a quantile, in microseconds.
    #[must_use]
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }
}

/// Sends sequential requests on each of `connections` connections until `duration` has passed.
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
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        tasks.spawn(run_connection(address, duration, request.clone()));
    }
    let mut report = LoadReport::new();
    while let Some(result) = tasks.join_next().await {
        report.merge(&result.expect("a load task does not panic"));
    }
    report
}

async fn run_connection(
    address: SocketAddr,
    duration: Duration,
    request: LoadRequest,
) -> LoadReport {
    let stream = TcpStream::connect(address)
        .await
        .expect("the server accepts connections");
    stream
        .set_nodelay(true)
        .expect("a TCP socket supports nodelay");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("the HTTP handshake succeeds");
    let mut report = LoadReport::new();
    let started = Instant::now();
    let requests = async {
        while started.elapsed() < duration {
            let sent_at = Instant::now();
            let status = exchange(&mut sender, request.build(address)).await;
            report.record(status, sent_at.elapsed());
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

/// Options of an open loop.
#[derive(Clone, Debug)]
pub struct OpenLoopOptions {
    /// Target addresses, used in rotation.
    pub addresses: Vec<SocketAddr>,
    /// Mean arrivals per second; the gaps between arrivals are exponentially distributed.
    pub rate_per_s: f64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Sends requests at random arrival times without waiting for earlier responses.
///
/// # Panics
///
/// Panics when a request is malformed.
pub async fn open_loop(
    options: OpenLoopOptions,
    mut make_request: impl FnMut(u64) -> LoadRequest,
) -> LoadReport {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut in_flight = JoinSet::new();
    let mut report = LoadReport::new();
    let started = Instant::now();
    let mut next_arrival = started;
    let mut number = 0;
    while next_arrival.duration_since(started) < options.duration {
        tokio::time::sleep_until(next_arrival).await;
        let address_index = usize::try_from(number).unwrap_or(0) % options.addresses.len();
        let request = make_request(number).build(options.addresses[address_index]);
        let client = client.clone();
        in_flight.spawn(async move {
            let sent_at = Instant::now();
            let status = send(&client, request).await;
            (status, sent_at.elapsed())
        });
        while let Some(result) = in_flight.try_join_next() {
            let (status, latency) = result.expect("a request does not panic");
            report.record(status, latency);
        }
        number += 1;
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        next_arrival += Duration::from_secs_f64(-uniform.ln() / options.rate_per_s);
    }
    while let Some(result) = in_flight.join_next().await {
        let (status, latency) = result.expect("a request does not panic");
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
