//! The condition under which a team's record of voluntary disruptions is written.

use sched::replica::Replica;
use store::key;
use wire::Condition;

/// The condition that a team's record of voluntary disruptions is unchanged. It keeps two
/// controllers from spending the same disruption budget.
pub(crate) fn disruption_condition(replica: &Replica, team_id: &str) -> Condition {
    let version = replica.drains.disruptions.get(team_id).map_or(0, |record| record.version);
    Condition { key: key::disruptions(team_id), version }
}
