//! Messages that are sent to every peer, and their answers.

use peer::{MachineRow, Message, Proof, Proofs, Relay, Summary};

fn check(file: &str, message: &Message) {
    crate::check(file, message, peer::encode, peer::decode);
}

/// Two machines, whose flags together tell all flags from each other.
fn machines() -> Vec<MachineRow> {
    let first = MachineRow {
        id: "host-000231".into(),
        usable: true,
        silent_ms: 77_001,
        met: true,
        free_cpus: 1.25,
        free_gpus: 2.5,
        free_memory_gb: 3.75,
        sick: false,
        notice: false,
    };
    let second = MachineRow {
        id: "spare".into(),
        usable: true,
        silent_ms: 77_002,
        met: false,
        free_cpus: 4.25,
        free_gpus: 5.5,
        free_memory_gb: 6.75,
        sick: true,
        notice: false,
    };
    vec![first, second]
}

#[test]
fn summary() {
    let summary = Summary {
        name: "controller-1".into(),
        incarnation: 7_700_000_000_000_000_003,
        count: 77_004,
        epoch: 77_005,
        state_silent_ms: 77_006,
        machines: machines(),
    };
    check("summary-full.rkyv", &Message::Summary(summary));
    let empty = Summary {
        name: "c".into(),
        incarnation: 77_007,
        count: 77_008,
        epoch: 77_009,
        state_silent_ms: 77_010,
        machines: Vec::new(),
    };
    check("summary-without-machines.rkyv", &Message::Summary(empty));
}

#[test]
fn relay() {
    check("relay.rkyv", &Message::Relay(Relay { report: vec![0x81, 0xa1, 0x61, 0x07, 0x00, 0xff] }));
}

#[test]
fn proofs() {
    let first = Proof {
        job: "j-000412".into(),
        task: 77_011,
        attempt: 77_012,
        machine: "host-000232".into(),
        end: 4,
    };
    let second =
        Proof { job: "j-1".into(), task: 77_013, attempt: 77_014, machine: "spare".into(), end: 201 };
    check("proofs-full.rkyv", &Message::Proofs(Proofs { epoch: 77_015, list: vec![first, second] }));
    check("proofs-empty.rkyv", &Message::Proofs(Proofs { epoch: 77_016, list: Vec::new() }));
}

#[test]
fn taken() {
    check("taken.rkyv", &Message::Taken);
}

#[test]
fn relayed() {
    check("relayed.rkyv", &Message::Relayed { status: 421, body: vec![0x80, 0x01, 0x02, 0xfe] });
}
