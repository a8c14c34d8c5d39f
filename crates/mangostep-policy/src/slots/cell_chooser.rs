use std::{collections::HashMap, time::Duration};

use crate::MonotonicTime;

/// How an entry host distributes its requests over availability zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChooserSettings {
    /// Load of the own zone at which requests spill over to other zones.
    pub spill_threshold: f64,
    /// Load assumed for a zone without a recent reading.
    pub assumed_load: f64,
    /// Age at which a load reading becomes stale.
    pub load_age_max: Duration,
    /// Time for which a zone is ordered last after its keeper could not be
    /// reached.
    pub unreachable_for: Duration,
}

impl Default for ChooserSettings {
    fn default() -> Self {
        ChooserSettings {
            spill_threshold: 0.9,
            assumed_load: 0.5,
            load_age_max: Duration::from_secs(1),
            unreachable_for: Duration::from_secs(1),
        }
    }
}

/// Orders the cells of one service for the requests of one entry host.
///
/// The host's own zone comes first while its load is below the spill
/// threshold; the other zones follow by load.
#[derive(Clone, Debug, Default)]
pub struct CellChooser {
    settings: ChooserSettings,
    readings: HashMap<String, CellReading>,
}

#[derive(Clone, Copy, Debug, Default)]
struct CellReading {
    load: Option<(MonotonicTime, f64)>,
    unreachable_until: MonotonicTime,
}

impl CellChooser {
    /// Creates a chooser without load readings.
    pub fn new(settings: ChooserSettings) -> Self {
        CellChooser {
            settings,
            readings: HashMap::new(),
        }
    }

    /// Records the load that a zone's keeper reported: used slots plus waiting
    /// requests, divided by the cell's slots.
    pub fn record_load(&mut self, now: MonotonicTime, zone: &str, load: f64) {
        let reading = self.readings.entry(zone.to_owned()).or_default();
        reading.load = Some((now, load));
        reading.unreachable_until = MonotonicTime::ZERO;
    }

    /// Records that no keeper of a zone could be reached.
    pub fn record_unreachable(&mut self, now: MonotonicTime, zone: &str) {
        let reading = self.readings.entry(zone.to_owned()).or_default();
        reading.unreachable_until = now + self.settings.unreachable_for;
    }

    /// Whether the zone's keeper could not be reached within the last
    /// [`ChooserSettings::unreachable_for`].
    pub fn is_unreachable(&self, now: MonotonicTime, zone: &str) -> bool {
        let reading = self.readings.get(zone);
        reading.is_some_and(|reading| now < reading.unreachable_until)
    }

    /// Orders `zones`, best first.
    ///
    /// `own` is the zone of the host. Zones out of service must be left out by
    /// the caller.
    pub fn order<'z>(
        &self,
        now: MonotonicTime,
        own_zone: &str,
        zones: impl IntoIterator<Item = &'z str>,
    ) -> Vec<&'z str> {
        let mut ranked: Vec<(bool, f64, &str)> = zones
            .into_iter()
            .map(|zone| {
                (
                    self.is_unreachable(now, zone),
                    self.rank(now, own_zone, zone),
                    zone,
                )
            })
            .collect();
        ranked.sort_by(|a, b| {
            let by_load = a.1.total_cmp(&b.1);
            a.0.cmp(&b.0).then(by_load).then_with(|| a.2.cmp(b.2))
        });
        ranked.into_iter().map(|(_, _, zone)| zone).collect()
    }

    fn rank(&self, now: MonotonicTime, own_zone: &str, zone: &str) -> f64 {
        let reading = self.readings.get(zone).and_then(|reading| reading.load);
        let load = match reading {
            Some((at, load)) if now.since(at) <= self.settings.load_age_max => load,
            _ => self.settings.assumed_load,
        };
        let has_capacity = load < self.settings.spill_threshold;
        if zone == own_zone && has_capacity {
            -1.0
        } else {
            load
        }
    }
}
