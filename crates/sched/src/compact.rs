//! The dense form of a job record's lists. A record is one value of the state
//! service, so that one version guards the whole job; an array of more than a
//! thousand tasks has to fit into a few KiB of text.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::records::{Assignment, DesiredState, Name};

const DIGITS: &[u8; 64] = b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_";

fn digit(c: u8) -> Option<u32> {
    Some(
        match c {
            b'0'..=b'9' => c - b'0',
            b'a'..=b'z' => c - b'a' + 10,
            b'A'..=b'Z' => c - b'A' + 36,
            b'-' => 62,
            b'_' => 63,
            _ => return None,
        }
        .into(),
    )
}

/// Half-open ranges as a bitmap, six bits a character.
pub fn bitmap(ranges: impl Iterator<Item = (u32, u32)>) -> String {
    let mut bits: Vec<u8> = Vec::new();
    for n in ranges.flat_map(|(from, to)| from..to) {
        let at = (n / 6) as usize;
        if bits.len() <= at {
            bits.resize(at + 1, 0);
        }
        bits[at] |= 1 << (n % 6);
    }
    bits.into_iter().map(|b| char::from(DIGITS[usize::from(b)])).collect()
}

pub fn each_bit(text: &str, mut f: impl FnMut(u32)) {
    for (at, value) in (0u32..).zip(text.bytes().map(digit)) {
        let value = value.unwrap_or(0);
        (0..6).filter(|i| value & 1 << i != 0).for_each(|i| f(at * 6 + i));
    }
}

/// Five bits a character, the sixth tells that more follow.
fn put(out: &mut String, mut n: u64) {
    while n >= 32 {
        out.push(char::from(DIGITS[(n % 32 + 32) as usize]));
        n /= 32;
    }
    out.push(char::from(DIGITS[n as usize]));
}

fn take(text: &mut impl Iterator<Item = u8>) -> Option<u64> {
    let mut n = 0u64;
    for shift in (0..60).step_by(5) {
        let d = u64::from(digit(text.next()?)?);
        n |= (d % 32) << shift;
        if d < 32 {
            return Some(n);
        }
    }
    None
}

/// How far a machine's first task is from the one after the last machine's last, up
/// or down: nothing for a gang, whose tasks go on from machine to machine.
fn step(next: u32, task: u32) -> u64 {
    let by = i64::from(task) - i64::from(next);
    (by.unsigned_abs() << 1) | u64::from(by < 0)
}

fn stepped(next: u32, step: u64) -> Option<u32> {
    let by = i64::try_from(step >> 1).ok()?;
    u32::try_from(i64::from(next) + if step & 1 == 1 { -by } else { by }).ok()
}

/// A name's last digits as a number, and how many they are.
fn split(name: &str) -> (&str, usize, u64) {
    split_most(name, 15)
}

fn split_most(name: &str, most: usize) -> (&str, usize, u64) {
    let digits = name.bytes().rev().take_while(u8::is_ascii_digit).take(most).count();
    let (stem, number) = name.split_at(name.len() - digits);
    (stem, digits, number.parse().unwrap_or(0))
}

/// What one list of machines and tasks has in common: the name's stem and number
/// of digits, the attempt, and what is wanted.
type Group = (String, usize, u64, DesiredState, String);

/// Machine names in order, as those of one rental mostly follow each other.
pub mod names {
    use super::*;

    pub fn serialize<S: Serializer>(names: &Option<Vec<Name>>, serializer: S) -> Result<S::Ok, S::Error> {
        let Some(names) = names else { return serializer.serialize_none() };
        serializer.serialize_some(&groups(names.iter().map(|n| split(n)).collect()))
    }

    pub(super) fn groups(mut sorted: Vec<(&str, usize, u64)>) -> Vec<(String, usize, String)> {
        sorted.sort_unstable();
        let mut out: Vec<(String, usize, String)> = Vec::new();
        for group in sorted.chunk_by(|a, b| (a.0, a.1) == (b.0, b.1)) {
            let mut text = String::new();
            let mut before = 0;
            for (_, _, number) in group {
                put(&mut text, number - before);
                before = *number;
            }
            out.push((group[0].0.to_owned(), group[0].1, text));
        }
        out
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Option<Vec<Name>>, D::Error> {
        let Some(groups) = Option::<Vec<(String, usize, String)>>::deserialize(d)? else { return Ok(None) };
        let mut names = Vec::new();
        for (stem, digits, text) in groups {
            let mut text = text.bytes().peekable();
            let mut number = 0u64;
            while text.peek().is_some() {
                let bad = || serde::de::Error::custom("a list of names is cut off");
                let step = take(&mut text).ok_or_else(bad)?;
                number = number.checked_add(step).ok_or_else(bad)?;
                names.push(name(&stem, digits, number).ok_or_else(bad)?);
            }
        }
        Ok(Some(names))
    }
}

/// Ids of jobs, which have up to 18 digits.
pub mod ids {
    use super::*;

    pub fn serialize<S: Serializer>(ids: &[Name], serializer: S) -> Result<S::Ok, S::Error> {
        names::groups(ids.iter().map(|n| split_most(n, 18)).collect()).serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<Name>, D::Error> {
        Ok(names::deserialize(d)?.unwrap_or_default())
    }
}

/// Most digits that a number of this form has.
const DIGITS_MOST: usize = 18;

/// None where the number of digits is not one that is ever written: a malformed record
/// must not take all memory.
fn name(stem: &str, digits: usize, number: u64) -> Option<Name> {
    match digits {
        0 => Some(stem.into()),
        1..=DIGITS_MOST => Some(format!("{stem}{number:0digits$}").into()),
        _ => None,
    }
}

pub mod assignments {
    use super::*;

    pub fn serialize<S: Serializer>(run: &[Assignment], serializer: S) -> Result<S::Ok, S::Error> {
        let mut sorted: Vec<_> = run
            .iter()
            .map(|a| {
                let (stem, digits, number) = split(&a.machine);
                ((stem, digits, a.attempt, a.desired), number, a.task)
            })
            .collect();
        sorted.sort_unstable();
        let mut out: Vec<Group> = Vec::new();
        for group in sorted.chunk_by(|a, b| a.0 == b.0) {
            let ((stem, digits, attempt, want), ..) = group[0];
            let mut text = String::new();
            let mut machine_before = 0;
            let mut next = 0;
            for of_machine in group.chunk_by(|a, b| a.1 == b.1) {
                put(&mut text, of_machine[0].1 - machine_before);
                machine_before = of_machine[0].1;
                let in_a_row = of_machine.windows(2).all(|w| w[1].2 == w[0].2 + 1);
                put(&mut text, of_machine.len() as u64 * 2 + u64::from(in_a_row));
                put(&mut text, step(next, of_machine[0].2));
                if !in_a_row {
                    of_machine.windows(2).for_each(|w| put(&mut text, u64::from(w[1].2 - w[0].2)));
                }
                next = of_machine.last().map_or(0, |t| t.2.wrapping_add(1));
            }
            out.push((stem.to_owned(), digits, attempt, want, text));
        }
        out.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Assignment>, D::Error> {
        let groups = Vec::<Group>::deserialize(deserializer)?;
        let mut run = Vec::new();
        for (stem, digits, attempt, want, text) in groups {
            let mut text = text.bytes().peekable();
            let mut number = 0u64;
            let mut next = 0u32;
            while text.peek().is_some() {
                let bad = || serde::de::Error::custom("a list of assignments is cut off");
                let step = take(&mut text).ok_or_else(bad)?;
                number = number.checked_add(step).ok_or_else(bad)?;
                let machine = name(&stem, digits, number).ok_or_else(bad)?;
                let count = take(&mut text).ok_or_else(bad)?;
                // No job has more tasks: a malformed record must not take all memory.
                if run.len() as u64 + count / 2 > u64::from(wire::MAX_TASKS) {
                    return Err(bad());
                }
                let in_a_row = count % 2 == 1;
                let mut task = take(&mut text).and_then(|n| stepped(next, n)).ok_or_else(bad)?;
                for i in 0..count / 2 {
                    if i > 0 {
                        let step = match in_a_row {
                            true => Some(1),
                            false => take(&mut text).and_then(|n| u32::try_from(n).ok()),
                        };
                        task = step.and_then(|s| task.checked_add(s)).ok_or_else(bad)?;
                    }
                    run.push(Assignment { task, attempt, machine: machine.clone(), desired: want });
                }
                next = task.wrapping_add(1);
            }
        }
        run.sort_unstable_by_key(|a| a.task);
        Ok(run)
    }
}

#[cfg(test)]
#[path = "../tests/unit/compact.rs"]
mod tests;
