use std::time::Duration;

use cloud::MAX_MACHINES_PER_RENTAL;
use sched::records::Name;
use sched::replica::RecordChange;

use super::super::fleet_record::remaining_name_capacity;
use super::super::scale_out::REQUEST_SIZE_IN_NAMES;
use super::*;
use crate::scale;

const REQUESTED_MS: u64 = 1000;

fn scale_out_of(first_machine: u32) -> ScaleOut {
    let name = |n: u32| Name::from(format!("host-{n:06}").as_str());
    ScaleOut {
        request: String::new(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        count: MAX_MACHINES_PER_RENTAL,
        requested_ms: REQUESTED_MS,
        machines: Some((first_machine..first_machine + MAX_MACHINES_PER_RENTAL).map(name).collect()),
    }
}

/// Machines that never came up and whose release the cloud refused stayed in the fleet's record
/// until it was full, and no further machine could be requested.
#[test]
fn scale_outs_that_cannot_be_released_do_not_fill_the_record_for_good() {
    /// Between the boot timeout of the machine type, 105 s, and its registration timeout, 150 s.
    const OVERDUE_MS: u64 = REQUESTED_MS + 120_000;
    const PAST_REGISTRATION_MS: u64 = REQUESTED_MS + 151_000;
    let controller = scale::controller(4, 1);
    let request_size = REQUEST_SIZE_IN_NAMES + MAX_MACHINES_PER_RENTAL as usize;
    let mut fleet = FleetRecord::default();
    while remaining_name_capacity(&fleet, &controller) >= request_size {
        let first_machine = 1000 + fleet.scale_outs.len() as u32 * MAX_MACHINES_PER_RENTAL;
        fleet.scale_outs.push(scale_out_of(first_machine));
    }
    let now = Instant::now();
    let mut state = controller.state();
    state.records.replica.apply(RecordChange::Fleet(Some(fleet)), 1 << 40);
    (state.records.fresh_at, state.pauses) = (Some(now), crate::state::PauseDetector::new(now));
    let autoscaler = Autoscaler::leading_since(now - Duration::from_secs(60));
    let completion = autoscaler.scale_out_completion(&state, now, OVERDUE_MS);
    assert!(completion.is_none(), "overdue machines stay recorded until they are released");
    let completion = autoscaler.scale_out_completion(&state, now, PAST_REGISTRATION_MS);
    let record = completion.expect("the record is changed").value;
    drop(state);
    assert_eq!(record.scale_outs, [], "from then on the cloud's list names the machines");
    assert!(remaining_name_capacity(&record, &controller) >= request_size);
}
