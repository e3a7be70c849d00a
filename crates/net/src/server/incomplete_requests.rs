//! Requests that have not arrived as a whole, and what they may take of a server's memory.
//!
//! When a server runs out of connections or memory, the oldest of them has to give way. So whoever
//! sends a request at once is served, however many other clients are slow.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Within this time, every connection can be closed for another. A health check may take a second, so
/// it can wait behind as many slow clients as there are connections.
const CLOSE_ALL_PERIOD: Duration = Duration::from_millis(500);
/// How much lost time a timer that fires late makes up for.
const MAX_CATCH_UP: Duration = Duration::from_millis(10);

/// The number of a request, in the order in which they began.
pub(super) type RequestNumber = u64;

#[derive(Debug)]
struct IncompleteRequest {
    /// Bytes of its body that have arrived.
    bytes: usize,
    /// Cancelled to close the connection.
    close: CancellationToken,
}

/// What can be done for a connection when there are too many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Room {
    /// Another connection was closed.
    Made,
    /// Another connection may be closed at this time.
    NotBefore(Instant),
    /// No other connection may be closed.
    None,
}

/// The incomplete requests, oldest first, and the bytes of all bodies that are held.
#[derive(Debug)]
pub(super) struct IncompleteRequests {
    requests: BTreeMap<RequestNumber, IncompleteRequest>,
    next_number: RequestNumber,
    /// Bytes of all bodies, including those of complete requests that are being handled.
    held_bytes: usize,
    max_held_bytes: usize,
    /// Time between two connections that are closed for others.
    close_interval: Duration,
    /// When the next connection may be closed for another.
    next_close_at: Option<Instant>,
}

impl IncompleteRequests {
    pub(super) fn new(max_connections: usize, max_held_bytes: usize) -> Self {
        let divisor = u32::try_from(max_connections).unwrap_or(u32::MAX).max(1);
        Self {
            requests: BTreeMap::new(),
            next_number: 0,
            held_bytes: 0,
            max_held_bytes,
            close_interval: CLOSE_ALL_PERIOD / divisor,
            next_close_at: None,
        }
    }

    /// Notes that a request begins on a connection.
    pub(super) fn begin(&mut self, close: CancellationToken) -> RequestNumber {
        let number = self.next_number;
        self.next_number += 1;
        self.requests.insert(number, IncompleteRequest { bytes: 0, close });
        number
    }

    /// Closes the connection of the oldest incomplete request. Connections are closed at a limited
    /// rate, so that a request has time to arrive, and that clients which come back at once take a
    /// limited share of the processor.
    pub(super) fn make_room(&mut self, now: Instant) -> Room {
        let Some(oldest) = self.requests.first_key_value().map(|(number, _)| *number) else {
            return Room::None;
        };
        let due_at = self.next_close_at.unwrap_or(now);
        if now < due_at {
            return Room::NotBefore(due_at);
        }
        let earliest = now.checked_sub(MAX_CATCH_UP).unwrap_or(now);
        self.next_close_at = Some(due_at.max(earliest) + self.close_interval);
        self.close(oldest);
        Room::Made
    }

    /// Closes the connection of a request and frees what it holds.
    fn close(&mut self, number: RequestNumber) {
        if let Some(request) = self.requests.remove(&number) {
            request.close.cancel();
            self.held_bytes -= request.bytes;
        }
    }

    /// Notes that bytes of a request's body have arrived. If too many are held, the oldest others are
    /// closed. Returns whether there is memory for these bytes.
    pub(super) fn receive(&mut self, number: RequestNumber, bytes: usize) -> bool {
        while self.held_bytes + bytes > self.max_held_bytes {
            let holds_bytes = |(other, request): &(&RequestNumber, &IncompleteRequest)| {
                **other != number && request.bytes > 0
            };
            let Some(oldest) = self.requests.iter().find(holds_bytes).map(|(other, _)| *other) else {
                return false;
            };
            self.close(oldest);
        }
        let Some(request) = self.requests.get_mut(&number) else { return false };
        request.bytes += bytes;
        self.held_bytes += bytes;
        true
    }

    /// Notes that a request has arrived as a whole. Its bytes are held until [`Self::free`].
    pub(super) fn complete(&mut self, number: RequestNumber) -> usize {
        self.requests.remove(&number).map_or(0, |request| request.bytes)
    }

    /// Notes that the bytes of a complete request are no longer held.
    pub(super) fn free(&mut self, bytes: usize) {
        self.held_bytes -= bytes;
    }

    /// Notes that an incomplete request has ended.
    pub(super) fn end(&mut self, number: RequestNumber) {
        if let Some(request) = self.requests.remove(&number) {
            self.held_bytes -= request.bytes;
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/incomplete_requests.rs"]
mod tests;
