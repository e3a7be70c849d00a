//! The cluster map: the live controllers, and which of them owns each machine.

use serde::{Deserialize, Serialize};

/// A controller's entry in the cluster map and its membership record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The controller's name.
    pub name: String,
    /// The controller's zone.
    pub zone: String,
    /// A random number chosen when the process starts.
    pub incarnation: u64,
}

/// The controllers that may act. Every fencing token contains the epoch of the map.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterMap {
    /// Increases with every change of the map.
    pub epoch: u64,
    /// The live controllers.
    pub live: Vec<Member>,
}

impl ClusterMap {
    /// The owner of a machine, chosen by rendezvous hashing among the live controllers of its zone,
    /// or among all live controllers if its zone has none. An owner in the same zone can reach the
    /// machine's worker during a network partition between zones. `None` if no controller is live.
    pub fn owner(&self, machine: &str, zone: &str) -> Option<&Member> {
        let in_zone = self.live.iter().any(|member| member.zone == zone);
        let candidates = self.live.iter().filter(|member| !in_zone || member.zone == zone);
        candidates.max_by_key(|member| rendezvous_hash(machine, &member.name))
    }

    /// Whether a controller is live with this incarnation.
    pub fn contains(&self, name: &str, incarnation: u64) -> bool {
        self.live.iter().any(|member| member.name == name && member.incarnation == incarnation)
    }
}

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
const FINAL_MULTIPLIER: u64 = 0xd6e8_feb8_6659_fd93;

/// A rendezvous hash (FNV-1a with a final mixing step) that is the same on every controller.
fn rendezvous_hash(machine: &str, member: &str) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in machine.bytes().chain([0]).chain(member.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(FINAL_MULTIPLIER);
    hash ^ (hash >> 32)
}
