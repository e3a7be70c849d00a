//! The async tasks of the scheduler: the scheduling loop and the ticks of the pause detector.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

use super::commands::send_commands;
use super::commit::commit;
use super::cycle::{CycleContext, SchedulingCycle};
use super::decisions::decide;
use super::proof_forwarding::forward_proofs;
use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::load::LoadCounters;

/// Maximum time that the loop waits for a wake-up before it runs a cycle without one.
const MAX_IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum pause between two cycles.
const MIN_CYCLE_PAUSE: Duration = Duration::from_millis(40);
/// Pause after a cycle as a multiple of the time that its decisions took; it leaves the processor
/// to other work.
const PAUSE_PER_DECISION_TIME: u32 = 4;
/// Interval at which the pause detector notes that the process is running.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs scheduling cycles for as long as the process lives.
pub async fn run_scheduler(controller: Arc<Controller>) {
    let mut last_scan = clock::now();
    loop {
        let _ = timeout(MAX_IDLE_INTERVAL, controller.wake_scheduler.notified()).await;
        let started_at = clock::now();
        let scan_interval = controller.operators.rescheduler.scan_interval;
        let scan_is_due = started_at.saturating_duration_since(last_scan) >= scan_interval;
        if scan_is_due {
            last_scan = started_at;
        }
        let cycle = decide_cycle(&controller, scan_is_due, started_at);
        let decision_time = clock::since(started_at);
        LoadCounters::add(&controller.load.cycles, 1);
        LoadCounters::add(&controller.load.cycle_us, decision_time.as_micros() as u64);
        let Some(cycle) = cycle else {
            sleep(MIN_CYCLE_PAUSE).await;
            continue;
        };
        execute(&controller, cycle).await;
        sleep(MIN_CYCLE_PAUSE.max(decision_time * PAUSE_PER_DECISION_TIME)).await;
    }
}

/// Decides a cycle with as many changes as the rate limit and one transaction allow. If none are
/// allowed, the cycle only reconciles workers, and pending changes are batched into a later cycle.
fn decide_cycle(controller: &Controller, scan_is_due: bool, now: Instant) -> Option<SchedulingCycle> {
    let mut state = controller.state();
    let max_changes = state.writes.limiter.allowance(now).min(controller.state_limits().txn_ops);
    let context = CycleContext::new(max_changes, now, wall_ms()).with_rescheduler(scan_is_due);
    decide(controller, &mut state, context)
}

/// Sends the commands and forwarded proofs of a cycle and commits its records.
async fn execute(controller: &Arc<Controller>, mut cycle: SchedulingCycle) {
    for commands in std::mem::take(&mut cycle.commands) {
        send_commands(controller, commands);
    }
    for (scheduler, proofs) in std::mem::take(&mut cycle.forwarded_proofs) {
        forward_proofs(controller, scheduler, proofs);
    }
    if !cycle.jobs.is_empty() {
        commit(controller, cycle).await;
    }
}

/// Ticks at regular intervals, so that pauses of the process are detected.
pub async fn detect_pauses(controller: Arc<Controller>) {
    loop {
        controller.state().tick(clock::now());
        sleep(TICK_INTERVAL).await;
    }
}
