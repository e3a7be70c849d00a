//! Lists of job ids, whose numbers have more digits than those of machines.

use serde::{Deserializer, Serialize, Serializer};

use super::names::{self, NameGroup};
use super::numbered_name::{MAX_JOB_DIGITS, NumberedName};
use crate::assignment::Name;

/// Writes a list of job ids.
///
/// # Errors
///
/// Those of the serializer.
pub fn serialize<S: Serializer>(ids: &[Name], serializer: S) -> Result<S::Ok, S::Error> {
    let ids = ids.iter().map(|id| NumberedName::parse(id, MAX_JOB_DIGITS)).collect();
    NameGroup::from_names(ids).serialize(serializer)
}

/// Reads a list of job ids.
///
/// # Errors
///
/// Those of the deserializer, and that a group is malformed.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Name>, D::Error> {
    Ok(names::deserialize(deserializer)?.unwrap_or_default())
}
