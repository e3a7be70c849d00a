//! How long machines take to fetch an image, and which of them have it at about the same time.

use wire::{JobKind, JobSpec, MachineType};

use crate::inventory::Inventory;
use crate::replica::{Replica, Resources};

/// By about this share, fetch times differ from what the machine type promises.
const FETCH_TIME_VARIATION: f64 = 0.25;
/// Fetches of services that differ by less than this are considered equally slow.
const FETCH_CLASS_S: f64 = 2.0;
/// Slowest fetch that is told apart from slower ones.
const MAX_FETCH_CLASS: f64 = 1e6;
/// Lowest rate that is counted with: a machine type may state none.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// When a machine will have an image, in seconds from now.
#[derive(Debug, Clone, Copy)]
struct FetchTime {
    earliest_s: f64,
    latest_s: f64,
}

impl FetchTime {
    const IMMEDIATE: Self = Self { earliest_s: 0.0, latest_s: 0.0 };

    /// The time that a fetch at this rate takes.
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

/// How slow the fetch of an image is that a machine does not have, at least 1. Services are to
/// start within seconds, so that the time decides; for others it only counts whether there is a
/// fetch.
pub(super) fn fetch_class(spec: &JobSpec, gb_per_s: f64) -> u64 {
    match spec.kind {
        JobKind::Service => {
            1 + (expected_fetch_s(spec, gb_per_s) / FETCH_CLASS_S).min(MAX_FETCH_CLASS) as u64
        }
        JobKind::Array | JobKind::Gang => 1,
    }
}

/// Sets of machines that will have the image within the time that a gang's tasks wait for one
/// another. Where one machine has the image and another takes long to fetch it, the task on the
/// first gives up waiting, the others abort their fetches, and the next attempt is no better.
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
            FetchTime::of(spec, slot.gb_per_s)
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
    // On a single machine there is one fetch for all.
    let size = Resources::of_task(spec);
    let single = slots.iter().find(|&&i| size.count_fitting_in(inventory.slots[i].free()) >= spec.tasks);
    sets.extend(single.map(|i| vec![*i]));
    sets
}

/// Whether new machines of a type fetch a gang's image too slowly for its tasks to be ready within
/// the time that they wait for one another.
pub fn image_fetch_too_slow(spec: &JobSpec, machine_type: &MachineType, gang_wait_s: f64) -> bool {
    let fetch_time = FetchTime::of(spec, machine_type.fetch_gb_per_s);
    spec.kind == JobKind::Gang
        && spec.tasks > 1
        && gang_wait_s > 0.0
        && fetch_time.latest_s - fetch_time.earliest_s > gang_wait_s
        && Resources::of_task(spec).count_fitting_in(Resources::of_type(machine_type)) < spec.tasks
}
