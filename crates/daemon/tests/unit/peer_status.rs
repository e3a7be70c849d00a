use super::*;
use crate::operators::OperatorSettings;
use crate::settings::Settings;
use crate::settings::tests::EXAMPLE;
use sched::records::Member;
use sched::replica::RecordChange;

#[test]
fn delayed_duplicates_of_statuses_change_nothing() {
    let text = EXAMPLE.replacen(
        "[external]",
        "[[peers]]\nnode_name = \"n-1\"\naddress = \"127.0.0.1:3\"\n[external]",
        1,
    );
    let controller =
        Controller::new(Settings::parse("example", &text).expect("valid"), OperatorSettings::default(), 1);
    let receive = |incarnation, sequence, store_silent_ms| {
        let name = "n-1".to_owned();
        receive_status(
            &controller,
            PeerStatus { name, incarnation, sequence, epoch: 3, store_silent_ms, machines: Vec::new() },
        );
        controller.state().peers.statuses["n-1"].status.store_silent_ms
    };
    assert_eq!(receive(7, 1, 60_000), 60_000, "an outage");
    assert_eq!(receive(7, 2, 100), 100);
    assert_eq!(receive(7, 1, 60_000), 100, "a duplicate of the first");
    let member = Member { name: "n-1".into(), zone: "a".into(), incarnation: 8 };
    controller.state().records.replica.apply(RecordChange::Member("n-1".into(), Some(member)), 1);
    assert_eq!(receive(8, 1, 50), 50, "the sequence of a new process starts again");
    assert_eq!(receive(7, 9, 60_000), 50, "a status of its predecessor is ignored");
}

/// A controller that is partitioned from its workers reports them as silent, and then leaves the
/// cluster map: its status must not be taken for that of their next owner.
#[test]
fn machine_statuses_are_dropped_when_the_owner_changes() {
    let controller = crate::scale::controller(40, 2);
    let mut state = controller.state();
    let machine_ids: Vec<_> = state.records.replica.machines.keys().cloned().collect();
    let is_owned_by_peer = |state: &ControllerState, id: &str| {
        state.records.replica.owner_of(id).is_some_and(|o| o.name == "n-1")
    };
    for id in &machine_ids {
        if is_owned_by_peer(&state, id) {
            let row = MachineStatusRow {
                id: id.to_string(),
                usable: false,
                silent_ms: 60_000,
                heard_from: true,
                free_cpus: 0.0,
                free_gpus: 0.0,
                free_memory_gb: 0.0,
                unhealthy: false,
                spot_notice: false,
            };
            state.peers.machines.insert(id.clone(), row);
        }
    }
    let forget_reassigned = |state: &mut ControllerState, owners_before: &_| {
        let ControllerState { records, peers, .. } = state;
        peers.forget_reassigned_machines(owners_before, &records.replica);
    };
    let reported_count = state.peers.machines.len();
    assert!(reported_count > 0);
    let owners_before = state.peers.machine_owners(&state.records.replica);
    forget_reassigned(&mut state, &owners_before);
    assert_eq!(state.peers.machines.len(), reported_count, "nothing has changed");
    let map = sched::records::ClusterMap { epoch: 8, live: vec![controller.identity.clone()] };
    state.records.replica.apply(RecordChange::Map(Some(map)), 1 << 40);
    forget_reassigned(&mut state, &owners_before);
    assert!(state.peers.machines.is_empty());
}
