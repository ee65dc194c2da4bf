//! A scripted upstream that writes raw bytes, for responses that an HTTP library would not produce.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

const OBSERVATION_CAPACITY: usize = 64;

/// How the upstream handles a request.
#[derive(Clone, Copy, Debug)]
pub enum ScriptedAction {
    /// Write these bytes.
    Write(&'static str),
    /// Write these bytes, then close the connection.
    WriteAndClose(&'static str),
    /// Write these bytes once the request head has arrived, and never read the body.
    WriteEarly(&'static str),
    /// Write the first bytes, then wait for [`ScriptedUpstream::release_second_part`] and write the
    /// second bytes.
    WriteInTwoParts(&'static str, &'static str),
    /// Never answer.
    Unresponsive,
}

/// Event that the upstream observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedEvent {
    /// A complete request arrived.
    Request {
        /// Number of its connection, counted from 1.
        connection: u32,
    },
    /// A connection ended.
    Closed {
        /// Number of the connection.
        connection: u32,
    },
}

#[derive(Debug)]
struct Script {
    actions: Vec<ScriptedAction>,
    next_index: AtomicUsize,
    /// One permit per call of [`ScriptedUpstream::release_second_part`].
    releases: Semaphore,
}

impl Script {
    fn next_action(&self) -> ScriptedAction {
        let index = self.next_index.fetch_add(1, Ordering::SeqCst);
        self.actions[index.min(self.actions.len() - 1)]
    }
}

/// A running scripted upstream. Dropping it ends its task.
#[derive(Debug)]
pub struct ScriptedUpstream {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Observed events, in order.
    pub events: mpsc::Receiver<ObservedEvent>,
    script: Arc<Script>,
    task: JoinSet<()>,
}

impl ScriptedUpstream {
    /// Starts an upstream that handles its requests with the given actions in order and repeats the
    /// last one.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port is available.
    pub async fn start(actions: &[ScriptedAction]) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (events, receiver) = mpsc::channel(OBSERVATION_CAPACITY);
        let script = Arc::new(Script {
            actions: actions.to_vec(),
            next_index: AtomicUsize::new(0),
            releases: Semaphore::new(0),
        });
        let mut task = JoinSet::new();
        task.spawn(accept_connections(listener, Arc::clone(&script), events));
        Ok(Self {
            address,
            events: receiver,
            script,
            task,
        })
    }

    /// Closes every connection and stops listening.
    pub async fn stop(&mut self) {
        self.task.shutdown().await;
    }

    /// Lets one [`ScriptedAction::WriteInTwoParts`] write its second bytes.
    pub fn release_second_part(&self) {
        self.script.releases.add_permits(1);
    }
}

async fn accept_connections(
    listener: TcpListener,
    script: Arc<Script>,
    events: mpsc::Sender<ObservedEvent>,
) {
    let mut connections = JoinSet::new();
    let mut connection = 0;
    while let Ok((stream, _)) = listener.accept().await {
        connection += 1;
        let script = Arc::clone(&script);
        connections.spawn(serve_connection(stream, connection, script, events.clone()));
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    connection: u32,
    script: Arc<Script>,
    events: mpsc::Sender<ObservedEvent>,
) {
    while let Some(head) = read_head(&mut stream).await {
        let action = script.next_action();
        let body_length = match action {
            ScriptedAction::WriteEarly(_) => 0,
            _ => content_length(&head),
        };
        let mut body = vec![0; body_length];
        if stream.read_exact(&mut body).await.is_err() {
            break;
        }
        let _ = events.send(ObservedEvent::Request { connection }).await;
        if !perform(action, &mut stream, &script).await {
            break;
        }
    }
    let _ = events.send(ObservedEvent::Closed { connection }).await;
}

/// Performs an action and returns whether the connection stays open.
async fn perform(action: ScriptedAction, stream: &mut TcpStream, script: &Script) -> bool {
    let result = match action {
        ScriptedAction::Unresponsive => Ok(()),
        ScriptedAction::Write(text) => stream.write_all(text.as_bytes()).await,
        ScriptedAction::WriteAndClose(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            return false;
        }
        ScriptedAction::WriteEarly(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            std::future::pending().await
        }
        ScriptedAction::WriteInTwoParts(first, second) => {
            let _ = stream.write_all(first.as_bytes()).await;
            if let Ok(permit) = script.releases.acquire().await {
                permit.forget();
            }
            stream.write_all(second.as_bytes()).await
        }
    };
    result.is_ok()
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

fn content_length(head: &str) -> usize {
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse().ok()).unwrap_or(0)
}
