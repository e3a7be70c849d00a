//! The stand-ins in real time, behind HTTP on loopback.

mod job_file;
mod proxy;
mod services;
mod user_traffic;

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use net::{Client, Connections};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::job_file::JobFile;
use crate::balancer::Balancer;
use crate::config::{ControllerFile, SiteFile};
use crate::fault_schedule::FaultSchedule;
use crate::journal::JournalError;
use crate::site::Site;
use crate::state::StateService;
use crate::users::{UserStatistics, Users};

#[derive(Debug, thiserror::Error)]
pub enum EmulationError {
    #[error("{what}: cannot listen on {addr}: {source}")]
    Listen { what: String, addr: String, source: std::io::Error },
    #[error(transparent)]
    Journal(#[from] JournalError),
    #[error("{0}: {1}")]
    Folder(String, std::io::Error),
}

/// A mutex whose holder cannot have panicked half-way, as nothing here panics.
#[derive(Debug, Default)]
struct Locked<T>(Mutex<T>);

impl<T> Locked<T> {
    fn new(value: T) -> Self {
        Self(Mutex::new(value))
    }

    fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How often time passes for the site and for leases.
const TICK: Duration = Duration::from_millis(20);

type Listeners = Arc<Locked<HashMap<String, std::net::TcpListener>>>;

pub(crate) struct Shared {
    site: Locked<Site>,
    state: Locked<StateService>,
    balancer: Locked<Balancer>,
    schedule: Locked<FaultSchedule>,
    users: Locked<Users>,
    /// Where the controllers listen for users and workers.
    fronts: Vec<String>,
    /// The users' connections to each controller end with it.
    resets: Vec<Locked<CancellationToken>>,
    probes: Client,
    /// Keeps descriptions, progress and results of jobs, if anything is kept.
    job_file: Option<Locked<JobFile>>,
    /// Something in the state service may have changed.
    changed: Notify,
    /// A probe was answered.
    health: Notify,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Shared {
    fn reset(&self, node: usize) {
        if let Some(reset) = self.resets.get(node) {
            std::mem::take(&mut *reset.lock()).cancel();
        }
    }
}

/// Where one controller of the emulated site is to be found and finds the others.
#[derive(Debug, Clone)]
pub struct Controller {
    pub name: String,
    pub file: ControllerFile,
    /// What users use in the place of its own address.
    pub proxy_addr: String,
    /// Where it, and it alone, reaches the state service.
    pub state_addr: String,
}

/// A site that runs until it is stopped.
pub struct Emulation {
    shared: Arc<Shared>,
    pub controllers: Vec<Controller>,
    /// The load balancer.
    pub balancer_addr: String,
    pub cloud_addr: String,
}

async fn listen(what: &str, addr: &str) -> Result<(TcpListener, String), EmulationError> {
    let failed = |source| EmulationError::Listen { what: what.to_owned(), addr: addr.to_owned(), source };
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let local = listener.local_addr().map_err(failed)?.to_string();
    Ok((listener, local))
}

/// Any port of the address's host, for a machine; None if there is none left.
fn machine_port(listeners: &Listeners, host: &str, machine: &str) -> Option<String> {
    let listener = std::net::TcpListener::bind((host, 0)).ok()?;
    listener.set_nonblocking(true).ok()?;
    let addr = listener.local_addr().ok()?.to_string();
    listeners.lock().insert(machine.to_owned(), listener);
    Some(addr)
}

fn folder(site: &SiteFile) -> Result<Option<&Path>, EmulationError> {
    let Some(folder) = site.data.as_deref() else { return Ok(None) };
    std::fs::create_dir_all(folder).map_err(|e| EmulationError::Folder(folder.display().to_string(), e))?;
    Ok(Some(folder))
}

fn state_service(site: &SiteFile, now: Instant) -> Result<StateService, EmulationError> {
    let limits = site.state_limits();
    Ok(match folder(site)? {
        Some(folder) => StateService::open(limits, site.seed, &folder.join("state"), now)?,
        None => StateService::new(limits, site.seed, now),
    })
}

impl Emulation {
    /// Opens everything and begins. Of the tokio runtime it needs time and I/O.
    pub async fn start(site: &SiteFile) -> Result<Self, EmulationError> {
        let now = Instant::now();
        let (balancer, balancer_addr) = listen("listen.users", &site.listen.users).await?;
        let (cloud_listener, cloud_addr) = listen("listen.cloud", &site.listen.cloud).await?;
        let host = site.host();
        let (mut controllers, mut doors, mut states) = (Vec::new(), Vec::new(), Vec::new());
        for (name, file) in &site.controller {
            let of = |field: &str| format!("controller.{name}.{field}");
            let (proxy_listener, proxy_addr) = listen(&of("door"), &file.door).await?;
            let (state_listener, state_addr) = listen(&of("state"), &file.state).await?;
            doors.push((proxy_listener, file.front.clone()));
            states.push(state_listener);
            controllers.push(Controller { name: name.clone(), file: file.clone(), proxy_addr, state_addr });
        }
        let state = state_service(site, now)?;
        let listeners = Listeners::default();
        let l = listeners.clone();
        let addresses = Box::new(move |machine: &str| machine_port(&l, &host, machine));
        let fronts: Vec<String> = site.controller.values().map(|c| c.front.clone()).collect();
        let mut stand_ins = Site::new(site.site_settings(), addresses, now);
        let job_file = match folder(site)? {
            Some(folder) => Some(Locked::new(JobFile::open(&folder.join("jobs"), &mut stand_ins.jobs)?)),
            None => None,
        };
        let shared = Arc::new(Shared {
            site: Locked::new(stand_ins),
            job_file,
            state: Locked::new(state),
            balancer: Locked::new(Balancer::new(fronts.len(), site.seed)),
            schedule: Locked::new(FaultSchedule::new(site.scheduled_faults(), site.seed, now)),
            users: Locked::new(Users::new(site.loads(), unix_s(), site.seed, now)),
            resets: fronts.iter().map(|_| Locked::default()).collect(),
            probes: Client::new(fronts.len()),
            changed: Notify::new(),
            health: Notify::new(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            fronts,
        });
        let tasks = &shared.tasks;
        for (caller, listener) in states.into_iter().enumerate() {
            tasks.spawn(services::state(shared.clone(), listener, caller));
        }
        for (listener, front) in doors {
            tasks.spawn(proxy::door(shared.clone(), listener, front));
        }
        for node in 0..shared.fronts.len() {
            tasks.spawn(proxy::probes(shared.clone(), node));
        }
        tasks.spawn(services::cloud(shared.clone(), cloud_listener));
        tasks.spawn(user_traffic::users(shared.clone(), balancer_addr.clone()));
        tasks.spawn(services::clock(shared.clone(), listeners));
        tasks.spawn(proxy::balancer(shared.clone(), balancer));
        Ok(Self { shared, controllers, balancer_addr, cloud_addr })
    }

    /// Waits until the load balancer takes every controller for healthy.
    pub async fn wait_until_all_healthy(&self) {
        loop {
            let next = self.shared.health.notified();
            if (0..self.shared.fronts.len()).all(|n| self.shared.balancer.lock().is_healthy(n)) {
                return;
            }
            next.await;
        }
    }

    /// How many machines are up, and the money spent.
    pub fn summary(&self) -> (usize, f64) {
        let mut site = self.shared.site.lock();
        (site.workers().count(), site.cloud.spent(Instant::now()))
    }

    /// What has become of the emulated users' jobs.
    pub fn user_statistics(&self) -> UserStatistics {
        self.shared.users.lock().user_statistics().clone()
    }

    /// What is on the machines, ended tasks that are still reported too.
    pub fn tasks(&self) -> Vec<wire::TaskStatus> {
        self.shared.site.lock().workers().flat_map(|w| w.tasks()).collect()
    }

    /// Changes the site itself, as a test wants it.
    pub fn with_site<T>(&self, change: impl FnOnce(&mut Site) -> T) -> T {
        change(&mut self.shared.site.lock())
    }

    /// Changes what goes wrong with the state service. The troubles of the site's file, if any
    /// begin or end later, take its place.
    pub fn set_state_faults(&self, troubles: crate::service_faults::ServiceFaults) {
        self.shared.state.lock().set_faults(troubles, Instant::now());
        self.shared.changed.notify_waiters();
    }

    /// A record in the state service.
    pub fn state_value(&self, key: &str) -> Option<rmpv::Value> {
        self.shared.state.lock().data().keys.get(key).map(|e| e.value.clone())
    }

    /// Closes everything.
    pub async fn stop(self) {
        self.shared.stop.cancel();
        self.shared.tasks.close();
        // Requests that are not answered on purpose need not be waited for.
        let _ = tokio::time::timeout(Duration::from_millis(500), self.shared.tasks.wait()).await;
    }
}

/// What names begin with that must not come back in a later run.
fn unix_s() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |d| d.as_secs())
}

fn connections() -> Arc<Connections> {
    Arc::new(Connections::new(4096, &[], |_| 0))
}
