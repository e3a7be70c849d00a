//! Messages between users and controllers.

use serde::{Deserialize, Serialize};

use crate::scan::KnownFields;

/// The kind of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks.
    #[serde(rename = "array")]
    Array,
    /// Tasks that run at the same time, all or none.
    #[serde(rename = "ensemble")]
    Gang,
    /// Tasks that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// The priority of a job, ordered from the least to the most urgent.
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

/// The description of a job, as submitted by a user.
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
    /// The ids of the jobs that have to be done before any task of this job starts.
    #[serde(rename = "awaits", default, skip_serializing_if = "Option::is_none")]
    pub dependencies: Option<Vec<String>>,
}

/// Most tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// Whether a text is a valid job id: `j-` and 1 to 18 digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|digits| (1..=18).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit()))
}

/// A submission that is not a valid job description.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct InvalidJobSpec {
    /// The id in the submission, if that is valid: the submission may repeat that of a job that was
    /// accepted.
    pub id: Option<String>,
    pub reason: String,
}

/// The names of the fields of a submission. All others are ignored.
pub(crate) const SUBMISSION_FIELDS: [&str; 21] = [
    "id", "pattern", "owner", "weave", "rank", "threads", "cpus", "gpus", "mem_gb", "bundle", "size_gb",
    "shapes", "bay", "one_zone", "spread", "loaner", "guess_s", "knot_s", "tie_s", "due_s", "awaits",
];

/// The field of a submission that tells whether it repeats an earlier one.
#[derive(Deserialize)]
struct SubmissionId {
    id: String,
}

/// The id in the body of a submission, if that is valid, whatever else the body contains.
pub fn submitted_id(body: &[u8]) -> Option<String> {
    let fields = KnownFields::copy(body, &["id"]).ok()?;
    let submission: SubmissionId = crate::decode(&fields.encoded).ok()?;
    Some(submission.id).filter(|id| is_job_id(id))
}

impl JobSpec {
    /// Decodes and validates the body of a submission.
    pub fn from_submission(body: &[u8]) -> Result<Self, InvalidJobSpec> {
        let fields = KnownFields::copy(body, &SUBMISSION_FIELDS);
        let valid = fields.map_err(|error| error.to_string()).and_then(|fields| Self::from_fields(&fields));
        valid.map_err(|reason| InvalidJobSpec { id: submitted_id(body), reason })
    }

    /// Decodes and validates the fields of a submission. The error is the reason why it is invalid.
    fn from_fields(fields: &KnownFields) -> Result<Self, String> {
        if !fields.has_text_keys_only {
            return Err("a key of the job description is not a text".into());
        }
        if fields.json_bytes > crate::BODY_LIMIT {
            return Err("the job description is longer than 64 KiB".into());
        }
        let spec: Self = crate::decode(&fields.encoded).map_err(|error| error.to_string())?;
        match spec.invalid_field() {
            None => Ok(spec),
            Some(field) => Err(format!("invalid field: {field}")),
        }
    }

    /// The name of the first invalid field, if there is one.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let is_amount = |value: f64| value.is_finite() && (0.0..=1e9).contains(&value);
        let is_text = |text: &str| !text.is_empty() && text.len() <= 200;
        let checks = [
            ("id", is_job_id(&self.id)),
            ("pattern", is_text(&self.class)),
            ("owner", is_text(&self.team)),
            ("threads", (1..=MAX_TASKS).contains(&self.tasks)),
            ("cpus", is_amount(self.cpus)),
            ("gpus", is_amount(self.gpus)),
            ("mem_gb", is_amount(self.memory_gb)),
            ("bundle", is_text(&self.image)),
            ("size_gb", is_amount(self.image_gb)),
            (
                "shapes",
                self.types
                    .as_ref()
                    .is_none_or(|types| types.len() <= 32 && types.iter().all(|name| is_text(name))),
            ),
            ("bay", self.zone.as_ref().is_none_or(|zone| is_text(zone))),
            ("guess_s", is_amount(self.estimated_runtime_s)),
            ("knot_s", is_amount(self.checkpoint_interval_s)),
            ("tie_s", is_amount(self.checkpoint_save_s)),
            ("due_s", self.deadline_s.is_none_or(is_amount)),
            ("awaits", self.dependencies.as_ref().is_none_or(|ids| ids.iter().all(|id| is_job_id(id)))),
        ];
        checks.iter().find(|(_, is_valid)| !is_valid).map(|(name, _)| *name)
    }
}

/// The state of a job.
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
    /// Whether the job can no longer change to another state.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Cancelled)
    }
}

/// The status of a job. `done` and `running` are numbers of tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    pub id: String,
    #[serde(rename = "status")]
    pub state: JobState,
    #[serde(default)]
    pub done: u32,
    #[serde(default)]
    pub running: u32,
    /// Some of the dependencies that are not done yet.
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub waits_for: Vec<String>,
}

/// The body of a response that reports an error.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: String,
}
