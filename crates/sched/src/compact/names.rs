//! Compact encoding of lists of machine names. Names are sorted before encoding, because the machines
//! of one scale-out usually have consecutive numbers.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::digits::{read_number, write_number};
use super::numbered_name::{MAX_MACHINE_DIGITS, NumberedName};
use crate::assignment::Name;

/// Names with the same prefix and number of digits.
#[derive(Serialize, Deserialize)]
pub(super) struct NameGroup(
    /// The prefix.
    String,
    /// The number of digits.
    usize,
    /// The differences between consecutive numbers.
    String,
);

impl NameGroup {
    /// Sorts names and groups them by prefix and number of digits.
    pub(super) fn from_names(mut names: Vec<NumberedName>) -> Vec<Self> {
        names.sort_unstable();
        names
            .chunk_by(|a, b| (a.prefix, a.digits) == (b.prefix, b.digits))
            .map(|group| {
                let mut differences = String::new();
                let mut previous = 0;
                for name in group {
                    write_number(&mut differences, name.number - previous);
                    previous = name.number;
                }
                Self(group[0].prefix.to_owned(), group[0].digits, differences)
            })
            .collect()
    }

    /// Decodes the group and appends its names; `None` if the group is malformed.
    fn append_to(&self, names: &mut Vec<Name>) -> Option<()> {
        let Self(prefix, digits, differences) = self;
        let mut differences = differences.bytes().peekable();
        let mut number = 0u64;
        while differences.peek().is_some() {
            number = number.checked_add(read_number(&mut differences)?)?;
            names.push(NumberedName { prefix, digits: *digits, number }.to_name()?);
        }
        Some(())
    }
}

/// Serializes an optional list of machine names.
///
/// # Errors
///
/// Returns the errors of the serializer.
pub fn serialize<S: Serializer>(names: &Option<Vec<Name>>, serializer: S) -> Result<S::Ok, S::Error> {
    let Some(names) = names else { return serializer.serialize_none() };
    let names = names.iter().map(|name| NumberedName::parse(name, MAX_MACHINE_DIGITS)).collect();
    serializer.serialize_some(&NameGroup::from_names(names))
}

/// Deserializes an optional list of names.
///
/// # Errors
///
/// Returns the errors of the deserializer, and an error if a group is malformed.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Vec<Name>>, D::Error> {
    let Some(groups) = Option::<Vec<NameGroup>>::deserialize(deserializer)? else { return Ok(None) };
    let mut names = Vec::new();
    for group in groups {
        group.append_to(&mut names).ok_or_else(|| serde::de::Error::custom("malformed name list"))?;
    }
    Ok(Some(names))
}
