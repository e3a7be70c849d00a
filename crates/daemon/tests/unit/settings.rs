use super::*;

pub const EXAMPLE: &str = r#"
        node_name = "n-0"
        zone = "a"
        front = "127.0.0.1:8080"
        internal_addr = "127.0.0.1:8081"
        unknown = 1
        [external]
        cloud = "127.0.0.1:1"
        state = "127.0.0.1:2"
        [facts]
        size = 1
        [[facts.teams]]
        name = "t"
        cpus = 4.0
        cpus_max = 8.0
        [facts.workers]
        report_s = 3.0
        lease_s = 24.0
        gang_peer_s = 5.0
        cancel_s = 44.0
        [facts.state]
        rps = 80.0
        write_rps = 30.0
        value_kb = 8.0
        txn_ops = 16
        [facts.cloud]
        rps = 4.0
        list_lag_s = 10.0
        [facts.limits]
        cores = 0.08
        memory_mb = 104.0
        max_connections = 1800
    "#;

#[test]
fn settings_errors_name_file_and_field() {
    assert!(Settings::parse("s.toml", EXAMPLE).is_ok());
    for (original, replacement, field) in [
        ("rps = 80.0", "rps = -1.0", "facts.state.rps"),
        ("lease_s = 24.0", "lease_s = \"x\"", "lease_s"),
        ("lease_s = 24.0", "", "lease_s"),
        ("127.0.0.1:8080", "nowhere", "front"),
        ("cpus = 4.0", "cpus = -4.0", "facts.teams"),
        ("name = \"t\"", &format!("name = \"{}\"", "t".repeat(151)), "facts.teams.name"),
        ("value_kb = 8.0", "value_kb = 1.0", "facts.state.value_kb"),
        ("txn_ops = 16", "txn_ops = 16\nnext = { write_rps = 0.0 }", "facts.state.next.write_rps"),
        ("txn_ops = 16", "txn_ops = 16\nnext = { rps = -1 }", "facts.state.next.rps"),
        ("txn_ops = 16", "txn_ops = 16\nnext = { value_kb = 0 }", "facts.state.next.value_kb"),
        ("txn_ops = 16", "txn_ops = 16\nnext = { txn_ops = 0 }", "facts.state.next.txn_ops"),
        ("txn_ops = 16", "txn_ops = 16\nnext = { txn_ops = \"many\" }", "txn_ops"),
    ] {
        let message = Settings::parse("s.toml", &EXAMPLE.replacen(original, replacement, 1))
            .map(|_| ())
            .expect_err(original)
            .to_string();
        assert!(message.starts_with("s.toml: ") && message.contains(field), "{message}");
        assert!(!message.contains('\n'), "{message}");
    }
    let next = "txn_ops = 16\nnext = { value_kb = 2, txn_ops = 4, later = 1 }";
    let settings = Settings::parse("s.toml", &EXAMPLE.replacen("txn_ops = 16", next, 1)).expect("valid");
    let next = settings.facts.state.next.expect("given");
    assert_eq!((next.value_kb, next.txn_ops, next.write_rps), (Some(2.0), Some(4), None));
}
