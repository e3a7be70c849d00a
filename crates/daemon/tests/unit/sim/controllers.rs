//! Controllers: their rounds, what they send, and how they end and come back.

use super::*;
use std::sync::Arc;

impl Sim {
    pub(super) fn new_controller(
        n: usize,
        incarnation: u64,
        sabotage: Sabotage,
        old: bool,
    ) -> Arc<Controller> {
        let mut settings = Settings::parse("example", EXAMPLE).expect("the example is valid");
        settings.node_name = format!("n-{n}");
        // The others: their word is never asked for here, so that leases are renewed within
        // the bound alone.
        settings.peers = (0..CONTROLLERS)
            .filter(|o| *o != n)
            .map(|o| Peer { node_name: format!("n-{o}"), address: format!("127.0.0.1:{}", 100 + o) })
            .collect();
        settings.zone = if n.is_multiple_of(2) { "z" } else { "y" }.into();
        if !old && sabotage != Sabotage::Sizes {
            let (value_kb, txn_ops) = (Some(NEXT_KB), Some(NEXT_OPS));
            settings.facts.state.next =
                Some(NextStoreSettings { value_kb, txn_ops, ..NextStoreSettings::default() });
        }
        settings.facts.teams[0].cpus_max = if sabotage == Sabotage::Limit { LIMIT + 4.0 } else { LIMIT };
        Controller::new(settings, OperatorSettings::default(), incarnation)
    }

    /// The next controller gets the new version, and leaves its lasting word.
    pub(super) fn upgrade(&mut self) {
        let Some(n) = self.old.iter().position(|old| *old) else { return };
        self.old[n] = false;
        self.back(n);
        let put = KeyWrite::new(
            key::upgraded(&self.nodes[n].identity.name),
            &SchemaMarker { schema_version: SCHEMA_VERSION },
        );
        assert!(self.state.txn(&[], vec![put]) == Outcome::Committed);
        if !self.old.contains(&true) {
            self.small_at = Some(self.step + self.rng.random_range(0..200));
        }
    }

    /// A random set of live controllers, under the next epoch.
    pub(super) fn new_map(&mut self) {
        let few = self.rng.random_bool(0.5);
        let mut live: Vec<Member> = self.nodes.iter().map(|n| n.identity.clone()).collect();
        live.retain(|_| !few || self.rng.random_bool(0.4));
        if live.is_empty() {
            live.push(self.nodes[0].identity.clone());
        }
        let epoch = self.step + 1;
        let leader = live[0].clone();
        let puts = vec![
            KeyWrite::new(key::MAP.into(), &ClusterMap { epoch, live }),
            KeyWrite::new(key::LEADER.into(), &leader),
        ];
        assert!(self.state.txn(&[], puts) == Outcome::Committed);
    }

    pub(super) fn controller(&mut self, n: usize) {
        if self.step < self.frozen[n] {
            return;
        }
        let now = self.now();
        // The mirror lags by whole revisions.
        if self.rng.random_range(0..4) > 0 {
            let mut state = self.nodes[n].state();
            let state = &mut *state;
            while let Some((revision, put)) = self.state.log.get(self.seen[n]) {
                let (change, bad, version) = if self.old[n] {
                    let (change, bad) = by_production(put);
                    (change, bad, *revision)
                } else {
                    state.records.reader.apply(&put.key, put.value.clone(), *revision)
                };
                if bad {
                    state.records.replica.mark_unreadable(change)
                } else {
                    state.records.replica.apply(change, version)
                }
                state.records.replica.revision = *revision;
                self.seen[n] += 1;
            }
            state.records.is_loaded = true;
            state.records.fresh_at = Some(now);
            if state.records.replica.schema_versions.len() == CONTROLLERS {
                self.nodes[n].limit_changes.all_upgraded.store(true, Ordering::Relaxed);
            }
        }
        let plan = self.nodes[n].state_limits();
        let decided = {
            let controller = &self.nodes[n];
            let mut state = controller.state();
            let scan = self.step.is_multiple_of(50);
            scheduler::decide(
                controller,
                &mut state,
                scheduler::CycleContext::new(plan.txn_ops, now, self.step * 100).with_rescheduler(scan),
            )
            .map(|r| {
                let scheduler::CycleTransaction { conditions, writes: puts, .. } =
                    scheduler::build_transaction(
                        &state.records.replica,
                        &r,
                        &controller.state_limits(),
                        usize::MAX,
                    );
                let epoch = state.cluster_map().map_or(0, |m| m.epoch);
                (r.commands, conditions, puts, r.forwarded_proofs, epoch)
            })
        };
        let Some((sends, conditions, puts, proofs, epoch)) = decided else { return };
        for (to, list) in proofs {
            let to = self.nodes.iter().position(|n| n.identity.name == to).expect("a known controller");
            self.post(Message::TerminationProofs { to, epoch, list });
        }
        for scheduler::OutgoingCommands { machine, commands, .. } in sends {
            let to = (0..MACHINES).find(|m| *id(*m) == *machine).expect("a known machine");
            self.waiting.insert((n, to), commands.fencing_token);
            self.post(Message::Commands { to, from: n, commands });
        }
        if !puts.is_empty() {
            let (mut conditions, mut puts) = (conditions, puts);
            if self.old[n] {
                // It writes what it knows, and drops the rest.
                for put in &mut puts {
                    if let (change, false) = by_production(put)
                        && let RecordChange::Job(_, Some(job)) = change
                    {
                        *put = KeyWrite::new(put.key.clone(), &job);
                    }
                }
            } else if plan.chunked {
                let nonce = self.rng.random();
                self.state.widen(&mut conditions, &mut puts, nonce, plan.value_bytes);
            }
            self.post(Message::Txn { from: n, conditions, puts, sized: plan.chunked });
        }
    }

    /// A controller ends and is back at once, knowing nothing.
    pub(super) fn restart(&mut self) {
        let n = self.rng.random_range(0..CONTROLLERS);
        self.back(n);
    }

    pub(super) fn back(&mut self, n: usize) {
        self.nodes[n] = Self::new_controller(n, 1000 + self.step, self.sabotage, self.old[n]);
        self.seen[n] = 0;
        self.frozen[n] = 0;
        self.waiting.retain(|(of, _), _| *of != n);
    }
}
