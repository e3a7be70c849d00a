//! The user's side: `sageloom job`.

use std::path::PathBuf;
use std::time::Duration;

use net::{Answer, Client, NetError};
use wire::{ErrorBody, JobSpec, JobStatus};

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
    verb: JobVerb,
}

#[derive(clap::Subcommand)]
enum JobVerb {
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

#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("{file}: {why}")]
    Job { file: String, why: String },
    #[error("--controller: \"{0}\" is not an IP address and a port")]
    Address(String),
    #[error("\"{0}\" is not a job id (j- and digits)")]
    Id(String),
    #[error(transparent)]
    Net(#[from] NetError),
    #[error("the controller answered {status}: {why}")]
    Refused { status: u16, why: String },
}

const DEADLINE: Duration = Duration::from_secs(5);

pub async fn run(args: JobArgs) -> Result<(), ClientError> {
    if args.controller.parse::<std::net::SocketAddr>().is_err() {
        return Err(ClientError::Address(args.controller));
    }
    let (method, path, body) = match args.verb {
        JobVerb::Submit { file } => ("POST", "/v1/jobs".to_owned(), wire::encode(&read_job(&file)?)),
        JobVerb::Status { id } => ("GET", format!("/v1/jobs/{}", checked(id)?), Vec::new()),
        JobVerb::Withdraw { id } => ("POST", format!("/v1/jobs/{}/withdraw", checked(id)?), Vec::new()),
    };
    let answer =
        Client::new(1).request(&args.controller, method, &path, body, wire::BODY_LIMIT, DEADLINE).await?;
    println!("{}", describe(&answer)?);
    Ok(())
}

fn checked(id: String) -> Result<String, ClientError> {
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

fn describe(answer: &Answer) -> Result<String, ClientError> {
    if matches!(answer.status, 200 | 201) {
        let status: JobStatus = wire::decode(&answer.body)
            .map_err(|e| ClientError::Refused { status: answer.status, why: e.to_string() })?;
        let state = match status.state {
            wire::JobState::Queued => "queued",
            wire::JobState::Running => "running",
            wire::JobState::Done => "done",
            wire::JobState::Cancelled => "withdrawn",
        };
        let waits = match status.waits_for.is_empty() {
            true => String::new(),
            false => format!(", waits for {}", status.waits_for.join(" ")),
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
