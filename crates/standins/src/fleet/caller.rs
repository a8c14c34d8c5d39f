use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use {bytes::Bytes, reqwest::Client};

use crate::StandinError;

/// A caller that uses one entry host.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client,
    front: SocketAddr,
    key: Option<String>,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// HTTP code.
    pub status: u16,
    /// `not-run` or `unknown`, when the entry host itself wrote the answer.
    pub outcome: Option<String>,
    /// Why the entry host itself wrote the answer.
    pub reason: Option<String>,
    /// The backend server that answered.
    pub server: Option<String>,
    /// The whole body.
    pub body: Bytes,
    /// Time from the start of the request to the end of the body.
    pub latency: Duration,
}

impl Caller {
    /// Makes a caller that presents a key, or none.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP library cannot be set up.
    pub fn open(
        front: SocketAddr,
        source: Option<IpAddr>,
        key: Option<&str>,
    ) -> Result<Self, StandinError> {
        let http = Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .local_address(source)
            .tcp_nodelay(true)
            .timeout(Duration::from_secs(30))
            .build()
            .map_err(|err| StandinError::new("set up caller", front, err))?;
        Ok(Caller {
            http,
            front,
            key: key.map(str::to_owned),
        })
    }

    /// The same caller with another key.
    pub fn with_key(&self, key: &str) -> Self {
        Caller {
            key: Some(key.to_owned()),
            ..self.clone()
        }
    }

    /// Builds a request with the caller's key; the path begins with `/`.
    pub fn request(&self, method: reqwest::Method, path: &str) -> reqwest::RequestBuilder {
        let request = self
            .http
            .request(method, format!("http://{}{path}", self.front));
        match &self.key {
            Some(key) => request.header("mangostep-key", key),
            None => request,
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer came.
    pub async fn send(
        &self,
        request: reqwest::RequestBuilder,
    ) -> Result<CallerAnswer, reqwest::Error> {
        let start = Instant::now();
        let answer = request.send().await?;
        let header = |name| {
            let value = answer.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        Ok(CallerAnswer {
            status: answer.status().as_u16(),
            outcome: header("mangostep-outcome"),
            reason: header("mangostep-reason"),
            server: header("x-server"),
            body: answer.bytes().await?,
            latency: start.elapsed(),
        })
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer came.
    pub async fn get(&self, path: &str) -> Result<CallerAnswer, reqwest::Error> {
        self.send(self.request(reqwest::Method::GET, path)).await
    }

    /// Sends a POST request.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer came.
    pub async fn post(
        &self,
        path: &str,
        body: impl Into<reqwest::Body>,
    ) -> Result<CallerAnswer, reqwest::Error> {
        let request = self.request(reqwest::Method::POST, path).body(body);
        self.send(request).await
    }
}
