//! Scheduled faults begin and end at their times, on a simulated clock.

use std::time::{Duration, Instant};

use emulator::{FaultKind, FaultSchedule, MachineFaults, ScheduledFault, Site, SiteFile, StateService};
use net::Request;

const SITE: &str = include_str!("../../../examples/site.hcl");

struct Test {
    site: Site,
    state: StateService,
    schedule: FaultSchedule,
    start: Instant,
}

impl Test {
    /// The example site with ten spot machines that are up, and these faults from `at` to `to`.
    fn new(fault_kinds: Vec<FaultKind>, at: u64, to: u64) -> Self {
        let start = Instant::now();
        let file = SiteFile::parse("site.hcl", SITE).expect("the example is valid");
        let mut site = Site::new(file.site_settings(), Box::new(|m: &str| Some(m.to_owned())), start);
        let rental = wire::RentRequest {
            request: "r".into(),
            machine_type: "small".into(),
            zone: "mill".into(),
            spot: true,
            count: 10,
        };
        let body = wire::encode(&rental).into();
        site.cloud_request(&Request { method: "POST".into(), path: "/machines".into(), body }, start);
        let (at, duration) = (Duration::from_secs(at), Duration::from_secs(to - at));
        let fault = |kind| ScheduledFault { name: "t".into(), kind, at, duration };
        let schedule = FaultSchedule::new(fault_kinds.into_iter().map(fault).collect(), 1, start);
        let state = StateService::new(file.state_limits(), 1, start);
        Self { site, state, schedule, start }
    }

    fn advance_to(&mut self, seconds: u64) {
        let now = self.start + Duration::from_secs(seconds);
        self.site.poll(now);
        self.schedule.poll(&mut self.site, &mut self.state, now);
    }

    fn count_with(&self, matches: impl Fn(MachineFaults) -> bool) -> usize {
        self.site.workers().filter(|w| matches(w.faults())).count()
    }
}

#[test]
fn service_faults_combine_and_end_at_their_times() {
    let max_delay = Duration::from_secs(1);
    let fault_kinds = vec![
        FaultKind::StateRefuses(1),
        FaultKind::StateLost(0.2),
        FaultKind::CloudOutage,
        FaultKind::CloudLate(0.1, max_delay),
    ];
    let mut test = Test::new(fault_kinds, 10, 20);
    for (at, active) in [(9, false), (10, true), (19, true), (20, false), (90, false)] {
        test.advance_to(at);
        let (state, cloud) = (test.state.faults(), test.site.cloud.faults());
        assert_eq!(state.refused.contains(&1) && state.lost_share == 0.2 && !state.outage, active, "{at}");
        assert_eq!(
            cloud.outage && cloud.late_share == 0.1 && cloud.max_execution_delay == max_delay,
            active,
            "{at}"
        );
    }
}

#[test]
fn machine_faults_affect_a_share_of_the_machines() {
    let hangs = MachineFaults { hangs: true, ..MachineFaults::default() };
    let reports_lost = MachineFaults { reports_lost: true, ..MachineFaults::default() };
    let mut test =
        Test::new(vec![FaultKind::Machines(0.3, hangs), FaultKind::Machines(1.0, reports_lost)], 10, 20);
    test.advance_to(9);
    assert_eq!((test.site.workers().count(), test.count_with(|f| f != MachineFaults::default())), (10, 0));
    test.advance_to(10);
    assert_eq!(
        (test.count_with(|f| f.hangs && f.reports_lost), test.count_with(|f| f.reports_lost)),
        (3, 10)
    );
    test.advance_to(20);
    assert_eq!(test.count_with(|f| f == MachineFaults::default()), 10);
}

#[test]
fn deaths_and_reclaims_happen_once_per_fault() {
    let mut test = Test::new(vec![FaultKind::Deaths(0.2)], 10, 20);
    (9..15).for_each(|n| test.advance_to(n));
    assert_eq!(test.site.workers().count(), 8);
    let mut test = Test::new(vec![FaultKind::Reclaims(0.5)], 10, 20);
    (9..12).for_each(|n| test.advance_to(n));
    assert_eq!(test.site.workers().count(), 10, "the notice is at least 15 s");
    (12..70).for_each(|n| test.advance_to(n));
    assert_eq!(test.site.workers().count(), 5);
}

#[test]
fn start_commands_are_copied_while_the_fault_is_active() {
    let max_delay = Duration::from_secs(4);
    let mut test = Test::new(vec![FaultKind::CopiedStarts(1.0, max_delay)], 10, 20);
    for (at, active) in [(9, false), (10, true), (19, true), (20, false)] {
        test.advance_to(at);
        let delay = test.schedule.draw_copy_delay();
        assert_eq!(delay.is_some_and(|delay| delay <= max_delay), active, "{at}: {delay:?}");
    }
}
