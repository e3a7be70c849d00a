//! The cloud's interface.

use std::time::Duration;

use net::{Answer, Client, NetError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::{ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, RentRequest};

#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// 429 or an outage: nothing was done.
    #[error("the cloud answered {0}")]
    Refused(u16),
    #[error("no capacity")]
    NoCapacity,
    /// The request may have been carried out, or may be later.
    #[error(transparent)]
    Net(#[from] NetError),
    #[error("answer not understood: {0}")]
    Answer(#[from] wire::DecodeError),
}

#[derive(Clone)]
pub struct CloudClient {
    client: Client,
    addr: String,
}

/// Most machines in one rental and names in one release.
pub const RENT_MAX: u32 = 50;
pub const RELEASE_MAX: usize = 100;
const LARGE: usize = 4 << 20;
const DEADLINE: Duration = Duration::from_secs(5);

impl CloudClient {
    pub fn new(client: Client, addr: String) -> Self {
        Self { client, addr }
    }

    async fn call<T: Serialize>(
        &self,
        method: &str,
        path: &str,
        body: Option<&T>,
    ) -> Result<Answer, CloudError> {
        let body = body.map(wire::encode).unwrap_or_default();
        Ok(self.client.request(&self.addr, method, path, body, LARGE, DEADLINE).await?)
    }

    fn read<T: DeserializeOwned>(answer: &Answer) -> Result<T, CloudError> {
        match answer.status {
            200 => Ok(wire::decode(&answer.body)?),
            s => Err(CloudError::Refused(s)),
        }
    }

    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let list: MachineTypes = Self::read(&self.call::<()>("GET", "/machine_types", None).await?)?;
        Ok(list.types)
    }

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

    pub async fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let after = all.last().map(|m| m.id.as_str()).unwrap_or_default();
            let path = if after.is_empty() {
                "/machines?page=500".to_owned()
            } else {
                format!("/machines?after={after}&page=500")
            };
            let page: MachineList = Self::read(&self.call::<()>("GET", &path, None).await?)?;
            let more = page.more && !page.machines.is_empty();
            all.extend(page.machines);
            if !more {
                return Ok(all);
            }
        }
    }
}
