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

/// Where the platform is, and how long a call may take.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base address of the table service, such as `http://127.0.0.1:7000`.
    pub table: String,
    /// Base address of the object store.
    pub objects: String,
    /// Base address of the host directory.
    pub directory: String,
    /// Name by which this process presents itself to the platform.
    pub client: String,
    /// IP number that connections start from; the system's choice when absent.
    #[serde(skip)]
    pub outgoing: Option<IpAddr>,
    /// Longest time of one call to the table service or the directory.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "call_timeout_ms")]
    pub call_timeout: Duration,
    /// Longest time of one call to the object store.
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

/// The platform's three services over HTTP.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: Client,
    settings: PlatformSettings,
}

const CLIENT_HEADER: &str = "x-client";

impl PlatformClient {
    /// Makes a client; it connects at its first call.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP library cannot be set up.
    pub fn open(settings: PlatformSettings) -> Result<Self, PlatformError> {
        let http = Client::builder()
            .no_proxy()
            .local_address(settings.outgoing)
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(settings.call_timeout)
            // A connection that went silent while idle is not used again.
            .pool_idle_timeout(Duration::from_secs(2))
            .build()
            .map_err(|err| PlatformError::new("set up client", &settings.table, true, err))?;
        Ok(PlatformClient { http, settings })
    }

    /// Sends one call within its deadline.
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
            .map_err(|err| Self::failed(operation, peer, err))
    }

    fn failed(operation: &'static str, peer: &str, err: reqwest::Error) -> PlatformError {
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
        let failed = |err| Self::failed(operation, peer, err);
        let request = self
            .http
            .post(format!("{peer}/table/transact"))
            .json(transaction);
        let answer = self
            .send(operation, peer, self.settings.call_timeout, request)
            .await?;
        let answer = answer.error_for_status().map_err(failed)?;
        answer.json().await.map_err(failed)
    }
}

impl ObjectStore for PlatformClient {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), PlatformError> {
        let (operation, peer) = ("put object", &self.settings.objects);
        let request = self.http.put(format!("{peer}/objects/{name}")).body(body);
        let answer = self
            .send(operation, peer, self.settings.object_timeout, request)
            .await?;
        let answer = answer.error_for_status();
        answer
            .map(drop)
            .map_err(|err| Self::failed(operation, peer, err))
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let (operation, peer) = ("get object", &self.settings.objects);
        let failed = |err| Self::failed(operation, peer, err);
        let request = self.http.get(format!("{peer}/objects/{name}"));
        let answer = self
            .send(operation, peer, self.settings.object_timeout, request)
            .await?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let answer = answer.error_for_status().map_err(failed)?;
        let body = answer.bytes().await.map_err(failed)?;
        Ok(Some(body.to_vec()))
    }
}

impl HostDirectory for PlatformClient {
    async fn list(&self, service: &str) -> Result<Vec<DirectoryEntry>, PlatformError> {
        let (operation, peer) = ("list directory", &self.settings.directory);
        let failed = |err| Self::failed(operation, peer, err);
        let request = self.http.get(format!("{peer}/directory/{service}"));
        let answer = self
            .send(operation, peer, self.settings.call_timeout, request)
            .await?;
        let answer = answer.error_for_status().map_err(failed)?;
        answer.json().await.map_err(failed)
    }
}
