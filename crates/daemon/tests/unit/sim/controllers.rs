//! Controllers: their scheduling cycles, the messages that they send, restarts and upgrades.

use super::*;
use std::sync::Arc;

impl Simulation {
    pub(super) fn new_controller(
        n: usize,
        incarnation: u64,
        defect: Defect,
        is_old_version: bool,
    ) -> Arc<Controller> {
        let mut settings = Settings::parse("example", EXAMPLE).expect("the example is valid");
        settings.node_name = format!("n-{n}");
        // The peers: they are never queried here, so that leases are renewed within the time bound
        // alone.
        settings.peers = (0..CONTROLLERS)
            .filter(|o| *o != n)
            .map(|o| Peer { node_name: format!("n-{o}"), address: format!("127.0.0.1:{}", 100 + o) })
            .collect();
        settings.zone = if n.is_multiple_of(2) { "z" } else { "y" }.into();
        if !is_old_version && defect != Defect::UnknownLowerLimits {
            let (value_kb, txn_ops) = (Some(LOWERED_VALUE_KB), Some(LOWERED_TXN_OPS));
            settings.facts.state.next =
                Some(NextStoreSettings { value_kb, txn_ops, ..NextStoreSettings::default() });
        }
        settings.facts.teams[0].cpus_max =
            if defect == Defect::RaisedTeamLimit { TEAM_CPU_LIMIT + 4.0 } else { TEAM_CPU_LIMIT };
        Controller::new(settings, OperatorSettings::default(), incarnation)
    }

    /// Upgrades the next controller, which commits its schema marker.
    pub(super) fn upgrade_next_controller(&mut self) {
        let Some(n) = self.runs_old_version.iter().position(|is_old_version| *is_old_version) else { return };
        self.runs_old_version[n] = false;
        self.start_controller(n);
        let write = KeyWrite::new(
            key::schema_marker(&self.controllers[n].identity.name),
            &SchemaMarker { schema_version: SCHEMA_VERSION },
        );
        assert!(self.state_service.txn(&[], vec![write]) == Outcome::Committed);
        if !self.runs_old_version.contains(&true) {
            self.limits_lowered_at = Some(self.step + self.rng.random_range(0..200));
        }
    }

    /// Commits a cluster map with a random set of live controllers and the next epoch.
    pub(super) fn publish_random_map(&mut self) {
        let is_partial = self.rng.random_bool(0.5);
        let mut live: Vec<Member> = self.controllers.iter().map(|n| n.identity.clone()).collect();
        live.retain(|_| !is_partial || self.rng.random_bool(0.4));
        if live.is_empty() {
            live.push(self.controllers[0].identity.clone());
        }
        let epoch = self.step + 1;
        let leader = live[0].clone();
        let writes = vec![
            KeyWrite::new(key::MAP.into(), &ClusterMap { epoch, live }),
            KeyWrite::new(key::LEADER.into(), &leader),
        ];
        assert!(self.state_service.txn(&[], writes) == Outcome::Committed);
    }

    pub(super) fn step_controller(&mut self, n: usize) {
        if self.step < self.paused_until[n] {
            return;
        }
        let now = self.now();
        // The replica lags by whole revisions.
        if self.rng.random_range(0..4) > 0 {
            let mut state = self.controllers[n].state();
            let state = &mut *state;
            while let Some((revision, write)) = self.state_service.log.get(self.applied_len[n]) {
                let (change, unreadable, version) = if self.runs_old_version[n] {
                    let (change, unreadable) = decode_as_production(write);
                    (change, unreadable, *revision)
                } else {
                    state.records.reader.apply(&write.key, write.value.clone(), *revision)
                };
                if unreadable {
                    state.records.replica.mark_unreadable(change)
                } else {
                    state.records.replica.apply(change, version)
                }
                state.records.replica.revision = *revision;
                self.applied_len[n] += 1;
            }
            state.records.is_loaded = true;
            state.records.fresh_at = Some(now);
            if state.records.replica.schema_versions.len() == CONTROLLERS {
                self.controllers[n].limit_changes.all_upgraded.store(true, Ordering::Relaxed);
            }
        }
        let limits = self.controllers[n].state_limits();
        let decided = {
            let controller = &self.controllers[n];
            let mut state = controller.state();
            let runs_rescheduler = self.step.is_multiple_of(50);
            scheduler::decide(
                controller,
                &mut state,
                scheduler::CycleContext::new(limits.txn_ops, now, self.step * 100)
                    .with_rescheduler(runs_rescheduler),
            )
            .map(|cycle| {
                let scheduler::CycleTransaction { conditions, writes, .. } = scheduler::build_transaction(
                    &state.records.replica,
                    &cycle,
                    &controller.state_limits(),
                    usize::MAX,
                );
                let epoch = state.cluster_map().map_or(0, |m| m.epoch);
                (cycle.commands, conditions, writes, cycle.forwarded_proofs, epoch)
            })
        };
        let Some((outgoing, conditions, writes, forwarded_proofs, epoch)) = decided else { return };
        for (to, proofs) in forwarded_proofs {
            let to = self.controllers.iter().position(|n| n.identity.name == to).expect("a known controller");
            self.send(Message::TerminationProofs { to, epoch, proofs });
        }
        for scheduler::OutgoingCommands { machine, commands, .. } in outgoing {
            let to = (0..MACHINES).find(|m| *machine_id(*m) == *machine).expect("a known machine");
            self.pending_requests.insert((n, to), commands.fencing_token);
            self.send(Message::Commands { to, from: n, commands });
        }
        if !writes.is_empty() {
            let (mut conditions, mut writes) = (conditions, writes);
            if self.runs_old_version[n] {
                // The old version writes the fields that it knows and drops the others.
                for write in &mut writes {
                    if let (change, false) = decode_as_production(write)
                        && let RecordChange::Job(_, Some(job)) = change
                    {
                        *write = KeyWrite::new(write.key.clone(), &job);
                    }
                }
            } else if limits.chunked {
                let nonce = self.rng.random();
                self.state_service.write_in_chunks(&mut conditions, &mut writes, nonce, limits.value_bytes);
            }
            self.send(Message::Txn { from: n, conditions, writes, lowered_limits_known: limits.chunked });
        }
    }

    /// Restarts a random controller with an empty replica.
    pub(super) fn restart_random_controller(&mut self) {
        let n = self.rng.random_range(0..CONTROLLERS);
        self.start_controller(n);
    }

    pub(super) fn start_controller(&mut self, n: usize) {
        self.controllers[n] =
            Self::new_controller(n, 1000 + self.step, self.defect, self.runs_old_version[n]);
        self.applied_len[n] = 0;
        self.paused_until[n] = 0;
        self.pending_requests.retain(|(controller, _), _| *controller != n);
    }
}
