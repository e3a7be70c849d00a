use super::*;
use crate::site::{start_drain, world};

fn selected(
    w: &Replica,
    selection: Selection,
    ages: Option<&HashMap<String, f64>>,
) -> Result<String, SelectionError> {
    select(w, &selection, ages).map(|list| list.iter().map(|m| &**m).collect::<Vec<_>>().join(" "))
}

fn named(machines: &[&str]) -> Selection {
    Selection { machines: machines.iter().map(|m| (*m).to_owned()).collect(), ..Selection::default() }
}

#[test]
fn machines_are_meant_by_name_or_by_what_they_have_in_common() {
    let w = world(&[("m-1", "a"), ("m-2", "b"), ("m-3", "b")]);
    let zone = |z: &str| Selection { zone: Some(z.into()), ..Selection::default() };
    assert_eq!(selected(&w, named(&["m-3", "m-1"]), None), Ok("m-1 m-3".into()));
    assert_eq!(selected(&w, zone("b"), None), Ok("m-2 m-3".into()));
    let old = Selection { older_than_s: Some(60.0), ..zone("b") };
    let ages = [("m-1", 90.0), ("m-2", 90.0), ("m-3", 30.0)].map(|(m, age)| (m.to_owned(), age));
    let ages = ages.into_iter().collect();
    assert_eq!(selected(&w, old.clone(), Some(&ages)), Ok("m-2".into()));
    assert_eq!(selected(&w, old, None), Err(SelectionError::AgeUnknown));
}

#[test]
fn what_cannot_be_meant_is_told_by_its_option() {
    let mut w = world(&[("m-1", "a"), ("m-2", "b")]);
    let error = |w: &Replica, s: Selection| selected(w, s, None).expect_err("refused").to_string();
    assert!(error(&w, Selection::default()).contains("no machines are named"));
    assert!(error(&w, Selection { zone: Some("a".into()), ..named(&["m-1"]) }).contains("--machine"));
    assert!(error(&w, named(&["m-9"])).contains("\"m-9\""));
    assert!(error(&w, named(&["m-1", "m-1"])).contains("twice"));
    let of_zone = |z: &str| Selection { zone: Some(z.into()), ..Selection::default() };
    assert!(error(&w, of_zone("c")).contains("--zone"));
    let of_type = Selection { machine_type: Some("x".into()), ..Selection::default() };
    assert!(error(&w, of_type).contains("--type"));
    start_drain(&mut w, "d", &["m-2"], 5);
    assert!(error(&w, of_zone("b")).contains("being drained by \"d\""));
}
