use super::*;
use crate::settings::tests::EXAMPLE;

#[test]
fn operators_settings_are_checked() {
    assert_eq!(
        OperatorSettings::parse("o.hcl", "").expect("an empty file is valid"),
        OperatorSettings::default()
    );
    let operators =
        OperatorSettings::parse("o.hcl", "rescheduler {\n threshold = 0.4\n}\nfleet {\n idle_s = 5\n}\n")
            .expect("valid");
    assert_eq!(
        (operators.rescheduler.usage_threshold, operators.idle_timeout),
        (0.4, Duration::from_secs(5))
    );
    let drains = "drains {\n enabled = true\n team \"a team\" {\n share = 0.25\n }\n}\n";
    let drain_settings = OperatorSettings::parse("o.hcl", drains).expect("valid").drains;
    assert_eq!((drain_settings.enabled, drain_settings.budgets.of_team("a team", 8)), (true, Some(2)));
    for (text, field) in [
        ("drains { enable = true }", "enable"),
        ("drains {\n replicas_per_service = -1\n}", "replicas_per_service"),
        ("drains {\n team \"t\" {}\n}", "drains.team.t.count"),
        ("drains {\n team \"t\" { count = 1.5 }\n}", "drains.team.t.count"),
        ("drains {\n team \"t\" { count = -1 }\n}", "drains.team.t.count"),
        ("drains {\n team \"t\" { share = 1.5 }\n}", "drains.team.t.share"),
        ("drains {\n team \"t\" {\n share = 1\n count = 1\n }\n}", "drains.team.t.share"),
    ] {
        let message = OperatorSettings::parse("o.hcl", text).expect_err(text).to_string();
        assert!(message.starts_with("o.hcl: ") && !message.contains('\n'), "{message}");
        assert!(message.contains(field), "{message}");
    }
    for text in
        ["rescheduler { treshold = 1 }", "rescheduler { scan_s = 0 }", "fleet {", "fleet { idle_s = -1 }"]
    {
        let message = OperatorSettings::parse("o.hcl", text).expect_err(text).to_string();
        assert!(message.starts_with("o.hcl: ") && !message.contains('\n'), "{message}");
    }
}

#[test]
fn a_budget_of_an_unknown_team_is_rejected() {
    let settings = Settings::parse("s.toml", EXAMPLE).expect("valid");
    let budget_of = |team: &str| format!("drains {{\n team \"{team}\" {{\n count = 1\n }}\n}}\n");
    assert!(
        OperatorSettings::parse("o.hcl", &budget_of("t"))
            .expect("valid")
            .check_teams("o.hcl", &settings)
            .is_ok()
    );
    let unknown =
        OperatorSettings::parse("o.hcl", &budget_of("x")).expect("valid").check_teams("o.hcl", &settings);
    let message = unknown.expect_err("there is no such team").to_string();
    assert!(message.starts_with("o.hcl: drains.team.x: "), "{message}");
}
