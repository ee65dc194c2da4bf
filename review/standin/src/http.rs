//! A small HTTP/1.1 server with one thread for each connection, and a client.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// Status and body; `None` sends nothing on this connection any more.
pub type Answer = Option<(u16, String)>;

/// A running server. Dropping a listener or ending it resets its port.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Listens on a loopback port, 0 for any free one.
    pub fn start(port: u16, handler: impl Fn(&Request) -> Answer + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", port)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let handler: Arc<dyn Fn(&Request) -> Answer + Send + Sync> = Arc::new(handler);
        let server = Self {
            address,
            stopped: Arc::clone(&stopped),
            connections: Arc::clone(&connections),
        };
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().expect("lock").push(copy);
                }
                let handler = Arc::clone(&handler);
                std::thread::spawn(move || serve(stream, &*handler));
            }
        });
        server
    }

    /// Closes the port and all connections, as the end of a process does.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().expect("lock").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &(dyn Fn(&Request) -> Answer + Send + Sync)) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(&request) else {
            // The answer is lost: nothing further comes on this connection.
            std::thread::sleep(Duration::from_secs(30));
            return;
        };
        let text = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|count| *count > 0)?;
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let headers = read_headers(reader)?;
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), decode_percent(value)))
        .collect();
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%'
            && let Some(code) = text
                .get(at + 1..at + 3)
                .and_then(|digits| u8::from_str_radix(digits, 16).ok())
        {
            decoded.push(code);
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8(decoded).unwrap_or_default()
}

/// Makes one call on a connection of its own. `None` if no complete answer came.
pub fn call(
    address: SocketAddr,
    (method, path, host): (&str, &str, &str),
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\nx-deadline-ms: {}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|count| *count > 0)?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length: usize = headers.get("content-length")?.parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8(body).ok()?))
}
