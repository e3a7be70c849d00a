//! Names of keys. All of them have one prefix, so that one watch covers them.

/// The prefix of all keys.
pub const PREFIX: &str = "sageloom/";
/// The prefix of the chunks of records that are larger than a value may be.
pub const CHUNKS: &str = "sageloom/parts/";
/// The leader.
pub const LEADER: &str = "sageloom/leader";
/// The cluster map: the live controllers, and the epoch.
pub const MAP: &str = "sageloom/map";
/// The machine types, as last read from the cloud.
pub const TYPES: &str = "sageloom/types";
/// Scale-outs in progress, and machines that are gone.
pub const FLEET: &str = "sageloom/fleet";
/// The fence that changes with every change of the cordons.
pub const CORDON_FENCE: &str = "sageloom/cordon-fence";

/// A job's record.
pub fn job(id: &str) -> String {
    format!("sageloom/jobs/{id}")
}

/// A machine's record.
pub fn machine(id: &str) -> String {
    format!("sageloom/machines/{id}")
}

/// The record that placements of a team change.
pub fn team(name: &str) -> String {
    format!("sageloom/teams/{}", team_id(name))
}

/// A team's name as its keys have it, by which its records are known: names are free text, and a
/// key must not contain whitespace.
pub fn team_id(name: &str) -> String {
    name.replace(char::is_whitespace, "_")
}

/// The schema version of a controller, written without a lease: it does not restart with a version
/// that writes none.
pub fn schema_marker(name: &str) -> String {
    format!("sageloom/upgraded/{name}")
}

/// The progress of a drain.
pub fn drain(name: &str) -> String {
    format!("sageloom/drains/{name}")
}

/// Some of the machines of a drain.
pub fn cordon(drain: &str, number: u32) -> String {
    format!("sageloom/cordons/{drain}/{number}")
}

/// The open voluntary disruptions of a team.
pub fn disruptions(team: &str) -> String {
    format!("sageloom/disruptions/{}", team_id(team))
}

/// The entry of a live controller.
pub fn member(name: &str) -> String {
    format!("sageloom/members/{name}")
}
