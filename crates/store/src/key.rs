//! The keys of the records. All keys have the same prefix, so that one watch covers them.

/// The prefix of all keys.
pub const PREFIX: &str = "sageloom/";
/// The prefix of the chunks of records that are too large for one value.
pub const CHUNKS: &str = "sageloom/parts/";
/// The entry of the leader.
pub const LEADER: &str = "sageloom/leader";
/// The cluster map: the live controllers, and the epoch.
pub const MAP: &str = "sageloom/map";
/// The machine types, as last read from the cloud.
pub const TYPES: &str = "sageloom/types";
/// Scale-outs in progress and removed machines.
pub const FLEET: &str = "sageloom/fleet";
/// The fence that changes with every change of the cordons.
pub const CORDON_FENCE: &str = "sageloom/cordon-fence";

/// The key of a job's record.
pub fn job(id: &str) -> String {
    format!("sageloom/jobs/{id}")
}

/// The key of a machine's record.
pub fn machine(id: &str) -> String {
    format!("sageloom/machines/{id}")
}

/// The key of a team's record, which every placement of the team changes.
pub fn team(name: &str) -> String {
    format!("sageloom/teams/{}", team_id(name))
}

/// The form of a team's name that its keys contain and that identifies its records. Whitespace is
/// replaced, because names are free text and a key must not contain whitespace.
pub fn team_id(name: &str) -> String {
    name.replace(char::is_whitespace, "_")
}

/// The key of a controller's schema version. It is written without a lease, because the controller is
/// not restarted with a version that writes none.
pub fn schema_marker(name: &str) -> String {
    format!("sageloom/upgraded/{name}")
}

/// The key of a drain's record, which has its progress.
pub fn drain(name: &str) -> String {
    format!("sageloom/drains/{name}")
}

/// The key of a cordon: the record of some of the machines of a drain.
pub fn cordon(drain: &str, number: u32) -> String {
    format!("sageloom/cordons/{drain}/{number}")
}

/// The key of the open voluntary disruptions of a team.
pub fn disruptions(team: &str) -> String {
    format!("sageloom/disruptions/{}", team_id(team))
}

/// The key of a live controller's entry.
pub fn member(name: &str) -> String {
    format!("sageloom/members/{name}")
}
