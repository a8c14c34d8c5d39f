use std::{collections::HashMap, time::Duration};

use crate::MonotonicTime;

/// How an asking host spreads its requests over availability zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChooserSettings {
    /// Load from which work leaves the own zone.
    pub spill_load: f64,
    /// Load that is assumed of a zone that has not answered lately.
    pub unknown_load: f64,
    /// How long an answer tells the load.
    pub answer_age_max: Duration,
    /// How long a zone whose keeper could not be reached comes last.
    pub dark_for: Duration,
}

impl Default for ChooserSettings {
    fn default() -> Self {
        ChooserSettings {
            spill_load: 0.9,
            unknown_load: 0.5,
            answer_age_max: Duration::from_secs(1),
            dark_for: Duration::from_secs(1),
        }
    }
}

/// Orders the cells of one service for the requests of one host.
///
/// The own zone comes first while it has room, then the others by load.
#[derive(Clone, Debug, Default)]
pub struct CellChooser {
    settings: ChooserSettings,
    cells: HashMap<String, CellReading>,
}

#[derive(Clone, Copy, Debug, Default)]
struct CellReading {
    answered: Option<(MonotonicTime, f64)>,
    dark_until: MonotonicTime,
}

impl CellChooser {
    /// Opens a chooser that knows no load.
    pub fn new(settings: ChooserSettings) -> Self {
        CellChooser {
            settings,
            cells: HashMap::new(),
        }
    }

    /// Takes note of the load in a zone's answer: used slots and waiting
    /// requests as a share of all slots.
    pub fn record_load(&mut self, now: MonotonicTime, zone: &str, load: f64) {
        let reading = self.cells.entry(zone.to_owned()).or_default();
        reading.answered = Some((now, load));
        reading.dark_until = MonotonicTime::ZERO;
    }

    /// Takes note that nobody answers for a zone.
    pub fn record_unreachable(&mut self, now: MonotonicTime, zone: &str) {
        let reading = self.cells.entry(zone.to_owned()).or_default();
        reading.dark_until = now + self.settings.dark_for;
    }

    /// Whether nobody answered for the zone lately.
    pub fn is_dark(&self, now: MonotonicTime, zone: &str) -> bool {
        let reading = self.cells.get(zone);
        reading.is_some_and(|reading| now < reading.dark_until)
    }

    /// Orders zones that take work, best first.
    pub fn order<'z>(
        &self,
        now: MonotonicTime,
        own: &str,
        zones: impl IntoIterator<Item = &'z str>,
    ) -> Vec<&'z str> {
        let mut ranked: Vec<(bool, f64, &str)> = zones
            .into_iter()
            .map(|zone| (self.is_dark(now, zone), self.rank(now, own, zone), zone))
            .collect();
        ranked.sort_by(|a, b| {
            let by_load = a.1.total_cmp(&b.1);
            a.0.cmp(&b.0).then(by_load).then_with(|| a.2.cmp(b.2))
        });
        ranked.into_iter().map(|(_, _, zone)| zone).collect()
    }

    fn rank(&self, now: MonotonicTime, own: &str, zone: &str) -> f64 {
        let reading = self.cells.get(zone).and_then(|reading| reading.answered);
        let load = match reading {
            Some((at, load)) if now.since(at) <= self.settings.answer_age_max => load,
            _ => self.settings.unknown_load,
        };
        let is_roomy = load < self.settings.spill_load;
        if zone == own && is_roomy { -1.0 } else { load }
    }
}
