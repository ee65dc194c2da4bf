//! The tasks of a daemon and the order in which they end.

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

/// A stopping daemon waits this much longer than its longest request. A caller that never sends
/// the end of its body would hold up the stop for good; its request was not run.
const BODY_GRACE: Duration = Duration::from_secs(5);

/// A task that runs until it is told to stop.
pub(crate) struct Stoppable {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Stoppable {
    /// Spawns a task that is given the receiver of its stop.
    pub(crate) fn spawn<F>(task: impl FnOnce(oneshot::Receiver<()>) -> F) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(task(stopped));
        Self { stop, task }
    }

    /// Stops the task and waits for its end.
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

/// Tasks in the order in which they end, once no caller is left.
pub(crate) struct OrderedTasks {
    pub(crate) claims: Stoppable,
    pub(crate) router: Stoppable,
    pub(crate) usage: Stoppable,
    pub(crate) controller: Stoppable,
    pub(crate) membership: Stoppable,
}

/// What a running daemon consists of.
pub(crate) struct Running {
    pub(crate) servers: Servers,
    pub(crate) ordered: OrderedTasks,
    /// Tasks that end when the handles of the others are dropped.
    pub(crate) joined: Vec<JoinHandle<()>>,
}

impl Running {
    /// Finishes every request, then ends the tasks from the outside in.
    async fn stop(self, longest_request: Duration) {
        let Self {
            servers,
            ordered,
            joined,
        } = self;
        let limit = longest_request + BODY_GRACE;
        let _ = tokio::time::timeout(limit, servers.callers.stop()).await;
        ordered.claims.stop().await;
        ordered.router.stop().await;
        ordered.usage.stop().await;
        ordered.controller.stop().await;
        ordered.membership.stop().await;
        let _ = servers.operators.stop().await;
        servers.peers.stop().await;
        for task in joined {
            let _ = task.await;
        }
    }
}

/// What the life cycle of a daemon watches and changes.
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
    /// Finishes every request and ends every task.
    pub(crate) async fn stop(&mut self) {
        let longest_request = self.longest_request();
        self.events = None;
        if let Some(running) = self.running.take() {
            running.stop(longest_request).await;
        }
    }

    /// Longest time that an accepted request may take.
    fn longest_request(&self) -> Duration {
        let document = self.config.borrow().clone();
        let services = document
            .iter()
            .flat_map(|known| known.fields.services.values());
        let longest_ms = services.map(|service| service.request_limit_ms).max();
        Duration::from_millis(longest_ms.unwrap_or_default())
    }

    /// Passes on why there is no document yet.
    pub(crate) fn update_reason(&mut self) {
        let reason = Arc::clone(&self.rollout.borrow_and_update().reason);
        if !reason.is_empty() {
            let _ = self.readiness.send_replace(Err(reason));
        }
        self.update_status();
    }

    pub(crate) fn update_status(&self) {
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

    /// Accepts no new callers from now on.
    pub(crate) fn refuse_callers(&self) {
        let stopping = Err("the daemon is stopping".into());
        let _ = self.readiness.send_replace(stopping);
        self.update_status();
        if let Some(events) = &self.events {
            events.record(EventKind::Daemon, "daemon", "draining");
        }
    }
}

/// Signals that ask for a stop.
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
