//! Limits how many connections of each class a server keeps open.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::incomplete_requests::{IncompleteRequests, RequestNumber, Room};

/// A class of a server's connections, with a limit of how many of them are kept open between
/// requests.
#[derive(Debug)]
pub struct ConnectionClass {
    pub name: &'static str,
    max_kept_open: usize,
    open: AtomicUsize,
}

/// Counts the open connections of a server by class and limits their number.
///
/// A connection beyond the limit of its class is served, too, but closed after the first response.
/// So a few sockets serve any number of clients, and the clients of one class do not use up the
/// connections of another. When all connections are in use, one on which no whole request has
/// arrived is closed for a new one.
#[derive(Debug)]
pub struct Connections {
    max_open: usize,
    open: AtomicUsize,
    classes: Vec<ConnectionClass>,
    /// The index of the class of a connection, by the path of its first request.
    class_of: fn(&str) -> usize,
    incomplete: Mutex<IncompleteRequests>,
    /// Connections that were closed on arrival.
    rejected: AtomicUsize,
    /// Connections that were closed for a new one.
    displaced: AtomicUsize,
    /// Requests that were not read as a whole.
    unread: AtomicUsize,
}

/// Whether a new connection is served.
pub(super) enum Admission {
    Admitted {
        connection: CountedConnection,
        in_place_of_another: bool,
    },
    /// At this time, another connection can be closed for the new one.
    NotBefore(Instant),
    Rejected,
}

impl Connections {
    /// Allows `max_open` connections at a time. Each class has a name and the number of its
    /// connections that are kept open between requests.
    pub fn new(max_open: usize, classes: &[(&'static str, usize)], class_of: fn(&str) -> usize) -> Self {
        let class = |(name, max_kept_open): &(&'static str, usize)| ConnectionClass {
            name,
            max_kept_open: *max_kept_open,
            open: AtomicUsize::new(0),
        };
        Self {
            max_open,
            open: AtomicUsize::new(0),
            classes: classes.iter().map(class).collect(),
            class_of,
            incomplete: Mutex::new(IncompleteRequests::new(max_open, usize::MAX)),
            rejected: AtomicUsize::new(0),
            displaced: AtomicUsize::new(0),
            unread: AtomicUsize::new(0),
        }
    }

    /// Limits the bytes of all bodies of requests that are held at a time.
    #[must_use]
    pub fn with_max_body_bytes(self, max_bytes: usize) -> Self {
        Self { incomplete: Mutex::new(IncompleteRequests::new(self.max_open, max_bytes)), ..self }
    }

    /// The number of open connections of all classes.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// The name of each class and the number of its open connections.
    pub fn open_by_class(&self) -> impl Iterator<Item = (&'static str, usize)> + '_ {
        self.classes.iter().map(|class| (class.name, class.open.load(Ordering::Relaxed)))
    }

    /// The number of connections that were closed on arrival since the last call, because the limit
    /// was reached.
    pub fn take_rejected(&self) -> usize {
        self.rejected.swap(0, Ordering::Relaxed)
    }

    /// The number of connections without a whole request that were closed for others since the last
    /// call.
    pub fn take_displaced(&self) -> usize {
        self.displaced.swap(0, Ordering::Relaxed)
    }

    /// The number of requests that were not read as a whole since the last call.
    pub fn take_unread(&self) -> usize {
        self.unread.swap(0, Ordering::Relaxed)
    }

    /// Counts a request that was not read as a whole. Returns how many there were since
    /// [`Self::take_unread`] was last called.
    pub(super) fn count_unread(&self) -> usize {
        self.unread.fetch_add(1, Ordering::Relaxed) + 1
    }

    fn incomplete(&self) -> MutexGuard<'_, IncompleteRequests> {
        self.incomplete.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a new connection, if necessary in place of another.
    pub(super) fn admit(self: &Arc<Self>, now: Instant) -> Admission {
        let in_place_of_another = self.open_connections() >= self.max_open;
        if in_place_of_another {
            match self.incomplete().make_room(now) {
                Room::Made => _ = self.displaced.fetch_add(1, Ordering::Relaxed),
                Room::NotBefore(at) => return Admission::NotBefore(at),
                Room::None => {
                    self.rejected.fetch_add(1, Ordering::Relaxed);
                    return Admission::Rejected;
                }
            }
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        let connection = CountedConnection::new(self.clone());
        Admission::Admitted { connection, in_place_of_another }
    }
}

/// An open connection. It is counted until this is dropped.
pub(super) struct CountedConnection {
    connections: Arc<Connections>,
    /// Cancelled to close the connection.
    close: CancellationToken,
    /// The index of its class, once the first request has arrived.
    class: OnceLock<usize>,
    /// The first request, until its head has arrived.
    first_request: Mutex<Option<ReceivedRequest>>,
}

impl CountedConnection {
    fn new(connections: Arc<Connections>) -> Self {
        let close = CancellationToken::new();
        let first_request = ReceivedRequest::begin(connections.clone(), close.clone());
        let first_request = Mutex::new(Some(first_request));
        Self { connections, close, class: OnceLock::new(), first_request }
    }

    /// Waits until the connection has to be closed for another.
    pub(super) async fn displaced(&self) {
        self.close.cancelled().await;
    }

    pub(super) fn connections(&self) -> &Connections {
        &self.connections
    }

    /// The request whose head has just arrived on this connection.
    pub(super) fn next_request(&self) -> ReceivedRequest {
        let first = self.first_request.lock().unwrap_or_else(PoisonError::into_inner).take();
        first.unwrap_or_else(|| ReceivedRequest::begin(self.connections.clone(), self.close.clone()))
    }

    /// Assigns the connection to the class of its first request. Returns false if the class has too
    /// many connections for this one to stay open after the response.
    pub(super) fn may_stay_open(&self, path: &str) -> bool {
        let index = *self.class.get_or_init(|| {
            let index = (self.connections.class_of)(path);
            if let Some(class) = self.connections.classes.get(index) {
                class.open.fetch_add(1, Ordering::Relaxed);
            }
            index
        });
        self.connections
            .classes
            .get(index)
            .is_none_or(|class| class.open.load(Ordering::Relaxed) <= class.max_kept_open)
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.connections.open.fetch_sub(1, Ordering::Relaxed);
        if let Some(class) = self.class.get().and_then(|index| self.connections.classes.get(*index)) {
            class.open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// A request that is being received or handled. What it holds is freed when this is dropped.
pub(super) struct ReceivedRequest {
    connections: Arc<Connections>,
    progress: Progress,
}

#[derive(Clone, Copy)]
enum Progress {
    Incomplete(RequestNumber),
    Complete { bytes: usize },
}

impl ReceivedRequest {
    fn begin(connections: Arc<Connections>, close: CancellationToken) -> Self {
        let progress = Progress::Incomplete(connections.incomplete().begin(close));
        Self { connections, progress }
    }

    /// Notes that bytes of the body have arrived. Returns whether there is memory for them.
    pub(super) fn receive(&self, bytes: usize) -> bool {
        match self.progress {
            Progress::Incomplete(number) => self.connections.incomplete().receive(number, bytes),
            Progress::Complete { .. } => false,
        }
    }

    /// Notes that the request has arrived as a whole: its connection is not closed for others.
    pub(super) fn complete(&mut self) {
        if let Progress::Incomplete(number) = self.progress {
            let bytes = self.connections.incomplete().complete(number);
            self.progress = Progress::Complete { bytes };
        }
    }
}

impl Drop for ReceivedRequest {
    fn drop(&mut self) {
        let mut incomplete = self.connections.incomplete();
        match self.progress {
            Progress::Incomplete(number) => incomplete.end(number),
            Progress::Complete { bytes } => incomplete.free(bytes),
        }
    }
}
