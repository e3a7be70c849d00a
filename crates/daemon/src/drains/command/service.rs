//! Carries out the commands by reading and changing records.

use std::time::Duration;

use cloud::CloudClient;
use drain::lifecycle::Event;
use drain::selection::{Selection, select};
use sched::hash::HashMap;
use sched::replica::Replica;
use store::{KeyValueClient, StoreError, TxnOutcome, key};
use tokio::time::sleep;

use super::changes::{
    ConditionalWrites, Feasibility, confirm_repeated_start, drain_change, machines_of_drain,
    next_removal_change, next_resume_change, next_start_change, record_of, split_into_cordons,
    without_cordons_of,
};
use super::error::DrainError;
use super::request::{Request, with_units};
use crate::controller::wall_ms;
use crate::drains::report;
use crate::read_records::read_records;

/// How often a change is retried after a conflict, or a request after it was rate-limited.
const MAX_RETRIES: u32 = 8;
/// The pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The outcome of a transaction that the key-value store has answered.
enum CommitOutcome {
    Committed,
    /// The records have changed since they were read.
    Conflict,
}

/// The clients of the services that the commands use.
pub(crate) struct Service {
    kv_client: KeyValueClient,
    /// Tells the ages of machines; None if no address was given.
    cloud: Option<CloudClient>,
}

impl Service {
    /// Commands that use these clients.
    pub(crate) fn new(kv_client: KeyValueClient, cloud: Option<CloudClient>) -> Self {
        Self { kv_client, cloud }
    }

    async fn read_replica(&self) -> Result<Replica, DrainError> {
        let mut retries = 0;
        loop {
            match read_records(&self.kv_client).await {
                Ok((replica, _)) => return Ok(replica),
                Err(StoreError::RateLimited) if retries < MAX_RETRIES => retries += 1,
                Err(e) => return Err(DrainError::NotRead(e)),
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn commit(&self, change: ConditionalWrites) -> Result<CommitOutcome, DrainError> {
        let ConditionalWrites { conditions, writes } = change;
        let mut retries = 0;
        loop {
            match self.kv_client.txn(conditions.clone(), writes.clone()).await {
                Ok(TxnOutcome::Committed { .. }) => return Ok(CommitOutcome::Committed),
                Ok(TxnOutcome::Conflict { .. }) => return Ok(CommitOutcome::Conflict),
                Err(StoreError::RateLimited) if retries < MAX_RETRIES => retries += 1,
                Err(e) => return Err(DrainError::NotWritten(e)),
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads the records and commits the next change until there is none. Retries after conflicts.
    /// Returns the replica after the last change.
    async fn change(
        &self,
        next_change: impl Fn(&Replica) -> Result<Option<ConditionalWrites>, DrainError>,
    ) -> Result<Replica, DrainError> {
        let mut conflicts = 0;
        loop {
            let replica = self.read_replica().await?;
            let Some(change) = next_change(&replica)? else { return Ok(replica) };
            if let CommitOutcome::Conflict = self.commit(change).await? {
                conflicts += 1;
                if conflicts > MAX_RETRIES {
                    return Err(DrainError::Contended);
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// The ages of all machines in seconds, if the selection needs them and the cloud's address is
    /// known.
    async fn machine_ages(&self, selection: &Selection) -> Result<Option<HashMap<String, f64>>, DrainError> {
        let Some(cloud) = self.cloud.as_ref().filter(|_| selection.older_than_s.is_some()) else {
            return Ok(None);
        };
        let mut ages = HashMap::default();
        let mut after: Option<String> = None;
        loop {
            let page = cloud.list_page(after.as_deref()).await?;
            after = page.machines.last().map(|m| m.id.clone());
            ages.extend(page.machines.into_iter().map(|m| (m.id, m.age_s)));
            if !page.has_more || after.is_none() {
                return Ok(Some(ages));
            }
        }
    }

    /// Starts a drain. Repeating the command is idempotent.
    pub(crate) async fn start(
        &self,
        name: &str,
        request: &Request,
        feasibility: Feasibility,
    ) -> Result<(), DrainError> {
        let ages = self.machine_ages(&request.selection).await?;
        let replica = self.read_replica().await?;
        if let Some(known) = machines_of_drain(&replica, name)? {
            return confirm_repeated_start(&replica, name, known, request, ages.as_ref());
        }
        // Cordons of the same name are left from an interrupted attempt; they must not count as those
        // of another drain.
        let machines = select(&without_cordons_of(replica, name), &request.selection, ages.as_ref())?;
        let groups = split_into_cordons(&machines);
        let replica = self
            .change(|replica| next_start_change(replica, name, request, &machines, &groups, feasibility))
            .await?;
        let blocked = request.blockers(&replica, &machines);
        blocked.iter().for_each(|b| println!("cannot be moved: {b}"));
        println!("drain {name} started: {} machines are cordoned", machines.len());
        Ok(())
    }

    /// Prints the plan of a drain.
    pub(super) async fn plan(&self, request: &Request) -> Result<(), DrainError> {
        let ages = self.machine_ages(&request.selection).await?;
        let replica = self.read_replica().await?;
        let machines = select(&replica, &request.selection, ages.as_ref())?;
        let blockers = request.blockers(&replica, &machines);
        let machines = with_units(&replica, &machines);
        let budgets = &request.operators.drains.budgets;
        print!("{}", report::plan(&replica, &machines, budgets, &blockers));
        Ok(())
    }

    /// Prints all drains, one per line.
    pub(super) async fn list(&self) -> Result<(), DrainError> {
        let replica = self.read_replica().await?;
        for (name, record) in &replica.drains.records {
            println!("{}", report::summary(&replica, name, &record.value, wall_ms()));
        }
        for name in &replica.drains.unreadable {
            println!("{name}: {} cannot be read; its machines stay cordoned", key::drain(name));
        }
        Ok(())
    }

    /// Prints the status of a drain.
    pub(super) async fn status(&self, name: &str) -> Result<(), DrainError> {
        let replica = self.read_replica().await?;
        let record = record_of(&replica, name)?;
        print!("{}", report::status(&replica, name, &record, wall_ms()));
        Ok(())
    }

    /// Stops a drain.
    pub(super) async fn stop(&self, name: &str) -> Result<(), DrainError> {
        let replica = self
            .change(|replica| {
                let is_active = record_of(replica, name)?.is_active();
                is_active.then(|| drain_change(replica, name, Event::StopRequested)).transpose()
            })
            .await?;
        println!("{}", report::summary(&replica, name, &record_of(&replica, name)?, wall_ms()));
        Ok(())
    }

    /// Resumes a drain that was stopped.
    pub(super) async fn resume(&self, name: &str) -> Result<(), DrainError> {
        let replica = self.change(|replica| next_resume_change(replica, name)).await?;
        println!("{}", report::summary(&replica, name, &record_of(&replica, name)?, wall_ms()));
        Ok(())
    }

    /// Deletes the records of a drain that is over.
    pub(super) async fn remove(&self, name: &str) -> Result<(), DrainError> {
        record_of(&self.read_replica().await?, name)?;
        self.change(|replica| next_removal_change(replica, name)).await?;
        println!("drain {name} is removed");
        Ok(())
    }
}
