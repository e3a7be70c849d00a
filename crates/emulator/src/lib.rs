//! An emulated site: stand-ins for everything the service speaks with, written by the
//! protocols alone. They are state machines that time is passed into, so that the same
//! code runs on a test's clock without sockets and behind HTTP on loopback.

mod balancer;
mod bucket;
mod cloud;
mod config;
mod gang;
mod history;
mod images;
mod jobs;
mod journal;
mod live;
mod schedule;
mod site;
mod state;
mod troubles;
mod users;
mod worker;

pub use balancer::Balancer;
pub use cloud::{Addresses, Cloud, CloudSettings, Event};
pub use config::{SiteError, SiteFile};
pub use gang::{Gang, GangRules, Part};
pub use history::{History, TaskEvent, TaskEventKind};
pub use images::Images;
pub use jobs::{Job, JobChange, Jobs};
pub use journal::{Journal, JournalError};
pub use live::{Controller, Emulation, LiveError};
pub use schedule::{Kind, Schedule, Trouble};
pub use site::{Sending, Site, SiteSettings};
pub use state::{Data, Outcome, StateLimits, StateService, Watch};
pub use troubles::{Step, Troubles};
pub use users::{Load, Question, Tally, Told, Users};
pub use worker::{ANSWER_WAIT, Faults, Heard, MachineInfo, Ticket, Worker, WorkerRules};
