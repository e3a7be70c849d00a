//! Golden tests of the messages that controllers exchange regularly, and of their responses.

use peer::{MachineStatusRow, Message, PeerStatus, RelayedHeartbeat, TerminationProof, TerminationProofs};

fn check(file: &str, message: &Message) {
    crate::check(file, message, peer::encode, peer::decode);
}

/// Two machines. Every flag has another combination of values than the others, so that swapped flags
/// are noticed.
fn machines() -> Vec<MachineStatusRow> {
    let first = MachineStatusRow {
        id: "host-000231".into(),
        usable: true,
        silent_ms: 77_001,
        heard_from: true,
        free_cpus: 1.25,
        free_gpus: 2.5,
        free_memory_gb: 3.75,
        unhealthy: false,
        spot_notice: false,
    };
    let second = MachineStatusRow {
        id: "spare".into(),
        usable: true,
        silent_ms: 77_002,
        heard_from: false,
        free_cpus: 4.25,
        free_gpus: 5.5,
        free_memory_gb: 6.75,
        unhealthy: true,
        spot_notice: false,
    };
    vec![first, second]
}

#[test]
fn peer_status() {
    let full = PeerStatus {
        name: "controller-1".into(),
        incarnation: 7_700_000_000_000_000_003,
        sequence: 77_004,
        epoch: 77_005,
        store_silent_ms: 77_006,
        machines: machines(),
    };
    check("summary-full.rkyv", &Message::PeerStatus(full));
    let empty = PeerStatus {
        name: "c".into(),
        incarnation: 77_007,
        sequence: 77_008,
        epoch: 77_009,
        store_silent_ms: 77_010,
        machines: Vec::new(),
    };
    check("summary-without-machines.rkyv", &Message::PeerStatus(empty));
}

#[test]
fn relayed_heartbeat() {
    check(
        "relay.rkyv",
        &Message::RelayedHeartbeat(RelayedHeartbeat { heartbeat: vec![0x81, 0xa1, 0x61, 0x07, 0x00, 0xff] }),
    );
}

#[test]
fn termination_proofs() {
    let first = TerminationProof {
        job: "j-000412".into(),
        task: 77_011,
        attempt: 77_012,
        machine: "host-000232".into(),
        reason_code: 4,
    };
    let second = TerminationProof {
        job: "j-1".into(),
        task: 77_013,
        attempt: 77_014,
        machine: "spare".into(),
        reason_code: 201,
    };
    check(
        "proofs-full.rkyv",
        &Message::TerminationProofs(TerminationProofs { epoch: 77_015, proofs: vec![first, second] }),
    );
    check(
        "proofs-empty.rkyv",
        &Message::TerminationProofs(TerminationProofs { epoch: 77_016, proofs: Vec::new() }),
    );
}

#[test]
fn acknowledged() {
    check("taken.rkyv", &Message::Acknowledged);
}

#[test]
fn heartbeat_response() {
    check("relayed.rkyv", &Message::HeartbeatResponse { status: 421, body: vec![0x80, 0x01, 0x02, 0xfe] });
}
