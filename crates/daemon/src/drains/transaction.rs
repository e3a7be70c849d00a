//! The transactions of drains.

use std::time::Duration;

use drain::lifecycle::{self, Event};
use sched::drain_records::{CordonFence, CordonRecord, DisruptionRecord, DrainRecord};
use sched::drains::CordonId;
use sched::records::JobRecord;
use sched::replica::{RecordChange, Replica};
use store::{KeyWrite, TxnOutcome, key};
use tracing::debug;
use wire::Condition;

use super::disruptions::disruption_condition;
use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::load::Purpose;

/// How long the task waits after a conflict for the records that it conflicted with.
const CONFLICT_CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// Applies an event to a drain's record. None: the event does not fit its phase.
pub(super) fn updated(record: &DrainRecord, event: Event) -> Option<DrainRecord> {
    let mut record = record.clone();
    lifecycle::apply(&mut record, event, wall_ms()).ok().map(|()| record)
}

/// Changes of records that are committed together or not at all.
pub(super) struct Transaction {
    conditions: Vec<Condition>,
    writes: Vec<KeyWrite>,
    /// What is applied to the replica once it is committed.
    changes: Vec<RecordChange>,
}

impl Transaction {
    /// An empty one that fails if the cluster map has changed, and with it perhaps the leader.
    pub(super) fn new(replica: &Replica) -> Self {
        let version = replica.cluster_map.as_ref().map_or(0, |m| m.version);
        let map = Condition { key: key::MAP.into(), version };
        Self { conditions: vec![map], writes: Vec::new(), changes: Vec::new() }
    }

    /// The number of its writes.
    pub(super) fn write_count(&self) -> usize {
        self.writes.len()
    }

    /// Adds the condition that a record still has this version; 0: that there is none.
    pub(super) fn condition(&mut self, key: String, version: u64) {
        if !self.conditions.iter().any(|c| c.key == key) {
            self.conditions.push(Condition { key, version });
        }
    }

    /// Writes a drain's record if it still has the version that the new one was made from.
    pub(super) fn write_drain(&mut self, name: &str, record: DrainRecord, version: u64) {
        self.condition(key::drain(name), version);
        self.writes.push(KeyWrite::new(key::drain(name), &record));
        self.changes.push(RecordChange::Drain(name.to_owned(), Some(record)));
    }

    /// Writes a cordon if it still has the version that the new one was made from.
    pub(super) fn write_cordon(&mut self, id: &CordonId, record: CordonRecord, version: u64) {
        let key = key::cordon(&id.0, id.1);
        self.condition(key.clone(), version);
        self.writes.push(KeyWrite::new(key, &record));
        self.changes.push(RecordChange::Cordon(id.clone(), Some(record)));
    }

    /// Advances the cordon fence: placements that were decided by the cordons before fail.
    pub(super) fn write_fence(&mut self, replica: &Replica) {
        let fence = CordonFence { generation: replica.drains.generation + 1 };
        self.condition(key::CORDON_FENCE.into(), replica.drains.fence_version);
        self.writes.push(KeyWrite::new(key::CORDON_FENCE.into(), &fence));
        self.changes.push(RecordChange::CordonFence(Some(fence)));
    }

    /// Writes a team's record of voluntary disruptions.
    pub(super) fn write_disruptions(&mut self, replica: &Replica, team_id: &str, record: DisruptionRecord) {
        self.conditions.push(disruption_condition(replica, team_id));
        self.writes.push(KeyWrite::new(key::disruptions(team_id), &record));
        self.changes.push(RecordChange::Disruptions(team_id.to_owned(), Some(record)));
    }

    /// Writes a job's record if it still has the version that the new one was made from.
    pub(super) fn write_job(&mut self, id: &str, record: Box<JobRecord>, version: u64) {
        self.condition(key::job(id), version);
        self.writes.push(KeyWrite::new(key::job(id), &record));
        self.changes.push(RecordChange::Job(id.to_owned(), Some(record)));
    }

    /// The transaction, if it writes anything.
    pub(super) fn unless_empty(self) -> Option<Self> {
        (self.write_count() > 0).then_some(self)
    }

    /// Its conditions and its writes.
    #[cfg(test)]
    pub(super) fn parts(&self) -> (&[Condition], &[KeyWrite]) {
        (&self.conditions, &self.writes)
    }

    /// Commits it and applies its changes to the replica. Returns whether it surely is committed.
    pub(super) async fn commit(self, controller: &Controller) -> bool {
        let Self { conditions, writes, changes } = self;
        controller.state().writes.limiter.acquire(writes.len() as f64, 0.0, clock::now());
        controller.load.count_changes(Purpose::Drains, writes.len());
        match controller.commit(conditions, writes).await {
            Ok(TxnOutcome::Committed { revision }) => {
                let mut state = controller.state();
                for change in changes {
                    state.records.replica.apply(change, revision);
                }
                drop(state);
                controller.wake_scheduler.notify_one();
                true
            }
            Ok(TxnOutcome::Conflict { failed, revision }) => {
                debug!(?failed, "drain transaction conflicted");
                controller.wait_for_revision(revision, CONFLICT_CATCH_UP_TIMEOUT).await;
                false
            }
            Err(error) => {
                debug!(%error, "drain transaction failed or its outcome is unknown");
                controller.note_refusal(&error);
                false
            }
        }
    }
}
