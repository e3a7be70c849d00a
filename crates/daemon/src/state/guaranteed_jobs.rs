//! Jobs within their teams' guaranteed quota.

use sched::hash::{HashMap, HashSet};
use sched::records::Phase;
use sched::replica::{Replica, Resources, Team};
use wire::JobSpec;

/// The open jobs that fit into their teams' guaranteed quota along with the earlier unfinished
/// jobs of the same team. They are recomputed only when the set of open jobs changes, because they
/// do not depend on the state of the jobs' tasks.
#[derive(Debug, Default)]
pub struct GuaranteedJobs {
    /// The generation of the open jobs that `ids` was computed for.
    generation: u64,
    ids: HashSet<String>,
}

impl GuaranteedJobs {
    /// Recomputes the guaranteed jobs if the open jobs have changed.
    pub fn refresh(&mut self, replica: &Replica, teams: &[Team]) {
        if self.generation != replica.open_jobs_generation() {
            self.generation = replica.open_jobs_generation();
            self.ids = find_guaranteed_jobs(replica, teams);
        }
    }

    /// The jobs' ids.
    pub fn ids(&self) -> &HashSet<String> {
        &self.ids
    }
}

/// An open job, with the fields by which open jobs are sorted by age.
struct OpenJob<'a> {
    submitted_ms: u64,
    id: &'a str,
    spec: &'a JobSpec,
}

fn find_guaranteed_jobs(replica: &Replica, teams: &[Team]) -> HashSet<String> {
    let mut jobs: Vec<OpenJob> = Vec::new();
    for (id, job) in replica.open_jobs().filter(|(_, job)| job.phase == Phase::Active) {
        let submitted_ms = job.submitted_ms;
        jobs.extend(job.spec.as_deref().map(|spec| OpenJob { submitted_ms, id, spec }));
    }
    jobs.sort_unstable_by_key(|job| (job.submitted_ms, job.id));
    let mut used: HashMap<&str, Resources> = HashMap::default();
    let mut guaranteed = HashSet::default();
    for OpenJob { id, spec, .. } in jobs {
        let Some(team) = teams.iter().find(|team| team.name == spec.team) else { continue };
        let sum = used.entry(&spec.team).or_default();
        *sum = sum.plus_scaled(Resources::of_task(spec).counted_in_quota(), f64::from(spec.tasks));
        if sum.fits(team.guarantee()) {
            guaranteed.insert(id.to_owned());
        }
    }
    guaranteed
}
