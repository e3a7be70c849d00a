//! Limits how many connections of each class a server keeps open.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};

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
/// connections of another.
#[derive(Debug)]
pub struct Connections {
    max_open: usize,
    open: AtomicUsize,
    classes: Vec<ConnectionClass>,
    /// The index of the class of a connection, by the path of its first request.
    class_of: fn(&str) -> usize,
    /// Connections that were closed on arrival.
    rejected: AtomicUsize,
    /// Requests that were not read as a whole.
    unread: AtomicUsize,
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
            rejected: AtomicUsize::new(0),
            unread: AtomicUsize::new(0),
        }
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

    /// The number of requests that were not read as a whole since the last call.
    pub fn take_unread(&self) -> usize {
        self.unread.swap(0, Ordering::Relaxed)
    }

    /// Counts a request that was not read as a whole. Returns how many there were since
    /// [`Self::take_unread`] was last called.
    pub(super) fn count_unread(&self) -> usize {
        self.unread.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// An open connection. It is counted until this is dropped.
pub(super) struct CountedConnection {
    connections: Arc<Connections>,
    /// The index of its class, once the first request has arrived.
    class: OnceLock<usize>,
}

impl CountedConnection {
    pub(super) fn new(connections: Arc<Connections>) -> Option<Self> {
        if connections.open.load(Ordering::Relaxed) >= connections.max_open {
            connections.rejected.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        connections.open.fetch_add(1, Ordering::Relaxed);
        Some(Self { connections, class: OnceLock::new() })
    }

    pub(super) fn connections(&self) -> &Connections {
        &self.connections
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
