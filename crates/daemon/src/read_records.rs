//! All records, read page by page.

use std::time::Duration;

use rmpv::Value;
use sched::replica::{RecordChange, Replica};
use store::{KeyValueClient, RecordReader, StoreError};
use tokio::time::sleep;
use tracing::debug;

/// Pause before a page is asked for again.
const RETRY: Duration = Duration::from_millis(250);
/// How often in a row a page of the records is asked for again. Begun anew with every
/// refusal, thousands of records were never read while a state service refused every
/// second request.
const PAGE_TRIES: u32 = 12;

/// Reads all records. What changes meanwhile is told by the changes since the first page.
pub async fn read_records(state: &KeyValueClient) -> Result<(Replica, RecordReader), StoreError> {
    let (mut world, mut reader) = (Replica::default(), RecordReader::default());
    let mut after: Option<String> = None;
    loop {
        let page = page(state, after.as_deref()).await?;
        if after.is_none() {
            // Changes since the first page are followed from here, even if a
            // later page shows them already.
            world.revision = page.revision;
        }
        after = page.items.last().map(|i| i.key.clone());
        // Machines and types come before jobs need them.
        let mut decoded: Vec<_> =
            page.items.into_iter().map(|i| reader.apply(&i.key, Some(i.value), i.version)).collect();
        decoded.sort_by_key(|(c, ..)| matches!(c, RecordChange::Job(..)));
        for (change, bad, version) in decoded {
            if bad {
                // One in parts is read once they are, too.
                debug!(?change, "a record cannot be read yet");
                world.mark_unreadable(change);
            } else {
                world.apply(change, version);
            }
        }
        if !page.more || after.is_none() {
            break;
        }
    }
    Ok((world, reader))
}

/// One page of the records. Whatever changes while it is asked for again is told by the
/// changes since the first page.
async fn page(state: &KeyValueClient, after: Option<&str>) -> Result<wire::Items<Value>, StoreError> {
    let mut tries = 0;
    loop {
        match state.list(after).await {
            Err(e) if after.is_some() && tries < PAGE_TRIES => {
                debug!(error = %e, "a page of the records could not be read");
                tries += 1;
                sleep(RETRY).await;
            }
            result => return result,
        }
    }
}
