//! A small HTTP/1.1 server and client over blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::json::Json;

/// A request as a server has read it.
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Json,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(header, _)| header == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(field, _)| field == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Answer of a handler; `None` gives no answer and holds the connection.
pub type Answer = Option<(u16, Json)>;

/// Server that can be closed like a process that is killed: its listener and its connections end at once.
pub struct Server {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Listens at a free port of a loopback address.
    pub fn start(handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> Self {
        Self::start_at(0, handler)
    }

    /// Listens at a port of a loopback address, once it is free.
    pub fn start_at(port: u16, handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> Self {
        let mut listener = TcpListener::bind(("127.0.0.1", port));
        for _ in 0..100 {
            if listener.is_ok() {
                break;
            }
            thread::sleep(Duration::from_millis(10));
            listener = TcpListener::bind(("127.0.0.1", port));
        }
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let closed = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let handler = Arc::new(handler);
        let server = Self {
            address,
            closed: Arc::clone(&closed),
            connections: Arc::clone(&connections),
        };
        thread::spawn(move || {
            for stream in listener.incoming() {
                if closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    let mut open = connections.lock().unwrap_or_else(PoisonError::into_inner);
                    open.push(copy);
                }
                let (handler, closed) = (Arc::clone(&handler), Arc::clone(&closed));
                thread::spawn(move || serve(stream, &*handler, &closed));
            }
        });
        server
    }

    /// Ends the listener and all connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect(self.address);
        let mut open = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(Request) -> Answer, closed: &AtomicBool) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if closed.load(Ordering::SeqCst) {
            return;
        }
        let Some((status, body)) = handler(request) else {
            // Nothing further is sent on this connection.
            while !closed.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(50));
            }
            return;
        };
        if closed.load(Ordering::SeqCst) {
            return;
        }
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.map_or(0, |(_, value)| value.parse().unwrap_or(0));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.map(|(name, value)| (name.to_owned(), percent_decode(value))).collect(),
        headers,
        body: Json::parse(std::str::from_utf8(&body).ok()?).unwrap_or(Json::Null),
    })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = std::str::from_utf8(&digits).unwrap_or("3f");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Makes a call on a connection of its own; `None` if no complete answer arrives in time.
pub fn call(
    address: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    stream.write_all(format!("{head}\r\n{body}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.map_or(0, |(_, value)| value.parse().unwrap_or(0));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    Some((status, Json::parse(&body).unwrap_or(Json::Null)))
}
