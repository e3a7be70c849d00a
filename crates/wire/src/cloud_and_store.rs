//! Requests of controllers to the cloud and to the key-value store, and the responses.

use serde::{Deserialize, Serialize};

/// A machine type of the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "label")]
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    #[serde(default)]
    pub price: f64,
    #[serde(default)]
    pub spot_price: f64,
    /// How long a machine takes to boot.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    #[serde(rename = "bays", default)]
    pub zones: Vec<String>,
}

/// The response to a read of the machine types.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "shapes")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentRequest {
    /// Identifies the request, so that it can be repeated without renting twice.
    #[serde(rename = "hire")]
    pub request: String,
    #[serde(rename = "shape")]
    pub machine_type: String,
    #[serde(rename = "bay")]
    pub zone: String,
    #[serde(rename = "loaner")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

/// The names of machines: those that were rented, or those to be released.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "frames")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineStatus {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

/// A rented machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    pub id: String,
    #[serde(default)]
    pub addr: Option<String>,
    #[serde(rename = "shape")]
    pub machine_type: String,
    #[serde(rename = "bay")]
    pub zone: String,
    #[serde(rename = "loaner")]
    pub spot: bool,
    pub status: MachineStatus,
    /// How long the machine has been rented.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "frames")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
}

/// A key in a list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Item<V> {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: V,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a list of keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Items<V> {
    #[serde(rename = "entries")]
    pub items: Vec<Item<V>>,
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// The response to a read of one key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredKey<V> {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: V,
    #[serde(rename = "stamp")]
    pub version: u64,
    #[serde(rename = "hold", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// The body of a 404 for a key that does not exist.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyNotFound {
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A condition of a transaction: the key has this version; 0 if it does not exist.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// An operation of a transaction. The fields `put` and `delete` have the key.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Op<V> {
    Put {
        put: String,
        #[serde(rename = "v")]
        value: V,
        #[serde(rename = "hold", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "remove")]
        delete: String,
    },
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Txn<V> {
    #[serde(rename = "if", default = "Vec::new")]
    pub conditions: Vec<Condition>,
    /// If there are none, the transaction only checks its conditions.
    #[serde(rename = "then", default = "Vec::new")]
    pub ops: Vec<Op<V>>,
}

/// The response to a transaction, with the keys that failed their conditions.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TxnResponse {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A request to grant a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Lease {
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// A change in the response to a watch: a put has a value, a deletion has none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Event<V> {
    #[serde(default = "none", skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(rename = "remove", default = "none", skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    #[serde(rename = "v", default = "none", skip_serializing_if = "Option::is_none")]
    pub value: Option<V>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

fn none<T>() -> Option<T> {
    None
}

/// The response to a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Changes<V> {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(rename = "news", default = "Vec::new")]
    pub events: Vec<Event<V>>,
}
