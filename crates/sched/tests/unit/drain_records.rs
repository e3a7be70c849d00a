use super::*;

#[test]
fn a_cordon_keeps_its_machines_and_their_outcomes() {
    let names = |n: std::ops::Range<u32>| n.map(|i| Name::from(format!("host-{i:06}"))).collect::<Vec<_>>();
    let mut record = CordonRecord::new(names(0..9));
    assert!(record.mark_emptied(&names(2..3)[0]) && !record.mark_emptied(&names(2..3)[0]));
    assert!(record.mark_gone(&names(2..3)[0]) && record.mark_gone(&names(4..5)[0]));
    let bytes = rmp_serde::to_vec_named(&record).expect("written");
    let read: CordonRecord = rmp_serde::from_slice(&bytes).expect("read");
    assert_eq!(read, record);
    assert_eq!(read.remaining().count(), 7);
    assert_eq!(read.emptied().iter().filter(|m| read.gone().contains(m)).count(), 1);
}

#[test]
fn the_open_disruptions_of_a_team_fit_into_a_value() {
    let open = |n: u32| Disruption {
        job: "j-999999999999999999".into(),
        task: 100_000 - n,
        attempt: u64::from(u32::MAX),
        cause: DisruptionCause::Drain("d".repeat(40)),
        since_ms: u64::MAX / 1000,
    };
    let capacity = DisruptionRecord::capacity(2048.0);
    let record = DisruptionRecord { open: (0..capacity as u32).map(open).collect() };
    let text = serde_json::to_string(&record).expect("written");
    assert!(capacity > 8 && text.len() <= 2048, "{capacity} take {} bytes", text.len());
}
