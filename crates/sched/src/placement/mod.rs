//! Placement: the machine that each task is assigned to, and the order in which jobs are served.

mod choice;
mod eligibility;
mod gang;
mod gpu_capacity;
mod image_fetch;
mod place;
mod queue;

pub use crate::inventory::{Inventory, Slot};
pub use choice::simulate_placement;
pub(crate) use eligibility::is_allowed_on;
pub use eligibility::{fits_entire_job, is_allowed, pending_task_count, pending_tasks, zone_limit};
pub use gang::{collectable_capacity, competes_for_capacity, longest_waiting};
pub use gpu_capacity::{
    could_be_placed_on, fits_without_gpus, is_overdue_for_gpu_capacity, may_use_gpu_machines,
    stranded_gpu_tasks, stranded_gpu_tasks_at_usage,
};
pub use image_fetch::image_fetch_too_slow;
pub use place::{Limits, place, place_on_machines};
pub use queue::{QueueRank, QueueStanding, is_deadline_pressing, queue_order, queue_rank};

#[cfg(test)]
#[path = "../../tests/unit/slot_classes.rs"]
pub(crate) mod slot_classes;

#[cfg(test)]
#[path = "../../tests/unit/placement.rs"]
pub(crate) mod tests;
