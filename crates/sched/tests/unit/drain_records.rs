use super::*;

#[test]
fn cordon_records_its_emptied_and_gone_machines_and_decodes_unchanged() {
    let names = |n: std::ops::Range<u32>| n.map(|i| Name::from(format!("host-{i:06}"))).collect::<Vec<_>>();
    let mut record = CordonRecord::new(names(0..9));
    assert!(record.mark_emptied(&names(2..3)[0]) && !record.mark_emptied(&names(2..3)[0]));
    assert!(record.mark_gone(&names(2..3)[0]) && record.mark_gone(&names(4..5)[0]));
    let bytes = rmp_serde::to_vec_named(&record).expect("encodes");
    let decoded: CordonRecord = rmp_serde::from_slice(&bytes).expect("decodes");
    assert_eq!(decoded, record);
    assert_eq!(decoded.remaining().count(), 7);
    assert_eq!(decoded.emptied().iter().filter(|m| decoded.gone().contains(m)).count(), 1);
}

#[test]
fn open_disruptions_of_a_team_fit_into_one_value() {
    let disruption = |n: u32| Disruption {
        job: "j-999999999999999999".into(),
        task: 100_000 - n,
        attempt: u64::from(u32::MAX),
        cause: DisruptionCause::Drain("d".repeat(40)),
        since_ms: u64::MAX / 1000,
    };
    let capacity = DisruptionRecord::capacity(2048.0);
    let record = DisruptionRecord { open: (0..capacity as u32).map(disruption).collect() };
    let text = serde_json::to_string(&record).expect("encodes");
    assert!(capacity > 8 && text.len() <= 2048, "{capacity} entries take {} bytes", text.len());
}
