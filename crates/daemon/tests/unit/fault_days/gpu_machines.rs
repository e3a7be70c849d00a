//! Jobs without GPUs on a site where capacity of machines with GPUs is kept for GPU jobs.

use wire::{JobSpec, MachineType, Priority};

use super::cloud::machine_type;
use super::single_job::*;
use super::*;

/// The numbers of an array, a gang and a service.
const ARRAY: u64 = 45;
const GANG: u64 = 42;
const SERVICE: u64 = 43;
/// The number of another gang, which needs GPUs.
const GPU_GANG: u64 = 47;
/// CPUs of the only machine type that has so many; it has GPUs.
const GPU_MACHINE_CPUS: f64 = 16.0;
/// Tasks of the arrays of the tests run no longer than this.
const MAX_RUN_MS: u64 = 13_500;
/// Longest time for the other steps of a start: end of a task, placement, image, start.
const MAX_START_MS: u64 = 15_000;

/// A cloud that also offers machines with GPUs.
fn with_gpu_machines(simulation: &mut Simulation) {
    let gpu_type = MachineType { gpus: 2.0, price: 80.0, ..machine_type("g", GPU_MACHINE_CPUS, &["a", "b"]) };
    simulation.cloud.machine_types.push(gpu_type);
    simulation.team_t_max_cpus = 8.0 * GPU_MACHINE_CPUS;
    simulation.team_max_gpus = 8.0;
}

/// A job whose tasks need so many CPUs that only machines with GPUs have them.
fn job(number: u64) -> JobSpec {
    JobSpec { tasks: 2, cpus: 10.0, ..unconstrained_job(number) }
}

/// Jobs without GPUs waited without end if only machines with GPUs were large enough, or allowed.
#[test]
fn jobs_that_fit_only_on_machines_with_gpus_are_served() {
    for restart in [Restart::None, Restart::Leader, Restart::All] {
        for number in [ARRAY, GANG, SERVICE] {
            let too_large_for_others = job(number);
            let for_one_zone = JobSpec { one_zone: number == GANG, ..job(number) };
            let allows_no_others = JobSpec { cpus: 1.0, types: Some(vec!["g".into()]), ..job(number) };
            for spec in [too_large_for_others, for_one_zone, allows_no_others] {
                on_empty_site(with_gpu_machines, async |site| {
                    let context = format!("restart of {restart:?}, {spec:?}");
                    let id = site.submit_spec(spec).await;
                    site.advance(2000).await;
                    site.restart(restart).await;
                    let is_served = site.advance_until(site.ms() + MAX_WAIT_MS, |s| s.is_served(&id)).await;
                    assert_served(&site, is_served, &context);
                });
            }
        }
    }
}

/// Machines with GPUs, which a gang did not get, counted as machines that fetch its image fast enough, so
/// that all others were left out.
#[test]
fn a_gang_with_a_large_image_gets_machines_without_gpus_although_others_fetch_faster() {
    let set_up = |simulation: &mut Simulation| {
        with_gpu_machines(simulation);
        for slow in simulation.cloud.machine_types.iter_mut().filter(|t| t.gpus == 0.0) {
            slow.fetch_gb_per_s = 0.005;
        }
    };
    on_empty_site(set_up, async |site| {
        let gang = JobSpec { cpus: 5.0, ..job(GANG) };
        let machines = gang.tasks as usize;
        site.submit_spec(gang).await;
        let are_requested = |s: &Simulation| s.cloud.rented_count == machines;
        assert!(site.advance_until(MAX_START_MS, are_requested).await, "machines are requested");
    });
}

/// Idle machines with GPUs were released and requested again while a gang waited for more of them.
#[test]
fn idle_machines_with_gpus_are_kept_for_a_gang_that_fits_on_no_others() {
    const TASKS: u32 = 3;
    let set_up = |simulation: &mut Simulation| {
        with_gpu_machines(simulation);
        simulation.cloud.capacity_of_types.insert("g", 1);
    };
    on_empty_site(set_up, async |site| {
        site.submit_spec(JobSpec { tasks: TASKS, ..job(GANG) }).await;
        site.advance(2 * MAX_WAIT_MS).await;
        let requested = site.lock().cloud.rented_count;
        assert_eq!(requested, 2, "machines of two zones, each requested once");
    });
}

/// Tasks of lower priority were not stopped for a job that fits only on machines with GPUs.
#[test]
fn an_array_that_fits_only_on_machines_with_gpus_preempts_tasks_of_lower_priority() {
    /// The number of an array whose tasks run for 45 s.
    const LONG_ARRAY: u64 = 40;
    let set_up = |simulation: &mut Simulation| {
        with_gpu_machines(simulation);
        simulation.cloud.capacity_of_types.insert("g", 1);
    };
    on_empty_site(set_up, async |site| {
        let only_in_one_zone = |number| JobSpec { tasks: 1, zone: Some("a".into()), ..job(number) };
        let low = JobSpec {
            cpus: GPU_MACHINE_CPUS / 2.0,
            types: Some(vec!["g".into()]),
            priority: Priority::Low,
            ..only_in_one_zone(LONG_ARRAY)
        };
        site.run_job(low).await;
        let high = JobSpec { priority: Priority::Production, ..only_in_one_zone(ARRAY) };
        let high = site.submit_spec(high).await;
        let until = site.ms() + MAX_START_MS;
        assert!(site.advance_until(until, |s| s.is_served(&high)).await, "it starts at once");
    });
}

/// A GPU job that the cloud has no machines for kept others from the machines that it could use.
#[test]
fn an_array_is_served_on_machines_with_gpus_beside_a_gpu_job_that_there_are_too_few_machines_for() {
    let set_up = |simulation: &mut Simulation| {
        with_gpu_machines(simulation);
        simulation.cloud.capacity_of_types.insert("g", 1);
    };
    on_empty_site(set_up, async |site| {
        let gang = JobSpec { tasks: 4, gpus: 2.0, ..job(GPU_GANG) };
        site.submit_spec(gang).await;
        site.advance(MAX_START_MS).await;
        let array = site.submit_spec(job(ARRAY)).await;
        let until = site.ms() + MAX_RUN_MS + MAX_START_MS;
        let is_done = site.advance_until(until, |s| s.is_done(&array)).await;
        assert_served(&site, is_done, "the array");
    });
}

/// GPU jobs must not wait behind an array that may use the machines with GPUs.
#[test]
fn a_gpu_job_waits_for_one_task_at_most_of_an_array_that_fits_only_on_machines_with_gpus() {
    const TASKS: u32 = 40;
    let set_up = |simulation: &mut Simulation| {
        with_gpu_machines(simulation);
        simulation.cloud.capacity = 1;
    };
    for array in [JobSpec { tasks: TASKS, ..job(ARRAY) }, small_tasks_on_gpu_machines(10 * TASKS)] {
        on_empty_site(set_up, async |site| {
            let tasks_on_both = 2 * (GPU_MACHINE_CPUS / array.cpus) as usize;
            let array = site.submit_spec(array).await;
            let runs_everywhere = |s: &Simulation| s.active_tasks_of(&array) == tasks_on_both;
            assert!(site.advance_until(MAX_WAIT_MS, runs_everywhere).await, "the array starts");
            let gang = site.submit_spec(JobSpec { gpus: 2.0, ..job(GPU_GANG) }).await;
            let until = site.ms() + MAX_RUN_MS + MAX_START_MS;
            let is_served = site.advance_until(until, |s| s.is_served(&gang)).await;
            assert_served(&site, is_served, "the GPU job");
            assert!(!site.lock().is_done(&array), "the array has further tasks");
            let until = site.ms() + u64::from(TASKS) * (MAX_RUN_MS + MAX_START_MS);
            assert!(site.advance_until(until, |s| s.is_done(&array)).await, "the array goes on");
        });
    }
}

/// An array whose tasks end at different times, so that its machines are never empty.
fn small_tasks_on_gpu_machines(tasks: u32) -> JobSpec {
    JobSpec { tasks, cpus: 2.0, types: Some(vec!["g".into()]), ..job(ARRAY) }
}
