//! The example site with three controllers over sockets, in real time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::TcpListener;
use std::time::{Duration, Instant};

use emulator::{Emulation, SiteFile};
use net::Client;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use wire::{JobSpec, JobState, JobStatus};

const SITE: &str = include_str!("../../../../examples/site.hcl");
const HELLO: &str = include_str!("../../../../examples/hello.toml");
/// How long users wait for the answer to a submission.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Statuses that a user takes for the final answer to a request.
pub const FINAL_REFUSALS: [u16; 3] = [400, 404, 422];

/// The example site with its ports replaced by free ones, and with other changes to its text.
pub fn site(changes: &[(&str, &str)]) -> SiteFile {
    let free_ports: Vec<TcpListener> =
        (0..14).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let mut text = SITE.to_owned();
    let ports = (8070..=8073).chain(8080..=8083).chain(8091..=8096);
    for (port, free) in ports.zip(&free_ports) {
        let free = free.local_addr().expect("an address").to_string();
        text = text.replace(&format!("127.0.0.1:{port}\""), &format!("{free}\""));
    }
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    SiteFile::parse("site.hcl", &text).expect("the example is valid")
}

/// The job of `examples/hello.toml`.
pub fn hello() -> JobSpec {
    toml::from_str(HELLO).expect("a job")
}

/// The emulated site and its controllers.
pub struct RunningSite {
    pub emulation: Emulation,
    stop: CancellationToken,
    controllers: Vec<JoinHandle<()>>,
}

impl RunningSite {
    /// Starts all and waits until the load balancer takes every controller for healthy.
    pub async fn start(site: &SiteFile) -> Self {
        let emulation = Emulation::start(site).await.expect("free ports");
        let stop = CancellationToken::new();
        let mut controllers = Vec::new();
        for (name, settings) in site.settings(&emulation).expect("TOML") {
            let stop = stop.clone();
            controllers.push(tokio::spawn(async move {
                let ended = daemon::run_controller(&name, &settings, stop.cancelled()).await;
                ended.expect("no error");
            }));
        }
        timeout(Duration::from_secs(20), emulation.wait_until_all_healthy()).await.expect("healthy");
        Self { emulation, stop, controllers }
    }

    /// A user of one controller.
    pub fn user(&self, controller: usize) -> User {
        User::new(&self.emulation.controllers[controller].proxy_addr)
    }

    /// Ends the controllers, which must not have failed, and the site.
    pub async fn stop(self) {
        self.stop.cancel();
        for controller in self.controllers {
            controller.await.expect("ends");
        }
        self.emulation.stop().await;
    }
}

/// A user who sends requests to one address.
pub struct User {
    client: Client,
    pub addr: String,
}

impl User {
    pub fn new(addr: &str) -> Self {
        Self { client: Client::new(1), addr: addr.to_owned() }
    }

    /// Sends a request. Returns the status of the response, or `None` if there is none.
    pub async fn request(&self, method: &str, path: &str, body: Vec<u8>) -> Option<net::Response> {
        self.client.request(&self.addr, method, path, body, wire::BODY_LIMIT, SUBMIT_TIMEOUT).await.ok()
    }

    pub async fn send(&self, method: &str, path: &str, body: Vec<u8>) -> Option<JobStatus> {
        let answer = self.request(method, path, body).await?;
        matches!(answer.status, 200 | 201).then(|| wire::decode(&answer.body).expect("a status"))
    }

    /// Submits a job; returns the status of the response, or 0 if there is none.
    pub async fn submit(&self, body: Vec<u8>) -> u16 {
        self.request("POST", "/v1/jobs", body).await.map_or(0, |response| response.status)
    }

    pub async fn wait_for_state(&self, id: &str, state: JobState) {
        let started = Instant::now();
        while self.send("GET", &format!("/v1/jobs/{id}"), Vec::new()).await.is_none_or(|s| s.state != state) {
            assert!(started.elapsed() < Duration::from_secs(40), "{id} does not reach the state {state:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// A connection on which a test decides when each byte is sent.
pub struct RawConnection(TcpStream);

impl RawConnection {
    pub async fn open(addr: &str) -> Self {
        Self(TcpStream::connect(addr).await.expect("accepted"))
    }

    /// As [`Self::open`]; `None` if the connection is refused.
    pub async fn try_open(addr: &str) -> Option<Self> {
        TcpStream::connect(addr).await.ok().map(Self)
    }

    /// Sends the head of a request with a body of so many bytes.
    pub async fn send_head(&mut self, method: &str, path: &str, body_bytes: usize) {
        let head = format!("{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {body_bytes}\r\n\r\n");
        self.send(head.as_bytes()).await;
    }

    pub async fn send(&mut self, bytes: &[u8]) {
        // A controller may close the connection before everything has been sent.
        let _ = self.0.write_all(bytes).await;
    }

    /// Ends the sending direction.
    pub async fn end(&mut self) {
        let _ = self.0.shutdown().await;
    }

    /// The status of the next response, or `None` if the connection is closed without one.
    pub async fn status(&mut self) -> Option<u16> {
        let mut head = Vec::new();
        let mut buffer = [0; 1024];
        while !head.windows(4).any(|window| window == b"\r\n\r\n") {
            match self.0.read(&mut buffer).await {
                Ok(length) if length > 0 => head.extend_from_slice(&buffer[..length]),
                _ => return None,
            }
        }
        let status = head.strip_prefix(b"HTTP/1.1 ")?.get(..3)?;
        std::str::from_utf8(status).ok()?.parse().ok()
    }
}
