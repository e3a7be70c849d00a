use super::*;
use wire::JobKind;

use crate::placement::tests::{replica_with, spec, team};

fn demand(spec: &JobSpec, tasks: u32) -> Demand<'_> {
    Demand {
        spec,
        tasks,
        tasks_by_zone: HashMap::default(),
        unsuitable_types: Vec::new(),
        avoided_machines: Vec::new(),
    }
}

#[test]
fn booting_machines_are_used_before_more_are_requested() {
    let machine_types = replica_with(&[]).machine_types;
    let array = spec("j-1", JobKind::Array, 6);
    let booting = ExpectedCapacity {
        machine: None,
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        free: Resources::of_type(&machine_types["m"]),
        gpus: 0.0,
    };
    let planned = |booting: &[ExpectedCapacity]| {
        plan_scale_out(&[demand(&array, 6)], booting, &machine_types, None, |_| false, 9).offers.len()
    };
    assert_eq!(
        (planned(&[]), planned(std::slice::from_ref(&booting)), planned(&[booting.clone(), booting])),
        (2, 1, 0)
    );
}

/// The free capacity of a machine on which a job's tasks had failed counted as capacity for it.
#[test]
fn capacity_on_machines_that_a_job_avoids_is_requested_elsewhere() {
    let machine_types = replica_with(&[]).machine_types;
    let up = ExpectedCapacity {
        machine: Some("a1".into()),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        free: Resources::of_type(&machine_types["m"]),
        gpus: 0.0,
    };
    for (kind, one_zone) in [(JobKind::Array, false), (JobKind::Service, false), (JobKind::Gang, true)] {
        let spec = JobSpec { one_zone, ..spec("j-1", kind, 2) };
        let planned = |avoided: &[&'static str]| {
            let demand = Demand { avoided_machines: avoided.to_vec(), ..demand(&spec, 2) };
            let expected = std::slice::from_ref(&up);
            plan_scale_out(&[demand], expected, &machine_types, None, |_| false, 9).offers.len()
        };
        assert_eq!((planned(&[]), planned(&["a2"]), planned(&["a1"])), (0, 0, 1), "{kind:?}");
    }
}

#[test]
fn the_plan_spreads_tasks_and_skips_blocked_offers() {
    let machine_types = replica_with(&[]).machine_types;
    let mut service = spec("j-1", JobKind::Service, 4);
    service.spread = true;
    let zones = |blocked: &str| -> Vec<String> {
        plan_scale_out(&[demand(&service, 4)], &[], &machine_types, None, |offer| &*offer.zone == blocked, 9)
            .offers
            .into_iter()
            .map(|offer| offer.zone.to_string())
            .collect()
    };
    let unblocked_zones = zones("");
    assert!(unblocked_zones.contains(&"a".to_owned()) && unblocked_zones.contains(&"b".to_owned()));
    assert_eq!(zones("a"), ["b"], "at most half of the tasks in one zone");
}

#[test]
fn gpu_capacity_that_services_take_now_is_requested_again_for_gangs() {
    let machine_types = replica_with(&[]).machine_types;
    let gpu = ExpectedCapacity {
        machine: Some("a1".into()),
        machine_type: "g".into(),
        zone: "a".into(),
        spot: false,
        free: Resources::of_type(&machine_types["g"]),
        gpus: 2.0,
    };
    let service = spec("j-1", JobKind::Service, 4);
    let mut gang = spec("j-2", JobKind::Gang, 1);
    (gang.cpus, gang.gpus) = (14.0, 2.0);
    let planned = |demands: &[Demand]| -> Vec<String> {
        let plan = plan_scale_out(demands, std::slice::from_ref(&gpu), &machine_types, None, |_| false, 50);
        plan.offers.iter().map(|offer| offer.machine_type.to_string()).collect()
    };
    assert_eq!(planned(&[demand(&gang, 1)]), Vec::<String>::new());
    assert_eq!(planned(&[demand(&service, 4), demand(&gang, 1)]), ["m", "g"]);
}

#[test]
fn a_large_array_leaves_offers_for_later_demands() {
    let machine_types = replica_with(&[]).machine_types;
    let array = spec("j-1", JobKind::Array, 5000);
    let mut gang = spec("j-2", JobKind::Gang, 4);
    (gang.cpus, gang.gpus) = (14.0, 2.0);
    let plan =
        plan_scale_out(&[demand(&array, 5000), demand(&gang, 4)], &[], &machine_types, None, |_| false, 50);
    let count_of =
        |machine_type: &str| plan.offers.iter().filter(|offer| &*offer.machine_type == machine_type).count();
    assert_eq!((count_of("m"), count_of("g")), (100, 4));
}

#[test]
fn jobs_that_can_never_run_are_detected() {
    let machine_types = replica_with(&[]).machine_types;
    let mut gang = spec("j-1", JobKind::Gang, 3);
    gang.cpus = 17.0;
    assert!(!fits_some_machine_type(&gang, &machine_types));
    gang.cpus = 16.0;
    assert!(fits_some_machine_type(&gang, &machine_types));
    assert!(!within_quota(&gang, &crate::replica::Team { cpus_max: 47.0, ..team() }));
    gang.kind = JobKind::Array;
    assert!(within_quota(&gang, &crate::replica::Team { cpus_max: 47.0, ..team() }));
}

/// The machine types of the offers in a plan for all tasks of a job.
fn planned_types(spec: &JobSpec, machine_types: &HashMap<String, MachineType>) -> Vec<String> {
    let gpu_job = JobSpec { gpus: 2.0, ..crate::placement::tests::spec("j-9", JobKind::Gang, 1) };
    let plan_for = |gpu_spec| {
        let plan = plan_scale_out(&[demand(spec, spec.tasks)], &[], machine_types, gpu_spec, |_| false, 50);
        plan.offers.iter().map(|offer| offer.machine_type.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(plan_for(None), plan_for(Some(&gpu_job)), "{spec:?}");
    plan_for(None)
}

/// Capacity of machines with GPUs was kept for GPU jobs, also from jobs that fit on no other machine.
#[test]
fn machines_with_gpus_are_requested_for_jobs_that_fit_on_no_others() {
    let machine_types = replica_with(&[]).machine_types;
    for (kind, one_zone) in
        [(JobKind::Array, false), (JobKind::Gang, false), (JobKind::Gang, true), (JobKind::Service, false)]
    {
        let fits_on_both = JobSpec { cpus: 8.0, one_zone, ..spec("j-1", kind, 2) };
        assert_eq!(planned_types(&fits_on_both, &machine_types), ["m", "m"], "{kind:?}");
        let too_large_for_others = JobSpec { cpus: 9.0, ..fits_on_both.clone() };
        assert_eq!(planned_types(&too_large_for_others, &machine_types), ["g", "g"], "{kind:?}");
        let allows_no_others = JobSpec { types: Some(vec!["g".into()]), ..fits_on_both };
        assert_eq!(planned_types(&allows_no_others, &machine_types), ["g"], "{kind:?}");
    }
}

/// A zone whose only machines are kept for GPU jobs was chosen for a gang that needs no GPU, so that no
/// machine was ever requested for it.
#[test]
fn a_gang_for_one_zone_gets_a_zone_whose_machines_it_may_use() {
    let mut machine_types = replica_with(&[]).machine_types;
    machine_types.get_mut("m").expect("a type").zones = vec!["b".into()];
    for n in 0..8 {
        let gang = JobSpec { one_zone: true, ..spec(&format!("j-{n}"), JobKind::Gang, 8) };
        assert_eq!(planned_types(&gang, &machine_types), ["m", "m"], "{}", gang.id);
    }
}

/// A gang that no machine can be requested for counted as one that gets capacity.
#[test]
fn the_plan_tells_which_demands_there_are_not_enough_machines_for() {
    use DemandCoverage::{Expected, Requested, Short};
    let machine_types = replica_with(&[]).machine_types;
    let gang = spec("j-1", JobKind::Gang, 8);
    let machine = |zone: &str| ExpectedCapacity {
        machine: None,
        machine_type: "m".into(),
        zone: zone.into(),
        spot: false,
        free: Resources::of_type(&machine_types["m"]),
        gpus: 0.0,
    };
    let expected = [machine("a"), machine("b")];
    let coverage = |gang: &JobSpec, up: usize, is_refused: bool, max_per_offer| {
        let demand = demand(gang, gang.tasks);
        plan_scale_out([&demand], &expected[..up], &machine_types, None, |_| is_refused, max_per_offer)
            .coverage
    };
    assert_eq!(coverage(&gang, 2, true, 9), [Expected]);
    assert_eq!(coverage(&gang, 1, false, 9), [Requested]);
    assert_eq!(coverage(&gang, 1, true, 9), [Short]);
    // More machines than are planned at a time are not refused.
    let large = JobSpec { tasks: 100, ..gang.clone() };
    assert_eq!(coverage(&large, 0, false, 1), [Requested]);
    let for_one_zone = JobSpec { one_zone: true, ..gang.clone() };
    assert_eq!(coverage(&for_one_zone, 2, true, 9), [Short]);
    let fitting = |gang: &JobSpec| {
        count_fitting_tasks(&demand(gang, gang.tasks), expected.to_vec(), &machine_types, None)
    };
    assert_eq!((fitting(&gang), fitting(&for_one_zone)), (8, 4));
}
