//! Lists of assignments, grouped by what they have in common.
//!
//! Within a group the machines follow in the order of their numbers. Each is written as the
//! difference of its number to the one before, the count of its tasks with a flag for consecutive
//! ones, the step to its first task, and the differences between its tasks unless they are
//! consecutive.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::digits::{read_number, write_number};
use super::numbered_name::{MAX_MACHINE_DIGITS, NumberedName};
use crate::assignment::{Assignment, DesiredState};

/// Assignments of one attempt and desired state, to machines whose names have one stem and one
/// number of digits.
#[derive(Serialize, Deserialize)]
struct AssignmentGroup(
    /// The stem of the machines' names.
    String,
    /// The number of digits of the machines' names.
    usize,
    /// The attempt.
    u64,
    /// The desired state.
    DesiredState,
    /// The machines and their tasks.
    String,
);

/// The key of a group. Groups are written in the order of their keys.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey<'a> {
    stem: &'a str,
    digits: usize,
    attempt: u64,
    desired: DesiredState,
}

/// One assignment, in the order in which they are written.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry<'a> {
    key: GroupKey<'a>,
    machine_number: u64,
    task: u32,
}

impl<'a> Entry<'a> {
    fn new(assignment: &'a Assignment) -> Self {
        let NumberedName { stem, digits, number } =
            NumberedName::parse(&assignment.machine, MAX_MACHINE_DIGITS);
        let Assignment { task, attempt, desired, .. } = *assignment;
        Self { key: GroupKey { stem, digits, attempt, desired }, machine_number: number, task }
    }
}

/// The step from the task that would continue the machine before to a machine's first one, with
/// the sign in the lowest bit: 0 for a gang, whose tasks go on from machine to machine.
fn encode_step(expected_task: u32, task: u32) -> u64 {
    let difference = i64::from(task) - i64::from(expected_task);
    (difference.unsigned_abs() << 1) | u64::from(difference < 0)
}

/// The task that a step from [`encode_step`] leads to; `None` if there is no such task.
fn apply_step(expected_task: u32, step: u64) -> Option<u32> {
    let distance = i64::try_from(step >> 1).ok()?;
    let difference = if step & 1 == 1 { -distance } else { distance };
    u32::try_from(i64::from(expected_task) + difference).ok()
}

/// Writes the machines and tasks of one group.
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

/// Writes a list of assignments.
///
/// # Errors
///
/// Those of the serializer.
pub fn serialize<S: Serializer>(assignments: &[Assignment], serializer: S) -> Result<S::Ok, S::Error> {
    let mut entries: Vec<Entry> = assignments.iter().map(Entry::new).collect();
    entries.sort_unstable();
    let groups: Vec<AssignmentGroup> = entries
        .chunk_by(|a, b| a.key == b.key)
        .map(|group| {
            let GroupKey { stem, digits, attempt, desired } = group[0].key;
            AssignmentGroup(stem.to_owned(), digits, attempt, desired, encode_group(group))
        })
        .collect();
    groups.serialize(serializer)
}

impl AssignmentGroup {
    /// Appends the assignments of the group; `None` if it is malformed.
    fn append_to(&self, assignments: &mut Vec<Assignment>) -> Option<()> {
        let Self(stem, digits, attempt, desired, text) = self;
        let mut text = text.bytes().peekable();
        let mut number = 0u64;
        let mut expected_task = 0u32;
        while text.peek().is_some() {
            number = number.checked_add(read_number(&mut text)?)?;
            let machine = NumberedName { stem, digits: *digits, number }.to_name()?;
            let count_and_flag = read_number(&mut text)?;
            let (count, is_consecutive) = (count_and_flag / 2, count_and_flag % 2 == 1);
            // No job has more tasks: a malformed record must not take all memory.
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

/// Reads a list of assignments, sorted by task.
///
/// # Errors
///
/// Those of the deserializer, and that a group is malformed.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Assignment>, D::Error> {
    let groups = Vec::<AssignmentGroup>::deserialize(deserializer)?;
    let mut assignments = Vec::new();
    for group in groups {
        group
            .append_to(&mut assignments)
            .ok_or_else(|| serde::de::Error::custom("a list of assignments is malformed"))?;
    }
    assignments.sort_unstable_by_key(|assignment| assignment.task);
    Ok(assignments)
}
