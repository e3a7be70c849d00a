//! The cloud's interface.

#![warn(missing_docs)]

use std::time::Duration;

use net::{Client, NetError, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::{MachineList, MachineNames, MachineType, MachineTypes, RentRequest};

/// Why a request to the cloud was not carried out, or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// 429 or an outage: nothing was done.
    #[error("the cloud answered {0}")]
    Refused(u16),
    /// No machine of this type, zone and kind is available.
    #[error("no capacity")]
    NoCapacity,
    /// The request may have been carried out, or may be later.
    #[error(transparent)]
    Network(#[from] NetError),
    /// The answer could not be read.
    #[error("answer not understood: {0}")]
    InvalidResponse(#[from] wire::DecodeError),
}

/// A client of the cloud's interface.
#[derive(Clone)]
pub struct CloudClient {
    client: Client,
    addr: String,
}

/// Most machines in one rental and names in one release.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Most names in one release.
pub const MAX_MACHINES_PER_RELEASE: usize = 100;
/// Machines in one page of the list, the most that the cloud gives.
const LIST_PAGE: usize = 500;
/// Most bytes of an answer: a page has some 150 for each machine.
const ANSWER_BYTES: usize = 1 << 20;
const DEADLINE: Duration = Duration::from_secs(5);

impl CloudClient {
    /// A client of the cloud at this address.
    pub fn new(client: Client, addr: String) -> Self {
        Self { client, addr }
    }

    async fn call<T: Serialize>(
        &self,
        method: &str,
        path: &str,
        body: Option<&T>,
    ) -> Result<Response, CloudError> {
        let body = body.map(wire::encode).unwrap_or_default();
        Ok(self.client.request(&self.addr, method, path, body, ANSWER_BYTES, DEADLINE).await?)
    }

    fn read<T: DeserializeOwned>(answer: &Response) -> Result<T, CloudError> {
        match answer.status {
            200 => Ok(wire::decode(&answer.body)?),
            s => Err(CloudError::Refused(s)),
        }
    }

    /// All machine types, with their present prices.
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let list: MachineTypes = Self::read(&self.call::<()>("GET", "/machine_types", None).await?)?;
        Ok(list.types)
    }

    /// Rents machines; their names. The same request again gets the same answer.
    pub async fn rent(&self, request: &RentRequest) -> Result<Vec<String>, CloudError> {
        let answer = self.call("POST", "/machines", Some(request)).await?;
        if answer.status == 503 && answer.body.windows(11).any(|w| w == b"no capacity") {
            return Err(CloudError::NoCapacity);
        }
        Ok(Self::read::<MachineNames>(&answer)?.machines)
    }

    /// Once this is Ok, the machines and all that was on them are gone.
    pub async fn release(&self, machines: Vec<String>) -> Result<(), CloudError> {
        let answer = self.call("POST", "/machines/release", Some(&MachineNames { machines })).await?;
        if answer.status == 200 { Ok(()) } else { Err(CloudError::Refused(answer.status)) }
    }

    /// The next page of all machines, in the order of their names.
    pub async fn list_page(&self, after: Option<&str>) -> Result<MachineList, CloudError> {
        let after = after.map(|a| format!("after={a}&")).unwrap_or_default();
        let path = format!("/machines?{after}page={LIST_PAGE}");
        Self::read(&self.call::<()>("GET", &path, None).await?)
    }
}
