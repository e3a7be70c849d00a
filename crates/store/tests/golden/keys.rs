//! Golden tests of the keys.

use store::key;

#[test]
fn keys_without_ids() {
    assert_eq!(key::PREFIX, "sageloom/");
    assert_eq!(key::CHUNKS, "sageloom/parts/");
    assert_eq!(key::LEADER, "sageloom/leader");
    assert_eq!(key::MAP, "sageloom/map");
    assert_eq!(key::TYPES, "sageloom/types");
    assert_eq!(key::FLEET, "sageloom/fleet");
    assert_eq!(key::CORDON_FENCE, "sageloom/cordon-fence");
}

#[test]
fn keys_with_ids() {
    assert_eq!(key::job("j-000412"), "sageloom/jobs/j-000412");
    assert_eq!(key::machine("host-000231"), "sageloom/machines/host-000231");
    assert_eq!(key::team("team-a"), "sageloom/teams/team-a");
    assert_eq!(key::schema_marker("controller-1"), "sageloom/upgraded/controller-1");
    assert_eq!(key::drain("drain-a"), "sageloom/drains/drain-a");
    assert_eq!(key::cordon("drain-a", 7), "sageloom/cordons/drain-a/7");
    assert_eq!(key::disruptions("team-a"), "sageloom/disruptions/team-a");
    assert_eq!(key::member("controller-1"), "sageloom/members/controller-1");
}

#[test]
fn whitespace_is_replaced_when_a_team_name_becomes_part_of_a_key() {
    assert_eq!(key::team_id("a team\tof\u{a0}ours"), "a_team_of_ours");
    assert_eq!(key::team("a team"), "sageloom/teams/a_team");
    assert_eq!(key::disruptions("a team"), "sageloom/disruptions/a_team");
}
