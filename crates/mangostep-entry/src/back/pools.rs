use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use {mangostep_objects::RequestKind, mangostep_policy::ServerKey};

use crate::{back::connection::ServerConnection, prelude::*};

/// Fraction of the announced idle time of a server for which its connections
/// are used. The rest covers the transit time of the request.
const IDLE_SHARE: f64 = 0.7;

/// Maximum idle time of a connection for a request that may run only once.
/// Only the request itself shows whether the server still has the connection
/// open.
const NON_IDEMPOTENT_IDLE_MAX: Duration = Duration::from_secs(3);

/// Lower bound of that idle time, which decreases with each lost connection.
const NON_IDEMPOTENT_IDLE_MIN: Duration = Duration::from_millis(100);

/// Maximum idle time if the server announces none.
const IDLE_MAX: Duration = Duration::from_secs(6);

/// Maximum number of idle connections to one server.
const IDLE_CONNECTIONS_MAX: usize = 8;

pub(crate) struct ConnectionPools {
    idle: RefCell<HashMap<ServerKey, Vec<ServerConnection>>>,
    /// Current limit on the idle time for requests that may run only once.
    non_idempotent_idle_limit: Cell<Duration>,
}

impl ConnectionPools {
    pub(crate) fn open() -> Self {
        ConnectionPools {
            idle: RefCell::default(),
            non_idempotent_idle_limit: Cell::new(NON_IDEMPOTENT_IDLE_MAX),
        }
    }

    /// Whether there is an idle connection whose age permits a request of the
    /// kind.
    pub(crate) fn has(&self, key: ServerKey, kind: RequestKind, now: MonotonicTime) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(&key).into_iter().flatten();
        connections
            .into_iter()
            .any(|connection| self.is_recent(connection, kind, now))
    }

    /// Whether a server closed an idle connection before the time that it
    /// announced, which it does when its process ends. Only the connection that
    /// was used last is examined.
    pub(crate) fn has_closed_early(&self, key: ServerKey, now: MonotonicTime) -> bool {
        let idle = self.idle.borrow();
        let last = idle.get(&key).and_then(|connections| connections.last());
        last.is_some_and(|connection| {
            self.is_recent(connection, RequestKind::Idempotent, now) && connection.is_closed()
        })
    }

    /// Takes an open idle connection whose age permits a request of the kind.
    pub(crate) fn take(
        &self,
        key: ServerKey,
        kind: RequestKind,
        now: MonotonicTime,
    ) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        connections.retain(|connection| self.is_usable(connection, now));
        let index = connections
            .iter()
            .rposition(|connection| self.is_recent(connection, kind, now))?;
        Some(connections.remove(index))
    }

    /// Returns a connection to the pool after a complete response.
    pub(crate) fn put(&self, key: ServerKey, connection: ServerConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push(connection);
        }
    }

    /// Records that a connection was lost after an idle time of `age`, which
    /// lowers the limit for requests that may run only once.
    pub(crate) fn record_loss(&self, age: Duration) {
        if age >= NON_IDEMPOTENT_IDLE_MIN {
            let limit = (age / 2).max(NON_IDEMPOTENT_IDLE_MIN);
            self.non_idempotent_idle_limit
                .set(self.non_idempotent_idle_limit.get().min(limit));
        }
    }

    /// Closes connections that are broken, too old, or to removed servers.
    /// Called once per second.
    pub(crate) fn sweep(&self, now: MonotonicTime, is_known: impl Fn(ServerKey) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|key, connections| {
            connections.retain(|connection| self.is_usable(connection, now));
            is_known(*key) && !connections.is_empty()
        });
        // Old losses lose their significance, so the limit recovers within a
        // minute.
        let limit = self.non_idempotent_idle_limit.get().mul_f64(1.05);
        self.non_idempotent_idle_limit
            .set(limit.min(NON_IDEMPOTENT_IDLE_MAX));
    }

    fn is_usable(&self, connection: &ServerConnection, now: MonotonicTime) -> bool {
        self.is_recent(connection, RequestKind::Idempotent, now) && connection.is_open_and_idle()
    }

    fn is_recent(
        &self,
        connection: &ServerConnection,
        kind: RequestKind,
        now: MonotonicTime,
    ) -> bool {
        let limit = connection
            .idle_limit
            .map_or(IDLE_MAX, |limit| limit.mul_f64(IDLE_SHARE));
        let limit = match kind {
            RequestKind::Idempotent => limit,
            RequestKind::NonIdempotent => limit.min(self.non_idempotent_idle_limit.get()),
        };
        let last_used = connection.last_used;
        last_used.is_none_or(|last_used| now.since(last_used) < limit)
    }
}
