//! This controller's share of the changes a second that the key-value store accepts.
//!
//! The leader scales out and places large jobs, so it has the largest fixed share. The fixed shares
//! add up to somewhat more than the total, because not all controllers need theirs. With fixed
//! shares, a controller whose shard held most of the waiting jobs had a ninth of the changes, while
//! others had nothing to write. So once all controllers are upgraded, the shares follow the jobs that
//! each controller schedules. Every controller computes them from the records, without messages.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sched::placement::pending_task_count;
use sched::records::{JobRecord, Member};
use store::RateLimiter;
use wire::{JobKind, JobSpec};

use super::ControllerState;

/// How often a share that follows the jobs is recomputed.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// The leader's fixed share.
const FIXED_LEADER_SHARE: f64 = 0.65;
/// The fixed share of all the other controllers together.
const FIXED_OTHERS_SHARE: f64 = 0.45;
/// Sum of all shares when they follow the jobs. Such shares are used up: with 1.1, the sum of the
/// fixed shares, 3% of users' submissions were refused by the rate limit.
const TOTAL_SHARE: f64 = 0.95;
/// Least share of the leader, for records of machines, scale-outs and ends of jobs that others
/// schedule.
const MIN_LEADER_SHARE: f64 = 0.3;
/// Least share of each other controller, for the same purposes.
const MIN_OTHER_SHARE: f64 = 0.04;
/// Write weight of a service or gang that runs completely, relative to a job whose tasks start and
/// end all the time.
const STABLE_JOB_WEIGHT: f64 = 0.1;

/// The inputs from which the share was last computed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShareBasis {
    /// How many controllers are live.
    pub live_controllers: usize,
    /// Whether this controller is the leader.
    pub is_leader: bool,
    /// The changes a second of all controllers together, as the bits of the floating-point number.
    pub total_rate_bits: u64,
}

/// The rate limiter of this controller's changes.
#[derive(Debug)]
pub struct WriteShare {
    /// Limits the changes a second.
    pub limiter: RateLimiter,
    basis: ShareBasis,
    updated_at: Option<Instant>,
}

impl WriteShare {
    /// Starts with half of the `rate` of changes a second, until the cluster map is known.
    pub fn new(rate: f64, now: Instant) -> Self {
        let limiter = RateLimiter::new(rate * 0.5, rate * 0.5, now);
        Self { limiter, basis: ShareBasis::default(), updated_at: None }
    }

    /// Whether the share has to be recomputed: its inputs have changed or, for a share that follows
    /// the jobs, the update interval has passed. If so, the share counts as updated.
    pub fn begin_update(&mut self, basis: ShareBasis, follows_jobs: bool, now: Instant) -> bool {
        let is_old = self.updated_at.is_none_or(|at| now.saturating_duration_since(at) >= UPDATE_INTERVAL);
        if self.basis == basis && !(follows_jobs && is_old) {
            return false;
        }
        self.basis = basis;
        self.updated_at = Some(now);
        true
    }
}

impl ControllerState {
    /// Recomputes this controller's share, if that is due. `total_rate`: the changes a second of all
    /// controllers together. `may_follow_jobs`: whether all controllers are upgraded, as far as is
    /// known.
    pub fn update_write_share(&mut self, me: &Member, total_rate: f64, may_follow_jobs: bool, now: Instant) {
        let live_controllers = self.cluster_map().map_or(1, |map| map.live.len()).max(1);
        let is_leader = self.is_leader(me);
        let basis = ShareBasis { live_controllers, is_leader, total_rate_bits: total_rate.to_bits() };
        let follows_jobs = may_follow_jobs && !self.old_version_is_live();
        if !self.writes.begin_update(basis, follows_jobs, now) {
            return;
        }
        let others = live_controllers as f64 - 1.0;
        let fixed = if is_leader { FIXED_LEADER_SHARE } else { FIXED_OTHERS_SHARE / others.max(1.0) };
        let by_jobs = if follows_jobs { share_by_jobs(self, &me.name) } else { None };
        self.writes.limiter.set_rate(total_rate * by_jobs.unwrap_or(fixed), now);
    }
}

/// A controller's share, by the write weights of the jobs that each controller schedules. `None` if
/// the controller is not live or there is no leader.
fn share_by_jobs(state: &ControllerState, me: &str) -> Option<f64> {
    let replica = &state.records.replica;
    let leader = replica.leader.as_ref()?.value.name.as_str();
    let live: Vec<&str> = state.cluster_map()?.live.iter().map(|member| member.name.as_str()).collect();
    let mut weights: HashMap<&str, f64> = HashMap::new();
    for (_, job) in replica.open_jobs() {
        let Some(spec) = job.spec.as_deref() else { continue };
        if let Some(scheduler) = replica.scheduler_of(job) {
            *weights.entry(scheduler).or_default() += write_weight(job, spec);
        }
    }
    let weight_of = |name: &str| weights.get(name).copied().unwrap_or(0.0) + 1.0;
    let total_weight: f64 = live.iter().map(|name| weight_of(name)).sum();
    let min_share = |name: &str| if name == leader { MIN_LEADER_SHARE } else { MIN_OTHER_SHARE };
    let distributable = TOTAL_SHARE - live.iter().map(|name| min_share(name)).sum::<f64>();
    live.contains(&me).then(|| min_share(me) + distributable.max(0.0) * weight_of(me) / total_weight)
}

/// How much has to be written for a job. Running replicas are hardly ever written.
fn write_weight(job: &JobRecord, spec: &JobSpec) -> f64 {
    let is_waiting = pending_task_count(job) > 0;
    if is_waiting || spec.kind == JobKind::Array { 1.0 } else { STABLE_JOB_WEIGHT }
}

#[cfg(test)]
#[path = "../../tests/unit/write_share.rs"]
mod tests;
