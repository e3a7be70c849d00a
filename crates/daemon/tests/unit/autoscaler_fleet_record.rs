use cloud::MAX_MACHINES_PER_RENTAL;
use sched::records::Name;

use super::super::scale_out::REQUEST_SIZE_IN_NAMES;
use super::*;
use crate::scale;

/// Fills the record with as many scale-outs and removed machines as it reports capacity for. If
/// that estimate were too high, the key-value store would refuse the record.
#[test]
fn fleet_record_fits_in_a_value_when_filled_to_its_reported_capacity() {
    let controller = scale::controller(4, 1);
    let mut fleet = FleetRecord::default();
    let mut first_host = 0u32;
    while remaining_name_capacity(&fleet, &controller)
        >= REQUEST_SIZE_IN_NAMES + MAX_MACHINES_PER_RENTAL as usize
    {
        // Names far apart, as when the requests of several controllers are interleaved.
        first_host += MAX_MACHINES_PER_RENTAL;
        let number = |n: u32| u64::from(first_host + n) * 7919 % 1_000_000;
        let names = (0..MAX_MACHINES_PER_RENTAL).map(|n| format!("host-{:06}", number(n)).as_str().into());
        fleet.scale_outs.push(ScaleOut {
            request: format!("controller-4-{:x}-{first_host}", u64::MAX >> 12),
            machine_type: "machine-type".into(),
            zone: "zone-of-a-name".into(),
            spot: true,
            count: MAX_MACHINES_PER_RENTAL,
            requested_ms: 1_796_169_600_000,
            machines: Some(names.collect()),
        });
    }
    let scale_outs = fleet.scale_outs.len();
    assert!(scale_outs >= 20, "{scale_outs}");
    assert!(is_half_full(&fleet, &controller), "removed machines are deleted before other writes");
    loop {
        let removable = remaining_name_capacity(&fleet, &controller).min(400);
        if removable == 0 {
            break;
        }
        let removed = fleet.removed_machines.get_or_insert_default();
        removed.extend((0..removable).map(|n| Name::from(format!("host-{:06}", n * 104_729 % 1_000_000))));
        let json_bytes = serde_json::to_string(&fleet).expect("encodes").len() as f64;
        assert!(json_bytes < controller.state_limits().value_bytes, "{json_bytes}");
    }
}

/// When a zone with 1,300 of a site's 4,000 machines is released at once, one change of the record
/// has to hold all their names and still leave space. The names are close to each other and so take
/// little space.
#[test]
fn removal_of_a_large_zone_fits_in_one_change_of_the_record() {
    let controller = scale::controller(4, 1);
    let zone: Vec<Name> = (0..1300).map(|n| format!("host-{:06}", n * 3 + 1).as_str().into()).collect();
    let empty = FleetRecord::default();
    assert!(
        remaining_name_capacity(&empty, &controller) >= zone.len(),
        "{}",
        remaining_name_capacity(&empty, &controller)
    );
    let fleet = FleetRecord { scale_outs: Vec::new(), removed_machines: Some(zone) };
    assert!(!is_half_full(&fleet, &controller));
    assert!(
        remaining_name_capacity(&fleet, &controller) > 1000,
        "{}",
        remaining_name_capacity(&fleet, &controller)
    );
}
