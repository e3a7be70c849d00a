//! What the decisions on drains need of the settings: whether all controllers support drains, and
//! the names of teams.

use sched::drain_records::{Obstacle, ObstacleKind};
use sched::records::DRAINS_SCHEMA_VERSION;
use sched::replica::Replica;
use store::key;

use crate::controller::Controller;

/// A controller because of which nothing may be stopped, as an obstacle: one without drains, or
/// with drains switched off, could place something on a machine that is being drained.
pub fn unsupporting_controller(controller: &Controller, replica: &Replica) -> Option<Obstacle> {
    let peers = controller.settings.peers.iter().map(|peer| &peer.node_name);
    let configured = peers.chain([&controller.settings.node_name]);
    let supports_drains = |name: &String| {
        replica.schema_versions.get(name).is_some_and(|version| *version >= DRAINS_SCHEMA_VERSION)
    };
    let found = configured.chain(replica.members.keys()).find(|name| !supports_drains(name));
    found.map(|name| Obstacle {
        kind: ObstacleKind::OldController,
        team: String::new(),
        job: name.clone(),
        machine: String::new(),
        since_ms: 0,
    })
}

/// The name of the team that an id in a key stands for.
pub(super) fn team_name(controller: &Controller, team_id: &str) -> String {
    let found = controller.teams.iter().find(|team| key::team_id(&team.name) == team_id);
    found.map_or_else(|| team_id.to_owned(), |team| team.name.clone())
}
