use std::{net::IpAddr, time::Duration};

use {
    reqwest::{Client, RequestBuilder, Response, StatusCode},
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
};

use crate::{
    DirectoryEntry, HostDirectory, ObjectStore, PlatformError, TableStore, Transaction,
    TransactionResult,
};

/// Addresses of the platform's services and timeouts of the calls.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URL of the table service, such as `http://127.0.0.1:7000`.
    pub table: String,
    /// Base URL of the object store.
    pub objects: String,
    /// Base URL of the host directory.
    pub directory: String,
    /// Name by which this process identifies itself to the platform, in the
    /// header `x-client`.
    pub client: String,
    /// Local IP address of the connections; chosen by the operating system when
    /// absent.
    #[serde(skip)]
    pub outgoing: Option<IpAddr>,
    /// Maximum duration of a call to the table service or the host directory,
    /// and of connecting to any of the three services.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "call_timeout_ms")]
    pub call_timeout: Duration,
    /// Maximum duration of a call to the object store.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "object_timeout_ms")]
    pub object_timeout: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        let base = "http://127.0.0.1:7000";
        PlatformSettings {
            table: base.to_owned(),
            objects: base.to_owned(),
            directory: base.to_owned(),
            client: String::new(),
            outgoing: None,
            call_timeout: Duration::from_millis(500),
            object_timeout: Duration::from_secs(5),
        }
    }
}

/// HTTP client of the platform's three services.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: Client,
    settings: PlatformSettings,
}

const CLIENT_HEADER: &str = "x-client";

impl PlatformClient {
    /// Creates a client, which connects on its first call.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be initialized.
    pub fn open(settings: PlatformSettings) -> Result<Self, PlatformError> {
        let http = Client::builder()
            .no_proxy()
            .local_address(settings.outgoing)
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(settings.call_timeout)
            // A connection may be lost without notice while it is idle, so it is
            // not reused after a longer idle period.
            .pool_idle_timeout(Duration::from_secs(2))
            .build()
            .map_err(|err| PlatformError::new("set up client", &settings.table, true, err))?;
        Ok(PlatformClient { http, settings })
    }

    /// Sends a request with a timeout, which includes reading the response.
    async fn send(
        &self,
        operation: &'static str,
        peer: &str,
        timeout: Duration,
        request: RequestBuilder,
    ) -> Result<Response, PlatformError> {
        request
            .header(CLIENT_HEADER, &self.settings.client)
            .timeout(timeout)
            .send()
            .await
            .map_err(|err| Self::call_error(operation, peer, err))
    }

    fn call_error(operation: &'static str, peer: &str, err: reqwest::Error) -> PlatformError {
        let unsent = err.is_connect() || err.is_builder();
        PlatformError::new(operation, peer, unsent, err.without_url())
    }
}

impl TableStore for PlatformClient {
    async fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionResult, PlatformError> {
        let (operation, peer) = ("transact", &self.settings.table);
        let to_error = |err| Self::call_error(operation, peer, err);
        let request = self
            .http
            .post(format!("{peer}/table/transact"))
            .json(transaction);
        let response = self
            .send(operation, peer, self.settings.call_timeout, request)
            .await?;
        let response = response.error_for_status().map_err(to_error)?;
        response.json().await.map_err(to_error)
    }
}

impl ObjectStore for PlatformClient {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), PlatformError> {
        let (operation, peer) = ("put object", &self.settings.objects);
        let request = self.http.put(format!("{peer}/objects/{name}")).body(body);
        let response = self
            .send(operation, peer, self.settings.object_timeout, request)
            .await?;
        let response = response.error_for_status();
        response
            .map(drop)
            .map_err(|err| Self::call_error(operation, peer, err))
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let (operation, peer) = ("get object", &self.settings.objects);
        let to_error = |err| Self::call_error(operation, peer, err);
        let request = self.http.get(format!("{peer}/objects/{name}"));
        let response = self
            .send(operation, peer, self.settings.object_timeout, request)
            .await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let response = response.error_for_status().map_err(to_error)?;
        let body = response.bytes().await.map_err(to_error)?;
        Ok(Some(body.to_vec()))
    }
}

impl HostDirectory for PlatformClient {
    async fn list(&self, service: &str) -> Result<Vec<DirectoryEntry>, PlatformError> {
        let (operation, peer) = ("list directory", &self.settings.directory);
        let to_error = |err| Self::call_error(operation, peer, err);
        let request = self.http.get(format!("{peer}/directory/{service}"));
        let response = self
            .send(operation, peer, self.settings.call_timeout, request)
            .await?;
        let response = response.error_for_status().map_err(to_error)?;
        response.json().await.map_err(to_error)
    }
}
