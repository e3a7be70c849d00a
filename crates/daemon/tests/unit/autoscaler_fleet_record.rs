use cloud::MAX_MACHINES_PER_RENTAL;
use sched::records::Name;

use super::super::scale_out::REQUEST_RECORD_NAMES;
use super::*;
use crate::scale;

/// With hundreds of scale-outs and hundreds of removed machines at a time, the key-value store
/// accepts whatever the record is said to have space for.
#[test]
fn fleet_record_never_outgrows_a_value() {
    let controller = scale::controller(4, 1);
    let mut fleet = FleetRecord::default();
    let mut host = 0u32;
    while free_names(&fleet, &controller) >= REQUEST_RECORD_NAMES + MAX_MACHINES_PER_RENTAL as usize {
        // Names far apart, as when several controllers' requests cross.
        host += MAX_MACHINES_PER_RENTAL;
        let number = |n: u32| u64::from(host + n) * 7919 % 1_000_000;
        let names = (0..MAX_MACHINES_PER_RENTAL).map(|n| format!("host-{:06}", number(n)).as_str().into());
        fleet.scale_outs.push(ScaleOut {
            request: format!("controller-4-{:x}-{host}", u64::MAX >> 12),
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
        let free = free_names(&fleet, &controller).min(400);
        if free == 0 {
            break;
        }
        let removed = fleet.removed_machines.get_or_insert_default();
        removed.extend((0..free).map(|n| Name::from(format!("host-{:06}", n * 104_729 % 1_000_000))));
        let json = serde_json::to_string(&fleet).expect("encodes").len() as f64;
        assert!(json < controller.state_limits().value_bytes, "{json}");
    }
}

/// A zone of 1,300 machines of a site of 4,000 is released at once: one change of the record names
/// all of them, as their names are close to each other, and the record is not full then.
#[test]
fn removal_of_a_zone_of_thousands_is_recorded_at_once() {
    let controller = scale::controller(4, 1);
    let zone: Vec<Name> = (0..1300).map(|n| format!("host-{:06}", n * 3 + 1).as_str().into()).collect();
    let empty = FleetRecord::default();
    assert!(free_names(&empty, &controller) >= zone.len(), "{}", free_names(&empty, &controller));
    let fleet = FleetRecord { scale_outs: Vec::new(), removed_machines: Some(zone) };
    assert!(!is_half_full(&fleet, &controller));
    assert!(free_names(&fleet, &controller) > 1000, "{}", free_names(&fleet, &controller));
}
