use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use {mangostep_objects::RequestKind, mangostep_policy::ServerKey};

use crate::{back::connection::ServerConnection, prelude::*};

/// Share of a server's announced idle time for which its connections are
/// used; the rest covers the way of the request.
const IDLE_SHARE: f64 = 0.7;

/// Longest idle time of a connection that takes a request which may run only
/// once: whether the server still knows the connection is told only by the
/// request itself.
const ONCE_IDLE_MAX: Duration = Duration::from_secs(3);

/// Shortest bound on that idle time, however often connections were lost.
const ONCE_IDLE_MIN: Duration = Duration::from_millis(100);

/// Longest idle time where the server announces none.
const IDLE_MAX: Duration = Duration::from_secs(6);

/// Idle connections kept for one server.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// Idle connections to backend servers.
pub(crate) struct ConnectionPools {
    idle: RefCell<HashMap<ServerKey, Vec<ServerConnection>>>,
    /// Bound on the idle time for requests that may run only once.
    once_idle: Cell<Duration>,
}

impl ConnectionPools {
    pub(crate) fn open() -> Self {
        ConnectionPools {
            idle: RefCell::default(),
            once_idle: Cell::new(ONCE_IDLE_MAX),
        }
    }

    /// Whether there is an idle connection that may carry a request of the
    /// kind, as far as its age tells.
    pub(crate) fn has(&self, key: ServerKey, kind: RequestKind, now: MonotonicTime) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(&key).into_iter().flatten();
        connections
            .into_iter()
            .any(|connection| self.is_young(connection, kind, now))
    }

    /// Takes an idle connection that may carry a request of the kind.
    pub(crate) fn take(
        &self,
        key: ServerKey,
        kind: RequestKind,
        now: MonotonicTime,
    ) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        connections.retain(|connection| self.is_usable(connection, now));
        let at = connections
            .iter()
            .rposition(|connection| self.is_young(connection, kind, now))?;
        Some(connections.remove(at))
    }

    /// Keeps a connection that carried a whole answer.
    pub(crate) fn put(&self, key: ServerKey, connection: ServerConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push(connection);
        }
    }

    /// Takes note that a connection was lost after it was idle for `age`.
    pub(crate) fn record_loss(&self, age: Duration) {
        if age >= ONCE_IDLE_MIN {
            let bound = (age / 2).max(ONCE_IDLE_MIN);
            self.once_idle.set(self.once_idle.get().min(bound));
        }
    }

    /// Drops connections that are closed, too old, or of servers that are
    /// gone; called once a second.
    pub(crate) fn sweep(&self, now: MonotonicTime, is_known: impl Fn(ServerKey) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|key, connections| {
            connections.retain(|connection| self.is_usable(connection, now));
            is_known(*key) && !connections.is_empty()
        });
        // Losses of long ago say little; the bound returns within a minute.
        let bound = self.once_idle.get().mul_f64(1.05);
        self.once_idle.set(bound.min(ONCE_IDLE_MAX));
    }

    fn is_usable(&self, connection: &ServerConnection, now: MonotonicTime) -> bool {
        self.is_young(connection, RequestKind::Idempotent, now) && connection.is_quiet()
    }

    fn is_young(
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
            RequestKind::NonIdempotent => limit.min(self.once_idle.get()),
        };
        let used = connection.used;
        used.is_none_or(|used| now.since(used) < limit)
    }
}
