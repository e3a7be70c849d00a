//! `sageloom drain`, the operators' command. It only reads and writes records, as controllers do; the
//! leader carries out the drains.

mod args;
mod changes;
mod error;
mod request;
mod service;

use cloud::CloudClient;
use net::Client;
use store::KeyValueClient;

use crate::settings::Settings;
pub use args::DrainArgs;
use args::DrainVerb;
pub(crate) use changes::Feasibility;
pub use error::DrainError;
pub(crate) use request::Request;
pub(crate) use service::Service;

/// The most bytes of a response of the key-value store.
const MAX_RESPONSE_BYTES: usize = 256 << 20;
/// The longest name of a drain, in characters.
const MAX_NAME_CHARS: usize = 40;

/// Runs `sageloom drain`.
pub async fn run(args: DrainArgs) -> Result<(), DrainError> {
    let settings = args.config.as_deref().map(Settings::load).transpose()?;
    let (state, cloud) = addresses(&args, settings.as_ref())?;
    let request = |machines, policy| Request::new(machines, policy, settings.as_ref());
    let cloud = cloud.map(|addr| CloudClient::new(Client::new(1), addr));
    let service = Service::new(KeyValueClient::new(Client::new(1), state, MAX_RESPONSE_BYTES), cloud);
    match args.verb {
        DrainVerb::Start { name, machines, policy, as_far_as_possible } => {
            let feasibility =
                if as_far_as_possible { Feasibility::NotRequired } else { Feasibility::Required };
            let request = request(machines, policy)?;
            service.start(&validate_name(name)?, &request, feasibility).await?;
        }
        DrainVerb::Plan { machines, policy } => service.plan(&request(machines, policy)?).await?,
        DrainVerb::List => service.list().await?,
        DrainVerb::Status { name } => service.status(&validate_name(name)?).await?,
        DrainVerb::Stop { name } => service.stop(&validate_name(name)?).await?,
        DrainVerb::Resume { name } => service.resume(&validate_name(name)?).await?,
        DrainVerb::Remove { name } => service.remove(&validate_name(name)?).await?,
    }
    Ok(())
}

/// The addresses of the key-value store and, if given, of the cloud.
fn addresses(args: &DrainArgs, settings: Option<&Settings>) -> Result<(String, Option<String>), DrainError> {
    let external = settings.map(|s| &s.external);
    let state = args.state.clone().or_else(|| external.map(|e| e.state.clone()));
    let state = state.ok_or(DrainError::NoState)?;
    let cloud = args.cloud.clone().or_else(|| external.map(|e| e.cloud.clone()));
    for (option, value) in [("--state", Some(&state)), ("--cloud", cloud.as_ref())] {
        let invalid = value.filter(|v| v.parse::<std::net::SocketAddr>().is_err());
        if let Some(value) = invalid {
            return Err(DrainError::Address { option, value: value.clone() });
        }
    }
    Ok((state, cloud))
}

/// Returns the name if it is valid for a drain.
fn validate_name(name: String) -> Result<String, DrainError> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let valid = !name.is_empty() && name.len() <= MAX_NAME_CHARS && name.chars().all(is_allowed);
    if valid { Ok(name) } else { Err(DrainError::Name(name)) }
}

#[cfg(test)]
#[path = "../../../tests/unit/drains_command.rs"]
mod tests;
