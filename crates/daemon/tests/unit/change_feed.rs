use super::*;
use sched::records::{Assignment, DesiredState, JobRecord, Phase};

/// All records are read again after the change feed was compacted. A cancellation that was committed
/// and confirmed after the first page must not be lost, even if a page from before it arrives last:
/// a peer that asks for the read index has to receive it.
#[test]
fn confirmed_cancellation_is_kept_when_records_are_read_again() {
    let record = |phase| {
        let mut job = JobRecord::new(crate::worker::tests::spec("j-1", wire::JobKind::Array), None, 0);
        job.assignments = vec![Assignment {
            task: 0,
            attempt: 1,
            machine: "host-1".into(),
            desired: DesiredState::Running,
        }];
        job.phase = phase;
        Box::new(job)
    };
    let (mut read, mut known) = (Replica::default(), Replica::default());
    read.revision = 10;
    for id in ["j-1", "j-2"] {
        read.apply(RecordChange::Job(id.into(), Some(record(Phase::Active))), 5);
    }
    known.apply(RecordChange::Job("j-1".into(), Some(record(Phase::Cancelled))), 12);
    // This change is older than the record that was read.
    known.apply(RecordChange::Job("j-2".into(), Some(record(Phase::Cancelled))), 4);
    merge_newer_records(&mut read, &known);
    let phase_and_version = |id: &str| (read.jobs[id].value.phase, read.jobs[id].version);
    assert_eq!(
        (phase_and_version("j-1"), phase_and_version("j-2")),
        ((Phase::Cancelled, 12), (Phase::Active, 5))
    );
    assert_eq!(read.revision, 10, "changes after the first page still have to be applied");
}
