//! Each error in a site file is reported in one line with the file, the line and the field.

use emulator::SiteFile;

const SITE: &str = include_str!("../../../examples/site.hcl");

/// The error message when the first `from` in the example site is replaced.
fn error_after_replacing(from: &str, to: &str) -> String {
    assert!(SITE.contains(from), "{from}");
    let text = SITE.replacen(from, to, 1);
    SiteFile::parse("site.hcl", &text).expect_err("a mistake").to_string()
}

/// The number of the first line of the example site that has this text.
fn line_number(text: &str) -> usize {
    SITE.lines().position(|l| l.contains(text)).expect("a line") + 1
}

#[test]
fn errors_name_the_file_the_line_and_the_field() {
    let front = "\"127.0.0.1:8092\"";
    let cases = [
        ("cpus     = 16", "cpus     = -16", "team.dyes.cpus: must be a number of 0 or more"),
        ("report_s    = 1.5", "report_s    = 0", "workers.report_s: must be a number above 0"),
        ("rps         = 6", "rps         = \"six\"", "cloud.rps: invalid type: string \"six\""),
        ("txn_ops   = 24", "txn_opts  = 24", "state.txn_opts: unknown field `txn_opts`"),
        (front, "\"127.0.0.1\"", "controller.weaver-2.front: must be an IP address and a port"),
        (front, "\"127.0.0.1:0\"", "controller.weaver-2.front: must have a port other than 0"),
        (front, "\"10.0.0.1:8092\"", "controller.weaver-2.front: must be an address of this machine"),
        (front, "\"127.0.0.1:8091\"", "is the same address as controller.weaver-1.front"),
        ("team \"dyes\" {", "team {", "team: must have a name"),
        ("team \"dyes\" {", "team \"looms\" {", "team.looms: is defined twice"),
        ("workers {", "workers \"x\" {", "workers.x: has too many labels"),
        ("quick_boots = 0.1", "quick_boots = 1.1", "cloud.quick_boots: must be a share from 0 to 1"),
    ];
    for (from, to, expected) in cases {
        let message = error_after_replacing(from, to);
        let prefix = format!("site.hcl: line {}: ", line_number(from));
        assert!(message.starts_with(&prefix) && message.contains(expected), "{message}");
        assert!(!message.contains('\n'));
    }
    // A missing field is reported at its block, a syntax error at its line.
    let missing = error_after_replacing("  cancel_s    = 30\n", "");
    let prefix = format!("site.hcl: line {}: workers.cancel_s: missing", line_number("workers {"));
    assert!(missing.starts_with(&prefix), "{missing}");
    let syntax = error_after_replacing("seed = 20", "seed = = 20");
    assert!(syntax.starts_with(&format!("site.hcl: line {}: ", line_number("seed"))), "{syntax}");
    assert!(!syntax.contains('\n'), "{syntax}");
}
