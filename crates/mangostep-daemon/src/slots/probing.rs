use std::{net::SocketAddr, rc::Rc};

use {
    mangostep_objects::ServiceDialect,
    mangostep_policy::{KeeperEvent, OutcomeKind, ProbeResult},
};

use crate::{prelude::*, slots::SlotDuty};

const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The probes of one round over the servers of a cell.
struct ProbePlan {
    interval: Duration,
    dialect: ServiceDialect,
    servers: Vec<(String, SocketAddr)>,
}

impl SlotDuty {
    /// Starts a task that probes the servers of a cell until the keeper with
    /// this salt is closed.
    pub(super) fn spawn_probes(self: &Rc<Self>, resource: String, salt: u64) {
        tokio::task::spawn_local(self.clone().probe_cell(resource, salt));
    }

    async fn probe_cell(self: Rc<Self>, resource: String, salt: u64) {
        loop {
            let Some(plan) = self.probe_plan(&resource, salt) else {
                return;
            };
            for (server, address) in plan.servers {
                let probing = self.clone().probe_server(
                    resource.clone(),
                    server,
                    address,
                    plan.dialect.clone(),
                );
                tokio::task::spawn_local(probing);
            }
            tokio::time::sleep(plan.interval).await;
        }
    }

    fn probe_plan(&self, resource: &str, salt: u64) -> Option<ProbePlan> {
        let cells = self.cells.borrow();
        // A cell that was closed and opened again has its own probe task.
        let cell = cells.get(resource).filter(|cell| cell.salt() == salt)?;
        let snapshot = self.context.snapshot.load();
        let service = snapshot.service(cell.service())?;
        let servers = cell.addresses();
        let servers = servers.map(|(name, address)| (name.to_owned(), address));
        let interval = service.probe_interval.max(Duration::from_millis(100));
        Some(ProbePlan {
            interval,
            dialect: service.dialect.clone(),
            servers: servers.collect(),
        })
    }

    async fn probe_server(
        self: Rc<Self>,
        resource: String,
        server: String,
        address: SocketAddr,
        dialect: ServiceDialect,
    ) {
        let started = self.context.clock.now();
        let url = format!("http://{address}{}", dialect.health_path);
        let answer = self.prober.get(url).timeout(PROBE_TIMEOUT).send().await;
        let outcome = match answer {
            Ok(answer) if answer.headers().contains_key(&dialect.cold_header) => OutcomeKind::Cold,
            Ok(answer) if answer.status().is_server_error() => OutcomeKind::ServerError,
            Ok(_) => OutcomeKind::Answered,
            Err(err) if err.is_connect() => OutcomeKind::ConnectFailed,
            Err(_) => OutcomeKind::Timeout,
        };
        let now = self.context.clock.now();
        let probe = ProbeResult {
            server,
            outcome,
            total: now.since(started),
        };
        if let Some(cell) = self.cells.borrow_mut().get_mut(&resource) {
            cell.apply(now, KeeperEvent::Probe(probe));
        }
    }
}
