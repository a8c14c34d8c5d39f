use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, de::DeserializeOwned};

use crate::{StandinError, fleet::HostHandle};

const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Part of the `/status` page of a host's operator listener.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct HostStatus {
    /// Configuration version in force.
    pub(crate) version: u64,
}

/// One event of a host's timeline.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct HostEvent {
    pub(crate) name: String,
    pub(crate) fields: BTreeMap<String, String>,
}

#[derive(Debug, Deserialize)]
struct EventPage {
    events: Vec<HostEvent>,
}

/// Client for the pages of the hosts' operator listeners.
#[derive(Clone, Debug)]
pub(crate) struct HostPages {
    http: reqwest::Client,
}

impl HostPages {
    pub(crate) fn open() -> Result<Self, StandinError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(PAGE_TIMEOUT)
            .build()
            .map_err(|err| StandinError::new("set up client", "operator pages", err))?;
        Ok(HostPages { http })
    }

    pub(crate) async fn status(&self, host: &HostHandle) -> Result<HostStatus, StandinError> {
        self.read(host, "/status").await
    }

    pub(crate) async fn events(&self, host: &HostHandle) -> Result<Vec<HostEvent>, StandinError> {
        let page: EventPage = self.read(host, "/events?since=0&most=8000").await?;
        Ok(page.events)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        host: &HostHandle,
        path: &str,
    ) -> Result<T, StandinError> {
        let failed = |err| StandinError::new("read page", host.name(), err);
        let operator = host.addresses().operator;
        let answer = self.http.get(format!("http://{operator}{path}")).send();
        let answer = answer.await.map_err(failed)?;
        answer.json().await.map_err(failed)
    }
}
