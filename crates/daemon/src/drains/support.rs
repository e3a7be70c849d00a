//! Whether all controllers support drains, and the names of teams.

use sched::drain_records::{Obstacle, ObstacleKind};
use sched::records::DRAINS_SCHEMA_VERSION;
use sched::replica::Replica;
use store::key;

use crate::controller::Controller;

/// The first controller that does not support drains, or has them disabled, as an obstacle. Nothing
/// may be stopped while there is one, because it could place tasks on machines that are drained.
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

/// The name of the team with this id in keys; the id itself if no such team is configured.
pub(super) fn team_name(controller: &Controller, team_id: &str) -> String {
    let found = controller.teams.iter().find(|team| key::team_id(&team.name) == team_id);
    found.map_or_else(|| team_id.to_owned(), |team| team.name.clone())
}
