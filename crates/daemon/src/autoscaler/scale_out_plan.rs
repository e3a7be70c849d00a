//! Plans which machines to request.

use std::time::{Duration, Instant};

use cloud::MAX_MACHINES_PER_RENTAL;
use sched::autoscaling::{Demand, MachineOffer, plan_scale_out};
use sched::forecast;
use sched::placement;
use sched::records::JobRecord;
use sched::replica::Resources;
use wire::{JobKind, JobSpec};

use super::Autoscaler;
use super::demand::{JobDemand, demand_for, job_demands, unsuitable_types};
use super::headroom::headroom_spec;
use super::retry_capacity::RetryCapacity;
use super::shortfalls::ShortfallFinder;
use crate::controller::{Controller, wall_ms};
use crate::state::ControllerState;

/// How long a new leader waits before it plans; by then its peers have reported their machines.
const MIN_LEADERSHIP_TIME: Duration = Duration::from_secs(2);

impl Autoscaler {
    /// The machines to request: those that the demand needs beyond existing and expected capacity.
    /// The inventory must be up to date.
    pub(crate) fn plan_scale_out(
        &mut self,
        controller: &Controller,
        state: &ControllerState,
        now: Instant,
    ) -> Vec<MachineOffer> {
        let replica = &state.records.replica;
        if !self.may_plan(now) || replica.machine_types.is_empty() {
            return Vec::new();
        }
        let now_ms = wall_ms();
        let waiting = waiting_demands(controller, state, now, now_ms);
        // Jobs of pipelines that are about to become ready.
        let next_steps: Vec<&JobSpec> = forecast::next_pipeline_steps(replica).collect();
        let (retries, first_tries): (Vec<_>, Vec<_>) = waiting.iter().partition(|job| job.is_retry);
        self.retries = retries.into_iter().map(RetryCapacity::of).collect();
        let waiting_specs = first_tries.into_iter().map(|job| job.demand.spec);
        self.store_waiting_specs(waiting_specs.chain(next_steps.iter().copied()));
        // After the waiting jobs: the next steps of pipelines may become ready later than forecast.
        let mut later: Vec<Demand> = next_steps
            .into_iter()
            .map(|spec| Demand {
                unsuitable_types: unsuitable_types(controller, state, spec),
                ..demand_for(spec, spec.tasks)
            })
            .collect();
        let headroom = headroom_spec(controller, state).map(|s| JobSpec { one_zone: false, ..s.clone() });
        if let Some(spec) = &headroom {
            later.push(demand_for(spec, self.headroom_tasks(controller, now)));
        }
        let expected_services = forecast::expected_services(replica, now_ms);
        let expected_services = expected_services.as_ref().map(|(spec, tasks)| demand_for(spec, *tasks));
        if waiting.is_empty() && later.is_empty() && expected_services.is_none() {
            self.shortfall_finder = ShortfallFinder::default();
            return Vec::new();
        }
        let service_count = waiting.partition_point(|job| job.demand.spec.kind == JobKind::Service);
        let (services, others) = waiting.split_at(service_count);
        let demands = services
            .iter()
            .map(|job| &job.demand)
            .chain(&expected_services)
            .chain(others.iter().map(|job| &job.demand))
            .chain(&later);
        let expected = self.expected_capacity(state, now_ms);
        let plan = plan_scale_out(
            demands,
            &expected,
            &replica.machine_types,
            replica.latest_gpu_job.as_deref(),
            |offer| self.backoffs.is_active(offer, now),
            MAX_MACHINES_PER_RENTAL as usize,
        );
        let mut coverage = plan.coverage;
        if expected_services.is_some() {
            coverage.remove(service_count);
        }
        self.update_shortfalls(state, &waiting, &coverage, &expected, now);
        plan.offers
    }

    /// Whether the controller has been the leader for long enough and a listing has been started.
    fn may_plan(&self, now: Instant) -> bool {
        let is_long_enough = |since: Instant| now.saturating_duration_since(since) > MIN_LEADERSHIP_TIME;
        self.leader_since.is_some_and(is_long_enough) && self.listing.has_started()
    }

    /// Stores one spec of each shape that waits for capacity: idle machines that suit one of them
    /// are not released.
    fn store_waiting_specs<'s>(&mut self, specs: impl Iterator<Item = &'s JobSpec>) {
        self.waiting_specs.clear();
        for spec in specs {
            if !self.waiting_specs.iter().any(|known| has_same_shape(known, spec)) {
                self.waiting_specs.push(spec.clone());
            }
        }
    }
}

/// Whether the same machines suit the tasks of both jobs.
fn has_same_shape(a: &JobSpec, b: &JobSpec) -> bool {
    (a.kind, a.spot, &a.types, &a.zone) == (b.kind, b.spot, &b.types, &b.zone)
        && Resources::of_task(a) == Resources::of_task(b)
}

/// The demands of jobs, in the order in which capacity is planned for them.
fn waiting_demands<'a>(
    controller: &Controller,
    state: &'a ControllerState,
    now: Instant,
    now_ms: u64,
) -> Vec<JobDemand<'a>> {
    let mut demands = job_demands(controller, state, now, now_ms);
    // Jobs of classes with an objective for the waiting time come before others.
    let rank = |job: &JobRecord| {
        let starts_in_time = |spec: &JobSpec| controller.settings.has_wait_objective(&spec.class);
        let is_deferred = !job.spec.as_deref().is_some_and(starts_in_time);
        placement::QueueRank { is_deferred, ..Default::default() }
    };
    demands.sort_by(|a, b| placement::queue_order((a.job, rank(a.job)), (b.job, rank(b.job))));
    demands
}
