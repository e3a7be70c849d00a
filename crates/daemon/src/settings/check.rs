//! Checks of the values in the platform's settings.

use std::net::SocketAddr;

use super::{NextStoreSettings, Settings, SettingsError};

/// Maximum length of a team's name. The name is part of a key in the key-value store, and keys have
/// at most 200 bytes.
const MAX_TEAM_NAME_BYTES: usize = 150;
/// Minimum size of a value, in KiB: a job's description and a few assignments have to fit in it.
const MIN_VALUE_KB: f64 = 2.0;
/// Minimum number of changes in a transaction.
const MIN_TXN_OPS: usize = 2;
/// Minimum number of open sockets.
const MIN_CONNECTIONS: usize = 64;
/// Maximum value of any number.
const MAX_NUMBER: f64 = 1e9;

/// A field with an invalid value, and what the value must be.
struct InvalidField {
    field: &'static str,
    rule: &'static str,
}

/// Returns an error for the field unless its value is valid.
fn require(is_valid: bool, field: &'static str, rule: &'static str) -> Result<(), InvalidField> {
    if is_valid { Ok(()) } else { Err(InvalidField { field, rule }) }
}

impl Settings {
    /// Checks the values of all fields, and reports the first invalid one in the order of the checks.
    pub(super) fn check(&self, file: &str) -> Result<(), SettingsError> {
        self.check_values().map_err(|invalid| SettingsError::Field {
            file: file.to_owned(),
            field: invalid.field.to_owned(),
            reason: invalid.rule.to_owned(),
        })
    }

    fn check_values(&self) -> Result<(), InvalidField> {
        let next = self.facts.state.next.clone().unwrap_or_default();
        self.check_addresses()?;
        let has_name = !self.node_name.is_empty() && !self.node_name.contains(char::is_whitespace);
        require(has_name, "node_name", "must not be empty or contain spaces")?;
        self.check_positive_numbers(&next)?;
        self.check_other_numbers()?;
        self.check_limits(&next)
    }

    fn check_addresses(&self) -> Result<(), InvalidField> {
        let own = [
            ("front", &self.front),
            ("internal_addr", &self.internal_addr),
            ("external.cloud", &self.external.cloud),
            ("external.state", &self.external.state),
        ];
        let peers = self.peers.iter().map(|peer| ("peers.address", &peer.address));
        for (field, address) in own.into_iter().chain(peers) {
            let is_valid = address.parse::<SocketAddr>().is_ok();
            require(is_valid, field, "must be an IP address and a port, for example 127.0.0.1:8080")?;
        }
        Ok(())
    }

    fn check_positive_numbers(&self, next: &NextStoreSettings) -> Result<(), InvalidField> {
        let facts = &self.facts;
        let present = [
            ("facts.workers.report_s", facts.workers.report_s),
            ("facts.workers.lease_s", facts.workers.lease_s),
            ("facts.workers.cancel_s", facts.workers.cancel_s),
            ("facts.state.rps", facts.state.rps),
            ("facts.state.write_rps", facts.state.write_rps),
            ("facts.state.value_kb", facts.state.value_kb),
            ("facts.cloud.rps", facts.cloud.rps),
            ("facts.limits.cores", facts.limits.cores),
            ("facts.limits.memory_mb", facts.limits.memory_mb),
        ];
        let future = [
            ("facts.state.next.rps", next.rps),
            ("facts.state.next.write_rps", next.write_rps),
            ("facts.state.next.value_kb", next.value_kb),
        ];
        let future = future.into_iter().filter_map(|(field, value)| Some((field, value?)));
        for (field, value) in present.into_iter().chain(future) {
            let is_valid = value.is_finite() && value > 0.0 && value <= MAX_NUMBER;
            require(is_valid, field, "must be a number above 0 and at most 1000000000")?;
        }
        Ok(())
    }

    fn check_other_numbers(&self) -> Result<(), InvalidField> {
        let facts = &self.facts;
        let times = [
            ("facts.workers.gang_wait_s", facts.workers.gang_wait_s),
            ("facts.workers.gang_peer_s", facts.workers.gang_peer_s),
            ("facts.cloud.list_lag_s", facts.cloud.list_lag_s),
            ("facts.time_bound_ms", facts.time_bound_ms),
        ];
        let quotas = facts.teams.iter().flat_map(|team| [team.cpus, team.cpus_max, team.gpus, team.gpus_max]);
        let quotas = quotas.map(|value| ("facts.teams (cpus, cpus_max, gpus, gpus_max)", value));
        for (field, value) in times.into_iter().chain(quotas) {
            let is_valid = value.is_finite() && (0.0..=MAX_NUMBER).contains(&value);
            require(is_valid, field, "must be a number from 0 to 1000000000")?;
        }
        Ok(())
    }

    fn check_limits(&self, next: &NextStoreSettings) -> Result<(), InvalidField> {
        let facts = &self.facts;
        let are_names_short = facts.teams.iter().all(|team| team.name.len() <= MAX_TEAM_NAME_BYTES);
        require(are_names_short, "facts.teams.name", "must have at most 150 bytes")?;
        require(facts.state.txn_ops >= MIN_TXN_OPS, "facts.state.txn_ops", "must be at least 2")?;
        require(facts.state.value_kb >= MIN_VALUE_KB, "facts.state.value_kb", "must be at least 2")?;
        let next_txn_fits = next.txn_ops.is_none_or(|ops| ops >= MIN_TXN_OPS);
        require(next_txn_fits, "facts.state.next.txn_ops", "must be at least 2")?;
        let next_value_fits = next.value_kb.is_none_or(|kb| kb >= MIN_VALUE_KB);
        require(next_value_fits, "facts.state.next.value_kb", "must be at least 2")?;
        let has_sockets = facts.limits.max_connections >= MIN_CONNECTIONS;
        require(has_sockets, "facts.limits.max_connections", "must be at least 64")
    }
}
