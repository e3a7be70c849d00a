//! Validation of submitted jobs: rejects jobs that can never run.

use sched::autoscaling;
use sched::records::Name;
use wire::{JobKind, JobSpec};

use super::error::{ApiError, Rejection};
use crate::controller::Controller;

/// Checks a job against the settings and its own description.
pub(super) fn validate_against_settings(
    controller: &Controller,
    spec: &JobSpec,
    dependencies: &[Name],
) -> Result<(), Rejection> {
    let team = controller.team(&spec.team).ok_or(Rejection::UnknownTeam)?;
    if !autoscaling::within_quota(spec, team) {
        return Err(Rejection::ExceedsTeamQuota);
    }
    if dependencies.iter().any(|dependency| **dependency == *spec.id) {
        return Err(Rejection::DependsOnItself);
    }
    Ok(())
}

/// Checks a job against the replica of the records. An error other than [`ApiError::Rejected`]
/// means that the check cannot be made now.
pub(super) fn validate_against_records(
    controller: &Controller,
    spec: &JobSpec,
    dependencies: &[Name],
) -> Result<(), ApiError> {
    let state = controller.state();
    let replica = &state.records.replica;
    if replica.machine_types.is_empty() {
        return Err(ApiError::UnknownMachineTypes);
    }
    if !autoscaling::fits_some_machine_type(spec, &replica.machine_types) {
        return Err(Rejection::NoSuitableMachineType.into());
    }
    for dependency in dependencies {
        if replica.unreadable.contains(&**dependency) {
            return Err(ApiError::UnreadableDependency);
        }
        let job = replica.jobs.get(&**dependency).ok_or(Rejection::UnknownDependency)?;
        if job.value.spec.as_ref().is_some_and(|s| s.kind == JobKind::Service) {
            return Err(Rejection::DependsOnService.into());
        }
    }
    // A controller of an older version cannot read the record of a job with dependencies, so it
    // could not answer the job's user.
    if !dependencies.is_empty() && state.old_version_is_live() {
        return Err(ApiError::OlderVersionLive);
    }
    Ok(())
}
