//! Competition with the gangs that have waited longest, for which the leader collects capacity.

use sched::placement::{competes_for_capacity, longest_waiting};
use sched::replica::Replica;
use wire::JobSpec;

/// Whether the job competes for capacity that is collected for a gang that has waited longer. Such
/// a job is placed only by the leader, which collects the capacity.
pub(crate) fn competes_with_longest_waiting_gang(replica: &Replica, spec: &JobSpec, now_ms: u64) -> bool {
    competes_with_any(replica, spec, longest_waiting(replica, now_ms).into_iter())
}

/// Whether the job could take capacity that one of these gangs needs, and its priority is not above
/// that of the gang.
pub(super) fn competes_with_any<'a>(
    replica: &Replica,
    spec: &JobSpec,
    mut gangs: impl Iterator<Item = &'a str>,
) -> bool {
    let priority = replica.jobs.get(&spec.id).map_or(Some(spec.priority), |job| job.value.priority());
    gangs.any(|id| {
        let Some(gang) = replica.jobs.get(id).map(|job| &job.value).filter(|_| *id != *spec.id) else {
            return false;
        };
        let competes = gang.spec.as_deref().is_some_and(|gang| competes_for_capacity(spec, gang));
        competes && gang.priority() >= priority
    })
}
