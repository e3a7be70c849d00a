//! An emulated site: stand-ins for everything the service speaks with, written by the
//! protocols alone. They are state machines that time is passed into, so that the same
//! code runs on a test's clock without sockets and behind HTTP on loopback.

mod balancer;
mod bucket;
mod cloud;
mod config;
mod emulation;
mod fault_schedule;
mod gang;
mod history;
mod images;
mod jobs;
mod journal;
mod service_faults;
mod site;
mod state;
mod users;
mod worker;

pub use balancer::Balancer;
pub use cloud::{Addresses, Cloud, CloudSettings, Event};
pub use config::{SiteError, SiteFile};
pub use emulation::{Controller, Emulation, EmulationError};
pub use fault_schedule::{FaultKind, FaultSchedule, ScheduledFault};
pub use gang::{Gang, GangRules, Part};
pub use history::{History, TaskEvent, TaskEventKind};
pub use images::Images;
pub use jobs::{Job, JobChange, Jobs};
pub use journal::{Journal, JournalError};
pub use service_faults::{ServiceFaults, Step};
pub use site::{Sending, Site, SiteSettings};
pub use state::{Data, Outcome, StateLimits, StateService, Watch};
pub use users::{Load, Question, Told, UserStatistics, Users};
pub use worker::{ANSWER_WAIT, Heard, MachineFaults, MachineInfo, Ticket, Worker, WorkerRules};
