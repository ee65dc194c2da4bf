//! The tasks of a daemon and the order in which they are stopped.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_adapters::caller_api::Readiness;
use rosemaryscale_adapters::peer_link::PeerServer;
use rosemaryscale_adapters::{CallerApi, OperatorApi};
use rosemaryscale_ports::config::ConfigWatch;
use rosemaryscale_ports::operator::DaemonStatus;
use rosemaryscale_ports::prelude::*;
use snafu::ResultExt;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::daemon::{DaemonError, ResourceSnafu};
use crate::rollout::RolloutStatus;

/// Time that a stopping daemon waits beyond its longest request limit. Without a limit, a caller that
/// never sends the end of its body would block the stop forever; its request has not been executed.
const STOP_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// A task with a channel that requests it to stop.
pub(crate) struct StoppableTask {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl StoppableTask {
    /// Spawns a task; its argument resolves when the task should stop.
    pub(crate) fn spawn<F>(task: impl FnOnce(oneshot::Receiver<()>) -> F) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (stop, stop_receiver) = oneshot::channel();
        let task = tokio::spawn(task(stop_receiver));
        Self { stop, task }
    }

    /// Requests the task to stop and waits until it has ended.
    pub(crate) async fn stop(self) {
        let _ = self.stop.send(());
        let _ = self.task.await;
    }
}

/// Servers of a daemon.
pub(crate) struct Servers {
    pub(crate) callers: CallerApi,
    pub(crate) operators: OperatorApi,
    pub(crate) peers: PeerServer,
}

/// Tasks in the order in which they are stopped after the last caller has been served.
pub(crate) struct OrderedTasks {
    pub(crate) claims: StoppableTask,
    pub(crate) router: StoppableTask,
    pub(crate) usage: StoppableTask,
    pub(crate) controller: StoppableTask,
    pub(crate) membership: StoppableTask,
}

/// Servers and tasks of a running daemon.
pub(crate) struct Running {
    pub(crate) servers: Servers,
    pub(crate) ordered: OrderedTasks,
    /// Tasks that end by themselves once the other tasks have dropped their channels.
    pub(crate) background_tasks: Vec<JoinHandle<()>>,
}

impl Running {
    /// Finishes all requests, then stops the tasks, beginning with those that face the callers.
    async fn stop(self, longest_request_limit: Duration) {
        let Self {
            servers,
            ordered,
            background_tasks,
        } = self;
        let limit = longest_request_limit + STOP_GRACE_PERIOD;
        let _ = tokio::time::timeout(limit, servers.callers.stop()).await;
        ordered.claims.stop().await;
        ordered.router.stop().await;
        ordered.usage.stop().await;
        ordered.controller.stop().await;
        ordered.membership.stop().await;
        let _ = servers.operators.stop().await;
        servers.peers.stop().await;
        for task in background_tasks {
            let _ = task.await;
        }
    }
}

/// Tasks of a daemon and the channels of its life cycle.
pub(crate) struct Tasks {
    pub(crate) running: Option<Running>,
    pub(crate) readiness: watch::Sender<Readiness>,
    pub(crate) status: watch::Sender<DaemonStatus>,
    pub(crate) config: ConfigWatch,
    pub(crate) rollout: watch::Receiver<RolloutStatus>,
    pub(crate) events: Option<EventSink>,
    pub(crate) signals: StopSignals,
}

impl Tasks {
    /// Finishes all requests and stops all tasks.
    pub(crate) async fn stop(&mut self) {
        let longest_request_limit = self.longest_request_limit();
        self.events = None;
        if let Some(running) = self.running.take() {
            running.stop(longest_request_limit).await;
        }
    }

    /// Returns the longest request limit of the document in force.
    fn longest_request_limit(&self) -> Duration {
        let document = self.config.borrow().clone();
        let services = document
            .iter()
            .flat_map(|document| document.fields.services.values());
        let longest_ms = services.map(|service| service.request_limit_ms).max();
        Duration::from_millis(longest_ms.unwrap_or_default())
    }

    /// Publishes the reason why no document is in force yet.
    pub(crate) fn publish_reason(&mut self) {
        let reason = Arc::clone(&self.rollout.borrow_and_update().reason);
        if !reason.is_empty() {
            let _ = self.readiness.send_replace(Err(reason));
        }
        self.publish_status();
    }

    pub(crate) fn publish_status(&self) {
        let readiness = self.readiness.borrow().clone();
        let platform_reachable = self.rollout.borrow().platform_reachable;
        let document = self.config.borrow().clone();
        self.status.send_modify(|status| {
            status.ready = readiness.is_ok();
            status.platform_reachable = platform_reachable;
            status.reason = readiness.err().unwrap_or_default();
            if let Some(document) = document {
                status.version = document.state.version;
                status.digest = Arc::clone(&document.digest);
            }
        });
    }

    /// Refuses new callers from now on.
    pub(crate) fn refuse_callers(&self) {
        let stopping = Err("the daemon is stopping".into());
        let _ = self.readiness.send_replace(stopping);
        self.publish_status();
        if let Some(events) = &self.events {
            events.record(EventKind::Daemon, "daemon", "draining");
        }
    }
}

/// Signals that request a stop.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    pub(crate) fn open() -> Result<Self, DaemonError> {
        Ok(Self {
            terminate: stop_signal(SignalKind::terminate())?,
            interrupt: stop_signal(SignalKind::interrupt())?,
        })
    }

    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn stop_signal(kind: SignalKind) -> Result<Signal, DaemonError> {
    signal(kind).context(ResourceSnafu {
        what: "a signal handler",
    })
}
