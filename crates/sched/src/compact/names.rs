//! Lists of machines' names. They are sorted, as those of one scale-out mostly follow each other.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::digits::{read_number, write_number};
use super::numbered_name::{MAX_MACHINE_DIGITS, NumberedName};
use crate::assignment::Name;

/// Names with one stem and one number of digits.
#[derive(Serialize, Deserialize)]
pub(super) struct NameGroup(
    /// The stem.
    String,
    /// The number of digits.
    usize,
    /// The differences between consecutive numbers.
    String,
);

impl NameGroup {
    /// Sorts names into groups.
    pub(super) fn from_names(mut names: Vec<NumberedName>) -> Vec<Self> {
        names.sort_unstable();
        names
            .chunk_by(|a, b| (a.stem, a.digits) == (b.stem, b.digits))
            .map(|group| {
                let mut differences = String::new();
                let mut previous = 0;
                for name in group {
                    write_number(&mut differences, name.number - previous);
                    previous = name.number;
                }
                Self(group[0].stem.to_owned(), group[0].digits, differences)
            })
            .collect()
    }

    /// Appends the names of the group; `None` if it is malformed.
    fn append_to(&self, names: &mut Vec<Name>) -> Option<()> {
        let Self(stem, digits, differences) = self;
        let mut differences = differences.bytes().peekable();
        let mut number = 0u64;
        while differences.peek().is_some() {
            number = number.checked_add(read_number(&mut differences)?)?;
            names.push(NumberedName { stem, digits: *digits, number }.to_name()?);
        }
        Some(())
    }
}

/// Writes an optional list of machines' names.
///
/// # Errors
///
/// Those of the serializer.
pub fn serialize<S: Serializer>(names: &Option<Vec<Name>>, serializer: S) -> Result<S::Ok, S::Error> {
    let Some(names) = names else { return serializer.serialize_none() };
    let names = names.iter().map(|name| NumberedName::parse(name, MAX_MACHINE_DIGITS)).collect();
    serializer.serialize_some(&NameGroup::from_names(names))
}

/// Reads an optional list of names.
///
/// # Errors
///
/// Those of the deserializer, and that a group is malformed.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Vec<Name>>, D::Error> {
    let Some(groups) = Option::<Vec<NameGroup>>::deserialize(deserializer)? else { return Ok(None) };
    let mut names = Vec::new();
    for group in groups {
        group
            .append_to(&mut names)
            .ok_or_else(|| serde::de::Error::custom("a list of names is malformed"))?;
    }
    Ok(Some(names))
}
