use super::*;
use wire::JobKind;

use crate::placement::tests::{replica_with, spec, team};

fn demand(spec: &JobSpec, tasks: u32) -> Demand<'_> {
    Demand { spec, tasks, tasks_by_zone: HashMap::default(), unsuitable_types: Vec::new() }
}

#[test]
fn machines_that_boot_are_used_before_more_are_requested() {
    let types = replica_with(&[]).machine_types;
    let s = spec("j-1", JobKind::Array, 6);
    let coming = ExpectedCapacity {
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        free: Resources::of_type(&types["m"]),
        gpus: 0.0,
        is_up: false,
    };
    let rented = |coming: &[ExpectedCapacity]| {
        plan_scale_out(&[demand(&s, 6)], coming, &types, None, |_| false, 9).len()
    };
    assert_eq!(
        (rented(&[]), rented(std::slice::from_ref(&coming)), rented(&[coming.clone(), coming])),
        (2, 1, 0)
    );
}

#[test]
fn spread_and_blocked_offers_shape_the_plan() {
    let types = replica_with(&[]).machine_types;
    let mut s = spec("j-1", JobKind::Service, 4);
    s.spread = true;
    let zones = |blocked: &str| -> Vec<String> {
        plan_scale_out(&[demand(&s, 4)], &[], &types, None, |o| &*o.zone == blocked, 9)
            .into_iter()
            .map(|o| o.zone.to_string())
            .collect()
    };
    let both = zones("");
    assert!(both.contains(&"a".to_owned()) && both.contains(&"b".to_owned()));
    assert_eq!(zones("a"), ["b"], "half of the tasks at most in one zone");
}

#[test]
fn gpu_capacity_that_services_take_now_is_requested_again_for_gangs() {
    let types = replica_with(&[]).machine_types;
    let gpu = ExpectedCapacity {
        machine_type: "g".into(),
        zone: "a".into(),
        spot: false,
        free: Resources::of_type(&types["g"]),
        gpus: 2.0,
        is_up: true,
    };
    let service = spec("j-1", JobKind::Service, 4);
    let mut gang = spec("j-2", JobKind::Gang, 1);
    (gang.cpus, gang.gpus) = (14.0, 2.0);
    let rented = |demands: &[Demand]| -> Vec<String> {
        let out = plan_scale_out(demands, std::slice::from_ref(&gpu), &types, None, |_| false, 50);
        out.iter().map(|o| o.machine_type.to_string()).collect()
    };
    assert_eq!(rented(&[demand(&gang, 1)]), Vec::<String>::new());
    assert_eq!(rented(&[demand(&service, 4), demand(&gang, 1)]), ["m", "g"]);
}

#[test]
fn a_large_array_leaves_offers_for_those_behind_it() {
    let types = replica_with(&[]).machine_types;
    let array = spec("j-1", JobKind::Array, 5000);
    let mut gang = spec("j-2", JobKind::Gang, 4);
    (gang.cpus, gang.gpus) = (14.0, 2.0);
    let out = plan_scale_out(&[demand(&array, 5000), demand(&gang, 4)], &[], &types, None, |_| false, 50);
    let of = |kind: &str| out.iter().filter(|o| &*o.machine_type == kind).count();
    assert_eq!((of("m"), of("g")), (100, 4));
}

#[test]
fn jobs_that_can_never_run_are_recognized() {
    let types = replica_with(&[]).machine_types;
    let mut s = spec("j-1", JobKind::Gang, 3);
    s.cpus = 17.0;
    assert!(!fits_some_machine_type(&s, &types));
    s.cpus = 16.0;
    assert!(fits_some_machine_type(&s, &types));
    assert!(!within_quota(&s, &crate::replica::Team { cpus_max: 47.0, ..team() }));
    s.kind = JobKind::Array;
    assert!(within_quota(&s, &crate::replica::Team { cpus_max: 47.0, ..team() }));
}
