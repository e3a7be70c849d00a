//! sageloom: a cluster scheduler.

fn main() -> std::process::ExitCode {
    daemon::main()
}
