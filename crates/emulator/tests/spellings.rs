//! Submissions in every form that the protocol allows, and others in the same forms that lack a field.

mod common;

use common::{FINAL_REFUSALS, RunningSite, hello, site};
use emulator::{ServiceFaults, Spelling};
use rand::SeedableRng;
use rand::rngs::StdRng;
use wire::{JobSpec, JobState};

const SEED: u64 = 50;

fn job(number: usize) -> JobSpec {
    JobSpec { id: format!("j-{number}"), ..hello() }
}

/// The submission without one of its fields.
fn without(field: &str, body: &[u8]) -> Vec<u8> {
    let at = body.windows(field.len()).position(|window| window == field.as_bytes()).expect("the field");
    let mut body = body.to_vec();
    body[at] = b'x';
    body
}

#[test]
fn a_submission_is_the_same_in_every_spelling() {
    let mut rng = StdRng::seed_from_u64(SEED);
    for spelling in Spelling::ALL {
        let body = spelling.encode(&job(1), &mut rng);
        assert_eq!(JobSpec::from_submission(&body).as_ref(), Ok(&job(1)), "{spelling:?}");
        let invalid = JobSpec::from_submission(&without("threads", &body)).expect_err("lacks a field");
        assert_eq!(invalid.id.as_deref(), Some("j-1"), "{spelling:?}: {}", invalid.reason);
    }
}

/// Guards against sound submissions that are refused, or become second jobs, for their form.
#[tokio::test]
async fn a_submission_in_any_spelling_is_accepted_once_also_around_an_outage() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut encode = |spelling: Spelling, number| spelling.encode(&job(number), &mut rng);
    let site = RunningSite::start(&site(&[])).await;
    let next = |index: usize| Spelling::ALL[(index + 1) % Spelling::ALL.len()];
    for (index, spelling) in Spelling::ALL.into_iter().enumerate() {
        let number = 100 + index;
        let body = encode(spelling, number);
        assert_eq!(site.user(2).submit(without("threads", &body)).await, 400, "{spelling:?} lacks a field");
        assert_eq!(site.user(0).submit(body).await, 201, "{spelling:?}");
        let repeated = encode(next(index), number);
        assert_eq!(site.user(1).submit(repeated).await, 200, "{spelling:?}, then {:?}", next(index));
    }
    site.emulation.set_state_faults(ServiceFaults { outage: true, ..ServiceFaults::default() });
    for (index, spelling) in Spelling::ALL.into_iter().enumerate() {
        for number in [100 + index, 200 + index] {
            let status = site.user(index % 3).submit(encode(spelling, number)).await;
            assert!(!FINAL_REFUSALS.contains(&status) && status != 201, "{spelling:?}: {status}");
        }
    }
    site.emulation.set_state_faults(ServiceFaults::default());
    for (index, spelling) in Spelling::ALL.into_iter().enumerate() {
        let id = format!("j-{}", 100 + index);
        site.user(0).wait_for_state(&id, JobState::Done).await;
        assert_eq!(site.user(2).submit(encode(spelling, 100 + index)).await, 200, "{spelling:?}, again");
    }
    site.stop().await;
}
