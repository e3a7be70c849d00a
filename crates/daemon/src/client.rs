//! The users' command: `sageloom job`.

use std::path::PathBuf;
use std::time::Duration;

use net::{Client, NetError, Response};
use wire::{ErrorBody, JobSpec, JobStatus};

/// Arguments of `sageloom job`.
#[derive(clap::Args)]
pub struct JobArgs {
    /// A controller, or the load balancer before them.
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
    /// Submit the job that a TOML file describes, in the fields of the protocol.
    Submit {
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Show a job's state.
    Status { id: String },
    /// Cancel a job.
    Withdraw { id: String },
}

/// Why the command failed: one line for its user.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The job's file cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The job's file describes no valid job.
    #[error("{file}: {why}")]
    Job {
        /// The file.
        file: String,
        /// What is wrong with it.
        why: String,
    },
    /// The controller's address is malformed.
    #[error("--controller: \"{0}\" is not an IP address and a port")]
    Address(String),
    /// The job id is malformed.
    #[error("\"{0}\" is not a job id (j- and digits)")]
    Id(String),
    /// The controller did not answer.
    #[error(transparent)]
    Net(#[from] NetError),
    /// The controller refused the request.
    #[error("the controller answered {status}: {why}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// What the controller says.
        why: String,
    },
}

/// How long an answer is waited for.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Carries out the command and prints the job's state.
pub async fn run(args: JobArgs) -> Result<(), ClientError> {
    if args.controller.parse::<std::net::SocketAddr>().is_err() {
        return Err(ClientError::Address(args.controller));
    }
    let (method, path, body) = match args.command {
        JobCommand::Submit { file } => ("POST", "/v1/jobs".to_owned(), wire::encode(&read_job(&file)?)),
        JobCommand::Status { id } => ("GET", format!("/v1/jobs/{}", validated(id)?), Vec::new()),
        JobCommand::Withdraw { id } => ("POST", format!("/v1/jobs/{}/withdraw", validated(id)?), Vec::new()),
    };
    let answer = Client::new(1)
        .request(&args.controller, method, &path, body, wire::BODY_LIMIT, REQUEST_TIMEOUT)
        .await?;
    println!("{}", describe(&answer)?);
    Ok(())
}

fn validated(id: String) -> Result<String, ClientError> {
    if wire::is_job_id(&id) { Ok(id) } else { Err(ClientError::Id(id)) }
}

fn read_job(path: &std::path::Path) -> Result<JobSpec, ClientError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| ClientError::Read(file.clone(), e))?;
    let spec: JobSpec = toml::from_str(&text)
        .map_err(|e| ClientError::Job { file: file.clone(), why: e.message().replace('\n', " ") })?;
    match spec.invalid_field() {
        Some(field) => Err(ClientError::Job { file, why: format!("{field}: invalid value") }),
        None => Ok(spec),
    }
}

fn describe(answer: &Response) -> Result<String, ClientError> {
    if matches!(answer.status, 200 | 201) {
        let status: JobStatus = wire::decode(&answer.body)
            .map_err(|e| ClientError::Refused { status: answer.status, why: e.to_string() })?;
        let state = match status.state {
            wire::JobState::Queued => "queued",
            wire::JobState::Running => "running",
            wire::JobState::Done => "done",
            wire::JobState::Cancelled => "withdrawn",
        };
        let waits = if status.waits_for.is_empty() {
            String::new()
        } else {
            format!(", waits for {}", status.waits_for.join(" "))
        };
        let JobStatus { id, done, running, .. } = status;
        return Ok(format!("{id} {state}, {done} tasks done, {running} running{waits}"));
    }
    let why =
        wire::decode::<ErrorBody>(&answer.body).map_or_else(|_| "no reason given".to_owned(), |e| e.error);
    Err(ClientError::Refused { status: answer.status, why })
}

#[cfg(test)]
#[path = "../tests/unit/client.rs"]
mod tests;
