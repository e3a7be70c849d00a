//! An emulated site: implementations of everything the scheduler communicates with (users, load
//! balancer, workers, cloud, state service), written from the protocol documents alone. They are
//! state machines that get the current time as an argument, so the same code runs on a test's
//! clock without sockets and over HTTP on loopback.

mod balancer;
mod cloud;
mod config;
mod emulation;
mod fault_schedule;
mod gang;
mod history;
mod image_cache;
mod jobs;
mod journal;
mod service_faults;
mod site;
mod spelling;
mod state;
mod token_bucket;
mod users;
mod worker;

pub use balancer::Balancer;
pub use cloud::{Addresses, Cloud, CloudSettings, MachineEvent};
pub use config::{SiteError, SiteFile};
pub use emulation::{Controller, Emulation, EmulationError};
pub use fault_schedule::{FaultKind, FaultSchedule, ScheduledFault};
pub use gang::{Gang, GangRules, GangTaskState};
pub use history::{History, TaskEvent, TaskEventKind};
pub use image_cache::ImageCache;
pub use jobs::{Job, JobChange, Jobs};
pub use journal::{Journal, JournalError};
pub use service_faults::{RequestOutcome, ServiceFaults};
pub use site::{OutgoingReport, Site, SiteSettings};
pub use spelling::Spelling;
pub use state::{Data, ExecutionOutcome, StateLimits, StateService, Watch};
pub use users::{Load, UserFaults, UserRequest, UserResponse, UserStatistics, Users};
pub use worker::{MachineFaults, MachineInfo, REPORT_TIMEOUT, ReportOutcome, Ticket, Worker, WorkerRules};
