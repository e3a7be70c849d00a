//! The blocks `load` (streams of jobs) and `trouble` (injected faults) of a site file.

use std::time::Duration;

use serde::Deserialize;
use wire::{JobKind, JobSpec, Priority};

use super::{SiteFile, seconds};
use crate::fault_schedule::{FaultKind, ScheduledFault};
use crate::users::Load;
use crate::worker::MachineFaults;

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKindFile {
    Array,
    Gang,
    Service,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PriorityFile {
    Low,
    Normal,
    High,
    Production,
}

/// A stream of jobs that users submit at random times.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    pub team: String,
    pub kind: JobKindFile,
    pub priority: PriorityFile,
    pub per_minute: f64,
    pub tasks: u32,
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub image_gb: f64,
    #[serde(default)]
    pub types: Option<Vec<String>>,
    #[serde(default)]
    pub zone: Option<String>,
    #[serde(default)]
    pub one_zone: bool,
    #[serde(default)]
    pub spread: bool,
    #[serde(default)]
    pub spot: bool,
    #[serde(default)]
    pub estimate_s: f64,
    #[serde(default)]
    pub checkpoint_s: f64,
    #[serde(default)]
    pub save_s: f64,
    #[serde(default)]
    pub deadline_s: Option<f64>,
    /// How long a service runs before it is cancelled. Of other jobs, the share `cancelled` is
    /// cancelled at a random time within this time.
    pub stays_s: f64,
    #[serde(default)]
    pub cancelled: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    StateOutage,
    StateRefuses,
    StateSlow,
    StateLate,
    StateLost,
    CloudOutage,
    CloudSlow,
    CloudLate,
    CloudLost,
    Hang,
    Deaf,
    Mute,
    Faulty,
    Death,
    Reclaim,
    SlowRequests,
    OtherSpellings,
    CopiedStarts,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TroubleFile {
    pub kind: TroubleKind,
    /// Begin of the fault, relative to the start of the site.
    pub at_s: f64,
    #[serde(default)]
    pub for_s: f64,
    /// The share of the requests or machines that is affected; None: all of them.
    #[serde(default)]
    pub share: Option<f64>,
    /// The controller that is refused, for `state_refuses`.
    #[serde(default)]
    pub controller: Option<String>,
    /// Maximum delay, for the kinds that are slow or late.
    #[serde(default)]
    pub delay_s: f64,
}

impl SiteFile {
    /// The streams of jobs. The class of their jobs is the name of the block.
    pub fn loads(&self) -> Vec<Load> {
        let load = |(name, l): (&String, &LoadFile)| Load {
            job: l.job(name),
            per_minute: l.per_minute,
            lifetime: seconds(l.stays_s),
            cancelled: l.cancelled,
        };
        self.load.iter().map(load).collect()
    }

    pub fn scheduled_faults(&self) -> Vec<ScheduledFault> {
        let trouble = |(name, t): (&String, &TroubleFile)| {
            let (share, max_delay) = (t.share.unwrap_or(1.0), seconds(t.delay_s));
            let is_named = |n: &String| t.controller.as_ref() == Some(n);
            let caller = self.controller.keys().position(is_named).unwrap_or(usize::MAX);
            let machines = |faults| FaultKind::Machines(share, faults);
            let no_faults = MachineFaults::default();
            let kind = match t.kind {
                TroubleKind::StateOutage => FaultKind::StateOutage,
                TroubleKind::StateRefuses => FaultKind::StateRefuses(caller),
                TroubleKind::StateSlow => FaultKind::StateSlow(share, max_delay),
                TroubleKind::StateLate => FaultKind::StateLate(share, max_delay),
                TroubleKind::StateLost => FaultKind::StateLost(share),
                TroubleKind::CloudOutage => FaultKind::CloudOutage,
                TroubleKind::CloudSlow => FaultKind::CloudSlow(share, max_delay),
                TroubleKind::CloudLate => FaultKind::CloudLate(share, max_delay),
                TroubleKind::CloudLost => FaultKind::CloudLost(share),
                TroubleKind::Hang => machines(MachineFaults { hangs: true, ..no_faults }),
                TroubleKind::Deaf => machines(MachineFaults { unreachable: true, ..no_faults }),
                TroubleKind::Mute => machines(MachineFaults { reports_lost: true, ..no_faults }),
                TroubleKind::Faulty => machines(MachineFaults { tasks_fail: true, ..no_faults }),
                TroubleKind::Death => FaultKind::Deaths(share),
                TroubleKind::Reclaim => FaultKind::Reclaims(share),
                TroubleKind::SlowRequests => FaultKind::SlowRequests(share, max_delay),
                TroubleKind::OtherSpellings => FaultKind::OtherSpellings(share),
                TroubleKind::CopiedStarts => FaultKind::CopiedStarts(share, max_delay),
            };
            let (at, duration) = (seconds(t.at_s), seconds(t.for_s).max(Duration::from_millis(1)));
            ScheduledFault { name: name.clone(), kind, at, duration }
        };
        self.trouble.iter().map(trouble).collect()
    }

    pub(super) fn load_and_fault_error(&self) -> Option<(Vec<String>, String)> {
        let path =
            |block: &str, name: &String, field: &str| vec![block.to_owned(), name.clone(), field.to_owned()];
        for (name, l) in &self.load {
            let field_of = |field: &str| path("load", name, field);
            if !self.team.contains_key(&l.team) {
                return Some((field_of("team"), "is not the name of a team".into()));
            }
            if !l.per_minute.is_finite() || !(1e-3..=6000.0).contains(&l.per_minute) {
                return Some((field_of("per_minute"), "must be a number from 0.001 to 6000".into()));
            }
            if !l.stays_s.is_finite() || !(0.0..=1e9).contains(&l.stays_s) {
                return Some((field_of("stays_s"), "must be a number of 0 or more".into()));
            }
            if !(0.0..=1.0).contains(&l.cancelled) {
                return Some((field_of("cancelled"), "must be a share from 0 to 1".into()));
            }
            if let Some(field) = l.job(name).invalid_field() {
                return Some((field_of(file_field_name(field)), "is not valid for a job".into()));
            }
        }
        for (name, t) in &self.trouble {
            let field_of = |field: &str| path("trouble", name, field);
            for (field, value) in [("at_s", t.at_s), ("for_s", t.for_s), ("delay_s", t.delay_s)] {
                if !value.is_finite() || !(0.0..=1e9).contains(&value) {
                    return Some((field_of(field), "must be a number of 0 or more".into()));
                }
            }
            if t.share.is_some_and(|s| !(0.0..=1.0).contains(&s)) {
                return Some((field_of("share"), "must be a share from 0 to 1".into()));
            }
            let known = t.controller.as_ref().is_some_and(|c| self.controller.contains_key(c));
            if !known && (t.controller.is_some() || matches!(t.kind, TroubleKind::StateRefuses)) {
                return Some((field_of("controller"), "must be the name of a controller".into()));
            }
        }
        None
    }
}

/// The name in the site file of a field of a job.
fn file_field_name(field: &'static str) -> &'static str {
    match field {
        "threads" => "tasks",
        "mem_gb" => "memory_gb",
        "bundle" => "image",
        "size_gb" => "image_gb",
        "shapes" => "types",
        "bay" => "zone",
        "guess_s" => "estimate_s",
        "knot_s" => "checkpoint_s",
        "tie_s" => "save_s",
        "due_s" => "deadline_s",
        "owner" => "team",
        other => other,
    }
}

impl LoadFile {
    fn job(&self, class: &str) -> JobSpec {
        JobSpec {
            id: "j-0".into(),
            class: class.to_owned(),
            team: self.team.clone(),
            kind: match self.kind {
                JobKindFile::Array => JobKind::Array,
                JobKindFile::Gang => JobKind::Gang,
                JobKindFile::Service => JobKind::Service,
            },
            priority: match self.priority {
                PriorityFile::Low => Priority::Low,
                PriorityFile::Normal => Priority::Normal,
                PriorityFile::High => Priority::High,
                PriorityFile::Production => Priority::Production,
            },
            tasks: self.tasks,
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
            image: self.image.clone(),
            image_gb: self.image_gb,
            types: self.types.clone(),
            zone: self.zone.clone(),
            one_zone: self.one_zone,
            spread: self.spread,
            spot: self.spot,
            estimated_runtime_s: self.estimate_s,
            checkpoint_interval_s: self.checkpoint_s,
            checkpoint_save_s: self.save_s,
            deadline_s: self.deadline_s,
            dependencies: None,
        }
    }
}
