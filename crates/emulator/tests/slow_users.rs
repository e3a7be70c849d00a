//! Emulated users who send slowly and spell their submissions in other forms, as troubles of a site.

mod common;

use std::time::Duration;

use common::{RunningSite, site};
use tokio::time::sleep;

/// Users of services, and troubles in which a third of the slow bodies come too late.
const LOAD_AND_TROUBLE: &str = r#"
load "shuttle" {
  team = "looms"
  kind = "array"
  priority = "normal"
  per_minute = 240
  tasks = 1
  cpus = 1
  memory_gb = 1
  image = "shuttle"
  image_gb = 0.1
  estimate_s = 2
  stays_s = 60
}
trouble "slow" {
  kind = "slow_requests"
  at_s = 1
  for_s = 60
  share = 0.5
  delay_s = 6
}
trouble "spellings" {
  kind = "other_spellings"
  at_s = 1
  for_s = 60
  share = 0.5
}
workers {"#;
const DURATION: Duration = Duration::from_secs(20);

/// Guards against jobs that are refused or forgotten for how their users send requests.
#[tokio::test]
async fn no_job_is_refused_when_users_send_slowly_and_in_other_spellings() {
    let site = RunningSite::start(&site(&[("workers {", LOAD_AND_TROUBLE)])).await;
    sleep(DURATION).await;
    let statistics = site.emulation.user_statistics();
    println!("{statistics:?}");
    assert!(statistics.violations.is_empty(), "{:?}", statistics.violations);
    assert_eq!(statistics.refused, 0);
    assert!(statistics.accepted * 2 > statistics.submitted, "{statistics:?}");
    site.stop().await;
}
