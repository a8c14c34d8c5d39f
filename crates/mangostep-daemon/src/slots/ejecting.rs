use std::{net::SocketAddr, rc::Rc};

use {
    mangostep_platform::DirectoryState,
    mangostep_policy::{ArbiterSettings, EjectionArbiter, KeeperEvent},
    mangostep_wire::peer_capnp::peer_link,
};

use crate::{
    prelude::*,
    slots::{SlotDuty, cell::EjectionWish, keeping::cell_resource, messages::micros},
};

/// Longest wait for the arbiter; without its answer nothing is ejected.
const ARBITER_LIMIT: Duration = Duration::from_millis(500);

/// The arbiter of a service's ejections, under the epoch that it acts in.
#[derive(Debug)]
pub(super) struct FloorRecord {
    epoch: u64,
    floor: EjectionArbiter,
}

impl SlotDuty {
    /// Asks the arbiter for the ejections that a cell's keeper wants.
    pub(super) fn seek_ejections(
        self: &Rc<Self>,
        service: &str,
        zone: &str,
        wishes: Vec<EjectionWish>,
    ) {
        for wish in wishes {
            let seeking = self
                .clone()
                .seek_ejection(service.to_owned(), zone.to_owned(), wish);
            tokio::task::spawn_local(seeking);
        }
    }

    async fn seek_ejection(self: Rc<Self>, service: String, zone: String, wish: EjectionWish) {
        let asked = self.context.clock.now();
        let is_granted = self.ask_arbiter(&service, &zone, &wish).await;
        let now = self.context.clock.now();
        let event = KeeperEvent::EjectionDecision {
            server: wish.server.clone(),
            // The arbiter counts from later on, so its grant outlives this.
            until: is_granted.then_some(asked + wish.hold),
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
        let labels = [("service", service.as_str()), ("reason", wish.reason)];
        self.context.counters.count(kind, &labels);
        let granted = is_granted.to_string();
        let held_us = micros((asked + wish.hold).since(now)).to_string();
        let fields = [
            ("cell", resource.as_str()),
            ("server", &wish.server),
            ("reason", wish.reason),
            ("granted", &granted),
            ("held_us", &held_us),
        ];
        self.context.recorder.record("ejection", &fields);
    }

    async fn ask_arbiter(&self, service: &str, zone: &str, wish: &EjectionWish) -> bool {
        let Some(resource) = self.arbiter_resource(service) else {
            return false;
        };
        let now = self.context.clock.now();
        if self.context.held_epoch(&resource, now).is_some() {
            return self.eject_here(service, &wish.server, wish.hold) == Some(true);
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
        let answer = self.ask_arbiter_at(arbiter, service, zone, wish).await;
        answer.unwrap_or(false)
    }

    async fn ask_arbiter_at(
        &self,
        arbiter: SocketAddr,
        service: &str,
        zone: &str,
        wish: &EjectionWish,
    ) -> Result<bool, DaemonError> {
        let stamp = self.context.recorder.clock().tick();
        let call = |link: peer_link::Client| async move {
            let mut request = link.ask_ejection_request();
            request.get().set_stamp(stamp);
            let mut ask = request.get().init_ask();
            ask.set_service(service);
            ask.set_zone(zone);
            ask.set_server(&wish.server);
            ask.set_eject(true);
            ask.set_hold_us(micros(wish.hold));
            let response = request.send().promise.await?;
            let response = response.get()?;
            Ok(response.get_granted() && response.get_arbiter())
        };
        self.links
            .call(arbiter, "ask ejection", ARBITER_LIMIT, call)
            .await
    }

    /// The cell whose holder decides about a service's ejections.
    fn arbiter_resource(&self, service: &str) -> Option<String> {
        let snapshot = self.context.snapshot.load();
        let zone = snapshot.service(service)?.zones.iter().min()?;
        Some(cell_resource(service, zone))
    }

    /// Decides an ejection as the arbiter; none when this host is not.
    pub(super) fn eject_here(&self, service: &str, server: &str, hold: Duration) -> Option<bool> {
        let resource = self.arbiter_resource(service)?;
        let now = self.context.clock.now();
        let epoch = self.context.held_epoch(&resource, now)?;
        let snapshot = self.context.snapshot.load();
        let settings = ArbiterSettings {
            floor: usize::try_from(snapshot.service(service)?.floor).unwrap_or(usize::MAX),
            ..Default::default()
        };
        let mut floors = self.floors.borrow_mut();
        let record = floors
            .entry(service.to_owned())
            .or_insert_with(|| FloorRecord::open(now, epoch, settings));
        if record.epoch != epoch {
            *record = FloorRecord::open(now, epoch, settings);
        }
        let servers = self.context.servers.load();
        let usable = servers.iter().filter(|entry| {
            entry.service == service
                && entry.state == DirectoryState::Live
                && snapshot.zone_is_in(&entry.zone)
        });
        record.floor.set_floor(settings.floor);
        record
            .floor
            .set_servers(usable.map(|entry| entry.name.as_str()));
        Some(record.floor.eject(now, server, hold))
    }
}

impl FloorRecord {
    fn open(now: MonotonicTime, epoch: u64, settings: ArbiterSettings) -> Self {
        let floor = if epoch <= 1 {
            EjectionArbiter::new(settings)
        } else {
            EjectionArbiter::after_takeover(now, settings)
        };
        FloorRecord { epoch, floor }
    }
}
