//! Compact encoding of lists of job ids. Their numbers have more digits than those of machine names.

use serde::{Deserializer, Serialize, Serializer};

use super::names::{self, NameGroup};
use super::numbered_name::{MAX_JOB_DIGITS, NumberedName};
use crate::assignment::Name;

/// Serializes a list of job ids.
///
/// # Errors
///
/// Returns the errors of the serializer.
pub fn serialize<S: Serializer>(ids: &[Name], serializer: S) -> Result<S::Ok, S::Error> {
    let ids = ids.iter().map(|id| NumberedName::parse(id, MAX_JOB_DIGITS)).collect();
    NameGroup::from_names(ids).serialize(serializer)
}

/// Deserializes a list of job ids.
///
/// # Errors
///
/// Returns the errors of the deserializer, and an error if a group is malformed.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Name>, D::Error> {
    Ok(names::deserialize(deserializer)?.unwrap_or_default())
}
