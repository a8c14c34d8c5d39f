use std::collections::BTreeMap;

use crate::{
    MonotonicTime,
    detection::{DetectionSettings, evidence::SourceTally},
};

/// Where the evidence against a server locates the fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Attribution {
    /// In the server: several sources observe the fault, or there is only one.
    Server,
    /// On the paths from these sources; the others do not observe the fault.
    Path(Vec<String>),
    /// Undetermined: the other sources have sent too few requests.
    Undecided {
        /// Number of requests from the other sources.
        others: u32,
        /// The sources that observe the fault.
        sources: Vec<String>,
    },
}

/// Availability zones of the sources.
#[derive(Clone, Debug, Default)]
pub(crate) struct SourceZones {
    zones: BTreeMap<String, String>,
}

impl SourceZones {
    pub(crate) fn set(&mut self, source: &str, zone: &str) {
        if self
            .zones
            .get(source)
            .is_some_and(|current| current == zone)
        {
            return;
        }
        self.zones.insert(source.to_owned(), zone.to_owned());
    }

    fn zone<'s>(&'s self, source: &'s str) -> &'s str {
        self.zones.get(source).map_or(source, String::as_str)
    }

    /// Attributes a fault to the server or to the paths from some sources.
    ///
    /// `active_sources` names every source that has recently sent requests to
    /// the cell. A fault is the server's only if it is corroborated both
    /// outside the worst host and outside the worst zone.
    pub(crate) fn attribute<'s>(
        &'s self,
        tallies: &'s BTreeMap<String, SourceTally>,
        active_sources: &'s [String],
        settings: &DetectionSettings,
    ) -> Attribution {
        let by_host = self.attribute_by_group(tallies, active_sources, settings, |source| source);
        if by_host != Attribution::Server {
            return by_host;
        }
        match self.attribute_by_group(tallies, active_sources, settings, |source| {
            self.zone(source)
        }) {
            // All requests come from one zone, whose hosts agree.
            Attribution::Undecided { others: 0, .. } => Attribution::Server,
            attribution => attribution,
        }
    }

    fn attribute_by_group<'s>(
        &'s self,
        tallies: &'s BTreeMap<String, SourceTally>,
        active_sources: &'s [String],
        settings: &DetectionSettings,
        group_of: impl Fn(&'s str) -> &'s str,
    ) -> Attribution {
        let mut groups: BTreeMap<&str, SourceTally> = BTreeMap::new();
        for source in active_sources {
            groups.entry(group_of(source)).or_default();
        }
        for (source, tally) in tallies {
            let group = groups.entry(group_of(source)).or_default();
            group.score += tally.score;
            group.samples += tally.samples;
        }
        let worst = groups.iter().max_by(|a, b| a.1.score.total_cmp(&b.1.score));
        let Some((worst, _)) = worst.filter(|_| groups.len() > 1) else {
            return Attribution::Server;
        };
        let rest = groups.iter().filter(|(group, _)| *group != worst);
        let (score, samples) = rest.fold((0.0, 0), |(score, samples), (_, tally)| {
            (score + tally.score, samples + tally.samples)
        });
        if score >= settings.corroboration_score {
            return Attribution::Server;
        }
        let sources = tallies.keys().filter(|source| group_of(source) == *worst);
        let sources = sources.cloned().collect();
        match samples < settings.clear_samples {
            true => Attribution::Undecided {
                others: samples,
                sources,
            },
            false => Attribution::Path(sources),
        }
    }
}

/// Sources whose outcomes are excluded from the evidence against one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExcludedPaths {
    until: BTreeMap<String, MonotonicTime>,
}

impl ExcludedPaths {
    pub(crate) fn add(&mut self, sources: Vec<String>, until: MonotonicTime) {
        for source in sources {
            self.until.insert(source, until);
        }
    }

    pub(crate) fn contains(&self, source: &str, now: MonotonicTime) -> bool {
        self.until.get(source).is_some_and(|until| now < *until)
    }

    pub(crate) fn prune(&mut self, now: MonotonicTime) {
        self.until.retain(|_, until| now < *until);
    }
}
