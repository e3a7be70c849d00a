//! Records of drains, with a distinct value in every field.

use sched::drain_records::{
    CapacitySearch, CordonFence, CordonRecord, DRAIN_SCHEMA, Disruption, DisruptionCause, DisruptionRecord,
    DrainEnd, DrainPhase, DrainRecord, Obstacle, ObstacleKind, UnsavedWork,
};

use crate::fixture::{Fixture, fixture};

/// Cordon fences.
pub fn cordon_fences() -> Vec<Fixture<CordonFence>> {
    vec![fixture("cordon-fence", CordonFence { generation: 74_001 })]
}

/// Cordons.
pub fn cordon_records() -> Vec<Fixture<CordonRecord>> {
    let full = CordonRecord {
        active: true,
        machines: Some(vec![
            "host-000011".into(),
            "host-000012".into(),
            "host-000013".into(),
            "host-000205".into(),
        ]),
        emptied: Some(vec!["host-000011".into(), "host-000205".into()]),
        gone: Some(vec!["host-000012".into()]),
    };
    let without_optional_fields =
        CordonRecord { active: true, machines: Some(vec!["host-000014".into()]), emptied: None, gone: None };
    let lifted = CordonRecord { active: false, machines: None, emptied: None, gone: None };
    vec![
        fixture("cordon-full", full),
        fixture("cordon-without-optional-fields", without_optional_fields),
        fixture("cordon-lifted-without-machines", lifted),
    ]
}

fn drain_record(phase: DrainPhase, unsaved: UnsavedWork, obstacle: Option<Obstacle>) -> DrainRecord {
    DrainRecord {
        schema: DRAIN_SCHEMA,
        phase,
        cordons: 74_002,
        machines: 74_003,
        started_ms: 1_800_000_000_401,
        patience_ms: 600_001,
        unsaved,
        give_up_ms: 600_002,
        moved: 74_004,
        capacity_search: CapacitySearch { failed: 74_005, since_ms: 1_800_000_000_402 },
        obstacle,
    }
}

fn obstacle(kind: ObstacleKind) -> Obstacle {
    Obstacle {
        kind,
        team: "team-a".into(),
        job: "j-000412".into(),
        machine: "host-000011".into(),
        since_ms: 1_800_000_000_403,
    }
}

/// Drains in every phase, with every outcome, every kind of obstacle and every choice for unsaved
/// work.
pub fn drain_records() -> Vec<Fixture<DrainRecord>> {
    let mut all = vec![
        fixture("drain-leave-unsaved-work", drain_record(DrainPhase::Active, UnsavedWork::Leave, None)),
        fixture("drain-stop-unsaved-work", drain_record(DrainPhase::Active, UnsavedWork::Stop, None)),
        fixture("drain-without-room-search", without_capacity_search()),
    ];
    all.extend(with_every_outcome());
    all.extend(with_every_obstacle());
    all
}

fn without_capacity_search() -> DrainRecord {
    let mut record = drain_record(DrainPhase::Active, UnsavedWork::Leave, None);
    record.capacity_search = CapacitySearch { failed: 0, since_ms: 0 };
    record
}

fn with_every_outcome() -> impl Iterator<Item = Fixture<DrainRecord>> {
    let ends = [
        (DrainEnd::Finished, "finished"),
        (DrainEnd::ByOperator, "by-operator"),
        (DrainEnd::NoCapacity, "no-room"),
        (DrainEnd::WorkLeft, "work-left"),
        (DrainEnd::GaveUp, "gave-up"),
    ];
    ends.into_iter().flat_map(|(end, name)| {
        let closing = drain_record(DrainPhase::Closing(end), UnsavedWork::Stop, None);
        let closed = drain_record(DrainPhase::Closed(end), UnsavedWork::Leave, None);
        [fixture(&format!("drain-closing-{name}"), closing), fixture(&format!("drain-closed-{name}"), closed)]
    })
}

fn with_every_obstacle() -> impl Iterator<Item = Fixture<DrainRecord>> {
    let kinds = [
        (ObstacleKind::ServiceBudget, "service-budget"),
        (ObstacleKind::TeamBudget, "team-budget"),
        (ObstacleKind::NoCapacity, "no-room"),
        (ObstacleKind::CannotSave, "cannot-save"),
        (ObstacleKind::Stopping, "stopping"),
        (ObstacleKind::OldController, "old-controller"),
        (ObstacleKind::ScalingIn, "giving-back"),
    ];
    kinds.into_iter().map(|(kind, name)| {
        let record = drain_record(DrainPhase::Active, UnsavedWork::Stop, Some(obstacle(kind)));
        fixture(&format!("drain-obstacle-{name}"), record)
    })
}

/// The open voluntary disruptions of a team, with each cause.
pub fn disruption_records() -> Vec<Fixture<DisruptionRecord>> {
    let by_drain = Disruption {
        job: "j-000412".into(),
        task: 74_006,
        attempt: 74_007,
        cause: DisruptionCause::Drain("drain-a".into()),
        since_ms: 1_800_000_000_404,
    };
    let by_rescheduler = Disruption {
        job: "j-000413".into(),
        task: 0,
        attempt: 74_008,
        cause: DisruptionCause::Rescheduler,
        since_ms: 1_800_000_000_405,
    };
    vec![
        fixture("disruptions-full", DisruptionRecord { open: vec![by_rescheduler, by_drain] }),
        fixture("disruptions-empty", DisruptionRecord { open: Vec::new() }),
    ]
}
