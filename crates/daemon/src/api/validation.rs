//! Whether a submitted job can ever run, by the settings and by the records.

use sched::autoscaling;
use sched::records::Name;
use wire::{JobKind, JobSpec};

use super::error::{ApiError, Rejection};
use crate::controller::Controller;

/// Rejects a job that can never run by the settings and its own description.
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

/// Rejects a job that can never run by the replica of the records; any other error means that this
/// cannot be told now.
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
    // A controller of an older version cannot read the record of a job with dependencies, and
    // would have no answer for its user.
    if !dependencies.is_empty() && state.old_version_is_live() {
        return Err(ApiError::OlderVersionLive);
    }
    Ok(())
}
