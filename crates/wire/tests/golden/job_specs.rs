//! Job descriptions with a different value in every field, so that swapped fields are noticed.

use wire::{JobKind, JobSpec, Priority};

/// A job with every field set.
pub fn full(kind: JobKind, priority: Priority) -> JobSpec {
    JobSpec {
        id: "j-000412".into(),
        class: "class-a".into(),
        team: "team-b".into(),
        kind,
        priority,
        tasks: 70_016,
        cpus: 1.25,
        gpus: 2.5,
        memory_gb: 3.75,
        image: "image-07".into(),
        image_gb: 4.125,
        types: Some(vec!["type-d".into(), "type-c".into()]),
        zone: Some("zone-e".into()),
        one_zone: true,
        spread: false,
        spot: false,
        estimated_runtime_s: 241.5,
        checkpoint_interval_s: 31.5,
        checkpoint_save_s: 5.5,
        deadline_s: Some(901.5),
        dependencies: Some(vec!["j-000411".into(), "j-000003".into()]),
    }
}

/// A job without any optional field. Every flag has another combination of values in this job and in
/// [`full`] than the other flags, so that swapped flags are noticed.
pub fn without_optional_fields() -> JobSpec {
    JobSpec {
        id: "j-000413".into(),
        class: "class-f".into(),
        team: "team-g".into(),
        kind: JobKind::Service,
        priority: Priority::Production,
        tasks: 17,
        cpus: 6.25,
        gpus: 0.0,
        memory_gb: 8.75,
        image: "image-08".into(),
        image_gb: 9.125,
        types: None,
        zone: None,
        one_zone: false,
        spread: true,
        spot: false,
        estimated_runtime_s: 242.5,
        checkpoint_interval_s: 32.5,
        checkpoint_save_s: 6.5,
        deadline_s: None,
        dependencies: None,
    }
}
