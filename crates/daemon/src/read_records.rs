//! Reading all records, page by page.

use std::time::Duration;

use rmpv::Value;
use sched::replica::{RecordChange, Replica};
use store::{KeyValueClient, RecordReader, StoreError};
use tokio::time::sleep;
use tracing::debug;
use wire::{Item, Items};

/// Pause before a page is requested again.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);
/// How often in a row a page of the records is requested again. Begun anew with every refusal,
/// thousands of records were never read while a key-value store refused every second request.
const MAX_PAGE_RETRIES: u32 = 12;

/// Reads all records. The replica's revision is that of the first page: what changes meanwhile is
/// told by the changes since then.
///
/// # Errors
///
/// If the first page cannot be read, or a later one not after several retries.
pub async fn read_records(client: &KeyValueClient) -> Result<(Replica, RecordReader), StoreError> {
    let mut replica = Replica::default();
    let mut reader = RecordReader::default();
    let mut after: Option<String> = None;
    loop {
        let page = read_page(client, after.as_deref()).await?;
        if after.is_none() {
            // Changes since the first page are followed from here, even if a later page shows
            // them already.
            replica.revision = page.revision;
        }
        after = page.items.last().map(|item| item.key.clone());
        apply_page(&mut replica, &mut reader, page.items);
        if !page.has_more || after.is_none() {
            return Ok((replica, reader));
        }
    }
}

fn apply_page(replica: &mut Replica, reader: &mut RecordReader, items: Vec<Item<Value>>) {
    let decode = |item: Item<Value>| reader.apply(&item.key, Some(item.value), item.version);
    let mut decoded: Vec<_> = items.into_iter().map(decode).collect();
    // Machines and their types come before the jobs that need them.
    decoded.sort_by_key(|(change, ..)| matches!(change, RecordChange::Job(..)));
    for (change, is_unreadable, version) in decoded {
        if is_unreadable {
            // A chunked record can be read once its chunks are, too.
            debug!(?change, "record cannot be decoded yet");
            replica.mark_unreadable(change);
        } else {
            replica.apply(change, version);
        }
    }
}

/// Reads one page of the records, with retries for all but the first. Whatever changes while a
/// page is requested again is told by the changes since the first page.
async fn read_page(client: &KeyValueClient, after: Option<&str>) -> Result<Items<Value>, StoreError> {
    let mut retries = 0;
    loop {
        match client.list(after).await {
            Err(error) if after.is_some() && retries < MAX_PAGE_RETRIES => {
                debug!(%error, "page of records not read");
                retries += 1;
                sleep(RETRY_BACKOFF).await;
            }
            result => return result,
        }
    }
}
