//! HTTP/1.1 over TCP on loopback: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::value::Value;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }
}

pub struct Response {
    pub status: u16,
    pub body: Value,
}

pub fn response(status: u16, body: Value) -> Option<Response> {
    Some(Response { status, body })
}

/// Handles a request. `None`: it is never answered.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// Serves an address of this machine on a free port, which is returned.
pub fn serve(handler: Handler) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let request = read_request(&mut reader)?;
        let Some(Response { status, body }) = handler(request) else {
            // Silence, until the client closes the connection.
            let mut rest = Vec::new();
            let _ = reader.read_to_end(&mut rest);
            return None;
        };
        let body = body.encode();
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(&[head.as_bytes(), &body].concat()).ok()?;
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, length) = read_head(reader)?;
    let mut words = first.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pair = |pair: &str| pair.split_once('=').map(|(name, value)| (name.to_owned(), value.to_owned()));
    let query = query.split('&').filter_map(pair).collect();
    Some(Request { method, path: path.to_owned(), query, body })
}

/// Reads the head of a message: its first line, and the length of the body.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, usize)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            return Some((first.trim().to_owned(), length));
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
}

/// Sends one request on a connection of its own. `None`: no response in time.
pub fn request(
    address: &str,
    method: &str,
    path: &str,
    body: Option<&Value>,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let deadline = Instant::now() + timeout;
    let address = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let left = deadline.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
    stream.set_read_timeout(Some(left)).ok()?;
    let body = body.map(Value::encode).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), &body].concat()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, length) = read_head(&mut reader)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, Value::decode(&body).unwrap_or(Value::Nil)))
}
