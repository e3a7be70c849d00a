//! Mistakes in the description of a site: one line with file, line and field.

use emulator::SiteFile;

const SITE: &str = include_str!("../../../examples/site.hcl");

/// What is said when the only `from` of the example is replaced.
fn said(from: &str, to: &str) -> String {
    assert!(SITE.contains(from), "{from}");
    let text = SITE.replacen(from, to, 1);
    SiteFile::parse("site.hcl", &text).expect_err("a mistake").to_string()
}

/// The line of the example that has this text.
fn line(of: &str) -> usize {
    SITE.lines().position(|l| l.contains(of)).expect("a line") + 1
}

#[test]
fn mistakes_name_file_line_and_field() {
    let front = "\"127.0.0.1:8092\"";
    let cases = [
        ("cpus     = 16", "cpus     = -16", "team.dyes.cpus: must be a number of 0 or more"),
        ("report_s    = 1.5", "report_s    = 0", "workers.report_s: must be a number above 0"),
        ("rps         = 6", "rps         = \"six\"", "cloud.rps: invalid type: string \"six\""),
        ("txn_ops   = 24", "txn_opts  = 24", "state.txn_opts: unknown field `txn_opts`"),
        (front, "\"127.0.0.1\"", "controller.weaver-2.front: must be an IP address and a port"),
        (front, "\"127.0.0.1:0\"", "controller.weaver-2.front: must have a port"),
        (front, "\"10.0.0.1:8092\"", "controller.weaver-2.front: must be an address of this machine"),
        (front, "\"127.0.0.1:8091\"", "is the same address as controller.weaver-1.front"),
        ("team \"dyes\" {", "team {", "team: must have a name"),
        ("team \"dyes\" {", "team \"looms\" {", "team.looms: is there twice"),
        ("workers {", "workers \"x\" {", "workers.x: has a label too many"),
        ("quick_boots = 0.1", "quick_boots = 1.1", "cloud.quick_boots: must be a share from 0 to 1"),
    ];
    for (from, to, expected) in cases {
        let message = said(from, to);
        let start = format!("site.hcl: line {}: ", line(from));
        assert!(message.starts_with(&start) && message.contains(expected), "{message}");
        assert!(!message.contains('\n'));
    }
    // Missing: the block that it should be in, or the file.
    let missing = said("  cancel_s    = 30\n", "");
    let start = format!("site.hcl: line {}: workers.cancel_s: missing", line("workers {"));
    assert!(missing.starts_with(&start), "{missing}");
    let syntax = said("seed = 20", "seed = = 20");
    assert!(syntax.starts_with(&format!("site.hcl: line {}: ", line("seed"))), "{syntax}");
    assert!(!syntax.contains('\n'), "{syntax}");
}
