//! The periodic refresh of the record of machine types, a copy of what the cloud defines.

use std::time::{Duration, Instant};

use sched::records::MachineTypesRecord;
use store::{KeyWrite, key};
use tracing::warn;
use wire::{Condition, MachineType};

use super::is_due;
use super::leader_write::write_as_leader;
use crate::clock;
use crate::controller::Controller;

/// Interval at which the machine types are fetched.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// Interval at which the machine types are fetched while none are known.
const FIRST_FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the record of the machine types in line with the cloud.
#[derive(Debug, Default)]
pub struct MachineTypesRefresh {
    /// When a fetch of the machine types was last attempted.
    last_attempt: Option<Instant>,
}

impl MachineTypesRefresh {
    /// Fetches the machine types if that is due, and records them if they have changed.
    pub async fn refresh_if_due(&mut self, controller: &Controller) {
        let any_known = !controller.state().records.replica.machine_types.is_empty();
        let interval = if any_known { REFRESH_INTERVAL } else { FIRST_FETCH_INTERVAL };
        if !is_due(self.last_attempt, interval) {
            return;
        }
        self.last_attempt = Some(clock::now());
        match controller.cloud.machine_types().await {
            Ok(types) => record_if_changed(controller, types).await,
            Err(error) => warn!(%error, "failed to fetch the machine types from the cloud"),
        }
    }
}

async fn record_if_changed(controller: &Controller, types: Vec<MachineType>) {
    let version = {
        let state = controller.state();
        let known = &state.records.replica.machine_types;
        let is_known = |machine_type: &MachineType| known.get(&machine_type.name) == Some(machine_type);
        if known.len() == types.len() && types.iter().all(is_known) {
            return;
        }
        state.records.replica.machine_types_version
    };
    let condition = Condition { key: key::TYPES.into(), version };
    let write = KeyWrite::new(key::TYPES.into(), &MachineTypesRecord { types });
    write_as_leader(controller, vec![condition], vec![write]).await;
}
