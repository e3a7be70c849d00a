//! The operators' side: `sageloom drain`. It reads and writes the records, as controllers do;
//! these carry the drain out, whoever leads.

mod changes;

use std::path::PathBuf;
use std::time::Duration;

use cloud::CloudClient;
use drain::feasibility::{self, Blocker};
use drain::lifecycle::{Event, LifecycleError};
use drain::selection::{Selection, SelectionError, select};
use drain::step::Machine;
use drain::view;
use net::Client;
use sched::drain_records::{CapacitySearch, DRAIN_SCHEMA, DrainPhase, DrainRecord, UnsavedWork};
use sched::hash::HashMap;
use sched::records::Name;
use sched::replica::Replica;
use store::{KeyValueClient, KeyWrite, StoreError, TxnOutcome, key};
use tokio::time::sleep;
use wire::Condition;

use super::report;
use crate::controller::wall_ms;
use crate::operators::Operators;
use crate::read_records::read_records;
use crate::settings::{Settings, SettingsError};
use changes::{
    ConditionalPuts, changed, known_machines, next_cordon, next_removed, next_resumed, pieces, record_of,
    repeated, without_cordons_of,
};

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
const MEMORY_BYTES: usize = 256 << 20;

/// Runs the command.
pub async fn run(args: DrainArgs) -> Result<(), DrainError> {
    let settings = args.config.as_deref().map(Settings::load).transpose()?;
    let (state, cloud) = addresses(&args, settings.as_ref())?;
    let request = |machines, how| Request::new(machines, how, settings.as_ref());
    let cloud = cloud.map(|addr| CloudClient::new(Client::new(1), addr));
    let service = Service::new(KeyValueClient::new(Client::new(1), state, MEMORY_BYTES), cloud);
    match args.verb {
        DrainVerb::Start { name, machines, how, as_far_as_possible } => {
            let request = request(machines, how)?;
            service.start(&checked(name)?, &request, as_far_as_possible).await?;
        }
        DrainVerb::Plan { machines, how } => service.plan(&request(machines, how)?).await?,
        DrainVerb::List => service.list().await?,
        DrainVerb::Status { name } => service.status(&checked(name)?).await?,
        DrainVerb::Stop { name } => service.stop(&checked(name)?).await?,
        DrainVerb::Resume { name } => service.resume(&checked(name)?).await?,
        DrainVerb::Remove { name } => service.remove(&checked(name)?).await?,
    }
    Ok(())
}

/// Where the state service and the cloud are.
fn addresses(args: &DrainArgs, settings: Option<&Settings>) -> Result<(String, Option<String>), DrainError> {
    let external = settings.map(|s| &s.external);
    let state = args.state.clone().or_else(|| external.map(|e| e.state.clone()));
    let state = state.ok_or(DrainError::NoState)?;
    let cloud = args.cloud.clone().or_else(|| external.map(|e| e.cloud.clone()));
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
    fn new(machines: SelectionArgs, how: HowArgs, settings: Option<&Settings>) -> Result<Self, DrainError> {
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
        let operators = match &how.operators {
            Some(file) => {
                let operators = Operators::load(file)?;
                if let Some(settings) = settings {
                    operators.check_teams(&file.display().to_string(), settings)?;
                }
                operators
            }
            None => Operators::default(),
        };
        let HowArgs { patience_s, give_up_s, unsaved, .. } = how;
        Ok(Self { selection, patience_s, give_up_s, unsaved: unsaved.into(), operators })
    }

    fn blockers(&self, world: &Replica, machines: &[Name]) -> Vec<Blocker> {
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
            capacity_search: CapacitySearch::default(),
            obstacle: None,
        }
    }
}

fn with_units(world: &Replica, machines: &[Name]) -> Vec<Machine> {
    let machine = |name: &Name| Machine { units: view::units_on(world, name), name: name.clone() };
    machines.iter().map(machine).collect()
}

/// What came of one try to change records.
enum Tried {
    Done,
    /// They are newer than they were read.
    Newer,
}

/// The services that a command speaks with.
pub(crate) struct Service {
    state: KeyValueClient,
    cloud: Option<CloudClient>,
}

impl Service {
    pub(crate) fn new(state: KeyValueClient, cloud: Option<CloudClient>) -> Self {
        Self { state, cloud }
    }

    async fn world(&self) -> Result<Replica, DrainError> {
        let mut tries = 0;
        loop {
            match read_records(&self.state).await {
                Ok((world, _)) => return Ok(world),
                Err(StoreError::RateLimited) if tries < TRIES => tries += 1,
                Err(e) => return Err(DrainError::NotRead(e)),
            }
            sleep(PAUSE).await;
        }
    }

    async fn commit(&self, conditions: Vec<Condition>, puts: Vec<KeyWrite>) -> Result<Tried, DrainError> {
        let mut tries = 0;
        loop {
            match self.state.txn(conditions.clone(), puts.clone()).await {
                Ok(TxnOutcome::Committed { .. }) => return Ok(Tried::Done),
                Ok(TxnOutcome::Conflict { .. }) => return Ok(Tried::Newer),
                Err(StoreError::RateLimited) if tries < TRIES => tries += 1,
                Err(e) => return Err(DrainError::NotWritten(e)),
            }
            sleep(PAUSE).await;
        }
    }

    /// Reads the records, changes them, and does so again if they were newer. `step` gives
    /// nothing once all is as it should be.
    async fn change(
        &self,
        step: impl Fn(&Replica) -> Result<Option<ConditionalPuts>, DrainError>,
    ) -> Result<Replica, DrainError> {
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

#[cfg(test)]
#[path = "../../../tests/unit/drains_command.rs"]
mod tests;
