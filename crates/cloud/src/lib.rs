//! A client of the cloud API: renting, releasing and listing machines.

#![warn(missing_docs)]

use std::time::Duration;

use net::{Client, NetError, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::{MachineList, MachineNames, MachineType, MachineTypes, RentRequest};

/// Why a request to the cloud failed, or may have failed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// The cloud refused the request with this HTTP status (429, or an outage): nothing was done.
    #[error("the cloud responded with HTTP status {0}")]
    Refused(u16),
    /// No machine of this type is available in this zone (as a spot machine, if one was requested).
    #[error("no capacity")]
    NoCapacity,
    /// The request may have been carried out, or may still be carried out later.
    #[error(transparent)]
    Network(#[from] NetError),
    /// The response could not be decoded.
    #[error("invalid response from the cloud: {0}")]
    InvalidResponse(#[from] wire::DecodeError),
}

impl CloudError {
    /// Whether the cloud refused the request for its content, so that it would refuse the same
    /// request again. Not so during an outage or above the rate limit.
    pub fn is_refusal_of_content(&self) -> bool {
        matches!(self, Self::Refused(status) if (400..500).contains(status) && *status != 429)
    }
}

/// A client of the cloud API.
#[derive(Clone)]
pub struct CloudClient {
    client: Client,
    addr: String,
}

/// Most machines in one rental request.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Most machines in one release request.
pub const MAX_MACHINES_PER_RELEASE: usize = 100;
/// Machines in one page of the list: the cloud's maximum.
const LIST_PAGE_MACHINES: usize = 500;
/// Most bytes of a response: a page of the list has about 150 for each machine.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

impl CloudClient {
    /// Creates a client of the cloud at this address.
    pub fn new(client: Client, addr: String) -> Self {
        Self { client, addr }
    }

    async fn send<T: Serialize>(
        &self,
        method: &str,
        path: &str,
        body: Option<&T>,
    ) -> Result<Response, CloudError> {
        let body = body.map(wire::encode).unwrap_or_default();
        Ok(self.client.request(&self.addr, method, path, body, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT).await?)
    }

    fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, CloudError> {
        match response.status {
            200 => Ok(wire::decode(&response.body)?),
            status => Err(CloudError::Refused(status)),
        }
    }

    /// Reads all machine types, with their current prices.
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let list: MachineTypes = Self::decode(&self.send::<()>("GET", "/machine_types", None).await?)?;
        Ok(list.types)
    }

    /// Rents machines and returns their names. Idempotent: a repeated request gets the same response.
    pub async fn rent(&self, request: &RentRequest) -> Result<Vec<String>, CloudError> {
        let response = self.send("POST", "/machines", Some(request)).await?;
        if response.status == 503 && response.body.windows(11).any(|window| window == b"no capacity") {
            return Err(CloudError::NoCapacity);
        }
        Ok(Self::decode::<MachineNames>(&response)?.machines)
    }

    /// Releases machines. After `Ok`, the machines and everything on them are gone.
    pub async fn release(&self, machines: Vec<String>) -> Result<(), CloudError> {
        let response = self.send("POST", "/machines/release", Some(&MachineNames { machines })).await?;
        if response.status == 200 { Ok(()) } else { Err(CloudError::Refused(response.status)) }
    }

    /// Reads a page of the list of all machines, ordered by name: those after this name, or the first
    /// ones.
    pub async fn list_page(&self, after: Option<&str>) -> Result<MachineList, CloudError> {
        let after = after.map(|name| format!("after={name}&")).unwrap_or_default();
        let path = format!("/machines?{after}page={LIST_PAGE_MACHINES}");
        Self::decode(&self.send::<()>("GET", &path, None).await?)
    }
}
