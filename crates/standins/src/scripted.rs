//! A scripted upstream that writes bytes as told, for responses that no HTTP library would write.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

const SEEN: usize = 64;

/// What the upstream does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Write these bytes.
    Write(&'static str),
    /// Write these bytes and close.
    WriteAndClose(&'static str),
    /// Write these bytes after the head, and never read the body.
    WriteEarly(&'static str),
    /// Write the first bytes, and the second after [`Scripted::release`].
    WriteLate(&'static str, &'static str),
    /// Never answer.
    Silent,
}

/// What the upstream saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A whole request.
    Request {
        /// Number of its connection, counted from 1.
        connection: u32,
    },
    /// The end of a connection.
    Closed {
        /// Number of the connection.
        connection: u32,
    },
}

#[derive(Debug)]
struct Script {
    acts: Vec<Act>,
    next: AtomicUsize,
    late: Semaphore,
}

impl Script {
    fn next(&self) -> Act {
        let index = self.next.fetch_add(1, Ordering::SeqCst);
        self.acts[index.min(self.acts.len() - 1)]
    }
}

/// A running scripted upstream. Its task ends when it is dropped.
#[derive(Debug)]
pub struct Scripted {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it sees, in order.
    pub seen: mpsc::Receiver<Seen>,
    script: Arc<Script>,
    task: JoinSet<()>,
}

impl Scripted {
    /// Starts an upstream whose requests take the acts in turn, and then the last one.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(acts: &[Act]) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (seen, receiver) = mpsc::channel(SEEN);
        let script = Arc::new(Script {
            acts: acts.to_vec(),
            next: AtomicUsize::new(0),
            late: Semaphore::new(0),
        });
        let mut task = JoinSet::new();
        task.spawn(serve(listener, Arc::clone(&script), seen));
        Ok(Self {
            address,
            seen: receiver,
            script,
            task,
        })
    }

    /// Closes every connection and stops listening.
    pub async fn stop(&mut self) {
        self.task.shutdown().await;
    }

    /// Lets one [`Act::WriteLate`] go on.
    pub fn release(&self) {
        self.script.late.add_permits(1);
    }
}

async fn serve(listener: TcpListener, script: Arc<Script>, seen: mpsc::Sender<Seen>) {
    let mut connections = JoinSet::new();
    let mut number = 0;
    while let Ok((stream, _)) = listener.accept().await {
        number += 1;
        let script = Arc::clone(&script);
        connections.spawn(converse(stream, number, script, seen.clone()));
    }
}

async fn converse(
    mut stream: TcpStream,
    connection: u32,
    script: Arc<Script>,
    seen: mpsc::Sender<Seen>,
) {
    while let Some(head) = read_head(&mut stream).await {
        let act = script.next();
        let length = match act {
            Act::WriteEarly(_) => 0,
            _ => body_length(&head),
        };
        let mut body = vec![0; length];
        if stream.read_exact(&mut body).await.is_err() {
            break;
        }
        let _ = seen.send(Seen::Request { connection }).await;
        if !perform(act, &mut stream, &script).await {
            break;
        }
    }
    let _ = seen.send(Seen::Closed { connection }).await;
}

/// Returns whether the connection stays open.
async fn perform(act: Act, stream: &mut TcpStream, script: &Script) -> bool {
    let written = match act {
        Act::Silent => Ok(()),
        Act::Write(text) => stream.write_all(text.as_bytes()).await,
        Act::WriteAndClose(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            return false;
        }
        Act::WriteEarly(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            std::future::pending().await
        }
        Act::WriteLate(first, second) => {
            let _ = stream.write_all(first.as_bytes()).await;
            if let Ok(permit) = script.late.acquire().await {
                permit.forget();
            }
            stream.write_all(second.as_bytes()).await
        }
    };
    written.is_ok()
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

fn body_length(head: &str) -> usize {
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse().ok()).unwrap_or(0)
}
