use super::*;
use sched::records::{Assignment, DesiredState, JobRecord, Phase};

/// All records are read again, as the change feed was compacted. A cancellation that was
/// committed and confirmed after the first page stays known, though a page from before
/// it comes last: a peer that asks for the read index has to hear of it.
#[test]
fn what_was_confirmed_while_records_are_read_again_stays_known() {
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
    // What it knew from before is no newer than what was read.
    known.apply(RecordChange::Job("j-2".into(), Some(record(Phase::Cancelled))), 4);
    keep_newer(&mut read, &known);
    let seen = |id: &str| (read.jobs[id].value.phase, read.jobs[id].version);
    assert_eq!((seen("j-1"), seen("j-2")), ((Phase::Cancelled, 12), (Phase::Active, 5)));
    assert_eq!(read.revision, 10, "the changes in between are still to come");
}
