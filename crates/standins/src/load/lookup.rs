use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use {reqwest::Client, serde::Deserialize};

const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// The answer to `GET /_mangostep/entry`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct EntryAnswer {
    /// IP addresses and ports, best first.
    pub addresses: Vec<SocketAddr>,
    /// How long this answer may be cached, in milliseconds.
    pub keep_ms: u64,
}

/// Looks up which hosts to use, and caches the answer until it expires.
#[derive(Debug)]
pub struct EntryLookup {
    /// Addresses known at the start, in the order in which they are asked.
    known: Vec<SocketAddr>,
    /// Key sent with the look-up; none when empty.
    key: String,
    kept: Mutex<Option<(Instant, Vec<SocketAddr>)>>,
}

impl EntryLookup {
    /// Makes a look-up that first asks the given addresses, in their order.
    pub fn new(known: Vec<SocketAddr>) -> Self {
        EntryLookup {
            known,
            key: String::new(),
            kept: Mutex::new(None),
        }
    }

    /// The same look-up with a key, so that hosts can name the homes of its
    /// workspace's limit first.
    pub fn with_key(self, key: &str) -> Self {
        EntryLookup {
            key: key.to_owned(),
            ..self
        }
    }

    /// The addresses to use now, best first.
    ///
    /// While no host answers, the last answer stays in use, or else the
    /// addresses known at the start.
    pub async fn addresses(&self, http: &Client) -> Vec<SocketAddr> {
        let kept = self.kept();
        if let Some((until, addresses)) = &kept
            && *until > Instant::now()
        {
            return addresses.clone();
        }
        let last = kept.map(|(_, addresses)| addresses).unwrap_or_default();
        for address in last.iter().chain(&self.known) {
            let Some(answer) = ask(http, *address, &self.key).await else {
                continue;
            };
            if answer.addresses.is_empty() {
                continue;
            }
            let until = Instant::now() + Duration::from_millis(answer.keep_ms);
            self.keep(until, answer.addresses.clone());
            return answer.addresses;
        }
        match last.is_empty() {
            true => self.known.clone(),
            false => last,
        }
    }

    fn kept(&self) -> Option<(Instant, Vec<SocketAddr>)> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.clone()
    }

    fn keep(&self, until: Instant, addresses: Vec<SocketAddr>) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        *kept = Some((until, addresses));
    }
}

async fn ask(http: &Client, address: SocketAddr, key: &str) -> Option<EntryAnswer> {
    let mut request = http
        .get(format!("http://{address}/_mangostep/entry"))
        .timeout(LOOKUP_TIMEOUT);
    if !key.is_empty() {
        request = request.header("mangostep-key", key);
    }
    let answer = request.send().await.ok()?;
    answer.json().await.ok()
}
