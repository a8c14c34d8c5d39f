use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    AgeBounds, AgedFigure, FigureAge, FigureSource, MonotonicTime,
    admission::{LoadReport, ServiceDemand, ZoneLoad},
};

/// Change of a zone's demand, as a share of it, that is passed on at once. The
/// rates of a zone vary by less while its demand is steady.
const SUDDEN_CHANGE: f64 = 0.25;

/// Settings of a [`FleetLoad`].
#[derive(Clone, Debug, PartialEq)]
pub struct FleetLoadSettings {
    /// Ages of the sum of a zone. It is sent every half second and passed on
    /// once between zones.
    pub zone_ages: AgeBounds,
    /// Age from which on the report of a single host is left out of the sum:
    /// three missed reports.
    pub host_timeout: Duration,
}

impl Default for FleetLoadSettings {
    fn default() -> Self {
        FleetLoadSettings {
            zone_ages: AgeBounds {
                fresh: Duration::from_millis(1_500),
                expired: Duration::from_secs(4),
            },
            host_timeout: Duration::from_millis(1_700),
        }
    }
}

/// Demand for a service over the zones that this host hears from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetDemand {
    /// Sum over these zones.
    pub demand: ServiceDemand,
    /// Age of the oldest part of the sum.
    pub age: Duration,
    /// How far the sum may be relied on, from 1 while all of it is fresh to 0
    /// if this host knows only its own demand.
    pub confidence: f64,
    /// Number of hosts in the sum.
    pub hosts: u32,
    /// Number of zones that reported once and are no longer heard.
    pub unheard_zones: usize,
}

/// Demand for each service over the fleet.
///
/// Hosts report their demand to the watchers of their zone. A watcher sums it
/// and sends the sum to the hosts of its zone and to the watchers of the other
/// zones, which pass it on. A host thus hears one sum for each zone.
#[derive(Clone, Debug, Default)]
pub struct FleetLoad {
    settings: FleetLoadSettings,
    own_zone: String,
    hosts: HashMap<String, AgedFigure<Vec<LoadReport>>>,
    zones: BTreeMap<String, AgedFigure<ZoneLoad>>,
}

impl FleetLoad {
    /// Creates the table of a host in `own_zone`.
    pub fn open(own_zone: &str, settings: FleetLoadSettings) -> Self {
        FleetLoad {
            settings,
            own_zone: own_zone.to_owned(),
            ..Default::default()
        }
    }

    /// Records the demand on a host of the own zone.
    pub fn record_host(
        &mut self,
        host: &str,
        source: FigureSource,
        loads: Vec<LoadReport>,
        now: MonotonicTime,
    ) {
        let figure = AgedFigure::new(loads, now, source);
        self.hosts.insert(host.to_owned(), figure);
    }

    /// Records the sum of a zone, unless a later one is known. Returns whether
    /// it differs so much from the earlier one that it is passed on at once.
    pub fn record_zone(
        &mut self,
        load: ZoneLoad,
        source: FigureSource,
        now: MonotonicTime,
    ) -> bool {
        let observed = now - Duration::from_millis(load.age_ms.into());
        let zone = load.zone.clone();
        let figure = AgedFigure::new(load, observed, source);
        match self.zones.get_mut(&zone) {
            Some(known) => {
                let earlier = offered_of(known.value());
                let change = (offered_of(figure.value()) - earlier).abs();
                known.update(figure) && change > earlier * SUDDEN_CHANGE
            }
            None => {
                self.zones.insert(zone, figure);
                true
            }
        }
    }

    /// Sums the own zone on a watcher, from this host's own demand and the
    /// reports of the others.
    pub fn sum_own_zone(&mut self, own: &[LoadReport], now: MonotonicTime) {
        let timeout = self.settings.host_timeout;
        self.hosts.retain(|_, figure| figure.age(now) < timeout);
        let mut sums: BTreeMap<&str, ServiceDemand> = BTreeMap::new();
        let reported = self.hosts.values().flat_map(AgedFigure::value);
        for load in reported.chain(own) {
            *sums.entry(&load.service).or_default() += load.demand();
        }
        let loads = sums
            .iter()
            .map(|(service, demand)| LoadReport::new(service, demand));
        let load = ZoneLoad {
            zone: self.own_zone.clone(),
            age_ms: 0,
            hosts: u32::try_from(self.hosts.len() + 1).unwrap_or(u32::MAX),
            loads: loads.collect(),
        };
        self.record_zone(load, FigureSource::Own, now);
    }

    /// The sums that a watcher sends, with their ages.
    pub fn zone_loads(&self, now: MonotonicTime) -> Vec<ZoneLoad> {
        let bounds = self.settings.zone_ages;
        let known = self.zones.values();
        known
            .filter_map(|figure| {
                let load = figure.unless_expired(bounds, now)?;
                Some(ZoneLoad {
                    age_ms: u32::try_from(figure.age(now).as_millis()).unwrap_or(u32::MAX),
                    ..load.clone()
                })
            })
            .collect()
    }

    /// Demand for a service over the zones that are heard; `own` is the
    /// demand on this host, which counts alone if its zone isn't heard.
    pub fn fleet_demand(
        &self,
        service: &str,
        own: &ServiceDemand,
        now: MonotonicTime,
    ) -> FleetDemand {
        let bounds = self.settings.zone_ages;
        let mut fleet = FleetDemand {
            demand: ServiceDemand::default(),
            age: Duration::ZERO,
            confidence: 1.0,
            hosts: 0,
            unheard_zones: 0,
        };
        for figure in self.zones.values() {
            if figure.classify(bounds, now) == FigureAge::Expired {
                fleet.unheard_zones += 1;
                continue;
            }
            let age = figure.age(now);
            let load = figure.value();
            fleet.age = fleet.age.max(age);
            fleet.confidence = fleet.confidence.min(confidence_at(age, bounds));
            fleet.hosts += load.hosts;
            for load in load.loads.iter().filter(|load| load.service == service) {
                fleet.demand += load.demand();
            }
        }
        let own_zone = self.zones.get(&self.own_zone);
        let hears_own_zone =
            own_zone.is_some_and(|figure| figure.classify(bounds, now) != FigureAge::Expired);
        if !hears_own_zone {
            fleet.demand += *own;
            fleet.hosts += 1;
            fleet.confidence = 0.0;
        }
        fleet
    }
}

/// Demand of a zone for all services together.
fn offered_of(load: &ZoneLoad) -> f64 {
    let loads = load.loads.iter();
    loads.map(|load| load.demand().offered.total()).sum()
}

/// Falls from 1 at the fresh age to 0 at the expired one.
fn confidence_at(age: Duration, bounds: AgeBounds) -> f64 {
    let span = bounds.expired.saturating_sub(bounds.fresh).as_secs_f64();
    let late = age.saturating_sub(bounds.fresh).as_secs_f64();
    (1.0 - late / span.max(f64::EPSILON)).clamp(0.0, 1.0)
}
