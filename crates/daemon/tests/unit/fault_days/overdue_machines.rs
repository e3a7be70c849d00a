//! Machines that are requested while none comes up, in greater numbers than one call releases.

use super::cloud::{self, MAX_RELEASED_NAMES};
use super::single_job::*;
use super::*;

/// Machines that are requested until then never come up.
const NO_BOOTS_UNTIL_MS: u64 = 10_000;
/// The boot timeout of the machine types of the tests.
const BOOT_TIMEOUT_MS: u64 = 27_000;
/// The registration timeout of these machine types.
const REGISTRATION_TIMEOUT_MS: u64 = 46_000;
/// All machines that were requested before [`NO_BOOTS_UNTIL_MS`] are overdue by then.
const OVERDUE_AT_MS: u64 = NO_BOOTS_UNTIL_MS + BOOT_TIMEOUT_MS + 3000;
/// More machines than one call releases.
const MACHINES: u32 = 150;
/// The share of the cloud's rate limit that repeated releases may take.
const MAX_RETRY_SHARE: f64 = 0.1;
/// The number of a job that is an array.
const ARRAY: u64 = 45;
/// The number of a job with a single task.
const SINGLE_TASK: u64 = 54;

/// A job each of whose tasks needs a machine of its own.
fn job_on(machines: u32) -> wire::JobSpec {
    wire::JobSpec {
        team: "t".into(),
        tasks: machines,
        cpus: 4.0,
        types: Some(vec!["m".into()]),
        ..users::spec(ARRAY)
    }
}

/// A site with capacity for a job on so many machines, where none comes up at first.
fn without_boots(simulation: &mut Simulation, machines: u32) {
    simulation.team_t_max_cpus = f64::from(machines) * 4.0;
    simulation.cloud.capacity = machines as usize;
    simulation.cloud.no_boots_until = NO_BOOTS_UNTIL_MS;
}

/// As [`without_boots`], where the cloud releases no machine. Its capacity suffices for the machines
/// that are left and for as many in their place.
fn without_boots_and_releases(simulation: &mut Simulation) {
    without_boots(simulation, MACHINES);
    simulation.cloud.capacity *= 2;
    simulation.cloud.releases_refused_until = u64::MAX;
}

impl Simulation {
    /// Machines that have been requested and not released.
    fn existing_machines(&self) -> impl Iterator<Item = (&String, &Machine)> {
        self.machines.iter().filter(|(_, machine)| machine.gone_at.is_none())
    }

    /// The existing machines that were requested before then.
    fn requested_before(&self, at: u64) -> usize {
        self.existing_machines().filter(|(_, machine)| machine.rented_at < at).count()
    }
}

/// All overdue machines were released in one call, which the cloud refuses if it names more than
/// 100, and no machine was requested in their place.
#[test]
fn more_overdue_machines_than_one_call_takes_are_released_and_replaced() {
    for restart in [Restart::None, Restart::Leader, Restart::All] {
        let set_up = |simulation: &mut Simulation| without_boots(simulation, MACHINES);
        on_empty_site(set_up, async |site| {
            let id = site.submit_spec(job_on(MACHINES)).await;
            site.advance(NO_BOOTS_UNTIL_MS).await;
            assert!(site.lock().requested_before(NO_BOOTS_UNTIL_MS) > MAX_RELEASED_NAMES);
            site.restart(restart).await;
            let is_served = site.advance_until(OVERDUE_AT_MS + MAX_WAIT_MS, |s| s.is_served(&id)).await;
            assert_served(&site, is_served, &format!("restart of {restart:?}"));
            let simulation = site.lock();
            assert_eq!(simulation.requested_before(NO_BOOTS_UNTIL_MS), 0, "machines that never came up");
            assert!(
                simulation.cloud.release_calls.iter().all(|call| call.status != 400),
                "releases with too many names"
            );
        });
    }
}

/// With 4,000 overdue machines, releases and new requests share the cloud's rate limit.
#[test]
fn thousands_of_overdue_machines_are_released_and_replaced_within_the_longest_wait() {
    const MACHINES: u32 = 4000;
    /// On demand and spot, in two zones.
    const OFFERS: u32 = 4;
    let set_up = |simulation: &mut Simulation| {
        without_boots(simulation, MACHINES);
        simulation.cloud.capacity = (MACHINES / OFFERS) as usize;
        simulation.cloud.no_boots_until = u64::MAX;
    };
    on_empty_site(set_up, async |site| {
        site.submit_spec(wire::JobSpec { spot: true, ..job_on(MACHINES) }).await;
        let all_requested = |s: &Simulation| s.cloud.rented_count as u32 == MACHINES;
        assert!(site.advance_until(BOOT_TIMEOUT_MS, all_requested).await, "machines are requested");
        let requested_at = site.ms();
        let until = requested_at + BOOT_TIMEOUT_MS + MAX_WAIT_MS;
        let is_replaced = |s: &Simulation| {
            s.requested_before(requested_at) == 0 && s.existing_machines().count() as u32 == MACHINES
        };
        assert!(site.advance_until(until, is_replaced).await, "machines are released and replaced");
    });
}

/// Overdue machines counted as capacity to come until their release was confirmed, so that nothing
/// was requested in their place.
#[test]
fn overdue_machines_are_replaced_while_the_cloud_refuses_all_releases() {
    for restart in [Restart::None, Restart::Leader, Restart::All] {
        on_empty_site(without_boots_and_releases, async |site| {
            let id = site.submit_spec(job_on(MACHINES)).await;
            site.advance(NO_BOOTS_UNTIL_MS).await;
            site.restart(restart).await;
            // Later, scale-outs leave the record for their age.
            let is_served = site.advance_until(REGISTRATION_TIMEOUT_MS, |s| s.is_served(&id)).await;
            assert_served(&site, is_served, &format!("restart of {restart:?}"));
        });
    }
}

/// Listed machines that no request is known of, as after one that was carried out late, counted as
/// capacity to come for as long as the cloud refused their release.
#[test]
fn listed_machines_that_never_register_are_replaced_while_the_cloud_refuses_all_releases() {
    let set_up = |simulation: &mut Simulation| {
        without_boots_and_releases(simulation);
        for zone in ["a", "b"] {
            let request = wire::RentRequest {
                request: format!("late-{zone}"),
                machine_type: "m".into(),
                zone: zone.into(),
                spot: false,
                count: MACHINES,
            };
            simulation.rent(&request);
        }
    };
    on_empty_site(set_up, async |site| {
        let id = site.submit_spec(job_on(MACHINES)).await;
        let is_served = site.advance_until(OVERDUE_AT_MS + MAX_WAIT_MS, |s| s.is_served(&id)).await;
        assert_served(&site, is_served, "listed machines");
    });
}

/// One machine that the cloud cannot release kept all others of its call, and whatever would have
/// followed, from being released, and its call was repeated without end.
#[test]
fn a_machine_that_the_cloud_refuses_to_release_holds_up_no_other() {
    const REFUSED: [&str; 2] = ["host-000007", "host-000120"];
    let set_up = |simulation: &mut Simulation| {
        without_boots(simulation, MACHINES);
        simulation.cloud.unreleasable = REFUSED.map(str::to_owned).into();
    };
    on_empty_site(set_up, async |site| {
        let id = site.submit_spec(job_on(MACHINES)).await;
        let all_but_refused_released =
            |s: &Simulation| s.is_served(&id) && s.requested_before(NO_BOOTS_UNTIL_MS) == REFUSED.len();
        let is_served = site.advance_until(OVERDUE_AT_MS + MAX_WAIT_MS, all_but_refused_released).await;
        assert_served(&site, is_served, "all machines but those that cannot be released");
        site.advance(OVERDUE_AT_MS + MAX_WAIT_MS - site.ms()).await;
        let calls = site.lock().cloud.refused_releases_per_second(BOOT_TIMEOUT_MS, site.ms());
        assert!(calls < MAX_RETRY_SHARE * cloud::RPS, "{calls} refused releases per second");
    });
}

/// Releases were repeated about once a second while the cloud refused all.
#[test]
fn releases_take_a_small_part_of_the_rate_limit_while_the_cloud_refuses_all() {
    const REFUSED_UNTIL_MS: u64 = OVERDUE_AT_MS + 60_000;
    let set_up = |simulation: &mut Simulation| {
        without_boots(simulation, MACHINES);
        simulation.cloud.releases_refused_until = REFUSED_UNTIL_MS;
    };
    on_empty_site(set_up, async |site| {
        site.submit_spec(job_on(MACHINES)).await;
        site.advance(REFUSED_UNTIL_MS - site.ms()).await;
        let calls = site.lock().cloud.refused_releases_per_second(OVERDUE_AT_MS, REFUSED_UNTIL_MS);
        assert!(calls < MAX_RETRY_SHARE * cloud::RPS, "{calls} refused releases per second");
        let all_released = |s: &Simulation| s.requested_before(NO_BOOTS_UNTIL_MS) == 0;
        let is_released = site.advance_until(REFUSED_UNTIL_MS + MAX_WAIT_MS, all_released).await;
        assert_served(&site, is_released, "machines whose release had been refused");
    });
}

/// While an idle machine could not be marked for release, no other machine was released either.
#[test]
fn overdue_machines_are_released_while_an_idle_machine_cannot_be_marked() {
    let set_up = |simulation: &mut Simulation| {
        without_boots(simulation, MACHINES);
        simulation.cloud.no_boots_until = 0;
    };
    on_empty_site(set_up, async |site| {
        let first = wire::JobSpec { types: Some(vec!["l".into()]), ..users::spec(SINGLE_TASK) };
        let first = site.submit_spec(first).await;
        assert!(site.advance_until(MAX_WAIT_MS, |s| s.is_done(&first)).await, "the first job is done");
        let without_boots_from = {
            let mut simulation = site.lock();
            let idle: Vec<String> = simulation.existing_machines().map(|(id, _)| id.clone()).collect();
            simulation.store.contended = idle.iter().map(|id| store::key::machine(id)).collect();
            simulation.cloud.no_boots_until = u64::MAX;
            site.ms()
        };
        site.submit_spec(job_on(MACHINES)).await;
        site.advance(NO_BOOTS_UNTIL_MS).await;
        let requested_at = without_boots_from..site.ms();
        let is_released = |s: &Simulation| {
            !s.existing_machines().any(|(_, machine)| requested_at.contains(&machine.rented_at))
        };
        assert!(!is_released(&site.lock()), "machines are requested");
        let until = site.ms() + BOOT_TIMEOUT_MS + MAX_WAIT_MS;
        assert_served(&site, site.advance_until(until, is_released).await, "overdue machines");
    });
}

/// After an outage of the key-value store that was longer than the boot timeout, machines that had
/// come up meanwhile were released before they could register.
#[test]
fn machines_that_come_up_during_an_outage_of_the_key_value_store_are_kept() {
    const OUTAGE_MS: u64 = BOOT_TIMEOUT_MS * 2;
    let set_up = |simulation: &mut Simulation| {
        without_boots(simulation, MACHINES);
        simulation.cloud.no_boots_until = 0;
    };
    on_empty_site(set_up, async |site| {
        let id = site.submit_spec(job_on(MACHINES)).await;
        let all_requested = |s: &Simulation| s.cloud.rented_count as u32 >= MACHINES;
        assert!(site.advance_until(NO_BOOTS_UNTIL_MS, all_requested).await, "machines are requested");
        let outage_ends = site.ms() + OUTAGE_MS;
        site.lock().store.outage_until = outage_ends;
        site.advance(OUTAGE_MS).await;
        let is_served = site.advance_until(outage_ends + MAX_WAIT_MS, |s| s.is_served(&id)).await;
        assert_served(&site, is_served, "after the outage");
        let requested_before_outage = site.lock().requested_before(outage_ends);
        assert_eq!(requested_before_outage as u32, MACHINES, "machines that came up in the outage");
    });
}

/// A machine that failed before it came up counted as capacity to come until its boot timeout,
/// unless its release was confirmed.
#[test]
fn machines_that_fail_while_they_boot_are_replaced_while_the_cloud_refuses_all_releases() {
    on_empty_site(without_boots_and_releases, async |site| {
        let id = site.submit_spec(job_on(MACHINES)).await;
        site.advance(NO_BOOTS_UNTIL_MS).await;
        {
            let mut simulation = site.lock();
            let failed = simulation.existing_machines().map(|(id, _)| id.clone()).collect();
            simulation.cloud.failed = failed;
        }
        let is_served = site.advance_until(BOOT_TIMEOUT_MS, |s| s.is_served(&id)).await;
        assert_served(&site, is_served, "machines that failed");
    });
}

/// The cloud is away when the machines become overdue, and all controllers end meanwhile. The next
/// leader went on with the one call that the cloud refuses.
#[test]
fn overdue_machines_are_replaced_after_an_outage_of_the_cloud_and_a_restart_of_all() {
    const OUTAGE_STARTS_MS: u64 = BOOT_TIMEOUT_MS - 5000;
    const OUTAGE_ENDS_MS: u64 = OUTAGE_STARTS_MS + 60_000;
    on_empty_site(
        |simulation| without_boots(simulation, MACHINES),
        async |site| {
            let id = site.submit_spec(job_on(MACHINES)).await;
            site.advance(OUTAGE_STARTS_MS - site.ms()).await;
            site.lock().cloud.outage_until = OUTAGE_ENDS_MS;
            site.advance(OVERDUE_AT_MS - site.ms()).await;
            site.restart(Restart::All).await;
            let is_replaced = |s: &Simulation| s.is_served(&id) && s.requested_before(NO_BOOTS_UNTIL_MS) == 0;
            let is_served = site.advance_until(OUTAGE_ENDS_MS + MAX_WAIT_MS, is_replaced).await;
            assert_served(&site, is_served, "after the outage");
        },
    );
}
