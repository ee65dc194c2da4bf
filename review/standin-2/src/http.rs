//! A small HTTP/1.1 server and client over blocking sockets.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// A request as a server has read it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Value,
}

/// What a server does with a request.
pub enum Reply {
    Json(u16, Value),
    /// Neither this request nor a later one on the connection is answered.
    Silent,
    /// The connection is closed without an answer.
    Close,
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    fn handle(&self, request: &Request) -> Reply;
}

/// A server on a loopback address.
pub struct Server {
    pub address: SocketAddr,
}

impl Server {
    /// Listens until the process ends.
    pub fn start(handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let handler = Arc::clone(&handler);
                thread::spawn(move || {
                    let _ = serve_connection(&stream, &*handler);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(Self { address })
    }
}

fn serve_connection(stream: &TcpStream, handler: &dyn Handler) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader)? {
        match handler.handle(&request) {
            Reply::Json(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes())?;
            }
            Reply::Silent => {
                // Reads until the client gives up.
                let mut buffer = [0; 4096];
                while reader.read(&mut buffer)? > 0 {}
                return Ok(());
            }
            Reply::Close => return Ok(()),
        }
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query
            .map(|(name, value)| (name.to_owned(), decoded(value)))
            .collect(),
        headers,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    }))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            None => return Ok(headers),
        }
    }
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        let escaped = (*first == b'%').then(|| tail.get(..2)).flatten();
        let escaped = escaped.and_then(|digits| std::str::from_utf8(digits).ok());
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Makes one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("connection: close\r\n\r\n");
    stream.write_all((head + body).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
    let headers = read_headers(&mut reader)?;
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}
