//! Golden tests of the messages with the cloud and with the key-value store.

use serde_json::{Value as Json, json};
use wire::{
    Changes, Condition, Event, Item, Items, KeyNotFound, Lease, LeaseRequest, ListedMachine, MachineList,
    MachineNames, MachineStatus, MachineType, MachineTypes, Op, RentRequest, StoredKey, Txn, TxnResponse,
};

use crate::machine_types;
use crate::messages::{check, check_read};

/// A value of the key-value store.
fn value() -> Json {
    json!({ "field": "text", "number": 72_001 })
}

#[test]
fn machine_type_full() {
    check("machine-type-full.msgpack", &machine_types::full());
}

#[test]
fn machine_type_without_optional_fields() {
    let machine_type = MachineType {
        name: "type-b".into(),
        cpus: 4.5,
        gpus: 1.5,
        memory_gb: 16.5,
        cache_gb: 0.0,
        fetch_gb_per_s: 0.0,
        price: 0.0,
        spot_price: 0.0,
        boot_s: 0.0,
        zones: Vec::new(),
    };
    check("machine-type-without-optional-fields.msgpack", &machine_type);
    check_read(&json!({ "label": "type-b", "cpus": 4.5, "gpus": 1.5, "mem_gb": 16.5 }), &machine_type);
}

#[test]
fn machine_types() {
    check("machine-types.msgpack", &MachineTypes { types: vec![machine_types::full()] });
}

#[test]
fn rent_request() {
    let request = RentRequest {
        request: "request-a".into(),
        machine_type: "type-b".into(),
        zone: "zone-c".into(),
        spot: true,
        count: 72_002,
    };
    check("rent-request.msgpack", &request);
}

#[test]
fn machine_names() {
    let names = MachineNames { machines: vec!["host-000002".into(), "host-000001".into()] };
    check("machine-names.msgpack", &names);
}

fn listed_machine(status: MachineStatus) -> ListedMachine {
    ListedMachine {
        id: "host-000231".into(),
        addr: Some("10.1.0.232:9000".into()),
        machine_type: "type-a".into(),
        zone: "zone-b".into(),
        spot: true,
        status,
        age_s: 61.5,
    }
}

#[test]
fn listed_machine_with_every_status() {
    let statuses = [
        (MachineStatus::Booting, "booting"),
        (MachineStatus::Running, "running"),
        (MachineStatus::Failed, "failed"),
    ];
    for (status, name) in statuses {
        check(&format!("listed-machine-{name}.msgpack"), &listed_machine(status));
    }
}

#[test]
fn listed_machine_without_optional_fields() {
    let machine = ListedMachine {
        id: "host-000232".into(),
        addr: None,
        machine_type: "type-c".into(),
        zone: "zone-d".into(),
        spot: false,
        status: MachineStatus::Booting,
        age_s: 0.0,
    };
    check("listed-machine-without-optional-fields.msgpack", &machine);
    let message = json!({
        "id": "host-000232", "shape": "type-c", "bay": "zone-d", "loaner": false, "status": "starting",
    });
    check_read(&message, &machine);
}

#[test]
fn machine_list() {
    let list = MachineList { machines: vec![listed_machine(MachineStatus::Running)], has_more: true };
    check("machine-list-full.msgpack", &list);
    let empty = MachineList { machines: Vec::new(), has_more: false };
    check("machine-list-empty.msgpack", &empty);
    check_read(&json!({ "frames": [] }), &empty);
}

#[test]
fn items() {
    let item = Item { key: "sageloom/jobs/j-1".into(), value: value(), version: 72_003 };
    check("item.msgpack", &item);
    check("items-full.msgpack", &Items { items: vec![item], has_more: true, revision: 72_004 });
    let empty: Items<Json> = Items { items: Vec::new(), has_more: false, revision: 72_005 };
    check("items-empty.msgpack", &empty);
    check_read(&json!({ "entries": [], "epoch": 72_005 }), &empty);
}

#[test]
fn stored_key() {
    let leased =
        StoredKey { key: "sageloom/leader".into(), value: value(), version: 72_006, lease: Some(72_007) };
    check("stored-key-full.msgpack", &leased);
    let without = StoredKey { key: "sageloom/map".into(), value: value(), version: 72_008, lease: None };
    check("stored-key-without-lease.msgpack", &without);
}

#[test]
fn key_not_found() {
    check("no-key.msgpack", &KeyNotFound { revision: 72_009 });
}

fn condition() -> Condition {
    Condition { key: "sageloom/map".into(), version: 72_010 }
}

fn leased_put() -> Op<Json> {
    Op::Put { put: "sageloom/members/a".into(), value: value(), lease: Some(72_011) }
}

fn put() -> Op<Json> {
    Op::Put { put: "sageloom/jobs/j-1".into(), value: value(), lease: None }
}

fn delete() -> Op<Json> {
    Op::Delete { delete: "sageloom/jobs/j-2".into() }
}

#[test]
fn condition_of_a_transaction() {
    check("condition.msgpack", &condition());
}

#[test]
fn operation_of_every_kind() {
    check("operation-put-with-lease.msgpack", &leased_put());
    check("operation-put.msgpack", &put());
    check("operation-delete.msgpack", &delete());
}

#[test]
fn transaction() {
    let transaction = Txn { conditions: vec![condition()], ops: vec![delete(), leased_put(), put()] };
    check("transaction-full.msgpack", &transaction);
    let empty: Txn<Json> = Txn { conditions: Vec::new(), ops: Vec::new() };
    check("transaction-empty.msgpack", &empty);
    check_read(&json!({}), &empty);
}

#[test]
fn transaction_response() {
    let failed = vec!["sageloom/map".into(), "sageloom/leader".into()];
    check("transaction-answer-conflict.msgpack", &TxnResponse { failed, revision: 72_012 });
    check("transaction-answer-committed.msgpack", &TxnResponse { failed: Vec::new(), revision: 72_013 });
}

#[test]
fn leases() {
    check("lease-request.msgpack", &LeaseRequest { ttl_ms: 72_014 });
    check("lease.msgpack", &Lease { lease: 72_015 });
}

fn put_event() -> Event<Json> {
    Event { put: Some("sageloom/jobs/j-1".into()), delete: None, value: Some(value()), version: 72_016 }
}

fn delete_event() -> Event<Json> {
    Event { put: None, delete: Some("sageloom/jobs/j-2".into()), value: None, version: 72_017 }
}

#[test]
fn event_of_every_kind() {
    check("event-put.msgpack", &put_event());
    check("event-delete.msgpack", &delete_event());
}

#[test]
fn changes() {
    let changes = Changes { revision: 72_018, events: vec![delete_event(), put_event()] };
    check("changes-full.msgpack", &changes);
    let empty: Changes<Json> = Changes { revision: 72_019, events: Vec::new() };
    check("changes-empty.msgpack", &empty);
    check_read(&json!({ "epoch": 72_019 }), &empty);
}
