//! Implements the configuration port with jsonrpsee: a server for questions of peers and a client for those of
//! this daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::server::{RpcModule, Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use rosemaryscale_domain::config_source::PeerStatement;
use rosemaryscale_ports::config_link::{
    ConfigAnswer, ConfigCall, ConfigLinkError, ConfigPeers, ConfigQuestion, InboundQuestion,
};
use rosemaryscale_ports::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::task::JoinHandle;

use crate::reply::ReplyBounds;
use crate::rpc_client::{self, MESSAGE_MAX_BYTES, RpcClient};

const METHOD: &str = "queue_config";
/// A daemon asks one peer at a time.
const CALL_CAPACITY: usize = 1;
/// A peer answers from its memory. Two silent peers can be given up within the interval of 1 s between questions.
const ANSWER_BOUNDS: ReplyBounds = ReplyBounds {
    head_ms: 500,
    pause_ms: 500,
};
/// Code of an error answer; the question may be sent to another daemon.
const STOPPING_CODE: i32 = -32_000;

/// Why the server did not start.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ConfigServerError {
    /// The server cannot listen on the address.
    #[snafu(display("cannot listen on {address}: {source}; set a free peer_address"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Description of the failure.
        source: std::io::Error,
    },
    /// The method could not be registered.
    #[snafu(display("cannot register the configuration method; report this as a defect"))]
    Register,
}

#[derive(Serialize, Deserialize)]
struct QuestionMessage {
    from: Arc<str>,
    version: u64,
}

#[derive(Clone, Serialize, Deserialize)]
struct AnswerMessage {
    version: u64,
    #[serde(default)]
    confirmed_age_ms: Option<u64>,
    #[serde(default)]
    text: Option<Arc<str>>,
}

/// The running server.
pub struct ConfigServer {
    handle: ServerHandle,
}

impl ConfigServer {
    /// Starts the server, which sends the peers' questions to `inbound`.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot listen on the address.
    pub async fn start(
        address: SocketAddr,
        inbound: mpsc::Sender<InboundQuestion>,
    ) -> Result<Self, ConfigServerError> {
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
        let mut module = RpcModule::new(inbound);
        let registered =
            module.register_async_method(METHOD, |parameters, inbound, _| async move {
                let question: QuestionMessage = parameters.one()?;
                answer(&inbound, question).await
            });
        registered.map_err(|_| ConfigServerError::Register)?;
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

async fn answer(
    inbound: &mpsc::Sender<InboundQuestion>,
    question: QuestionMessage,
) -> Result<AnswerMessage, ErrorObjectOwned> {
    let stopping = || {
        let text = "the daemon is stopping; ask another one";
        ErrorObjectOwned::owned(STOPPING_CODE, text, None::<()>)
    };
    let (reply, answer) = oneshot::channel();
    let question = ConfigQuestion {
        from: question.from,
        version: question.version,
    };
    let sent = inbound.send(InboundQuestion { question, reply }).await;
    sent.map_err(|_| stopping())?;
    let answer = answer.await.map_err(|_| stopping())?;
    Ok(AnswerMessage {
        version: answer.statement.version,
        confirmed_age_ms: answer.statement.confirmed_age_ms,
        text: answer.text,
    })
}

/// Starts the task of the client. It ends when every handle is dropped.
#[must_use]
pub fn start(metrics: Metrics) -> (ConfigPeers, JoinHandle<()>) {
    let (handle, calls) = ConfigPeers::channel(CALL_CAPACITY);
    let client = ConfigClient {
        metrics,
        latest: None,
    };
    (handle, tokio::spawn(client.run(calls)))
}

/// State of the task that asks peers.
struct ConfigClient {
    metrics: Metrics,
    /// Client of the peer that answered last, whose connection is open.
    latest: Option<(SocketAddr, RpcClient)>,
}

impl ConfigClient {
    async fn run(mut self, mut calls: mpsc::Receiver<ConfigCall>) {
        while let Some(call) = calls.recv().await {
            self.metrics.count("config.peer_calls", 1);
            let answer = self.ask(call.address, call.question).await;
            if answer.is_err() {
                self.metrics.count("config.peer_failures", 1);
            }
            let _ = call.reply.send(answer);
        }
    }

    async fn ask(
        &mut self,
        address: SocketAddr,
        question: ConfigQuestion,
    ) -> Result<ConfigAnswer, ConfigLinkError> {
        let client = match self.latest.take() {
            Some((latest, client)) if latest == address => client,
            _ => rpc_client::connect(address, ANSWER_BOUNDS)
                .map_err(|_| ConfigLinkError::Unreachable { address })?,
        };
        let question = QuestionMessage {
            from: question.from,
            version: question.version,
        };
        let answer: AnswerMessage = client
            .request(METHOD, rpc_params![question])
            .await
            .map_err(|error| link_error(address, &error))?;
        self.latest = Some((address, client));
        Ok(ConfigAnswer {
            statement: PeerStatement {
                version: answer.version,
                confirmed_age_ms: answer.confirmed_age_ms,
            },
            text: answer.text,
        })
    }
}

/// Keeps only the kind of an error: the text of one may quote the answer, which contains API keys.
fn link_error(address: SocketAddr, error: &ClientError) -> ConfigLinkError {
    match error {
        error if rpc_client::is_timeout(error) => ConfigLinkError::TimedOut { address },
        ClientError::Transport(_) => ConfigLinkError::Unreachable { address },
        _ => ConfigLinkError::Unusable { address },
    }
}
