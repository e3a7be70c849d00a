//! The cloud's list of machines, fetched page by page.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use cloud::CloudClient;
use sched::records::Name;
use tracing::debug;
use wire::ListedMachine;

use crate::clock;

/// Maximum number of pages requested per step: the cloud accepts few requests per second, and
/// scale-out and scale-in must not wait for a list of thousands of machines.
const MAX_PAGES_PER_STEP: usize = 2;
/// Interval at which a new listing is started.
const LISTING_INTERVAL: Duration = Duration::from_secs(5);
/// Pause before a page that the cloud refused or did not answer is requested again.
const PAGE_RETRY_BACKOFF: Duration = Duration::from_secs(1);

/// The latest complete list of the cloud's machines, and the listing in progress.
#[derive(Debug, Default)]
pub struct CloudListing {
    /// The machines of the latest complete listing.
    machines: BTreeMap<Name, ListedMachine>,
    /// When each of these machines was first listed.
    first_seen: HashMap<Name, Instant>,
    /// When the latest listing was started, complete or not.
    started_at: Option<Instant>,
    /// The listing that is not yet complete.
    in_progress: Option<PartialListing>,
}

/// The pages of a listing that have been fetched so far.
#[derive(Debug)]
struct PartialListing {
    machines: Vec<ListedMachine>,
    /// When the next page may be requested.
    next_page_at: Instant,
}

impl CloudListing {
    /// An empty list whose first listing was started at `start`.
    #[cfg(any(test, feature = "bench"))]
    pub fn started_at(start: Instant) -> Self {
        Self { started_at: Some(start), ..Self::default() }
    }

    /// Whether a listing has ever been started.
    pub fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// The machines of the latest complete listing, sorted by name.
    pub fn machines(&self) -> &BTreeMap<Name, ListedMachine> {
        &self.machines
    }

    /// Seconds since the latest listing was started; 0 if none was.
    pub fn age_s(&self) -> f64 {
        self.started_at.map_or(0.0, |at| clock::since(at).as_secs_f64())
    }

    /// Seconds since a machine was first listed; 0 if it is not listed.
    pub fn listed_for_s(&self, machine: &Name) -> f64 {
        self.first_seen.get(machine).map_or(0.0, |at| clock::since(*at).as_secs_f64())
    }

    /// Continues the listing in progress, or starts one if it is due. Returns the time of
    /// completion if this call completed the listing.
    pub async fn advance(&mut self, cloud: &CloudClient) -> Option<Instant> {
        let now = clock::now();
        self.start_if_due(now);
        for _ in 0..MAX_PAGES_PER_STEP {
            let listing = self.in_progress.as_mut().filter(|listing| now >= listing.next_page_at)?;
            let last_machine = listing.machines.last().map(|machine| machine.id.as_str());
            match cloud.list_page(last_machine).await {
                Ok(page) => {
                    let has_more = page.has_more && !page.machines.is_empty();
                    listing.machines.extend(page.machines);
                    if !has_more {
                        return self.complete(clock::now());
                    }
                }
                Err(error) => {
                    debug!(%error, "failed to fetch a page of the cloud's machine list");
                    listing.next_page_at = clock::now() + PAGE_RETRY_BACKOFF;
                    return None;
                }
            }
        }
        None
    }

    fn start_if_due(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LISTING_INTERVAL;
        if self.in_progress.is_some() || self.started_at.is_some_and(is_recent) {
            return;
        }
        self.started_at = Some(now);
        self.in_progress = Some(PartialListing { machines: Vec::new(), next_page_at: now });
    }

    /// Replaces the list after the last page has been fetched.
    fn complete(&mut self, now: Instant) -> Option<Instant> {
        let listing = self.in_progress.take()?;
        self.machines =
            listing.machines.into_iter().map(|machine| (machine.id.as_str().into(), machine)).collect();
        for id in self.machines.keys() {
            self.first_seen.entry(id.clone()).or_insert(now);
        }
        self.first_seen.retain(|id, _| self.machines.contains_key(id));
        Some(now)
    }
}
