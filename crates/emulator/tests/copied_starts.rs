//! Late copies of start commands as a trouble of a site.

mod common;

use std::time::Duration;

use common::{RunningSite, site};
use tokio::time::sleep;

/// Users of short jobs and of services that are soon cancelled, and copies of all start commands.
const LOAD_AND_TROUBLE: &str = r#"
load "shuttle" {
  team = "looms"
  kind = "array"
  priority = "normal"
  per_minute = 120
  tasks = 2
  cpus = 1
  memory_gb = 1
  image = "shuttle"
  image_gb = 0.1
  estimate_s = 2
  stays_s = 6
  cancelled = 0.5
}
trouble "copies" {
  kind = "copied_starts"
  at_s = 1
  for_s = 60
  delay_s = 8
}
workers {"#;
const DURATION: Duration = Duration::from_secs(20);

/// Guards against copies that the emulator does not deliver, and against rules that they break.
#[tokio::test]
async fn copies_of_start_commands_arrive_and_break_no_rule() {
    let site = RunningSite::start(&site(&[("workers {", LOAD_AND_TROUBLE)])).await;
    sleep(DURATION).await;
    let statistics = site.emulation.user_statistics();
    assert!(site.emulation.copies_arrived() > 0);
    assert!(statistics.violations.is_empty(), "{:?}", statistics.violations);
    assert_eq!(statistics.refused, 0);
    assert!(statistics.accepted > 0, "{statistics:?}");
    site.stop().await;
}
