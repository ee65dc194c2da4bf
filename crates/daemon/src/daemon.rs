//! The daemon and its life cycle.

use rosemaryscale_adapters::peer_link::PeerLinkError;
use rosemaryscale_adapters::server::ServerError;
use snafu::Snafu;

use crate::config::Config;
use crate::tasks::Tasks;
use crate::wiring;

/// A fatal error of the daemon.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// A server did not start.
    #[snafu(display("{source}"))]
    Server {
        /// The error, which names the server.
        source: ServerError,
    },
    /// The operating system refused a resource.
    #[snafu(display("cannot open {what}: {source}; check the limits of the process"))]
    Resource {
        /// The resource.
        what: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The peer server did not start.
    #[snafu(display("{source}"))]
    Peer {
        /// The error of the server.
        source: PeerLinkError,
    },
    /// The client of the platform has stopped.
    #[snafu(display("{source}"))]
    Platform {
        /// The error of the client.
        source: rosemaryscale_ports::kv::KvError,
    },
}

/// State of a daemon that waits for its first document.
#[derive(Clone, Copy, Debug)]
pub struct Starting;

/// State of a daemon that accepts requests.
#[derive(Clone, Copy, Debug)]
pub struct Ready;

/// State of a daemon that finishes its requests and refuses new ones.
#[derive(Clone, Copy, Debug)]
pub struct Draining;

/// State of a daemon whose tasks have stopped.
#[derive(Clone, Copy, Debug)]
pub struct Stopped;

/// A daemon in state `S` of its life cycle.
pub struct Daemon<S> {
    tasks: Tasks,
    #[expect(dead_code, reason = "the state has no data")]
    state: S,
}

impl Daemon<Starting> {
    /// Starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails when a server cannot listen on its address or a resource is unavailable.
    pub async fn start(settings: Config) -> Result<Self, DaemonError> {
        let tasks = wiring::start(settings).await?;
        Ok(Self {
            tasks,
            state: Starting,
        })
    }

    /// Runs until a signal requests a stop, then finishes all requests.
    ///
    /// # Errors
    ///
    /// Fails when a server's task failed.
    pub async fn run(mut self) -> Result<Daemon<Stopped>, DaemonError> {
        while self.tasks.config.borrow_and_update().is_none() {
            tokio::select! {
                Ok(()) = self.tasks.config.changed() => {}
                Ok(()) = self.tasks.rollout.changed() => self.tasks.publish_reason(),
                () = self.tasks.signals.received() => return Ok(self.drain().finish().await),
            }
        }
        let mut daemon = self.ready();
        daemon.serve().await;
        Ok(daemon.drain().finish().await)
    }

    fn ready(self) -> Daemon<Ready> {
        let _ = self.tasks.readiness.send_replace(Ok(()));
        self.tasks.publish_status();
        Daemon {
            tasks: self.tasks,
            state: Ready,
        }
    }

    fn drain(self) -> Daemon<Draining> {
        drain(self.tasks)
    }
}

impl Daemon<Ready> {
    async fn serve(&mut self) {
        loop {
            tokio::select! {
                Ok(()) = self.tasks.config.changed() => self.tasks.publish_status(),
                Ok(()) = self.tasks.rollout.changed() => self.tasks.publish_status(),
                () = self.tasks.signals.received() => return,
            }
        }
    }

    fn drain(self) -> Daemon<Draining> {
        drain(self.tasks)
    }
}

impl Daemon<Draining> {
    /// Finishes all requests, then stops all tasks.
    async fn finish(mut self) -> Daemon<Stopped> {
        self.tasks.stop().await;
        Daemon {
            tasks: self.tasks,
            state: Stopped,
        }
    }
}

fn drain(tasks: Tasks) -> Daemon<Draining> {
    tasks.refuse_callers();
    Daemon {
        tasks,
        state: Draining,
    }
}
