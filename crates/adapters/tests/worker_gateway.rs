//! Gateways over sockets: routing, loss, age of orders, replacement of the leader, and stop.

#![allow(clippy::expect_used, clippy::panic, reason = "tests panic on failure")]

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc as std_mpsc};
use std::time::Duration;

use rosemaryscale_adapters::log::DroppedLines;
use rosemaryscale_adapters::metrics_registry;
use rosemaryscale_adapters::worker_gateway::{
    GatewayOptions, GatewayServer, ORDER_AGE_MAX_MS, Router, RouterOptions,
};
use rosemaryscale_domain::job::{TaskName, TaskPosition};
use rosemaryscale_domain::schedule::order::{
    ListedRun, Listing, OrderResult, PollOrder, PollReception, PollResult, StartOrder,
};
use rosemaryscale_domain::worker_route::GatewayOffer;
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::worker::{StartLinks, WorkerCall, WorkerCalls, WorkerEvent, WorkerEvents};
use rosemaryscale_standins::ThinLink;
use slog::{Discard, Drain, Logger, Never, OwnedKVList, Record, o};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Clock readings in the answers of the scripted links, which tell who made a request.
const LOCAL: u64 = 1;
const GATEWAY: u64 = 2;

/// Links that answer every start and poll at once with this reading of the worker's clock.
fn scripted_links<const CLOCK_MS: u64>() -> (WorkerCalls, WorkerEvents, JoinHandle<()>) {
    let (calls, mut receiver) = mpsc::channel(64);
    let (events, results) = mpsc::unbounded_channel();
    let task = tokio::spawn(async move {
        while let Some(call) = receiver.recv().await {
            let event = match call {
                WorkerCall::Start(worker, order) => WorkerEvent::Started {
                    worker,
                    run: order.run,
                    result: OrderResult::Accepted { clock_ms: CLOCK_MS },
                },
                WorkerCall::Poll(worker, _) => WorkerEvent::Polled {
                    worker,
                    result: PollResult::Listed(Listing {
                        clock_ms: CLOCK_MS,
                        ..Listing::default()
                    }),
                },
                _ => continue,
            };
            let _ = events.send(event);
        }
    });
    (calls, results, task)
}

/// Links that never answer.
fn silent_links() -> (WorkerCalls, WorkerEvents, JoinHandle<()>) {
    let (calls, mut receiver) = mpsc::channel(64);
    let (events, results) = mpsc::unbounded_channel();
    let task = tokio::spawn(async move {
        while receiver.recv().await.is_some() {}
        drop(events);
    });
    (calls, results, task)
}

/// A clock that tests move.
#[derive(Default)]
struct ManualClock(AtomicU64);

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis::from_ms(self.0.load(Ordering::Relaxed))
    }

    fn wall(&self) -> Millis {
        self.now()
    }
}

struct Gateway {
    clock: Arc<ManualClock>,
    offer: GatewayOffer,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

async fn start_gateway(start_links: StartLinks) -> Gateway {
    let clock = Arc::new(ManualClock(AtomicU64::new(1_000_000)));
    let options = GatewayOptions {
        start_links,
        clock: Arc::clone(&clock) as _,
        metrics: metrics_registry::start(DroppedLines::default()).0,
        log: Logger::root(Discard, o!()),
    };
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = GatewayServer::bind(address, options)
        .await
        .expect("a free port");
    let address = server.local_address().expect("bound").to_string();
    let (stop, stopping) = watch::channel(false);
    Gateway {
        clock,
        offer: GatewayOffer {
            name: format!("gateway {address}").into(),
            address: address.into(),
            availability_zone: "a".into(),
            processor_milli: 500,
        },
        stop,
        task: tokio::spawn(server.run(stopping)),
    }
}

struct Leader {
    router: Router,
    worker: WorkerKey,
    runs: SlotMap<RunKey, ()>,
}

impl Leader {
    async fn start(fencing_token: u64) -> Self {
        Self::start_with_log(fencing_token, Logger::root(Discard, o!())).await
    }

    async fn start_with_log(fencing_token: u64, log: Logger) -> Self {
        let router = Router::start(RouterOptions {
            start_links: scripted_links::<LOCAL>,
            leader: "leader".into(),
            fencing_token,
            metrics: metrics_registry::start(DroppedLines::default()).0,
            log,
        });
        let worker = SlotMap::<WorkerKey, ()>::with_key().insert(());
        let leader = Self {
            router,
            worker,
            runs: SlotMap::with_key(),
        };
        let open = WorkerCall::Open {
            worker,
            id: "w".into(),
            address: "127.0.0.1:1".into(),
            availability_zone: "a".into(),
            fencing_token,
        };
        leader.call(open).await;
        leader
    }

    async fn call(&self, call: WorkerCall) {
        self.router.calls.send(call).await.expect("the router runs");
    }

    async fn event(&mut self) -> WorkerEvent {
        let event = tokio::time::timeout(TIMEOUT, self.router.events.recv()).await;
        event.expect("a result in time").expect("the router runs")
    }

    async fn send_start(&mut self) -> RunKey {
        let run = self.runs.insert(());
        let order = StartOrder {
            run,
            task: task_name(0),
            number: 1,
            text: "text".into(),
            deadline_ms: 5_000,
            checkpoint: "".into(),
            ticket: None,
        };
        self.call(WorkerCall::Start(self.worker, order)).await;
        run
    }

    /// Starts a run and returns the result.
    async fn start_run(&mut self) -> OrderResult {
        let sent = self.send_start().await;
        match self.event().await {
            WorkerEvent::Started { run, result, .. } => {
                assert_eq!(run, sent, "a result names the run of its order");
                result
            }
            other => panic!("expected the result of a start, not {other:?}"),
        }
    }

    async fn send_poll(&self) {
        let order = PollOrder {
            deadline_ms: Some(5_000),
            acknowledged: 0,
            wait_ms: 0,
        };
        self.call(WorkerCall::Poll(self.worker, order)).await;
    }

    async fn poll(&mut self) -> PollResult {
        self.send_poll().await;
        match self.event().await {
            WorkerEvent::Polled { result, .. } => result,
            other => panic!("expected the result of a poll, not {other:?}"),
        }
    }

    /// Polls until the answer comes by the expected way.
    async fn poll_until(&mut self, clock_ms: u64) {
        for _ in 0..500 {
            if matches!(self.poll().await, PollResult::Listed(listing) if listing.clock_ms == clock_ms)
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no poll was answered with the clock reading {clock_ms}");
    }
}

/// Guards against orders that a gateway loses or answers for another run, and against a leader that never
/// uses a gateway.
#[tokio::test]
async fn a_worker_moves_to_a_gateway_when_it_is_idle() {
    let gateway = start_gateway(scripted_links::<GATEWAY>).await;
    let mut leader = Leader::start(5).await;
    let local = OrderResult::Accepted { clock_ms: LOCAL };
    assert_eq!(leader.start_run().await, local);
    leader
        .router
        .offers
        .send_replace(vec![gateway.offer.clone()]);
    leader.poll_until(GATEWAY).await;
    let remote = OrderResult::Accepted { clock_ms: GATEWAY };
    for _ in 0..100 {
        assert_eq!(leader.start_run().await, remote);
    }
}

fn task_name(index: u32) -> TaskName {
    TaskName {
        job: "5c0e7a21d94b36f8".into(),
        position: TaskPosition {
            occurrence: 0,
            step: 0,
            index,
        },
    }
}

/// Links that answer every poll at once with many active runs.
fn busy_links() -> (WorkerCalls, WorkerEvents, JoinHandle<()>) {
    const RUNS: u32 = 600;
    let (calls, mut receiver) = mpsc::channel(64);
    let (events, results) = mpsc::unbounded_channel();
    let running: Vec<ListedRun> = (0..RUNS)
        .map(|index| ListedRun {
            task: task_name(index),
            number: 1,
            checkpoint: "00000bb87a21d94b".into(),
            percent: 50,
            gauge: 500,
        })
        .collect();
    let task = tokio::spawn(async move {
        while let Some(call) = receiver.recv().await {
            let WorkerCall::Poll(worker, _) = call else {
                continue;
            };
            let listing = Listing {
                clock_ms: GATEWAY,
                running: running.clone(),
                ..Listing::default()
            };
            let result = PollResult::Listed(listing);
            let _ = events.send(WorkerEvent::Polled { worker, result });
        }
    });
    (calls, results, task)
}

/// Guards against a gateway that counts as lost because the answers of its workers, which arrive together, fill a frame
/// that takes longer on a thin link than the time without a frame after which the leader gives up.
#[tokio::test]
async fn the_answers_of_many_workers_arrive_over_a_thin_link() {
    const WORKERS: usize = 24;
    const KBIT_PER_S: u64 = 2_000;
    let gateway = start_gateway(busy_links).await;
    let address = gateway.offer.address.parse().expect("an address");
    let link = ThinLink::start(address, KBIT_PER_S).await;
    let link = link.expect("a free port");
    let mut leader = Leader::start(5).await;
    let offer = GatewayOffer {
        address: link.address().to_string().into(),
        ..gateway.offer.clone()
    };
    leader.router.offers.send_replace(vec![offer]);
    leader.poll_until(GATEWAY).await;
    let mut workers: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    // The first key is that of the leader's own worker.
    workers.insert(());
    let poll = PollOrder {
        deadline_ms: Some(5_000),
        acknowledged: 0,
        wait_ms: 0,
    };
    let mut polls = Vec::new();
    for index in 0..WORKERS {
        let worker = workers.insert(());
        polls.push(worker);
        leader
            .call(WorkerCall::Open {
                worker,
                id: format!("w-{index}").into(),
                address: "127.0.0.1:1".into(),
                availability_zone: "a".into(),
                fencing_token: 5,
            })
            .await;
    }
    // The first poll moves an idle worker to the gateway, the second one goes through it.
    for _ in 0..2 {
        for worker in &polls {
            let poll = WorkerCall::Poll(*worker, poll);
            leader.call(poll).await;
        }
        for _ in &polls {
            let event = leader.event().await;
            let WorkerEvent::Polled { result, .. } = event else {
                panic!("unexpected {event:?}");
            };
            assert!(matches!(result, PollResult::Listed(_)), "{result:?}");
        }
    }
    link.stop().await;
}

/// Guards against runs and polls that wait for ever for the result of a lost gateway, and against a worker
/// that counts as unresponsive because of it.
#[tokio::test]
async fn the_calls_of_a_lost_gateway_end() {
    let silent = start_gateway(silent_links).await;
    let mut leader = Leader::start(5).await;
    leader
        .router
        .offers
        .send_replace(vec![silent.offer.clone()]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    // The poll moves the idle worker to the gateway, which answers nothing.
    leader.send_poll().await;
    let run = leader.send_start().await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(leader.router.events.is_empty(), "no call has a result yet");
    silent.task.abort();
    let mut results = (None, None);
    while results.0.is_none() || results.1.is_none() {
        match leader.event().await {
            WorkerEvent::Started {
                run: ended, result, ..
            } if ended == run => results.0 = Some(result),
            WorkerEvent::Polled { result, .. } => results.1 = Some(result),
            other => panic!("unexpected {other:?}"),
        }
    }
    let lost = (
        Some(OrderResult::Unanswered),
        Some(PollResult::LinkClosed(PollReception::Unknown)),
    );
    assert_eq!(results, lost);
    leader.poll_until(LOCAL).await;
}

/// Guards against orders that a gateway carries out after it was frozen: a new leader may have started the
/// same task elsewhere by then.
#[tokio::test]
async fn a_gateway_carries_out_no_old_orders() {
    let gateway = start_gateway(scripted_links::<GATEWAY>).await;
    let mut leader = Leader::start(5).await;
    leader
        .router
        .offers
        .send_replace(vec![gateway.offer.clone()]);
    leader.poll_until(GATEWAY).await;
    gateway
        .clock
        .0
        .fetch_add(ORDER_AGE_MAX_MS + 1, Ordering::Relaxed);
    let first = leader.start_run().await;
    assert_eq!(
        first,
        OrderResult::NotSent,
        "the order is older than the jump"
    );
    leader.poll_until(GATEWAY).await;
    let remote = OrderResult::Accepted { clock_ms: GATEWAY };
    assert_eq!(leader.start_run().await, remote);
}

/// Guards against a former leader whose orders a gateway carries out after a new leader has connected.
#[tokio::test]
async fn a_newer_leader_ends_the_connection_of_the_former_one() {
    let gateway = start_gateway(scripted_links::<GATEWAY>).await;
    let mut former = Leader::start(5).await;
    former
        .router
        .offers
        .send_replace(vec![gateway.offer.clone()]);
    former.poll_until(GATEWAY).await;
    let mut newer = Leader::start(6).await;
    newer
        .router
        .offers
        .send_replace(vec![gateway.offer.clone()]);
    newer.poll_until(GATEWAY).await;
    former.poll_until(LOCAL).await;
}

/// Guards against a planned stop of a gateway that cuts calls in flight or leaves the worker without a link.
#[tokio::test]
async fn a_stopping_gateway_hands_over_its_workers() {
    let gateway = start_gateway(scripted_links::<GATEWAY>).await;
    let mut leader = Leader::start(5).await;
    leader
        .router
        .offers
        .send_replace(vec![gateway.offer.clone()]);
    leader.poll_until(GATEWAY).await;
    gateway.stop.send_replace(true);
    for _ in 0..500 {
        match leader.poll().await {
            PollResult::Listed(listing) if listing.clock_ms == LOCAL => break,
            PollResult::Listed(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            other => panic!("a planned stop cut a poll: {other:?}"),
        }
    }
    let ended = tokio::time::timeout(TIMEOUT, gateway.task).await;
    ended.expect("the gateway ends").expect("without a failure");
}

/// Guards against a run that the scheduler keeps for good because its start was sent after the link of the
/// worker had been closed and never got a result.
#[tokio::test]
async fn a_start_without_a_link_gets_a_result() {
    let mut leader = Leader::start(1).await;
    leader.call(WorkerCall::Close(leader.worker)).await;
    assert_eq!(leader.start_run().await, OrderResult::NotSent);
}

/// Links of a daemon that reaches no worker: no start and no poll is answered.
fn cut_off_links() -> (WorkerCalls, WorkerEvents, JoinHandle<()>) {
    let (calls, mut receiver) = mpsc::channel::<WorkerCall>(64);
    let (events, results) = mpsc::unbounded_channel();
    let task = tokio::spawn(async move {
        while let Some(call) = receiver.recv().await {
            if let Some(event) = call.ended_with(OrderResult::Unanswered) {
                let _ = events.send(event);
            }
        }
    });
    (calls, results, task)
}

/// Guards against workers that count as unresponsive for good because their gateway does not reach them,
/// while the leader does.
#[tokio::test]
async fn a_worker_that_its_gateway_does_not_reach_is_polled_by_the_leader() {
    let gateway = start_gateway(cut_off_links).await;
    let mut leader = Leader::start(5).await;
    let offers = vec![gateway.offer.clone()];
    leader.router.offers.send_replace(offers);
    while !matches!(leader.poll().await, PollResult::Unanswered(_)) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    leader.poll_until(LOCAL).await;
    let local = OrderResult::Accepted { clock_ms: LOCAL };
    for _ in 0..10 {
        leader.poll_until(LOCAL).await;
        assert_eq!(leader.start_run().await, local, "the leader goes on");
    }
}

/// A log that makes the first session that connects wait for a signal and then panic.
struct FailingLog(Mutex<Option<std_mpsc::Receiver<()>>>);

impl Drain for FailingLog {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), Never> {
        if record.msg().to_string() == "gateway connected" {
            let signal = self.0.lock().expect("unpoisoned").take();
            if let Some(signal) = signal {
                // Other tasks of the runtime go on.
                let _ = tokio::task::block_in_place(|| signal.recv());
                panic!("the test makes the session fail");
            }
        }
        Ok(())
    }
}

/// Guards against runs that are kept for good, and a gateway that is never used again, because the task of the
/// session with the gateway has failed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failed_session_is_replaced_and_its_calls_end() {
    let gateway = start_gateway(scripted_links::<GATEWAY>).await;
    let (fail, signal) = std_mpsc::channel();
    let log = Logger::root(FailingLog(Mutex::new(Some(signal))), o!());
    let mut leader = Leader::start_with_log(5, log).await;
    let offers = vec![gateway.offer.clone()];
    leader.router.offers.send_replace(offers);
    // Polls are answered by the leader's own links until the waiting session gets the first one.
    let mut is_answered = true;
    for _ in 0..500 {
        leader.send_poll().await;
        let wait = Duration::from_millis(300);
        let answer = tokio::time::timeout(wait, leader.router.events.recv()).await;
        is_answered = answer.is_ok();
        if !is_answered {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(!is_answered, "the session has connected");
    let run = leader.send_start().await;
    fail.send(()).expect("the session waits");
    let mut results = (None, None);
    while results.0.is_none() || results.1.is_none() {
        match leader.event().await {
            WorkerEvent::Started {
                run: ended, result, ..
            } if ended == run => results.0 = Some(result),
            WorkerEvent::Polled { result, .. } => results.1 = Some(result),
            other => panic!("unexpected {other:?}"),
        }
    }
    // A start that is passed on after the failure was certainly not sent.
    assert!(
        matches!(
            results.0,
            Some(OrderResult::Unanswered | OrderResult::NotSent)
        ),
        "{results:?}"
    );
    assert_eq!(
        results.1,
        Some(PollResult::LinkClosed(PollReception::Unknown))
    );
    leader.poll_until(GATEWAY).await;
}
