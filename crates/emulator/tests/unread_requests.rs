//! Requests that do not arrive as a whole, or late, on complete controllers over real connections.

mod common;

use std::time::{Duration, Instant};

use common::{FINAL_REFUSALS, RawConnection, RunningSite, hello, site};
use tokio::time::sleep;
use wire::JobState;

/// How much later than its head the body is sent: not before the controller has given up waiting,
/// and while the user still waits for the answer.
const BODY_DELAY: Duration = Duration::from_millis(4200);

fn is_final_refusal(status: Option<u16>) -> bool {
    status.is_some_and(|status| FINAL_REFUSALS.contains(&status))
}

/// Guards against accepted jobs that are refused when a repeated submission arrives slowly.
#[tokio::test]
async fn a_repeated_submission_whose_body_is_late_is_not_refused_for_good() {
    let site = RunningSite::start(&site(&[])).await;
    let body = wire::encode(&hello());
    assert_eq!(site.user(0).submit(body.clone()).await, 201);
    let sent_at = Instant::now();
    let mut late = RawConnection::open(&site.user(1).addr).await;
    late.send_head("POST", "/v1/jobs", body.len()).await;
    sleep(BODY_DELAY).await;
    late.send(&body).await;
    let status = late.status().await;
    assert!(!is_final_refusal(status), "{status:?} after {:?}", sent_at.elapsed());
    for controller in 0..3 {
        assert_eq!(site.user(controller).submit(body.clone()).await, 200, "the job is known");
    }
    site.user(0).wait_for_state("j-1", JobState::Done).await;
    site.stop().await;
}

/// Guards against accepted jobs that are refused when a repeated submission is cut off.
#[tokio::test]
async fn a_repeated_submission_whose_body_is_cut_off_is_not_refused_for_good() {
    let site = RunningSite::start(&site(&[])).await;
    let body = wire::encode(&hello());
    assert_eq!(site.user(0).submit(body.clone()).await, 201);
    let mut cut_off = RawConnection::open(&site.user(1).addr).await;
    cut_off.send_head("POST", "/v1/jobs", body.len()).await;
    cut_off.send(&body[..body.len() / 2]).await;
    cut_off.end().await;
    let status = cut_off.status().await;
    assert!(!is_final_refusal(status), "{status:?}");
    assert_eq!(site.user(1).submit(body).await, 200, "the job is known");
    site.stop().await;
}
