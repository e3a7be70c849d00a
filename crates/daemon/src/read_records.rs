//! Reads all records, page by page.

use std::time::Duration;

use rmpv::Value;
use sched::replica::{RecordChange, Replica};
use store::{KeyValueClient, RecordReader, StoreError};
use tokio::time::sleep;
use tracing::debug;
use wire::{Item, Items};

/// Pause before a page is requested again after an error.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);
/// How often in a row one page of the records is requested again. When every refusal restarted the
/// whole read, thousands of records were never read completely while the key-value store refused
/// every second request.
const MAX_PAGE_RETRIES: u32 = 12;

/// Reads all records. The replica's revision is that of the first page, so whatever changes during
/// the read is among the changes after that revision.
///
/// # Errors
///
/// Returns an error if the first page cannot be read, or a later page after several retries.
pub async fn read_records(client: &KeyValueClient) -> Result<(Replica, RecordReader), StoreError> {
    let mut replica = Replica::default();
    let mut reader = RecordReader::default();
    let mut after: Option<String> = None;
    loop {
        let page = read_page(client, after.as_deref()).await?;
        if after.is_none() {
            // The change feed is followed from the first page on, even if later pages already
            // contain some of the changes.
            replica.revision = page.revision;
        }
        after = page.items.last().map(|item| item.key.clone());
        apply_page(&mut replica, &mut reader, page.items);
        if !page.more || after.is_none() {
            return Ok((replica, reader));
        }
    }
}

fn apply_page(replica: &mut Replica, reader: &mut RecordReader, items: Vec<Item<Value>>) {
    let decode = |item: Item<Value>| reader.apply(&item.key, Some(item.value), item.version);
    let mut decoded: Vec<_> = items.into_iter().map(decode).collect();
    // Machines and their types are applied before the jobs that refer to them.
    decoded.sort_by_key(|(change, ..)| matches!(change, RecordChange::Job(..)));
    for (change, is_unreadable, version) in decoded {
        if is_unreadable {
            // A chunked record can be decoded only after its chunks have been read.
            debug!(?change, "record cannot be decoded yet");
            replica.mark_unreadable(change);
        } else {
            replica.apply(change, version);
        }
    }
}

/// Reads one page of the records, with retries for all pages but the first. Whatever changes during
/// the retries is among the changes after the first page.
async fn read_page(client: &KeyValueClient, after: Option<&str>) -> Result<Items<Value>, StoreError> {
    let mut retries = 0;
    loop {
        match client.list(after).await {
            Err(error) if after.is_some() && retries < MAX_PAGE_RETRIES => {
                debug!(%error, "page of records could not be read; retrying");
                retries += 1;
                sleep(RETRY_BACKOFF).await;
            }
            result => return result,
        }
    }
}
