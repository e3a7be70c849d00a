//! Validation of the values in a site file beyond its syntax and types.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::SiteFile;

/// The path of a field, and what is wrong with its value.
type FieldError = (Vec<String>, String);

fn field_path(path: &[&str]) -> Vec<String> {
    path.iter().map(|s| (*s).to_owned()).collect()
}

impl SiteFile {
    /// Returns the first invalid value.
    pub(super) fn first_error(&self) -> Option<FieldError> {
        self.address_error()
            .or_else(|| self.number_error())
            .or_else(|| self.name_error())
            .or_else(|| self.load_and_fault_error())
    }

    fn address_error(&self) -> Option<FieldError> {
        let mut seen: BTreeMap<SocketAddr, Vec<String>> = BTreeMap::new();
        let listen = [("users", &self.listen.users), ("cloud", &self.listen.cloud)];
        let mut all: Vec<(Vec<String>, &String, bool)> =
            listen.into_iter().map(|(f, a)| (field_path(&["listen", f]), a, true)).collect();
        for (name, c) in &self.controller {
            let field_of = |f: &str| field_path(&["controller", name, f]);
            all.push((field_of("front"), &c.front, false));
            all.push((field_of("internal"), &c.internal, false));
            all.push((field_of("door"), &c.door, true));
            all.push((field_of("state"), &c.state, true));
        }
        for (path, text, port_may_be_0) in all {
            let Ok(addr) = text.parse::<SocketAddr>() else {
                return Some((path, "must be an IP address and a port".into()));
            };
            if !addr.ip().is_loopback() {
                return Some((path, "must be an address of this machine (loopback)".into()));
            }
            if addr.port() == 0 {
                if port_may_be_0 {
                    continue;
                }
                return Some((path, "must have a port other than 0, because others connect to it".into()));
            }
            if let Some(other) = seen.insert(addr, path.clone()) {
                return Some((path, format!("is the same address as {}", other.join("."))));
            }
        }
        None
    }

    fn number_error(&self) -> Option<FieldError> {
        let w = &self.workers;
        let mut positive = vec![
            (field_path(&["workers", "report_s"]), w.report_s),
            (field_path(&["workers", "lease_s"]), w.lease_s),
            (field_path(&["workers", "gang_wait_s"]), w.gang_wait_s),
            (field_path(&["workers", "gang_peer_s"]), w.gang_peer_s),
            (field_path(&["workers", "cancel_s"]), w.cancel_s),
            (field_path(&["state", "rps"]), self.state.rps),
            (field_path(&["state", "write_rps"]), self.state.write_rps),
            (field_path(&["cloud", "rps"]), self.cloud.rps),
            (field_path(&["limits", "cores"]), self.limits.cores),
            (field_path(&["limits", "memory_mb"]), self.limits.memory_mb),
        ];
        let mean_lives = [("spot_life_s", self.cloud.spot_life_s), ("life_s", self.cloud.life_s)];
        positive.extend(mean_lives.into_iter().filter_map(|(f, v)| Some((field_path(&["cloud", f]), v?))));
        let mut not_negative = vec![
            (field_path(&["cloud", "list_lag_s"]), self.cloud.list_lag_s),
            (field_path(&["cloud", "notice_s"]), self.cloud.notice_s),
        ];
        for (name, t) in &self.machine_type {
            let field_of = |f: &str| field_path(&["machine_type", name, f]);
            positive.push((field_of("cpus"), t.cpus));
            positive.push((field_of("memory_gb"), t.memory_gb));
            positive.push((field_of("fetch_gb_per_s"), t.fetch_gb_per_s));
            positive.push((field_of("price"), t.price));
            positive.push((field_of("spot_price"), t.spot_price));
            not_negative.extend([
                (field_of("gpus"), t.gpus),
                (field_of("cache_gb"), t.cache_gb),
                (field_of("boot_s"), t.boot_s),
            ]);
        }
        for (name, t) in &self.team {
            let fields =
                [("cpus", t.cpus), ("cpus_max", t.cpus_max), ("gpus", t.gpus), ("gpus_max", t.gpus_max)];
            not_negative.extend(fields.map(|(f, v)| (field_path(&["team", name, f]), v)));
        }
        let shares = [
            ("slow_boots", self.cloud.slow_boots),
            ("quick_boots", self.cloud.quick_boots),
            ("never_up", self.cloud.never_up),
            ("no_notice", self.cloud.no_notice),
        ];
        let is_in_range = |v: f64| v.is_finite() && (0.0..=1e9).contains(&v);
        if let Some((path, _)) = positive.into_iter().find(|(_, v)| !is_in_range(*v) || *v <= 0.0) {
            return Some((path, "must be a number above 0".into()));
        }
        if let Some((path, _)) = not_negative.into_iter().find(|(_, v)| !is_in_range(*v)) {
            return Some((path, "must be a number of 0 or more".into()));
        }
        if let Some((field, _)) = shares.into_iter().find(|(_, v)| !(0.0..=1.0).contains(v)) {
            return Some((field_path(&["cloud", field]), "must be a share from 0 to 1".into()));
        }
        if self.state.value_kb.is_nan() || !(2.0..=1e6).contains(&self.state.value_kb) {
            return Some((field_path(&["state", "value_kb"]), "must be at least 2".into()));
        }
        if self.state.txn_ops < 2 {
            return Some((field_path(&["state", "txn_ops"]), "must be at least 2".into()));
        }
        let too_few_connections = self.limits.max_connections < 64;
        too_few_connections
            .then(|| (field_path(&["limits", "max_connections"]), "must be at least 64".into()))
    }

    fn name_error(&self) -> Option<FieldError> {
        let kinds = [
            ("controller", self.controller.keys().collect::<Vec<_>>()),
            ("machine_type", self.machine_type.keys().collect()),
            ("team", self.team.keys().collect()),
        ];
        for (kind, names) in kinds {
            if names.is_empty() {
                return Some((field_path(&[kind]), "there must be at least one".into()));
            }
            let is_invalid = |n: &&&String| n.is_empty() || n.len() > 100 || n.contains(char::is_whitespace);
            if let Some(name) = names.iter().find(is_invalid) {
                return Some((field_path(&[kind, name]), "must be a name without spaces".into()));
            }
        }
        let without_zone = self.machine_type.iter().find(|(_, t)| t.zones().is_empty());
        without_zone.map(|(name, _)| {
            (field_path(&["machine_type", name, "capacity"]), "must name at least one zone".into())
        })
    }
}
