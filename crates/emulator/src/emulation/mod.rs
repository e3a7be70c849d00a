//! Runs an emulated site in real time, with its services reachable over HTTP on loopback.

mod job_file;
mod proxy;
mod services;
mod user_traffic;

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
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

/// A mutex without poisoning: nothing here panics while it holds the lock.
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

/// How often the site and the leases of the state service advance.
const TICK: Duration = Duration::from_millis(20);

/// Listeners of machines that are rented and not yet up, by the machine's name.
type Listeners = Arc<Locked<HashMap<String, std::net::TcpListener>>>;

/// The state that the tasks of an emulation share.
pub(crate) struct Shared {
    site: Locked<Site>,
    state: Locked<StateService>,
    balancer: Locked<Balancer>,
    fault_schedule: Locked<FaultSchedule>,
    users: Locked<Users>,
    /// Addresses at which the controllers listen for users and workers.
    fronts: Vec<String>,
    /// Cancelling a controller's token closes the users' connections to it.
    connection_resets: Vec<Locked<CancellationToken>>,
    probes: Client,
    /// The file of jobs, if the site stores its data.
    job_file: Option<Locked<JobFile>>,
    /// Notified when the data or the faults of the state service may have changed.
    state_changed: Notify,
    /// Notified after each health probe.
    probe_finished: Notify,
    /// Copies of start commands that have arrived at their machines.
    copies_arrived: AtomicU64,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Shared {
    fn reset(&self, node: usize) {
        if let Some(reset) = self.connection_resets.get(node) {
            std::mem::take(&mut *reset.lock()).cancel();
        }
    }
}

/// The addresses of one controller of the emulated site.
#[derive(Debug, Clone)]
pub struct Controller {
    pub name: String,
    pub file: ControllerFile,
    /// Address of the proxy that users use instead of the controller's own address.
    pub proxy_addr: String,
    /// Address at which only this controller reaches the state service.
    pub state_addr: String,
}

/// A running emulated site.
pub struct Emulation {
    shared: Arc<Shared>,
    pub controllers: Vec<Controller>,
    /// Address of the load balancer.
    pub balancer_addr: String,
    pub cloud_addr: String,
}

async fn listen(what: &str, addr: &str) -> Result<(TcpListener, String), EmulationError> {
    let failed = |source| EmulationError::Listen { what: what.to_owned(), addr: addr.to_owned(), source };
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let local = listener.local_addr().map_err(failed)?.to_string();
    Ok((listener, local))
}

/// Listens on any free port of the host for a machine; None if there is none.
fn machine_port(listeners: &Listeners, host: &str, machine: &str) -> Option<String> {
    let listener = std::net::TcpListener::bind((host, 0)).ok()?;
    listener.set_nonblocking(true).ok()?;
    let addr = listener.local_addr().ok()?.to_string();
    listeners.lock().insert(machine.to_owned(), listener);
    Some(addr)
}

fn data_folder(site: &SiteFile) -> Result<Option<&Path>, EmulationError> {
    let Some(data_folder) = site.data.as_deref() else { return Ok(None) };
    std::fs::create_dir_all(data_folder)
        .map_err(|e| EmulationError::Folder(data_folder.display().to_string(), e))?;
    Ok(Some(data_folder))
}

fn state_service(site: &SiteFile, now: Instant) -> Result<StateService, EmulationError> {
    let limits = site.state_limits();
    Ok(match data_folder(site)? {
        Some(data_folder) => StateService::open(limits, site.seed, &data_folder.join("state"), now)?,
        None => StateService::new(limits, site.seed, now),
    })
}

impl Emulation {
    /// Opens all listeners and files and starts the emulation. The tokio runtime must have time and
    /// I/O enabled.
    pub async fn start(site: &SiteFile) -> Result<Self, EmulationError> {
        let now = Instant::now();
        let (balancer, balancer_addr) = listen("listen.users", &site.listen.users).await?;
        let (cloud_listener, cloud_addr) = listen("listen.cloud", &site.listen.cloud).await?;
        let host = site.host();
        let (mut controllers, mut proxy_listeners, mut state_listeners) =
            (Vec::new(), Vec::new(), Vec::new());
        for (name, file) in &site.controller {
            let setting_name = |field: &str| format!("controller.{name}.{field}");
            let (proxy_listener, proxy_addr) = listen(&setting_name("door"), &file.door).await?;
            let (state_listener, state_addr) = listen(&setting_name("state"), &file.state).await?;
            proxy_listeners.push((proxy_listener, file.front.clone()));
            state_listeners.push(state_listener);
            controllers.push(Controller { name: name.clone(), file: file.clone(), proxy_addr, state_addr });
        }
        let state = state_service(site, now)?;
        let listeners = Listeners::default();
        let machine_listeners = listeners.clone();
        let addresses = Box::new(move |machine: &str| machine_port(&machine_listeners, &host, machine));
        let fronts: Vec<String> = site.controller.values().map(|c| c.front.clone()).collect();
        let mut emulated_site = Site::new(site.site_settings(), addresses, now);
        let job_file = match data_folder(site)? {
            Some(data_folder) => {
                Some(Locked::new(JobFile::open(&data_folder.join("jobs"), &mut emulated_site.jobs)?))
            }
            None => None,
        };
        let shared = Arc::new(Shared {
            site: Locked::new(emulated_site),
            job_file,
            state: Locked::new(state),
            balancer: Locked::new(Balancer::new(fronts.len(), site.seed)),
            fault_schedule: Locked::new(FaultSchedule::new(site.scheduled_faults(), site.seed, now)),
            users: Locked::new(Users::new(site.loads(), unix_time_s(), site.seed, now)),
            connection_resets: fronts.iter().map(|_| Locked::default()).collect(),
            probes: Client::new(fronts.len()),
            state_changed: Notify::new(),
            probe_finished: Notify::new(),
            copies_arrived: AtomicU64::new(0),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            fronts,
        });
        let tasks = &shared.tasks;
        for (caller, listener) in state_listeners.into_iter().enumerate() {
            tasks.spawn(services::serve_state(shared.clone(), listener, caller));
        }
        for (listener, front) in proxy_listeners {
            tasks.spawn(proxy::controller_proxy(shared.clone(), listener, front));
        }
        for node in 0..shared.fronts.len() {
            tasks.spawn(proxy::probe_node(shared.clone(), node));
        }
        tasks.spawn(services::serve_cloud(shared.clone(), cloud_listener));
        tasks.spawn(user_traffic::run_users(shared.clone(), balancer_addr.clone()));
        tasks.spawn(services::run_clock(shared.clone(), listeners));
        tasks.spawn(proxy::balancer_proxy(shared.clone(), balancer));
        Ok(Self { shared, controllers, balancer_addr, cloud_addr })
    }

    /// Waits until the load balancer considers every controller healthy.
    pub async fn wait_until_all_healthy(&self) {
        loop {
            let next = self.shared.probe_finished.notified();
            if (0..self.shared.fronts.len()).all(|n| self.shared.balancer.lock().is_healthy(n)) {
                return;
            }
            next.await;
        }
    }

    /// The number of machines that are up, and the money spent.
    pub fn summary(&self) -> (usize, f64) {
        let mut site = self.shared.site.lock();
        (site.workers().count(), site.cloud.spent(Instant::now()))
    }

    /// The outcomes of the emulated users' jobs.
    pub fn user_statistics(&self) -> UserStatistics {
        self.shared.users.lock().user_statistics().clone()
    }

    /// The number of copies of start commands that have arrived at their machines.
    pub fn copies_arrived(&self) -> u64 {
        self.shared.copies_arrived.load(Ordering::Relaxed)
    }

    /// The tasks on all machines, including exited ones that are still reported.
    pub fn tasks(&self) -> Vec<wire::TaskStatus> {
        self.shared.site.lock().workers().flat_map(|w| w.tasks()).collect()
    }

    /// Gives a test access to the site.
    pub fn with_site<T>(&self, change: impl FnOnce(&mut Site) -> T) -> T {
        change(&mut self.shared.site.lock())
    }

    /// Replaces the injected faults of the state service. The next begin or end of a fault of the
    /// site file replaces them again.
    pub fn set_state_faults(&self, faults: crate::service_faults::ServiceFaults) {
        self.shared.state.lock().set_faults(faults, Instant::now());
        self.shared.state_changed.notify_waiters();
    }

    /// The value of a key in the state service.
    pub fn state_value(&self, key: &str) -> Option<rmpv::Value> {
        self.shared.state.lock().data().keys.get(key).map(|e| e.value.clone())
    }

    /// Stops the emulation and closes all its connections.
    pub async fn stop(self) {
        self.shared.stop.cancel();
        self.shared.tasks.close();
        // Some requests are deliberately never answered, so the wait has a limit.
        let _ = tokio::time::timeout(Duration::from_millis(500), self.shared.tasks.wait()).await;
    }
}

/// The current Unix time, used as a prefix of names that later runs must not reuse.
fn unix_time_s() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |d| d.as_secs())
}

fn connections() -> Arc<Connections> {
    Arc::new(Connections::new(4096, &[], |_| 0))
}
