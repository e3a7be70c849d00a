//! The command `sageloom job`, for users.

use std::path::PathBuf;
use std::time::Duration;

use net::{Client, NetError, Response};
use wire::{ErrorBody, JobSpec, JobStatus};

/// Arguments of `sageloom job`.
#[derive(clap::Args)]
pub struct JobArgs {
    /// The address of a controller, or of a load balancer in front of the controllers.
    #[arg(
        long,
        value_name = "IP:PORT",
        env = "SAGELOOM_CONTROLLER",
        global = true,
        default_value = "127.0.0.1:8080"
    )]
    controller: String,
    #[command(subcommand)]
    command: JobCommand,
}

#[derive(clap::Subcommand)]
enum JobCommand {
    /// Submit the job that a TOML file describes. Its fields have the names of the protocol.
    Submit {
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Show the status of a job.
    Status { id: String },
    /// Cancel a job.
    Withdraw { id: String },
}

/// Why the command failed. The message is one line for the user.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The job's file cannot be read.
    #[error("{0}: cannot read the file: {1}")]
    ReadFile(String, std::io::Error),
    /// The file does not describe a valid job.
    #[error("{file}: {reason}")]
    InvalidJob {
        /// The path of the file.
        file: String,
        /// What is wrong with its contents.
        reason: String,
    },
    /// The controller's address is malformed.
    #[error("--controller: must be an IP address and a port like 127.0.0.1:8080, not \"{0}\"")]
    InvalidAddress(String),
    /// The job id is malformed.
    #[error("\"{0}\" is not a job id: expected j- and 1 to 18 digits")]
    InvalidJobId(String),
    /// The controller did not answer.
    #[error(transparent)]
    Network(#[from] NetError),
    /// The controller refused the request, or its answer cannot be decoded.
    #[error("the controller answered {status}: {reason}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The reason that the controller gave, or the decoding error.
        reason: String,
    },
}

/// How long to wait for the controller's answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the command and prints the job's status.
pub async fn run(args: JobArgs) -> Result<(), ClientError> {
    if args.controller.parse::<std::net::SocketAddr>().is_err() {
        return Err(ClientError::InvalidAddress(args.controller));
    }
    let (method, path, body) = match args.command {
        JobCommand::Submit { file } => ("POST", "/v1/jobs".to_owned(), wire::encode(&read_job(&file)?)),
        JobCommand::Status { id } => ("GET", format!("/v1/jobs/{}", validate_job_id(id)?), Vec::new()),
        JobCommand::Withdraw { id } => {
            ("POST", format!("/v1/jobs/{}/withdraw", validate_job_id(id)?), Vec::new())
        }
    };
    let answer = Client::new(1)
        .request(&args.controller, method, &path, body, wire::BODY_LIMIT, REQUEST_TIMEOUT)
        .await?;
    println!("{}", describe_answer(&answer)?);
    Ok(())
}

fn validate_job_id(id: String) -> Result<String, ClientError> {
    if wire::is_job_id(&id) { Ok(id) } else { Err(ClientError::InvalidJobId(id)) }
}

fn read_job(path: &std::path::Path) -> Result<JobSpec, ClientError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| ClientError::ReadFile(file.clone(), e))?;
    let spec: JobSpec = toml::from_str(&text).map_err(|e| ClientError::InvalidJob {
        file: file.clone(),
        reason: e.message().replace('\n', " "),
    })?;
    match spec.invalid_field() {
        Some(field) => Err(ClientError::InvalidJob { file, reason: format!("{field}: invalid value") }),
        None => Ok(spec),
    }
}

fn describe_answer(answer: &Response) -> Result<String, ClientError> {
    if matches!(answer.status, 200 | 201) {
        let status: JobStatus = wire::decode(&answer.body)
            .map_err(|e| ClientError::Refused { status: answer.status, reason: e.to_string() })?;
        let state = match status.state {
            wire::JobState::Queued => "queued",
            wire::JobState::Running => "running",
            wire::JobState::Done => "done",
            wire::JobState::Cancelled => "withdrawn",
        };
        let dependencies = if status.waits_for.is_empty() {
            String::new()
        } else {
            format!(", waits for {}", status.waits_for.join(" "))
        };
        let JobStatus { id, done, running, .. } = status;
        return Ok(format!("{id} {state}, {done} tasks done, {running} running{dependencies}"));
    }
    let reason =
        wire::decode::<ErrorBody>(&answer.body).map_or_else(|_| "no reason given".to_owned(), |e| e.error);
    Err(ClientError::Refused { status: answer.status, reason })
}

#[cfg(test)]
#[path = "../tests/unit/client.rs"]
mod tests;
