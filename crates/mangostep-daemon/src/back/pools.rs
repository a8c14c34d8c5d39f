use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
};

use reqwest::{Client, redirect::Policy, retry};

use crate::prelude::*;

/// A pooled connection that was idle for longer is not used again, since it
/// may have gone silent.
const POOL_IDLE_MAX: Duration = Duration::from_secs(1);

/// One connection pool for each backend server.
#[derive(Debug)]
pub(crate) struct ServerPools {
    outgoing: Option<IpAddr>,
    clients: HashMap<SocketAddr, Client>,
}

impl ServerPools {
    pub(crate) fn new(outgoing: Option<IpAddr>) -> Self {
        ServerPools {
            outgoing,
            clients: HashMap::new(),
        }
    }

    /// Forgets pools; requests that run keep their own connection.
    pub(crate) fn discard(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            self.clients.remove(&address);
        }
    }

    /// The pool of a backend server.
    pub(crate) fn client(
        &mut self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Client, DaemonError> {
        if let Some(client) = self.clients.get(&address) {
            return Ok(client.clone());
        }
        let client = Client::builder()
            .no_proxy()
            .redirect(Policy::none())
            .retry(retry::never())
            .http1_only()
            .tcp_nodelay(true)
            .local_address(self.outgoing)
            .connect_timeout(connect_timeout)
            .pool_idle_timeout(POOL_IDLE_MAX)
            .build()
            .map_err(|err| DaemonError::new("set up client", address, err))?;
        self.clients.insert(address, client.clone());
        Ok(client)
    }
}
