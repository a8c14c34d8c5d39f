use std::{net::SocketAddr, time::Duration};

use {
    reqwest::Client,
    serde::{Serialize, de::DeserializeOwned},
};

use crate::StandinError;

const CONTROL_LIMIT: Duration = Duration::from_secs(5);

/// Speaks with the control endpoint of a stand-in.
#[derive(Clone, Debug)]
pub(crate) struct ControlClient {
    http: Client,
    address: SocketAddr,
}

impl ControlClient {
    pub(crate) fn new(http: &Client, address: SocketAddr) -> Self {
        ControlClient {
            http: http.clone(),
            address,
        }
    }

    pub(crate) async fn post(&self, body: &impl Serialize) -> Result<(), StandinError> {
        let failed = |err| StandinError::new("control", self.address, err);
        self.http
            .post(format!("http://{}/control", self.address))
            .timeout(CONTROL_LIMIT)
            .json(body)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .map_err(failed)?;
        Ok(())
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, StandinError> {
        let failed = |err| StandinError::new("read control", self.address, err);
        self.http
            .get(format!("http://{}{path}", self.address))
            .timeout(CONTROL_LIMIT)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .map_err(failed)?
            .json()
            .await
            .map_err(failed)
    }
}
