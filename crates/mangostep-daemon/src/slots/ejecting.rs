use std::{net::SocketAddr, rc::Rc};

use {
    mangostep_platform::DirectoryState,
    mangostep_policy::{ArbiterSettings, EjectionArbiter, KeeperEvent},
    mangostep_wire::peer_capnp::peer_link,
};

use crate::{
    prelude::*,
    slots::{SlotDuty, cell::EjectionRequest, local_cells::cell_resource, messages::micros},
};

/// Without an answer of the arbiter within this time, nothing is ejected.
const ARBITER_TIMEOUT: Duration = Duration::from_millis(500);

/// The arbiter of a service's ejections and the epoch in which it decides.
#[derive(Debug)]
pub(super) struct ArbiterRecord {
    epoch: u64,
    arbiter: EjectionArbiter,
}

impl SlotDuty {
    /// Passes the ejection requests of a cell's keeper to the arbiter.
    pub(super) fn request_ejections(
        self: &Rc<Self>,
        service: &str,
        zone: &str,
        ejection_requests: Vec<EjectionRequest>,
    ) {
        for ejection in ejection_requests {
            let sending =
                self.clone()
                    .request_ejection(service.to_owned(), zone.to_owned(), ejection);
            tokio::task::spawn_local(sending);
        }
    }

    async fn request_ejection(
        self: Rc<Self>,
        service: String,
        zone: String,
        ejection: EjectionRequest,
    ) {
        let started = self.context.clock.now();
        let is_granted = self.request_from_arbiter(&service, &zone, &ejection).await;
        let now = self.context.clock.now();
        let event = KeeperEvent::EjectionDecision {
            server: ejection.server.clone(),
            // The arbiter's hold starts later, so that it ends after this one.
            until: is_granted.then_some(started + ejection.hold),
        };
        let resource = cell_resource(&service, &zone);
        if let Some(cell) = self.cells.borrow_mut().get_mut(&resource) {
            cell.apply(now, event);
        }
        let kind = if is_granted {
            "ejection-granted"
        } else {
            "ejection-denied"
        };
        let labels = [("service", service.as_str()), ("reason", ejection.reason)];
        self.context.counters.count(kind, &labels);
        let granted = is_granted.to_string();
        let held_us = micros((started + ejection.hold).since(now)).to_string();
        let fields = [
            ("cell", resource.as_str()),
            ("server", &ejection.server),
            ("reason", ejection.reason),
            ("granted", &granted),
            ("held_us", &held_us),
        ];
        self.context.recorder.record("ejection", &fields);
    }

    async fn request_from_arbiter(
        &self,
        service: &str,
        zone: &str,
        ejection: &EjectionRequest,
    ) -> bool {
        let Some(resource) = self.arbiter_resource(service) else {
            return false;
        };
        let now = self.context.clock.now();
        if self.context.held_epoch(&resource, now).is_some() {
            return self.decide_ejection(service, &ejection.server, ejection.hold) == Some(true);
        }
        let arbiter = {
            let fleet = self.context.fleet.load();
            let holder = fleet.holder(&resource);
            let host = holder.and_then(|holder| fleet.host(&holder.host));
            host.map(|host| host.peer)
        };
        let Some(arbiter) = arbiter else {
            return false;
        };
        let answer = self
            .request_from_peer_arbiter(arbiter, service, zone, ejection)
            .await;
        answer.unwrap_or(false)
    }

    async fn request_from_peer_arbiter(
        &self,
        arbiter: SocketAddr,
        service: &str,
        zone: &str,
        ejection: &EjectionRequest,
    ) -> Result<bool, DaemonError> {
        let stamp = self.context.recorder.clock().tick();
        let call = |link: peer_link::Client| async move {
            let mut request = link.ask_ejection_request();
            request.get().set_stamp(stamp);
            let mut params = request.get().init_ask();
            params.set_service(service);
            params.set_zone(zone);
            params.set_server(&ejection.server);
            params.set_eject(true);
            params.set_hold_us(micros(ejection.hold));
            let response = request.send().promise.await?;
            let response = response.get()?;
            Ok(response.get_granted() && response.get_arbiter())
        };
        self.links
            .call(arbiter, "request ejection", ARBITER_TIMEOUT, call)
            .await
    }

    /// Resource name of the cell whose holder is the arbiter of a service.
    fn arbiter_resource(&self, service: &str) -> Option<String> {
        let snapshot = self.context.snapshot.load();
        let zone = snapshot.service(service)?.zones.iter().min()?;
        Some(cell_resource(service, zone))
    }

    /// Decides an ejection; `None` when this host is not the arbiter.
    pub(super) fn decide_ejection(
        &self,
        service: &str,
        server: &str,
        hold: Duration,
    ) -> Option<bool> {
        let resource = self.arbiter_resource(service)?;
        let now = self.context.clock.now();
        let epoch = self.context.held_epoch(&resource, now)?;
        let snapshot = self.context.snapshot.load();
        let settings = ArbiterSettings {
            floor: usize::try_from(snapshot.service(service)?.floor).unwrap_or(usize::MAX),
            ..Default::default()
        };
        let mut arbiters = self.arbiters.borrow_mut();
        let record = arbiters
            .entry(service.to_owned())
            .or_insert_with(|| ArbiterRecord::open(now, epoch, settings));
        if record.epoch != epoch {
            *record = ArbiterRecord::open(now, epoch, settings);
        }
        let servers = self.context.servers.load();
        let usable = servers.iter().filter(|entry| {
            entry.service == service
                && entry.state == DirectoryState::Live
                && snapshot.zone_is_in(&entry.zone)
        });
        record.arbiter.set_floor(settings.floor);
        record
            .arbiter
            .set_servers(usable.map(|entry| entry.name.as_str()));
        Some(record.arbiter.eject(now, server, hold))
    }
}

impl ArbiterRecord {
    fn open(now: MonotonicTime, epoch: u64, settings: ArbiterSettings) -> Self {
        let arbiter = if epoch <= 1 {
            EjectionArbiter::new(settings)
        } else {
            EjectionArbiter::after_takeover(now, settings)
        };
        ArbiterRecord { epoch, arbiter }
    }
}
