//! Compact encoding of assignment lists, grouped by the values that assignments share.
//!
//! Within a group, machines are sorted by number. Each machine is encoded as the difference from
//! the previous machine's number, its task count with a flag for consecutive tasks, the step to its
//! first task and, unless its tasks are consecutive, the differences between them.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::digits::{read_number, write_number};
use super::numbered_name::{MAX_MACHINE_DIGITS, NumberedName};
use crate::assignment::{Assignment, DesiredState};

/// Assignments with the same attempt and desired state, to machines whose names have the same
/// prefix and number of digits.
#[derive(Serialize, Deserialize)]
struct AssignmentGroup(
    /// The prefix of the machine names.
    String,
    /// The number of digits at the end of the machine names.
    usize,
    /// The attempt.
    u64,
    /// The desired state.
    DesiredState,
    /// The encoded machines and their tasks.
    String,
);

/// The key of a group. Groups are sorted by key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey<'a> {
    prefix: &'a str,
    digits: usize,
    attempt: u64,
    desired: DesiredState,
}

/// An assignment with its machine name parsed. Entries are encoded in their derived sort order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry<'a> {
    key: GroupKey<'a>,
    machine_number: u64,
    task: u32,
}

impl<'a> Entry<'a> {
    fn new(assignment: &'a Assignment) -> Self {
        let NumberedName { prefix, digits, number } =
            NumberedName::parse(&assignment.machine, MAX_MACHINE_DIGITS);
        let Assignment { task, attempt, desired, .. } = *assignment;
        Self { key: GroupKey { prefix, digits, attempt, desired }, machine_number: number, task }
    }
}

/// Encodes the step from `expected_task`, the task after the previous machine's last one, to a
/// machine's first task, with the sign in the lowest bit. The step is 0 in a gang whose task numbers
/// continue from machine to machine.
fn encode_step(expected_task: u32, task: u32) -> u64 {
    let difference = i64::from(task) - i64::from(expected_task);
    (difference.unsigned_abs() << 1) | u64::from(difference < 0)
}

/// The task that a step encoded by [`encode_step`] leads to; `None` if its number is out of range.
fn apply_step(expected_task: u32, step: u64) -> Option<u32> {
    let distance = i64::try_from(step >> 1).ok()?;
    let difference = if step & 1 == 1 { -distance } else { distance };
    u32::try_from(i64::from(expected_task) + difference).ok()
}

/// Encodes the machines and tasks of one group.
fn encode_group(group: &[Entry]) -> String {
    let mut text = String::new();
    let mut previous_machine = 0;
    let mut expected_task = 0;
    for on_machine in group.chunk_by(|a, b| a.machine_number == b.machine_number) {
        let first = on_machine[0];
        write_number(&mut text, first.machine_number - previous_machine);
        previous_machine = first.machine_number;
        let is_consecutive = on_machine.windows(2).all(|pair| pair[1].task == pair[0].task + 1);
        write_number(&mut text, on_machine.len() as u64 * 2 + u64::from(is_consecutive));
        write_number(&mut text, encode_step(expected_task, first.task));
        if !is_consecutive {
            let differences = on_machine.windows(2).map(|pair| u64::from(pair[1].task - pair[0].task));
            differences.for_each(|difference| write_number(&mut text, difference));
        }
        expected_task = on_machine.last().map_or(0, |entry| entry.task.wrapping_add(1));
    }
    text
}

/// Serializes a list of assignments.
///
/// # Errors
///
/// Returns the errors of the serializer.
pub fn serialize<S: Serializer>(assignments: &[Assignment], serializer: S) -> Result<S::Ok, S::Error> {
    let mut entries: Vec<Entry> = assignments.iter().map(Entry::new).collect();
    entries.sort_unstable();
    let groups: Vec<AssignmentGroup> = entries
        .chunk_by(|a, b| a.key == b.key)
        .map(|group| {
            let GroupKey { prefix, digits, attempt, desired } = group[0].key;
            AssignmentGroup(prefix.to_owned(), digits, attempt, desired, encode_group(group))
        })
        .collect();
    groups.serialize(serializer)
}

impl AssignmentGroup {
    /// Decodes the group and appends its assignments; `None` if the group is malformed.
    fn append_to(&self, assignments: &mut Vec<Assignment>) -> Option<()> {
        let Self(prefix, digits, attempt, desired, text) = self;
        let mut text = text.bytes().peekable();
        let mut number = 0u64;
        let mut expected_task = 0u32;
        while text.peek().is_some() {
            number = number.checked_add(read_number(&mut text)?)?;
            let machine = NumberedName { prefix, digits: *digits, number }.to_name()?;
            let count_and_flag = read_number(&mut text)?;
            let (count, is_consecutive) = (count_and_flag / 2, count_and_flag % 2 == 1);
            // No job has more than `MAX_TASKS` tasks. Without this limit, a malformed record could
            // exhaust memory.
            if assignments.len() as u64 + count > u64::from(wire::MAX_TASKS) {
                return None;
            }
            let mut task = apply_step(expected_task, read_number(&mut text)?)?;
            for n in 0..count {
                if n > 0 {
                    let difference =
                        if is_consecutive { 1 } else { u32::try_from(read_number(&mut text)?).ok()? };
                    task = task.checked_add(difference)?;
                }
                let machine = machine.clone();
                assignments.push(Assignment { task, attempt: *attempt, machine, desired: *desired });
            }
            expected_task = task.wrapping_add(1);
        }
        Some(())
    }
}

/// Deserializes a list of assignments, sorted by task.
///
/// # Errors
///
/// Returns the errors of the deserializer, and an error if a group is malformed.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Assignment>, D::Error> {
    let groups = Vec::<AssignmentGroup>::deserialize(deserializer)?;
    let mut assignments = Vec::new();
    for group in groups {
        group
            .append_to(&mut assignments)
            .ok_or_else(|| serde::de::Error::custom("malformed assignment list"))?;
    }
    assignments.sort_unstable_by_key(|assignment| assignment.task);
    Ok(assignments)
}
