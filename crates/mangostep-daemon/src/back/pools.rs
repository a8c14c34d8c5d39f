use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
};

use reqwest::{Client, redirect::Policy, retry};

use crate::prelude::*;

/// Connections that were idle for longer are not reused, since the other end
/// may no longer answer on them.
const POOL_IDLE_MAX: Duration = Duration::from_secs(1);

/// The connection pools, one for each backend server.
#[derive(Debug)]
pub(crate) struct ServerPools {
    /// Local address of the connections; the system's choice if `None`.
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

    /// Drops the pools of these servers; in-flight requests keep their
    /// connections.
    pub(crate) fn discard(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            self.clients.remove(&address);
        }
    }

    /// The client of a backend server, created on first use; the connect
    /// timeout of a later call has no effect.
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
