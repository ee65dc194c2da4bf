//! The peer link, on jsonrpsee: a server for calls of peers and one client per peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use jsonrpsee::server::{RpcModule, Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::member::MemberWatch;
use rosemaryscale_ports::peer::{
    Envelope, InboundCall, PeerCall, PeerError, PeerReply, PeerRequest, Peers,
};
use rosemaryscale_ports::prelude::*;
use snafu::{ResultExt, Snafu};
use tokio::task::{JoinHandle, JoinSet};

const METHOD: &str = "peer_call";
const CALLS: usize = 256;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Clients of daemons outside the environment: settings' peers and members of another environment.
const OTHER_CLIENTS_MAX: usize = 64;
/// A document of 900,000 bytes grows when it is escaped as JSON text.
const MESSAGE_MAX_BYTES: u32 = 4 << 20;

/// Why the server did not start.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PeerLinkError {
    /// The address cannot be used.
    #[snafu(display("cannot listen on {address}: {source}; set a free peer_address"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What failed.
        source: std::io::Error,
    },
    /// The method could not be registered.
    #[snafu(display("cannot register the peer method: {reason}; report this as a defect"))]
    Register {
        /// What failed.
        reason: String,
    },
}

/// What the peer link needs.
#[derive(Clone)]
pub struct PeerLinkOptions {
    /// Name of this daemon.
    pub name: Arc<str>,
    /// Clock of the process.
    pub clock: ClockHandle,
    /// The event log, whose clock follows the peers' clocks.
    pub events: EventSink,
    /// Counters.
    pub metrics: Metrics,
}

/// The running server.
pub struct PeerServer {
    handle: ServerHandle,
}

impl PeerServer {
    /// Starts the server; calls go to `inbound`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be used.
    pub async fn start(
        address: SocketAddr,
        options: PeerLinkOptions,
        inbound: mpsc::Sender<InboundCall>,
    ) -> Result<Self, PeerLinkError> {
        let config = ServerConfig::builder()
            .http_only()
            .max_request_body_size(MESSAGE_MAX_BYTES)
            .max_response_body_size(MESSAGE_MAX_BYTES)
            .build();
        let server = Server::builder()
            .set_config(config)
            .build(address)
            .await
            .context(ListenSnafu { address })?;
        let mut module = RpcModule::new((options, inbound));
        module
            .register_async_method(METHOD, |parameters, context, _| async move {
                let call: Envelope<PeerRequest> = parameters.one()?;
                Ok::<_, ErrorObjectOwned>(answer(&context.0, &context.1, call).await)
            })
            .map_err(|error| PeerLinkError::Register {
                reason: error.to_string(),
            })?;
        Ok(Self {
            handle: server.start(module),
        })
    }

    /// Stops the server and waits for its connections.
    pub async fn stop(self) {
        let _ = self.handle.stop();
        self.handle.stopped().await;
    }
}

async fn answer(
    options: &PeerLinkOptions,
    inbound: &mpsc::Sender<InboundCall>,
    call: Envelope<PeerRequest>,
) -> Envelope<PeerReply> {
    options.metrics.count("peer.received", 1);
    options.events.observe(Millis::from_ms(call.wall_ms));
    let (reply, result) = oneshot::channel();
    let call = InboundCall {
        from: call.from,
        request: call.body,
        reply,
    };
    let refused = |reason: &str| PeerReply::Refused(reason.into());
    let body = match inbound.send(call).await {
        Ok(()) => result
            .await
            .unwrap_or_else(|_| refused("the call was dropped")),
        Err(_) => refused("the daemon is stopping"),
    };
    envelope(options, body)
}

fn envelope<T>(options: &PeerLinkOptions, body: T) -> Envelope<T> {
    Envelope {
        from: Arc::clone(&options.name),
        wall_ms: options.clock.wall().as_ms(),
        body,
    }
}

/// Starts the task of the clients. The task ends when every handle is dropped.
#[must_use]
pub fn start(options: PeerLinkOptions, members: MemberWatch) -> (Peers, JoinHandle<()>) {
    let (handle, calls) = Peers::channel(CALLS);
    let clients = Clients {
        options,
        members,
        clients: FastMap::default(),
        others: FastMap::default(),
        running: JoinSet::new(),
    };
    (handle, tokio::spawn(clients.serve(calls)))
}

/// Clients by peer.
struct Clients {
    options: PeerLinkOptions,
    members: MemberWatch,
    clients: FastMap<Arc<str>, PeerClient>,
    others: FastMap<SocketAddr, HttpClient>,
    running: JoinSet<()>,
}

#[derive(Clone)]
struct PeerClient {
    address: SocketAddr,
    client: HttpClient,
}

impl Clients {
    async fn serve(mut self, mut calls: mpsc::Receiver<PeerCall>) {
        loop {
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => self.start_call(call),
                    None => break,
                },
                Some(_) = self.running.join_next() => {}
            }
        }
        self.running.shutdown().await;
    }

    fn start_call(&mut self, call: PeerCall) {
        let PeerCall {
            to,
            address,
            request,
            reply,
        } = call;
        let client = match address {
            Some(address) => self.client_at(&to, address),
            None => self.client(&to),
        };
        let client = match client {
            Ok(client) => client,
            Err(error) => {
                let _ = reply.send(Err(error));
                return;
            }
        };
        self.options.metrics.count("peer.sent", 1);
        let options = self.options.clone();
        self.running.spawn(async move {
            let call = envelope(&options, request);
            let result: Result<Envelope<PeerReply>, _> =
                client.request(METHOD, rpc_params![call]).await;
            let result = result.map(|reply| {
                options.events.observe(Millis::from_ms(reply.wall_ms));
                reply.body
            });
            let _ = reply.send(result.map_err(|error| {
                options.metrics.count("peer.failures", 1);
                PeerError::Unreachable {
                    name: to,
                    reason: error.to_string(),
                }
            }));
        });
    }

    fn client(&mut self, name: &Arc<str>) -> Result<HttpClient, PeerError> {
        let view = self.members.borrow().clone();
        self.clients
            .retain(|name, _| view.members.contains_key(name));
        let Some(member) = view.members.get(name) else {
            return Err(PeerError::UnknownMember {
                name: Arc::clone(name),
            });
        };
        let address = member.record.peer_address;
        if let Some(known) = self
            .clients
            .get(name)
            .filter(|known| known.address == address)
        {
            return Ok(known.client.clone());
        }
        let client = connect(name, address)?;
        let known = PeerClient {
            address,
            client: client.clone(),
        };
        self.clients.insert(Arc::clone(name), known);
        Ok(client)
    }

    /// The client of a daemon outside the environment's members.
    fn client_at(&mut self, name: &Arc<str>, address: SocketAddr) -> Result<HttpClient, PeerError> {
        if let Some(client) = self.others.get(&address) {
            return Ok(client.clone());
        }
        let client = connect(name, address)?;
        if self.others.len() >= OTHER_CLIENTS_MAX {
            self.others.clear();
        }
        self.others.insert(address, client.clone());
        Ok(client)
    }
}

fn connect(name: &Arc<str>, address: SocketAddr) -> Result<HttpClient, PeerError> {
    HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .max_request_size(MESSAGE_MAX_BYTES)
        .max_response_size(MESSAGE_MAX_BYTES)
        .build(format!("http://{address}"))
        .map_err(|error| PeerError::Unreachable {
            name: Arc::clone(name),
            reason: error.to_string(),
        })
}
