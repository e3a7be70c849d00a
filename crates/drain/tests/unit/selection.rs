use super::*;
use crate::site::{replica_with_machines, start_drain};

fn selected(
    replica: &Replica,
    selection: Selection,
    ages: Option<&HashMap<String, f64>>,
) -> Result<String, SelectionError> {
    select(replica, &selection, ages).map(|list| list.iter().map(|m| &**m).collect::<Vec<_>>().join(" "))
}

fn named(machines: &[&str]) -> Selection {
    Selection { machines: machines.iter().map(|m| (*m).to_owned()).collect(), ..Selection::default() }
}

#[test]
fn machines_are_selected_by_name_or_by_common_properties() {
    let replica = replica_with_machines(&[("m-1", "a"), ("m-2", "b"), ("m-3", "b")]);
    let zone = |z: &str| Selection { zone: Some(z.into()), ..Selection::default() };
    assert_eq!(selected(&replica, named(&["m-3", "m-1"]), None), Ok("m-1 m-3".into()));
    assert_eq!(selected(&replica, zone("b"), None), Ok("m-2 m-3".into()));
    let old_in_zone_b = Selection { older_than_s: Some(60.0), ..zone("b") };
    let ages = [("m-1", 90.0), ("m-2", 90.0), ("m-3", 30.0)].map(|(m, age)| (m.to_owned(), age));
    let ages = ages.into_iter().collect();
    assert_eq!(selected(&replica, old_in_zone_b.clone(), Some(&ages)), Ok("m-2".into()));
    assert_eq!(selected(&replica, old_in_zone_b, None), Err(SelectionError::AgeUnknown));
}

#[test]
fn an_invalid_selection_is_refused_naming_the_option() {
    let mut replica = replica_with_machines(&[("m-1", "a"), ("m-2", "b")]);
    let error =
        |replica: &Replica, s: Selection| selected(replica, s, None).expect_err("refused").to_string();
    assert!(error(&replica, Selection::default()).contains("no machines are named"));
    assert!(error(&replica, Selection { zone: Some("a".into()), ..named(&["m-1"]) }).contains("--machine"));
    assert!(error(&replica, named(&["m-9"])).contains("\"m-9\""));
    assert!(error(&replica, named(&["m-1", "m-1"])).contains("twice"));
    let of_zone = |z: &str| Selection { zone: Some(z.into()), ..Selection::default() };
    assert!(error(&replica, of_zone("c")).contains("--zone"));
    let of_type = Selection { machine_type: Some("x".into()), ..Selection::default() };
    assert!(error(&replica, of_type).contains("--type"));
    start_drain(&mut replica, "d", &["m-2"], 5);
    assert!(error(&replica, of_zone("b")).contains("being drained by \"d\""));
}
