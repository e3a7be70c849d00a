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
    let receive = |incarnation, count, state_silent_ms| {
        let name = "n-1".to_owned();
        receive_status(
            &controller,
            PeerStatus {
                name,
                incarnation,
                sequence: count,
                epoch: 3,
                state_silent_ms,
                machines: Vec::new(),
            },
        );
        controller.state().peers.statuses["n-1"].status.state_silent_ms
    };
    assert_eq!(receive(7, 1, 60_000), 60_000, "an outage");
    assert_eq!(receive(7, 2, 100), 100);
    assert_eq!(receive(7, 1, 60_000), 100, "a duplicate of the first");
    let member = Member { name: "n-1".into(), zone: "a".into(), incarnation: 8 };
    controller.state().records.replica.apply(RecordChange::Member("n-1".into(), Some(member)), 1);
    assert_eq!(receive(8, 1, 50), 50, "a new process counts anew");
    assert_eq!(receive(7, 9, 60_000), 50, "its predecessor is gone");
}

/// A controller that is partitioned from its workers reports that they are silent, and leaves the
/// map: its status must not pass for that of their next owner.
#[test]
fn the_status_of_a_machine_is_forgotten_with_its_owner() {
    let controller = crate::scale::controller(40, 2);
    let mut state = controller.state();
    let theirs: Vec<_> = state.records.replica.machines.keys().cloned().collect();
    let other = |state: &ControllerState, id: &str| {
        state.records.replica.owner_of(id).is_some_and(|o| o.name == "n-1")
    };
    for id in &theirs {
        if other(&state, id) {
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
    let forget_reassigned = |state: &mut ControllerState, before: &_| {
        let ControllerState { records, peers, .. } = state;
        peers.forget_reassigned_machines(before, &records.replica);
    };
    let said = state.peers.machines.len();
    assert!(said > 0);
    let before = state.peers.machine_owners(&state.records.replica);
    forget_reassigned(&mut state, &before);
    assert_eq!(state.peers.machines.len(), said, "nothing has changed");
    let map = sched::records::ClusterMap { epoch: 8, live: vec![controller.identity.clone()] };
    state.records.replica.apply(RecordChange::Map(Some(map)), 1 << 40);
    forget_reassigned(&mut state, &before);
    assert!(state.peers.machines.is_empty());
}
