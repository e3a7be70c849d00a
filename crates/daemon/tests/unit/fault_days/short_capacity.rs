//! Services and gangs that the cloud has too few machines for, and arrays of their team.

use wire::{JobSpec, Priority};

use super::single_job::*;
use super::*;

/// The numbers of an array, a gang and a service.
const ARRAY: u64 = 45;
const GANG: u64 = 42;
const SERVICE: u64 = 43;
/// The number of an array of another team.
const OTHER_ARRAY: u64 = 55;
/// The machine type that the cloud has too few of, and the CPUs of one of its machines.
const SCARCE_TYPE: &str = "l";
const SCARCE_TYPE_CPUS: f64 = 8.0;
/// Machines of the scarce type that the gang and the service need.
const NEEDED_MACHINES: u32 = 4;
/// The largest jobs of a class have to begin within this time.
const MAX_WAIT_OF_LARGEST_MS: u64 = 240_000;

/// The limit of the team leaves the array no room beside the gang, or all replicas of the service.
fn with_scarce_machines(simulation: &mut Simulation, machines: usize) {
    simulation.team_t_max_cpus = f64::from(NEEDED_MACHINES) * SCARCE_TYPE_CPUS + 1.0;
    simulation.cloud.capacity_of_types.insert(SCARCE_TYPE, machines);
}

/// A job each of whose tasks needs a machine of the scarce type.
fn on_scarce_machines(number: u64, priority: Priority) -> JobSpec {
    JobSpec {
        tasks: NEEDED_MACHINES,
        cpus: SCARCE_TYPE_CPUS,
        types: Some(vec![SCARCE_TYPE.into()]),
        priority,
        ..unconstrained_job(number)
    }
}

fn array(tasks: u32) -> JobSpec {
    JobSpec { tasks, cpus: 2.5, ..unconstrained_job(ARRAY) }
}

impl Simulation {
    /// How often tasks of the job were told to stop.
    fn stops_of(&self, id: &str) -> usize {
        let stop = format!("Stop {{ task: \"{id}/");
        self.trace.iter().map(|line| line.matches(&stop).count()).sum()
    }
}

/// An array waited without end for a gang or a service of its team that the cloud had no machines for,
/// beside idle machines and others that could be requested.
#[test]
fn an_array_is_served_while_the_cloud_has_too_few_machines_for_a_job_of_its_team() {
    for restart in [Restart::None, Restart::Leader, Restart::All] {
        for machines in [0, 1, NEEDED_MACHINES as usize - 1] {
            // The array goes on after the first back-off of the cloud's offers. The replicas of the service
            // that run leave it less quota.
            for (number, priority, array_tasks) in [
                (GANG, Priority::Normal, 40),
                (GANG, Priority::Production, 40),
                (SERVICE, Priority::Production, 12),
            ] {
                on_empty_site(
                    |simulation| with_scarce_machines(simulation, machines),
                    async |site| {
                        site.submit_spec(on_scarce_machines(number, priority)).await;
                        site.advance(3000).await;
                        let id = site.submit_spec(array(array_tasks)).await;
                        site.restart(restart).await;
                        let is_done = site.advance_until(site.ms() + MAX_WAIT_MS, |s| s.is_done(&id)).await;
                        let context = format!("job {number}, {priority:?}, {machines} machines, {restart:?}");
                        assert_served(&site, is_done, &context);
                        assert_eq!(site.lock().stops_of(&id), 0, "{context}: tasks were stopped in vain");
                    },
                );
            }
        }
    }
}

/// The capacity for one job only was counted again and again, so that no other was found short of it.
#[test]
fn arrays_of_several_teams_are_served_while_the_cloud_has_too_few_machines_for_a_job_of_each() {
    on_empty_site(
        |simulation| with_scarce_machines(simulation, 0),
        async |site| {
            let of_team_u = |spec: JobSpec| JobSpec { team: "u".into(), ..spec };
            let gang_of_u = JobSpec { tasks: 1, ..on_scarce_machines(GANG + 5, Priority::Normal) };
            site.submit_spec(on_scarce_machines(GANG, Priority::Normal)).await;
            site.submit_spec(of_team_u(gang_of_u)).await;
            site.advance(3000).await;
            let arrays =
                [array(4), of_team_u(JobSpec { tasks: 2, cpus: 1.0, ..unconstrained_job(OTHER_ARRAY) })];
            for spec in arrays {
                let id = site.submit_spec(spec).await;
                let is_done = site.advance_until(site.ms() + MAX_WAIT_MS, |s| s.is_done(&id)).await;
                assert_served(&site, is_done, &id);
            }
        },
    );
}

/// Capacity that is collected for gangs that wait long was collected for one that all machines together
/// cannot hold, and kept from an array that may use no others.
#[test]
fn an_array_is_served_on_the_machines_that_a_gang_waits_for_without_end() {
    const LONG_WAIT_MS: u64 = 130_000;
    let set_up = |simulation: &mut Simulation| {
        with_scarce_machines(simulation, 1);
        simulation.team_t_max_cpus *= 2.0;
    };
    on_empty_site(set_up, async |site| {
        site.submit_spec(on_scarce_machines(GANG, Priority::Normal)).await;
        site.advance(LONG_WAIT_MS).await;
        let types = Some(vec![SCARCE_TYPE.into()]);
        let id = site.submit_spec(JobSpec { types, ..array(4) }).await;
        let is_done = site.advance_until(site.ms() + MAX_WAIT_MS, |s| s.is_done(&id)).await;
        assert_served(&site, is_done, "the array");
    });
}

/// Once the cloud has machines again, the gang gets the quota that arrays use meanwhile.
#[test]
fn a_gang_starts_in_time_once_the_cloud_has_machines_again_while_an_array_of_its_team_goes_on() {
    const TASKS: u32 = 1000;
    for restart in [Restart::None, Restart::Leader, Restart::All] {
        for (machines, types_of_array) in [(0, None), (NEEDED_MACHINES as usize - 1, None), (2, Some("m"))] {
            on_empty_site(
                |simulation| with_scarce_machines(simulation, machines),
                async |site| {
                    let gang = site.submit_spec(on_scarce_machines(GANG, Priority::Normal)).await;
                    site.advance(3000).await;
                    let types = types_of_array.map(|name| vec![name.to_owned()]);
                    let array = site.submit_spec(JobSpec { types, ..array(TASKS) }).await;
                    let runs = |s: &Simulation| s.active_tasks_of(&array) >= 8;
                    assert!(site.advance_until(MAX_WAIT_MS, runs).await, "the array uses the quota");
                    site.advance(60_000).await;
                    site.lock().cloud.capacity_of_types.insert(SCARCE_TYPE, NEEDED_MACHINES as usize);
                    site.restart(restart).await;
                    let until = site.ms() + MAX_WAIT_OF_LARGEST_MS;
                    let is_served = site.advance_until(until, |s| s.is_served(&gang)).await;
                    assert_served(&site, is_served, &format!("{machines} machines, {restart:?}"));
                    assert!(!site.lock().is_done(&array), "the array has further tasks");
                },
            );
        }
    }
}

/// A gang that the machines can hold once arrays end keeps its claim, though the cloud has no more of them.
#[test]
fn a_gang_that_waits_for_arrays_on_the_only_machines_is_not_overtaken_by_arrays_of_its_team() {
    let set_up = |simulation: &mut Simulation| {
        with_scarce_machines(simulation, NEEDED_MACHINES as usize);
        simulation.cloud.capacity = 0;
    };
    on_empty_site(set_up, async |site| {
        let other = JobSpec { team: "u".into(), tasks: 200, cpus: 1.0, ..unconstrained_job(OTHER_ARRAY) };
        let other = site.submit_spec(other).await;
        let of_team = site.submit_spec(array(1000)).await;
        let are_full = |s: &Simulation| s.active_tasks_of(&other) >= 8 && s.active_tasks_of(&of_team) >= 9;
        assert!(site.advance_until(MAX_WAIT_MS, are_full).await, "arrays use all machines");
        let gang = JobSpec { tasks: 2, ..on_scarce_machines(GANG, Priority::Normal) };
        let gang = site.submit_spec(gang).await;
        let until = site.ms() + MAX_WAIT_OF_LARGEST_MS;
        assert!(site.advance_until(until, |s| s.is_served(&gang)).await, "the gang starts");
        assert!(!site.lock().is_done(&of_team), "the array has further tasks");
    });
}
