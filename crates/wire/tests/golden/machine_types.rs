//! A machine type with a different value in every field, so that swapped fields are noticed.

use wire::MachineType;

/// A machine type with every field set.
pub fn full() -> MachineType {
    MachineType {
        name: "type-a".into(),
        cpus: 96.5,
        gpus: 8.5,
        memory_gb: 384.5,
        cache_gb: 900.5,
        fetch_gb_per_s: 1.5,
        price: 36.25,
        spot_price: 18.75,
        boot_s: 45.5,
        zones: vec!["zone-b".into(), "zone-a".into()],
    }
}
