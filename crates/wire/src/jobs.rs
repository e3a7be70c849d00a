//! Users -> controllers.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

/// Ordered from the least to the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "idle")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "prod")]
    Production,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: String,
    #[serde(rename = "pattern")]
    pub class: String,
    #[serde(rename = "owner")]
    pub team: String,
    #[serde(rename = "weave", deserialize_with = "crate::by_name")]
    pub kind: JobKind,
    #[serde(rename = "rank", deserialize_with = "crate::by_name")]
    pub priority: Priority,
    #[serde(rename = "threads")]
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    #[serde(rename = "shapes", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "bay", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "loaner")]
    pub spot: bool,
    #[serde(rename = "guess_s")]
    pub estimated_runtime_s: f64,
    #[serde(rename = "knot_s")]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "tie_s")]
    pub checkpoint_save_s: f64,
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts.
    #[serde(rename = "awaits", default, skip_serializing_if = "Option::is_none")]
    pub dependencies: Option<Vec<String>>,
}

pub const MAX_TASKS: u32 = 100_000;

/// Whether a text has the form that all job ids have: `j-` and digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|d| (1..=18).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

/// A submission that describes no job.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct InvalidJobSpec {
    /// The id that it names all the same, if it is one: it may repeat a job that was
    /// accepted.
    pub id: Option<String>,
    pub reason: String,
}

/// What of a submission tells whether it is a repetition.
#[derive(Deserialize)]
struct Named {
    id: String,
}

impl JobSpec {
    /// Reads a submission's body.
    pub fn from_submission(body: &[u8]) -> Result<Self, InvalidJobSpec> {
        // A list of the fields' values would be read as well, and is none of the protocol's.
        if !crate::is_map(body) {
            return Err(InvalidJobSpec { id: None, reason: "not a map".into() });
        }
        let reason = match crate::decode::<Self>(body) {
            Ok(spec) => match spec.invalid_field() {
                None => return Ok(spec),
                Some(field) => format!("invalid field: {field}"),
            },
            Err(e) => e.to_string(),
        };
        let id = crate::decode::<Named>(body).ok().map(|n| n.id).filter(|id| is_job_id(id));
        Err(InvalidJobSpec { id, reason })
    }

    /// Names the first invalid field, if there is one.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let amount = |v: f64| v.is_finite() && (0.0..=1e9).contains(&v);
        let text = |s: &str| !s.is_empty() && s.len() <= 200;
        let checks = [
            ("id", is_job_id(&self.id)),
            ("pattern", text(&self.class)),
            ("owner", text(&self.team)),
            ("threads", (1..=MAX_TASKS).contains(&self.tasks)),
            ("cpus", amount(self.cpus)),
            ("gpus", amount(self.gpus)),
            ("mem_gb", amount(self.memory_gb)),
            ("bundle", text(&self.image)),
            ("size_gb", amount(self.image_gb)),
            ("shapes", self.types.as_ref().is_none_or(|t| t.len() <= 32 && t.iter().all(|s| text(s)))),
            ("bay", self.zone.as_ref().is_none_or(|z| text(z))),
            ("guess_s", amount(self.estimated_runtime_s)),
            ("knot_s", amount(self.checkpoint_interval_s)),
            ("tie_s", amount(self.checkpoint_save_s)),
            ("due_s", self.deadline_s.is_none_or(amount)),
            ("awaits", self.dependencies.as_ref().is_none_or(|n| n.iter().all(|id| is_job_id(id)))),
        ];
        checks.iter().find(|(_, ok)| !ok).map(|(name, _)| *name)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    #[serde(rename = "queued")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl JobState {
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Cancelled)
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    pub id: String,
    #[serde(rename = "status")]
    pub state: JobState,
    #[serde(default)]
    pub done: u32,
    #[serde(default)]
    pub running: u32,
    /// Some of the jobs that it still waits for.
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub waits_for: Vec<String>,
}

/// The body of an answer that is not a success.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: String,
}
