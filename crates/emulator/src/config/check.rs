//! What a description of a site must keep to beyond its form.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::SiteFile;

type Mistake = (Vec<String>, String);

fn at(path: &[&str]) -> Vec<String> {
    path.iter().map(|s| (*s).to_owned()).collect()
}

impl SiteFile {
    /// The first mistake: the field's path, and what is wrong with it.
    pub(super) fn mistake(&self) -> Option<Mistake> {
        self.addresses().or_else(|| self.numbers()).or_else(|| self.names()).or_else(|| self.load_mistake())
    }

    fn addresses(&self) -> Option<Mistake> {
        let mut seen: BTreeMap<SocketAddr, Vec<String>> = BTreeMap::new();
        let listen = [("users", &self.listen.users), ("cloud", &self.listen.cloud)];
        let mut all: Vec<(Vec<String>, &String, bool)> =
            listen.into_iter().map(|(f, a)| (at(&["listen", f]), a, true)).collect();
        for (name, c) in &self.controller {
            let of = |f: &str| at(&["controller", name, f]);
            all.push((of("front"), &c.front, false));
            all.push((of("internal"), &c.internal, false));
            all.push((of("door"), &c.door, true));
            all.push((of("state"), &c.state, true));
        }
        for (path, text, any_port) in all {
            let Ok(addr) = text.parse::<SocketAddr>() else {
                return Some((path, "must be an IP address and a port".into()));
            };
            if !addr.ip().is_loopback() {
                return Some((path, "must be an address of this machine (loopback)".into()));
            }
            if addr.port() == 0 {
                if any_port {
                    continue;
                }
                return Some((path, "must have a port, as others are told of it".into()));
            }
            if let Some(other) = seen.insert(addr, path.clone()) {
                return Some((path, format!("is the same address as {}", other.join("."))));
            }
        }
        None
    }

    fn numbers(&self) -> Option<Mistake> {
        let w = &self.workers;
        let mut positive = vec![
            (at(&["workers", "report_s"]), w.report_s),
            (at(&["workers", "lease_s"]), w.lease_s),
            (at(&["workers", "gang_wait_s"]), w.gang_wait_s),
            (at(&["workers", "gang_peer_s"]), w.gang_peer_s),
            (at(&["workers", "cancel_s"]), w.cancel_s),
            (at(&["state", "rps"]), self.state.rps),
            (at(&["state", "write_rps"]), self.state.write_rps),
            (at(&["cloud", "rps"]), self.cloud.rps),
            (at(&["limits", "cores"]), self.limits.cores),
            (at(&["limits", "memory_mb"]), self.limits.memory_mb),
        ];
        let lives = [("spot_life_s", self.cloud.spot_life_s), ("life_s", self.cloud.life_s)];
        positive.extend(lives.into_iter().filter_map(|(f, v)| Some((at(&["cloud", f]), v?))));
        let mut not_negative = vec![
            (at(&["cloud", "list_lag_s"]), self.cloud.list_lag_s),
            (at(&["cloud", "notice_s"]), self.cloud.notice_s),
        ];
        for (name, t) in &self.machine_type {
            let of = |f: &str| at(&["machine_type", name, f]);
            positive.push((of("cpus"), t.cpus));
            positive.push((of("memory_gb"), t.memory_gb));
            positive.push((of("fetch_gb_per_s"), t.fetch_gb_per_s));
            positive.push((of("price"), t.price));
            positive.push((of("spot_price"), t.spot_price));
            not_negative.extend([
                (of("gpus"), t.gpus),
                (of("cache_gb"), t.cache_gb),
                (of("boot_s"), t.boot_s),
            ]);
        }
        for (name, t) in &self.team {
            let fields =
                [("cpus", t.cpus), ("cpus_max", t.cpus_max), ("gpus", t.gpus), ("gpus_max", t.gpus_max)];
            not_negative.extend(fields.map(|(f, v)| (at(&["team", name, f]), v)));
        }
        let shares = [
            ("slow_boots", self.cloud.slow_boots),
            ("quick_boots", self.cloud.quick_boots),
            ("never_up", self.cloud.never_up),
            ("no_notice", self.cloud.no_notice),
        ];
        let fine = |v: f64| v.is_finite() && (0.0..=1e9).contains(&v);
        if let Some((path, _)) = positive.into_iter().find(|(_, v)| !fine(*v) || *v <= 0.0) {
            return Some((path, "must be a number above 0".into()));
        }
        if let Some((path, _)) = not_negative.into_iter().find(|(_, v)| !fine(*v)) {
            return Some((path, "must be a number of 0 or more".into()));
        }
        if let Some((field, _)) = shares.into_iter().find(|(_, v)| !(0.0..=1.0).contains(v)) {
            return Some((at(&["cloud", field]), "must be a share from 0 to 1".into()));
        }
        if self.state.value_kb.is_nan() || !(2.0..=1e6).contains(&self.state.value_kb) {
            return Some((at(&["state", "value_kb"]), "must be at least 2".into()));
        }
        if self.state.txn_ops < 2 {
            return Some((at(&["state", "txn_ops"]), "must be at least 2".into()));
        }
        let connections = self.limits.max_connections < 64;
        connections.then(|| (at(&["limits", "max_connections"]), "must be at least 64".into()))
    }

    fn names(&self) -> Option<Mistake> {
        let kinds = [
            ("controller", self.controller.keys().collect::<Vec<_>>()),
            ("machine_type", self.machine_type.keys().collect()),
            ("team", self.team.keys().collect()),
        ];
        for (kind, names) in kinds {
            if names.is_empty() {
                return Some((at(&[kind]), "there must be at least one".into()));
            }
            let odd = |n: &&&String| n.is_empty() || n.len() > 100 || n.contains(char::is_whitespace);
            if let Some(name) = names.iter().find(odd) {
                return Some((at(&[kind, name]), "must be a name without spaces".into()));
            }
        }
        let empty = self.machine_type.iter().find(|(_, t)| t.zones().is_empty());
        empty.map(|(name, _)| (at(&["machine_type", name, "capacity"]), "must name a zone".into()))
    }
}
