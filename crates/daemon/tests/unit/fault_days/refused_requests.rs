//! Requests for machines that the cloud refuses for their content.

use super::cloud::RPS;
use super::single_job::*;
use super::*;

/// More machines than one request grants.
const MACHINES: u32 = 60;
/// The number of a job that is an array.
const ARRAY: u64 = 45;
/// The share of the cloud's rate limit that repeated requests may take.
const MAX_RETRY_SHARE: f64 = 0.1;

/// A request for an offer that the cloud no longer takes ended the step, so that no other offer was
/// requested, and was repeated in the next one.
#[test]
fn an_offer_that_the_cloud_refuses_holds_up_no_other() {
    for zone in ["a", "b"] {
        let set_up = |simulation: &mut Simulation| {
            simulation.team_t_max_cpus = f64::from(MACHINES) * 4.0;
            simulation.cloud.capacity = MACHINES as usize;
            simulation.cloud.refused_zone = Some(zone);
        };
        on_empty_site(set_up, async |site| {
            let spec = wire::JobSpec {
                team: "t".into(),
                tasks: MACHINES,
                cpus: 4.0,
                types: Some(vec!["m".into()]),
                ..users::spec(ARRAY)
            };
            let id = site.submit_spec(spec).await;
            let is_served = site.advance_until(MAX_WAIT_MS, |s| s.is_served(&id)).await;
            assert_served(&site, is_served, &format!("machines of zone {zone} are refused"));
            let refused = site.lock().cloud.refused_requests as f64 * 1000.0 / site.ms() as f64;
            assert!(refused < MAX_RETRY_SHARE * RPS, "{refused} refused requests per second");
        });
    }
}
