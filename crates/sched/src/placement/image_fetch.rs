//! Image fetch times: how long machines take to fetch an image, and which of them will have it at
//! about the same time.

use wire::{JobKind, JobSpec, MachineType};

use crate::inventory::Inventory;
use crate::replica::{Replica, Resources};

/// The share by which fetch times vary around the one that the rate of the machine type implies.
const FETCH_TIME_VARIATION: f64 = 0.25;
/// The width of a fetch class of services: fetch times within a class are considered equal.
const FETCH_CLASS_S: f64 = 2.0;
/// The highest fetch class; slower fetches are considered equal.
const MAX_FETCH_CLASS: f64 = 1e6;
/// The lowest fetch rate that is assumed: a machine type may state none.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// The time range in which a machine will have an image, in seconds from now.
#[derive(Debug, Clone, Copy)]
struct FetchTime {
    earliest_s: f64,
    latest_s: f64,
}

impl FetchTime {
    const IMMEDIATE: Self = Self { earliest_s: 0.0, latest_s: 0.0 };

    /// The time range for a fetch at this rate.
    fn of(spec: &JobSpec, gb_per_s: f64) -> Self {
        let expected_s = expected_fetch_s(spec, gb_per_s);
        Self {
            earliest_s: expected_s / (1.0 + FETCH_TIME_VARIATION),
            latest_s: expected_s / (1.0 - FETCH_TIME_VARIATION),
        }
    }
}

fn expected_fetch_s(spec: &JobSpec, gb_per_s: f64) -> f64 {
    spec.image_gb / gb_per_s.max(MIN_FETCH_GB_PER_S)
}

/// The class of the fetch time of an image that a machine does not have, at least 1. Services have
/// to start within seconds, so the fetch time decides; for other jobs all fetches are in one class.
pub(super) fn fetch_class(spec: &JobSpec, gb_per_s: f64) -> u64 {
    match spec.kind {
        JobKind::Service => {
            1 + (expected_fetch_s(spec, gb_per_s) / FETCH_CLASS_S).min(MAX_FETCH_CLASS) as u64
        }
        JobKind::Array | JobKind::Gang => 1,
    }
}

/// Sets of machines that will have the image within the time that the tasks of a gang wait for one
/// another. If one machine has the image and another takes long to fetch it, the task on the first
/// gives up waiting, the other tasks abort their fetches, and the next attempt fares no better.
pub(super) fn sets_ready_together(
    replica: &Replica,
    inventory: &Inventory,
    spec: &JobSpec,
    slots: &[usize],
    gang_wait_s: f64,
) -> Vec<Vec<usize>> {
    let fetch_time = |i: usize| {
        let slot = &inventory.slots[i];
        if replica.has_image(&slot.id, &spec.image) {
            FetchTime::IMMEDIATE
        } else {
            FetchTime::of(spec, slot.fetch_gb_per_s)
        }
    };
    let fetch_times: Vec<(usize, FetchTime)> = slots.iter().map(|&i| (i, fetch_time(i))).collect();
    let mut window_starts: Vec<f64> = fetch_times.iter().map(|(_, time)| time.earliest_s).collect();
    window_starts.sort_by(f64::total_cmp);
    window_starts.dedup();
    let ready_in_window = |start_s: &f64| -> Vec<usize> {
        let is_ready =
            |time: &FetchTime| time.earliest_s >= *start_s && time.latest_s <= *start_s + gang_wait_s;
        fetch_times.iter().filter(|(_, time)| is_ready(time)).map(|(i, _)| *i).collect()
    };
    let mut sets: Vec<Vec<usize>> =
        window_starts.iter().map(ready_in_window).filter(|set| !set.is_empty()).collect();
    // All tasks on a single machine share one fetch.
    let size = Resources::of_task(spec);
    let single = slots.iter().find(|&&i| size.count_fitting_in(inventory.slots[i].free()) >= spec.tasks);
    sets.extend(single.map(|i| vec![*i]));
    sets
}

/// Whether new machines of a type fetch the image so slowly that the fetch times could differ by
/// more than the time that the tasks of a gang wait for one another. A gang that fits on one
/// machine needs one fetch only.
pub fn image_fetch_too_slow(spec: &JobSpec, machine_type: &MachineType, gang_wait_s: f64) -> bool {
    let fetch_time = FetchTime::of(spec, machine_type.fetch_gb_per_s);
    spec.kind == JobKind::Gang
        && spec.tasks > 1
        && gang_wait_s > 0.0
        && fetch_time.latest_s - fetch_time.earliest_s > gang_wait_s
        && Resources::of_task(spec).count_fitting_in(Resources::of_type(machine_type)) < spec.tasks
}
