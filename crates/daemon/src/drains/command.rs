//! The operators' side: `sageloom drain`. It reads and writes the records, as controllers do;
//! these carry the drain out, whoever leads.

use std::path::PathBuf;
use std::time::Duration;

use cloud::CloudClient;
use drain::feasibility::{self, Blocker};
use drain::lifecycle::{self, Event, LifecycleError};
use drain::selection::{Selection, SelectionError, select};
use drain::step::Machine;
use drain::view;
use net::Client;
use sched::drain_records::{
    CordonFence, CordonRecord, DRAIN_SCHEMA, DrainPhase, DrainRecord, RoomSearch, UnsavedWork,
};
use sched::hash::HashMap;
use sched::records::{DRAINS_SCHEMA_VERSION, Name};
use sched::world::World;
use store::{Outcome, Put, StateClient, StoreError, key};
use tokio::time::sleep;
use wire::Condition;

use super::report;
use crate::controller::wall_ms;
use crate::read_records::read_records;
use crate::settings::{Operators, Settings, SettingsError};

/// What `sageloom drain` is called with.
#[derive(clap::Args)]
pub struct DrainArgs {
    /// The state service.
    #[arg(long, value_name = "IP:PORT", env = "SAGELOOM_STATE", global = true)]
    state: Option<String>,
    /// The cloud, for --rented-before-s.
    #[arg(long, value_name = "IP:PORT", env = "SAGELOOM_CLOUD", global = true)]
    cloud: Option<String>,
    /// The platform's settings (TOML), in the place of --state and --cloud.
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    verb: DrainVerb,
}

#[derive(clap::Subcommand)]
enum DrainVerb {
    /// Start to drain machines.
    Start {
        /// A name of its own: small letters, digits and dashes.
        name: String,
        #[command(flatten)]
        machines: SelectionArgs,
        #[command(flatten)]
        how: HowArgs,
        /// Start even if some of it can never be moved.
        #[arg(long)]
        as_far_as_possible: bool,
    },
    /// Tell what a drain would do, and what stands in its way; nothing is written.
    Plan {
        #[command(flatten)]
        machines: SelectionArgs,
        #[command(flatten)]
        how: HowArgs,
    },
    /// All drains, a line each.
    List,
    /// How far a drain is, and what it waits for.
    Status { name: String },
    /// Stop a drain: what it has not moved yet stays.
    Stop { name: String },
    /// Go on with a drain that was stopped, or that stopped by itself.
    Resume { name: String },
    /// Forget a drain that is over.
    Remove { name: String },
}

#[derive(clap::Args)]
struct SelectionArgs {
    /// A machine; may be given several times.
    #[arg(long = "machine", value_name = "NAME")]
    machines: Vec<String>,
    /// All machines of a zone.
    #[arg(long, value_name = "NAME")]
    zone: Option<String>,
    /// All machines of a type.
    #[arg(long = "type", value_name = "NAME")]
    machine_type: Option<String>,
    /// All machines that were rented more than so many seconds ago.
    #[arg(long, value_name = "SECONDS")]
    rented_before_s: Option<f64>,
}

impl From<SelectionArgs> for Selection {
    fn from(args: SelectionArgs) -> Self {
        let SelectionArgs { machines, zone, machine_type, rented_before_s } = args;
        Self { machines, zone, machine_type, older_than_s: rented_before_s }
    }
}

#[derive(clap::Args)]
struct HowArgs {
    /// How long work that cannot save its progress may run on.
    #[arg(long, value_name = "SECONDS", default_value_t = 600.0)]
    patience_s: f64,
    /// What becomes of it then.
    #[arg(long, value_enum, default_value_t = Unsaved::Leave)]
    unsaved: Unsaved,
    /// How long one obstacle may stand before the drain stops by itself.
    #[arg(long, value_name = "SECONDS", default_value_t = 3600.0)]
    give_up_s: f64,
    /// The operators' settings (HCL), for the budgets that are planned with.
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
}

#[derive(Debug, Clone, Copy, clap::ValueEnum)]
enum Unsaved {
    /// It runs on, and its machine stays.
    Leave,
    /// It is stopped, and starts anew elsewhere.
    Stop,
}

impl From<Unsaved> for UnsavedWork {
    fn from(unsaved: Unsaved) -> Self {
        match unsaved {
            Unsaved::Leave => Self::Leave,
            Unsaved::Stop => Self::Stop,
        }
    }
}

/// Why a command comes to nothing. Nothing was written unless it says so.
#[derive(Debug, thiserror::Error)]
pub enum DrainError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("--state or --config: neither says where the state service is")]
    NoState,
    #[error("{option}: \"{value}\" is not an IP address and a port")]
    Address { option: &'static str, value: String },
    #[error("{option}: {value} is not a number of seconds from 0 to {SECONDS_MOST}")]
    Seconds { option: &'static str, value: f64 },
    #[error("\"{0}\" is no name for a drain: 1 to 40 small letters, digits and dashes")]
    Name(String),
    #[error("the name \"{0}\" is in use; `drain remove` forgets a drain that is over")]
    InUse(String),
    #[error("there is no drain \"{0}\"")]
    Unknown(String),
    #[error("{}: its record cannot be read", key::drain(.0))]
    Unreadable(String),
    #[error(transparent)]
    Selection(#[from] SelectionError),
    #[error("controller \"{0}\" knows no drains, or has them switched off")]
    OldController(String),
    #[error("it could never finish: {0}; --as-far-as-possible starts it all the same")]
    Never(Blocker),
    #[error("drain \"{name}\": {why}")]
    Lifecycle { name: String, why: LifecycleError },
    #[error("the state service cannot be asked: {0}; nothing was written")]
    NotRead(StoreError),
    #[error("the state service did not take it: {0}; {WRITTEN_PERHAPS}")]
    NotWritten(StoreError),
    #[error("others change the same records all the time; {WRITTEN_PERHAPS}")]
    Contended,
    #[error("the cloud's list cannot be had: {0}; nothing was written")]
    Cloud(#[from] cloud::CloudError),
}

const WRITTEN_PERHAPS: &str = "some of it may have been written, the same command again does no harm";
/// Largest number of seconds that an option takes.
const SECONDS_MOST: f64 = 1e7;
/// How often a change is decided anew that met newer records.
const TRIES: u32 = 8;
/// Pause before a change that was refused for the rate, or met newer records, is tried again.
const PAUSE: Duration = Duration::from_millis(300);
/// Bytes of the machines' names in one cordon. Each of them may come to stand there three times,
/// and the smallest value of a state service is 2 KiB.
const CORDON_BYTES: usize = 600;
const MEMORY_BYTES: usize = 256 << 20;

/// Runs the command.
pub async fn run(args: DrainArgs) -> Result<(), DrainError> {
    let (state, cloud) = addresses(&args)?;
    let cloud = cloud.map(|addr| CloudClient::new(Client::new(1), addr));
    let service = Service::new(StateClient::new(Client::new(1), state, MEMORY_BYTES), cloud);
    match args.verb {
        DrainVerb::Start { name, machines, how, as_far_as_possible } => {
            let request = Request::new(machines, how)?;
            service.start(&checked(name)?, &request, as_far_as_possible).await?;
        }
        DrainVerb::Plan { machines, how } => service.plan(&Request::new(machines, how)?).await?,
        DrainVerb::List => service.list().await?,
        DrainVerb::Status { name } => service.status(&checked(name)?).await?,
        DrainVerb::Stop { name } => service.stop(&checked(name)?).await?,
        DrainVerb::Resume { name } => service.resume(&checked(name)?).await?,
        DrainVerb::Remove { name } => service.remove(&checked(name)?).await?,
    }
    Ok(())
}

/// Where the state service and the cloud are.
fn addresses(args: &DrainArgs) -> Result<(String, Option<String>), DrainError> {
    let external = match &args.config {
        Some(file) => Some(Settings::load(file)?.external),
        None => None,
    };
    let of_file = |f: fn(&crate::settings::External) -> &String| external.as_ref().map(|e| f(e).clone());
    let state = args.state.clone().or_else(|| of_file(|e| &e.state)).ok_or(DrainError::NoState)?;
    let cloud = args.cloud.clone().or_else(|| of_file(|e| &e.cloud));
    for (option, value) in [("--state", Some(&state)), ("--cloud", cloud.as_ref())] {
        let bad = value.filter(|v| v.parse::<std::net::SocketAddr>().is_err());
        if let Some(value) = bad {
            return Err(DrainError::Address { option, value: value.clone() });
        }
    }
    Ok((state, cloud))
}

const NAME_MOST: usize = 40;

fn checked(name: String) -> Result<String, DrainError> {
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let valid = !name.is_empty() && name.len() <= NAME_MOST && name.chars().all(fits);
    if valid { Ok(name) } else { Err(DrainError::Name(name)) }
}

/// What an operator wants to have drained, and how.
pub(crate) struct Request {
    pub(crate) selection: Selection,
    pub(crate) patience_s: f64,
    pub(crate) give_up_s: f64,
    pub(crate) unsaved: UnsavedWork,
    pub(crate) operators: Operators,
}

impl Request {
    fn new(machines: SelectionArgs, how: HowArgs) -> Result<Self, DrainError> {
        let selection: Selection = machines.into();
        let seconds = [
            ("--patience-s", Some(how.patience_s)),
            ("--give-up-s", Some(how.give_up_s)),
            ("--rented-before-s", selection.older_than_s),
        ];
        for (option, value) in seconds {
            if let Some(value) = value.filter(|v| !(0.0..=SECONDS_MOST).contains(v)) {
                return Err(DrainError::Seconds { option, value });
            }
        }
        let operators = how.operators.as_deref().map(Operators::load).transpose()?.unwrap_or_default();
        let HowArgs { patience_s, give_up_s, unsaved, .. } = how;
        Ok(Self { selection, patience_s, give_up_s, unsaved: unsaved.into(), operators })
    }

    fn blockers(&self, world: &World, machines: &[Name]) -> Vec<Blocker> {
        let machines = with_units(world, machines);
        let budgets = &self.operators.drains.budgets;
        feasibility::blockers(world, &machines, budgets, self.unsaved, self.patience_s)
    }

    fn record(&self, cordons: usize, machines: usize) -> DrainRecord {
        let ms = |s: f64| (s * 1000.0) as u64;
        DrainRecord {
            schema: DRAIN_SCHEMA,
            phase: DrainPhase::Active,
            cordons: cordons as u32,
            machines: machines as u32,
            started_ms: wall_ms(),
            patience_ms: ms(self.patience_s),
            unsaved: self.unsaved,
            give_up_ms: ms(self.give_up_s),
            moved: 0,
            room: RoomSearch::default(),
            obstacle: None,
        }
    }
}

fn with_units(world: &World, machines: &[Name]) -> Vec<Machine> {
    let machine = |name: &Name| Machine { units: view::units_on(world, name), name: name.clone() };
    machines.iter().map(machine).collect()
}

/// The machines in pieces that are written as one cordon each.
fn pieces(machines: &[Name]) -> Vec<Vec<Name>> {
    let mut pieces = Vec::new();
    let mut piece: Vec<Name> = Vec::new();
    for machine in machines {
        piece.push(machine.clone());
        let record = CordonRecord::new(piece.clone());
        if Put::new(String::new(), &record).value_len() > CORDON_BYTES && piece.len() > 1 {
            piece.pop();
            pieces.push(std::mem::replace(&mut piece, vec![machine.clone()]));
        }
    }
    if !piece.is_empty() {
        pieces.push(piece);
    }
    pieces
}

/// Changes of records, and what they are conditional on.
type ConditionalPuts = (Vec<Condition>, Vec<Put>);

/// What came of one try to change records.
enum Tried {
    Done,
    /// They are newer than they were read.
    Newer,
}

/// The services that a command speaks with.
pub(crate) struct Service {
    state: StateClient,
    cloud: Option<CloudClient>,
}

impl Service {
    pub(crate) fn new(state: StateClient, cloud: Option<CloudClient>) -> Self {
        Self { state, cloud }
    }

    async fn world(&self) -> Result<World, DrainError> {
        let mut tries = 0;
        loop {
            match read_records(&self.state).await {
                Ok((world, _)) => return Ok(world),
                Err(StoreError::Rate) if tries < TRIES => tries += 1,
                Err(e) => return Err(DrainError::NotRead(e)),
            }
            sleep(PAUSE).await;
        }
    }

    async fn commit(&self, conditions: Vec<Condition>, puts: Vec<Put>) -> Result<Tried, DrainError> {
        let mut tries = 0;
        loop {
            match self.state.txn(conditions.clone(), puts.clone()).await {
                Ok(Outcome::Committed { .. }) => return Ok(Tried::Done),
                Ok(Outcome::Conflict { .. }) => return Ok(Tried::Newer),
                Err(StoreError::Rate) if tries < TRIES => tries += 1,
                Err(e) => return Err(DrainError::NotWritten(e)),
            }
            sleep(PAUSE).await;
        }
    }

    /// Reads the records, changes them, and does so again if they were newer. `step` gives
    /// nothing once all is as it should be.
    async fn change(
        &self,
        step: impl Fn(&World) -> Result<Option<ConditionalPuts>, DrainError>,
    ) -> Result<World, DrainError> {
        let mut conflicts = 0;
        loop {
            let world = self.world().await?;
            let Some((conditions, puts)) = step(&world)? else { return Ok(world) };
            if let Tried::Newer = self.commit(conditions, puts).await? {
                conflicts += 1;
                if conflicts > TRIES {
                    return Err(DrainError::Contended);
                }
                sleep(PAUSE).await;
            }
        }
    }

    async fn ages(&self, selection: &Selection) -> Result<Option<HashMap<String, f64>>, DrainError> {
        let Some(cloud) = self.cloud.as_ref().filter(|_| selection.older_than_s.is_some()) else {
            return Ok(None);
        };
        let mut ages = HashMap::default();
        let mut after: Option<String> = None;
        loop {
            let page = cloud.list_page(after.as_deref()).await?;
            after = page.machines.last().map(|m| m.id.clone());
            ages.extend(page.machines.into_iter().map(|m| (m.id, m.age_s)));
            if !page.more || after.is_none() {
                return Ok(Some(ages));
            }
        }
    }

    pub(crate) async fn start(&self, name: &str, request: &Request, anyhow: bool) -> Result<(), DrainError> {
        let ages = self.ages(&request.selection).await?;
        let world = self.world().await?;
        if let Some(known) = known_machines(&world, name)? {
            return repeated(&world, name, known, request, ages.as_ref());
        }
        // Its own cordons, of a try that was cut off, are no other drain's.
        let machines = select(&without_cordons_of(world, name), &request.selection, ages.as_ref())?;
        let pieces = pieces(&machines);
        let world =
            self.change(|world| next_cordon(world, name, request, &machines, &pieces, anyhow)).await?;
        let blocked = request.blockers(&world, &machines);
        blocked.iter().for_each(|b| println!("cannot be moved: {b}"));
        println!("drain {name} started: {} machines are cordoned", machines.len());
        Ok(())
    }

    async fn plan(&self, request: &Request) -> Result<(), DrainError> {
        let ages = self.ages(&request.selection).await?;
        let world = self.world().await?;
        let machines = select(&world, &request.selection, ages.as_ref())?;
        let blockers = request.blockers(&world, &machines);
        let machines = with_units(&world, &machines);
        let budgets = &request.operators.drains.budgets;
        print!("{}", report::plan(&world, &machines, budgets, &blockers));
        Ok(())
    }

    async fn list(&self) -> Result<(), DrainError> {
        let world = self.world().await?;
        for (name, record) in &world.drains.records {
            println!("{}", report::line(&world, name, &record.value, wall_ms()));
        }
        for name in &world.drains.unreadable {
            println!("{name}: {} cannot be read; its machines stay cordoned", key::drain(name));
        }
        Ok(())
    }

    async fn status(&self, name: &str) -> Result<(), DrainError> {
        let world = self.world().await?;
        let record = record_of(&world, name)?;
        print!("{}", report::status(&world, name, &record, wall_ms()));
        Ok(())
    }

    async fn stop(&self, name: &str) -> Result<(), DrainError> {
        let world = self
            .change(|world| match record_of(world, name)?.is_active() {
                true => changed(world, name, Event::StopRequested).map(Some),
                false => Ok(None),
            })
            .await?;
        println!("{}", report::line(&world, name, &record_of(&world, name)?, wall_ms()));
        Ok(())
    }

    async fn resume(&self, name: &str) -> Result<(), DrainError> {
        let world = self.change(|world| next_resumed(world, name)).await?;
        println!("{}", report::line(&world, name, &record_of(&world, name)?, wall_ms()));
        Ok(())
    }

    async fn remove(&self, name: &str) -> Result<(), DrainError> {
        record_of(&self.world().await?, name)?;
        self.change(|world| next_removed(world, name)).await?;
        println!("drain {name} is forgotten");
        Ok(())
    }
}

fn record_of(world: &World, name: &str) -> Result<DrainRecord, DrainError> {
    if world.drains.unreadable.contains(name) {
        return Err(DrainError::Unreadable(name.to_owned()));
    }
    let record = world.drains.records.get(name).map(|d| d.value.clone());
    record.ok_or_else(|| DrainError::Unknown(name.to_owned()))
}

/// The machines of a drain of this name, if there is one.
fn known_machines(world: &World, name: &str) -> Result<Option<Vec<Name>>, DrainError> {
    match record_of(world, name) {
        Ok(_) => {
            let mut all: Vec<Name> =
                world.drains.cordons_of(name).flat_map(|(_, c)| c.value.machines()).cloned().collect();
            all.sort_unstable();
            Ok(Some(all))
        }
        Err(DrainError::Unknown(_)) => Ok(None),
        Err(e) => Err(e),
    }
}

/// The same command again, whose first answer may have been lost.
fn repeated(
    world: &World,
    name: &str,
    known: Vec<Name>,
    request: &Request,
    ages: Option<&HashMap<String, f64>>,
) -> Result<(), DrainError> {
    let active = record_of(world, name)?.is_active();
    let mut others = World::default();
    others.machines.clone_from(&world.machines);
    let same = select(&others, &request.selection, ages).is_ok_and(|selected| selected == known);
    if !active || !same {
        return Err(DrainError::InUse(name.to_owned()));
    }
    println!("drain {name} was started already: {} machines are cordoned", known.len());
    Ok(())
}

fn without_cordons_of(mut world: World, name: &str) -> World {
    let own: Vec<_> = world.drains.cordons_of(name).map(|(id, c)| (id.clone(), c.version)).collect();
    for (id, version) in own {
        world.drains.apply_cordon(id, None, version);
    }
    world
}

fn fence(world: &World) -> (Condition, Put) {
    let next = CordonFence { generation: world.drains.generation + 1 };
    let condition = Condition { key: key::CORDON_FENCE.into(), version: world.drains.fence };
    (condition, Put::new(key::CORDON_FENCE.into(), &next))
}

/// The next change that starts a drain: its cordons one by one, then its record. A cordon that
/// is there already, from a try that was cut off, is taken over.
fn next_cordon(
    world: &World,
    name: &str,
    request: &Request,
    machines: &[Name],
    pieces: &[Vec<Name>],
    anyhow: bool,
) -> Result<Option<ConditionalPuts>, DrainError> {
    if world.drains.records.contains_key(name) {
        return Ok(None);
    }
    if let Some(old) = old_controller(world) {
        return Err(DrainError::OldController(old));
    }
    if let Some(blocker) = request.blockers(world, machines).into_iter().next().filter(|_| !anyhow) {
        return Err(DrainError::Never(blocker));
    }
    if let Some((machine, drain)) = drained_by_another(world, name, machines) {
        return Err(SelectionError::Drained { machine, drain }.into());
    }
    let (unchanged, next_fence) = fence(world);
    let no_drain = Condition { key: key::drain(name), version: 0 };
    for (part, piece) in pieces.iter().enumerate() {
        let id = (name.to_owned(), part as u32);
        let wanted = CordonRecord::new(piece.clone());
        let known = world.drains.cordons.get(&id);
        if known.is_none_or(|c| c.value != wanted) {
            let version = known.map_or(0, |c| c.version);
            let here = Condition { key: key::cordon(name, id.1), version };
            let puts = vec![Put::new(key::cordon(name, id.1), &wanted), next_fence];
            return Ok(Some((vec![here, no_drain, unchanged], puts)));
        }
    }
    let of_other_try = world.drains.cordons_of(name).find(|((_, part), _)| *part as usize >= pieces.len());
    if let Some(((_, part), cordon)) = of_other_try {
        let here = Condition { key: key::cordon(name, *part), version: cordon.version };
        let puts = vec![Put::delete(key::cordon(name, *part)), next_fence];
        return Ok(Some((vec![here, no_drain, unchanged], puts)));
    }
    // No cordon has changed since all of its own were seen.
    let record = request.record(pieces.len(), machines.len());
    Ok(Some((vec![no_drain, unchanged], vec![Put::new(key::drain(name), &record)])))
}

/// A live controller that could place something on a machine that is cordoned.
fn old_controller(world: &World) -> Option<String> {
    let knows = |name: &str| world.upgraded.get(name).is_some_and(|s| *s >= DRAINS_SCHEMA_VERSION);
    world.members.keys().find(|name| !knows(name)).cloned()
}

fn drained_by_another(world: &World, name: &str, machines: &[Name]) -> Option<(String, String)> {
    let others = world.drains.cordons.iter().filter(|((drain, _), c)| drain != name && c.value.active);
    others.into_iter().find_map(|((drain, _), c)| {
        let machine = c.value.left().find(|m| machines.contains(m))?;
        Some((machine.to_string(), drain.clone()))
    })
}

/// A drain's record after an event, conditional on the version that it was made of.
fn changed(world: &World, name: &str, event: Event) -> Result<ConditionalPuts, DrainError> {
    let mut record = record_of(world, name)?;
    lifecycle::apply(&mut record, event, wall_ms())
        .map_err(|why| DrainError::Lifecycle { name: name.to_owned(), why })?;
    let version = world.drains.records.get(name).map_or(0, |d| d.version);
    let condition = Condition { key: key::drain(name), version };
    Ok((vec![condition], vec![Put::new(key::drain(name), &record)]))
}

/// The next change that resumes a drain: its cordons one by one, then its record.
fn next_resumed(world: &World, name: &str) -> Result<Option<ConditionalPuts>, DrainError> {
    if record_of(world, name)?.is_active() {
        return Ok(None);
    }
    let (mut conditions, mut puts) = changed(world, name, Event::ResumeRequested)?;
    let left: Vec<Name> = world.drains.cordons_of(name).flat_map(|(_, c)| c.value.left()).cloned().collect();
    if let Some((machine, drain)) = drained_by_another(world, name, &left) {
        return Err(SelectionError::Drained { machine, drain }.into());
    }
    let (unchanged, next_fence) = fence(world);
    if let Some(((_, part), cordon)) = world.drains.cordons_of(name).find(|(_, c)| !c.value.active) {
        let record = CordonRecord { active: true, ..cordon.value.clone() };
        conditions.push(Condition { key: key::cordon(name, *part), version: cordon.version });
        puts = vec![Put::new(key::cordon(name, *part), &record), next_fence];
    }
    conditions.push(unchanged);
    Ok(Some((conditions, puts)))
}

/// The next change that forgets a drain that is over: its cordons one by one, then its record.
fn next_removed(world: &World, name: &str) -> Result<Option<ConditionalPuts>, DrainError> {
    let Some(record) = world.drains.records.get(name) else { return Ok(None) };
    if !matches!(record.value.phase, DrainPhase::Closed(_)) {
        return Err(DrainError::Lifecycle { name: name.to_owned(), why: LifecycleError::NotOver });
    }
    let over = Condition { key: key::drain(name), version: record.version };
    if let Some(((_, part), cordon)) = world.drains.cordons_of(name).next() {
        let here = Condition { key: key::cordon(name, *part), version: cordon.version };
        return Ok(Some((vec![over, here], vec![Put::delete(key::cordon(name, *part))])));
    }
    Ok(Some((vec![over], vec![Put::delete(key::drain(name))])))
}

#[cfg(test)]
#[path = "../../tests/unit/drains_command.rs"]
mod tests;
