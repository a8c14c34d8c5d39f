use std::collections::BTreeMap;

use crate::{
    MonotonicTime,
    detection::{DetectionSettings, evidence::SourceTally},
};

/// Whose fault the evidence against a server shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Attribution {
    /// Several sources see it, or there is only one.
    Server,
    /// The sources named here see it, the others don't.
    Path(Vec<String>),
    /// The other sources have sent too little to tell.
    Undecided {
        /// The requests that they sent.
        others: u32,
        /// The sources that see it.
        sources: Vec<String>,
    },
}

/// The availability zones of the sources.
#[derive(Clone, Debug, Default)]
pub(crate) struct SourceMap {
    zones: BTreeMap<String, String>,
}

impl SourceMap {
    pub(crate) fn place(&mut self, source: &str, zone: &str) {
        if self.zones.get(source).is_some_and(|known| known == zone) {
            return;
        }
        self.zones.insert(source.to_owned(), zone.to_owned());
    }

    fn zone<'s>(&'s self, source: &'s str) -> &'s str {
        self.zones.get(source).map_or(source, String::as_str)
    }

    /// Tells a fault of the server from one of a path to it.
    ///
    /// `reach` names every source that has lately sent to the cell. Whatever
    /// one host sees, and whatever one zone sees, must be seen by others too.
    pub(crate) fn attribute<'s>(
        &'s self,
        tallies: &'s BTreeMap<String, SourceTally>,
        reach: &'s [String],
        settings: &DetectionSettings,
    ) -> Attribution {
        let by_host = self.leave_one_out(tallies, reach, settings, |source| source);
        if by_host != Attribution::Server {
            return by_host;
        }
        match self.leave_one_out(tallies, reach, settings, |source| self.zone(source)) {
            // All of its work comes from one zone, whose hosts agree.
            Attribution::Undecided { others: 0, .. } => Attribution::Server,
            other => other,
        }
    }

    fn leave_one_out<'s>(
        &'s self,
        tallies: &'s BTreeMap<String, SourceTally>,
        reach: &'s [String],
        settings: &DetectionSettings,
        group_of: impl Fn(&'s str) -> &'s str,
    ) -> Attribution {
        let mut groups: BTreeMap<&str, SourceTally> = BTreeMap::new();
        for source in reach {
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

/// Paths to one server that are left out of its evidence.
#[derive(Clone, Debug, Default)]
pub(crate) struct BadPaths {
    until: BTreeMap<String, MonotonicTime>,
}

impl BadPaths {
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
