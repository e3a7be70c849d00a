//! Checks of the platform's settings beyond their form.

use std::net::SocketAddr;

use super::{NextState, Settings, SettingsError};

/// Longest name of a team, in bytes: it is part of a key of the key-value store, which has 200
/// bytes at most.
const MAX_TEAM_NAME_BYTES: usize = 150;
/// A job's description has to fit beside a few assignments.
const MIN_VALUE_KB: f64 = 2.0;
/// Least changes of a transaction.
const MIN_TXN_OPS: usize = 2;
/// Least open sockets.
const MIN_CONNECTIONS: usize = 64;
/// Largest number that any field may have.
const MAX_NUMBER: f64 = 1e9;

/// A field that must not have its value, and what the value must be.
struct Mistake {
    field: &'static str,
    why: &'static str,
}

/// A mistake in a field, unless its value is valid.
fn require(is_valid: bool, field: &'static str, why: &'static str) -> Result<(), Mistake> {
    if is_valid { Ok(()) } else { Err(Mistake { field, why }) }
}

impl Settings {
    /// Checks the values of all fields. The first mistake is told, in the order of the checks.
    pub(super) fn check(&self, file: &str) -> Result<(), SettingsError> {
        self.find_mistake().map_err(|mistake| SettingsError::Field {
            file: file.to_owned(),
            field: mistake.field.to_owned(),
            why: mistake.why.to_owned(),
        })
    }

    fn find_mistake(&self) -> Result<(), Mistake> {
        let next = self.facts.state.next.clone().unwrap_or_default();
        self.check_addresses()?;
        let has_name = !self.node_name.is_empty() && !self.node_name.contains(char::is_whitespace);
        require(has_name, "node_name", "must be a name without spaces")?;
        self.check_positive_numbers(&next)?;
        self.check_other_numbers()?;
        self.check_limits(&next)
    }

    fn check_addresses(&self) -> Result<(), Mistake> {
        let own = [
            ("front", &self.front),
            ("internal_addr", &self.internal_addr),
            ("external.cloud", &self.external.cloud),
            ("external.state", &self.external.state),
        ];
        let peers = self.peers.iter().map(|peer| ("peers.address", &peer.address));
        for (field, address) in own.into_iter().chain(peers) {
            let is_valid = address.parse::<SocketAddr>().is_ok();
            require(is_valid, field, "must be an IP address and a port")?;
        }
        Ok(())
    }

    fn check_positive_numbers(&self, next: &NextState) -> Result<(), Mistake> {
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
        let to_come = [
            ("facts.state.next.rps", next.rps),
            ("facts.state.next.write_rps", next.write_rps),
            ("facts.state.next.value_kb", next.value_kb),
        ];
        let to_come = to_come.into_iter().filter_map(|(field, value)| Some((field, value?)));
        for (field, value) in present.into_iter().chain(to_come) {
            let is_valid = value.is_finite() && value > 0.0 && value <= MAX_NUMBER;
            require(is_valid, field, "must be a number above 0")?;
        }
        Ok(())
    }

    fn check_other_numbers(&self) -> Result<(), Mistake> {
        let facts = &self.facts;
        let times = [
            ("facts.workers.gang_wait_s", facts.workers.gang_wait_s),
            ("facts.workers.gang_peer_s", facts.workers.gang_peer_s),
            ("facts.cloud.list_lag_s", facts.cloud.list_lag_s),
            ("facts.time_bound_ms", facts.time_bound_ms),
        ];
        let quotas = facts.teams.iter().flat_map(|team| [team.cpus, team.cpus_max, team.gpus, team.gpus_max]);
        let quotas = quotas.map(|value| ("facts.teams", value));
        for (field, value) in times.into_iter().chain(quotas) {
            let is_valid = value.is_finite() && (0.0..=MAX_NUMBER).contains(&value);
            require(is_valid, field, "must be a number of 0 or more")?;
        }
        Ok(())
    }

    fn check_limits(&self, next: &NextState) -> Result<(), Mistake> {
        let facts = &self.facts;
        let names_fit = facts.teams.iter().all(|team| team.name.len() <= MAX_TEAM_NAME_BYTES);
        require(names_fit, "facts.teams.name", "must have at most 150 bytes")?;
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
