//! Implements the peer port with jsonrpsee: a server for calls from peers and one client per peer.

use std::net::SocketAddr;
use std::sync::Arc;

use jsonrpsee::core::client::ClientT;
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

use crate::reply::ReplyBounds;
use crate::rpc_client::{self, MESSAGE_MAX_BYTES, RpcClient};

const METHOD: &str = "peer_call";
const CALL_QUEUE_CAPACITY: usize = 256;
const REPLY_BOUNDS: ReplyBounds = ReplyBounds {
    head_ms: 1_000,
    pause_ms: 1_000,
};
/// Maximum number of cached clients of daemons that are not members of the environment: peers named
/// in the settings and members of other environments.
const MAX_NON_MEMBER_CLIENTS: usize = 64;

/// Why the server did not start.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PeerLinkError {
    /// The server cannot listen on the address.
    #[snafu(display("cannot listen on {address}: {source}; set a free peer_address"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Description of the failure.
        source: std::io::Error,
    },
    /// The method could not be registered.
    #[snafu(display("cannot register the peer method: {reason}; report this as a defect"))]
    Register {
        /// Description of the failure.
        reason: String,
    },
}

/// Parameters of the peer link.
#[derive(Clone)]
pub struct PeerLinkOptions {
    /// Name of this daemon.
    pub name: Arc<str>,
    /// Clock of the process.
    pub clock: ClockHandle,
    /// The event log, whose clock is advanced to the times in the peers' messages.
    pub events: EventSink,
    /// Handle of the metrics port.
    pub metrics: Metrics,
}

/// The running server.
pub struct PeerServer {
    handle: ServerHandle,
}

impl PeerServer {
    /// Starts the server, which sends inbound calls to `inbound`.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot listen on the address.
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
                Ok::<_, ErrorObjectOwned>(handle_call(&context.0, &context.1, call).await)
            })
            .map_err(|error| PeerLinkError::Register {
                reason: error.to_string(),
            })?;
        Ok(Self {
            handle: server.start(module),
        })
    }

    /// Stops the server and waits until its connections are closed.
    pub async fn stop(self) {
        let _ = self.handle.stop();
        self.handle.stopped().await;
    }
}

async fn handle_call(
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

/// Starts the task of the clients. It ends when every handle is dropped.
#[must_use]
pub fn start(options: PeerLinkOptions, members: MemberWatch) -> (Peers, JoinHandle<()>) {
    let (handle, calls) = Peers::channel(CALL_QUEUE_CAPACITY);
    let clients = PeerClients {
        options,
        members,
        member_clients: FastMap::default(),
        non_member_clients: FastMap::default(),
        in_flight: JoinSet::new(),
    };
    (handle, tokio::spawn(clients.run(calls)))
}

/// State of the task that calls peers.
struct PeerClients {
    options: PeerLinkOptions,
    members: MemberWatch,
    member_clients: FastMap<Arc<str>, PeerClient>,
    non_member_clients: FastMap<SocketAddr, RpcClient>,
    in_flight: JoinSet<()>,
}

#[derive(Clone)]
struct PeerClient {
    address: SocketAddr,
    client: RpcClient,
}

impl PeerClients {
    async fn run(mut self, mut calls: mpsc::Receiver<PeerCall>) {
        loop {
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => self.start_call(call),
                    None => break,
                },
                Some(_) = self.in_flight.join_next() => {}
            }
        }
        self.in_flight.shutdown().await;
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
            None => self.member_client(&to),
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
        self.in_flight.spawn(async move {
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

    /// Returns the client of a member. Clients of former members are removed, and a client is
    /// replaced when the member's address has changed.
    fn member_client(&mut self, name: &Arc<str>) -> Result<RpcClient, PeerError> {
        let view = self.members.borrow().clone();
        self.member_clients
            .retain(|name, _| view.members.contains_key(name));
        let Some(member) = view.members.get(name) else {
            return Err(PeerError::UnknownMember {
                name: Arc::clone(name),
            });
        };
        let address = member.record.peer_address;
        if let Some(cached) = self
            .member_clients
            .get(name)
            .filter(|cached| cached.address == address)
        {
            return Ok(cached.client.clone());
        }
        let client = connect(name, address)?;
        let cached = PeerClient {
            address,
            client: client.clone(),
        };
        self.member_clients.insert(Arc::clone(name), cached);
        Ok(client)
    }

    /// Returns the client of a daemon that is not a member of the environment.
    fn client_at(&mut self, name: &Arc<str>, address: SocketAddr) -> Result<RpcClient, PeerError> {
        if let Some(client) = self.non_member_clients.get(&address) {
            return Ok(client.clone());
        }
        let client = connect(name, address)?;
        if self.non_member_clients.len() >= MAX_NON_MEMBER_CLIENTS {
            self.non_member_clients.clear();
        }
        self.non_member_clients.insert(address, client.clone());
        Ok(client)
    }
}

fn connect(name: &Arc<str>, address: SocketAddr) -> Result<RpcClient, PeerError> {
    rpc_client::connect(address, REPLY_BOUNDS).map_err(|error| PeerError::Unreachable {
        name: Arc::clone(name),
        reason: error.to_string(),
    })
}
