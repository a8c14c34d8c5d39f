use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    MonotonicTime, OutcomeKind, OutcomeSample, ServerAction, ServerDetector, ServerVerdict,
    detection::{
        DetectionSettings,
        evidence::{BadKind, SampleClass, ServerEvidence, failure_ratio, slowness_ratio},
        paths::{Attribution, BadPaths, SourceMap},
        pending::PendingSample,
        reference::{AnswerLatency, KindShares, LatencyWindow, RecentShares, medians_of_others},
        stage::{ServerStage, StageKeeper},
    },
};

/// Samples of one server that are kept between two evaluations.
const PENDING_MAX: usize = 4096;

/// A server or source that was silent for longer does not count as present.
const PRESENCE: Duration = Duration::from_secs(10);

/// Failed probes in a row, without any real work, that make a server suspect.
const PROBE_FAILURES: u32 = 3;

/// Share of the work for a server that only its probes speak against.
const PROBE_WEIGHT: f64 = 0.5;

/// Time after which a fault that one source alone sees, while others hardly
/// send, is taken as its path's.
const UNDECIDED_SPAN: Duration = Duration::from_secs(5);

/// Finds the servers of one cell that fail grayly, from pooled outcomes.
///
/// Every request is scored against what the cell's other servers show in the
/// same seconds, once for failures and once for latency. A server whose
/// score reaches the threshold is ejected when several sources agree and at
/// most half of the cell looks bad. See docs/DESIGN.md.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use mangostep_policy::{
///     GrayDetector, MonotonicTime, OutcomeKind, OutcomeSample, ServerAction, ServerDetector,
/// };
///
/// let mut detector = GrayDetector::new(Default::default());
/// let mut verdicts = Vec::new();
/// for turn in 0..60_u64 {
///     let now = MonotonicTime::from_micros(turn * 50_000);
///     for (server, outcome) in [
///         ("s1", OutcomeKind::Answered),
///         ("s2", OutcomeKind::ServerError),
///     ] {
///         let source = ["h1", "h2", "h3"][turn as usize % 3];
///         let latency = Duration::from_millis(5);
///         let sample = OutcomeSample {
///             server,
///             source,
///             outcome,
///             header: latency,
///             total: latency,
///             is_probe: false,
///         };
///         detector.observe(now, sample);
///     }
///     detector.verdicts(now, &mut verdicts);
/// }
/// assert_eq!(verdicts.len(), 1);
/// assert_eq!(verdicts[0].server, "s2");
/// assert!(matches!(verdicts[0].action, ServerAction::Eject { .. }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct GrayDetector {
    settings: DetectionSettings,
    servers: BTreeMap<String, ServerRecord>,
    sources: BTreeMap<String, MonotonicTime>,
    source_map: SourceMap,
    evaluated: MonotonicTime,
}

/// What is known of one server.
#[derive(Clone, Debug, Default)]
struct ServerRecord {
    pending: VecDeque<PendingSample>,
    latencies: LatencyWindow,
    failed: RecentShares,
    slow: RecentShares,
    failures: ServerEvidence,
    slowness: ServerEvidence,
    paths: BadPaths,
    stage: StageKeeper,
    last_work: MonotonicTime,
    probe_failures: u32,
    /// The weight of the suspicion that stands, if one does.
    suspicion: Option<f64>,
}

/// What the other servers of the cell show.
#[derive(Clone, Copy, Debug, Default)]
struct OtherServers {
    latency: Option<AnswerLatency>,
    failed: KindShares,
    slow: KindShares,
}

impl GrayDetector {
    /// Makes a detector that knows of no server.
    pub fn new(settings: DetectionSettings) -> Self {
        GrayDetector {
            settings,
            ..Default::default()
        }
    }

    /// Takes note of the availability zone of an entry host.
    ///
    /// A host that was never placed counts as a zone of its own.
    pub fn place_source(&mut self, source: &str, zone: &str) {
        self.source_map.place(source, zone);
    }

    /// Whether the path from an entry host to a server fails though others
    /// reach that server.
    pub fn is_path_bad(&self, now: MonotonicTime, server: &str, source: &str) -> bool {
        self.servers
            .get(server)
            .is_some_and(|record| record.paths.contains(source, now))
    }

    fn score_pending(&mut self, now: MonotonicTime) {
        let latencies: Vec<_> = self
            .servers
            .values_mut()
            .map(|record| record.latencies.percentile(now))
            .collect();
        let latencies = latencies_of_others(&latencies);
        for (record, latency) in self.servers.values_mut().zip(&latencies) {
            record.count_shares(now, *latency, &self.settings);
        }
        let records = self.servers.values_mut();
        let (failed, slow): (Vec<_>, Vec<_>) = records
            .map(|record| (record.failed.shares(now), record.slow.shares(now)))
            .unzip();
        let failed = KindShares::of_others(&failed);
        let slow = KindShares::of_others(&slow);
        for (place, record) in self.servers.values_mut().enumerate() {
            let others = OtherServers {
                latency: latencies[place],
                failed: failed[place],
                slow: slow[place],
            };
            record.score(now, others, &self.settings);
        }
    }

    /// Whether so much of the cell looks bad that no server is to blame.
    fn is_cell_wide(&self, now: MonotonicTime) -> bool {
        let is_present = |record: &&ServerRecord| {
            !record.stage.is_in_use() || now.since(record.last_work) <= PRESENCE
        };
        let present = self.servers.values().filter(is_present);
        let looks_bad = |record: &ServerRecord| {
            !record.stage.is_in_use() || record.worst_score() >= self.settings.eject_score / 2.0
        };
        let (all, bad) = present.fold((0, 0), |(all, bad), record| {
            (all + 1, bad + usize::from(looks_bad(record)))
        });
        bad * 2 > all
    }

    fn clear_evidence_in_use(&mut self) {
        let in_use = |record: &&mut ServerRecord| record.stage.is_in_use();
        for record in self.servers.values_mut().filter(in_use) {
            record.failures.clear();
            record.slowness.clear();
        }
    }

    fn judge(&mut self, now: MonotonicTime, verdicts: &mut Vec<ServerVerdict>) {
        if self.is_cell_wide(now) {
            // What was seen meanwhile must not count once the cell recovers.
            self.clear_evidence_in_use();
        }
        let reach: Vec<String> = self.sources.keys().cloned().collect();
        for (server, record) in &mut self.servers {
            let judged = record.judge(now, &self.source_map, &reach, &self.settings);
            if let Some((action, reason)) = judged {
                verdicts.push(ServerVerdict {
                    server: server.clone(),
                    action,
                    reason,
                });
            }
        }
    }
}

impl ServerDetector for GrayDetector {
    fn set_source_zone(&mut self, source: &str, zone: &str) {
        self.place_source(source, zone);
    }

    fn is_path_failing(&self, now: MonotonicTime, server: &str, source: &str) -> bool {
        self.is_path_bad(now, server, source)
    }

    fn observe(&mut self, now: MonotonicTime, sample: OutcomeSample<'_>) {
        if !self.servers.contains_key(sample.server) {
            let record = ServerRecord::default();
            self.servers.insert(sample.server.to_owned(), record);
        }
        let Some(record) = self.servers.get_mut(sample.server) else {
            return;
        };
        if sample.is_probe {
            record.note_probe(sample.outcome);
            return;
        }
        record.push(now, sample);
        match self.sources.get_mut(sample.source) {
            Some(seen) => *seen = now,
            None => {
                self.sources.insert(sample.source.to_owned(), now);
            }
        }
    }

    fn verdicts(&mut self, now: MonotonicTime, verdicts: &mut Vec<ServerVerdict>) {
        if now.since(self.evaluated) < self.settings.tick {
            return;
        }
        self.evaluated = now;
        self.sources.retain(|_, seen| now.since(*seen) <= PRESENCE);
        self.score_pending(now);
        self.judge(now, verdicts);
    }

    fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }
}

impl ServerRecord {
    fn push(&mut self, now: MonotonicTime, sample: OutcomeSample<'_>) {
        if self.pending.len() >= PENDING_MAX {
            self.pending.pop_front();
        }
        self.last_work = now;
        self.probe_failures = 0;
        self.pending.push_back(PendingSample {
            at: now,
            source: sample.source.to_owned(),
            outcome: sample.outcome,
            latency: AnswerLatency {
                header: sample.header,
                total: sample.total,
            },
        });
    }

    /// Counts failed probes; a good one proves nothing.
    fn note_probe(&mut self, outcome: OutcomeKind) {
        if BadKind::of(outcome).is_some() {
            self.probe_failures += 1;
        } else {
            self.probe_failures = 0;
        }
    }

    fn worst_score(&self) -> f64 {
        self.failures.score().max(self.slowness.score())
    }

    fn count_shares(
        &mut self,
        now: MonotonicTime,
        reference: Option<AnswerLatency>,
        settings: &DetectionSettings,
    ) {
        self.paths.prune(now);
        for sample in &self.pending {
            if self.paths.contains(&sample.source, now) {
                continue;
            }
            self.failed.add(now, sample.failure());
            self.slow.add(now, sample.slowness(reference, settings));
        }
    }

    fn score(&mut self, now: MonotonicTime, others: OtherServers, settings: &DetectionSettings) {
        while let Some(sample) = self.pending.pop_front() {
            if self.paths.contains(&sample.source, now) {
                continue;
            }
            let failure = sample.failure();
            let slowness = sample.slowness(others.latency, settings);
            let cap = settings.eject_score * SCORE_CAP;
            let ratio = failure_ratio(failure, &others.failed, settings);
            self.failures.add(sample.scored(failure), ratio, cap);
            let ratio = slowness_ratio(slowness, &others.slow, settings);
            self.slowness.add(sample.scored(slowness), ratio, cap);
            if sample.outcome == OutcomeKind::Answered {
                self.latencies.push(sample.at, sample.latency);
                if slowness != SampleClass::Bad(BadKind::VerySlow) {
                    self.stage.count_good();
                }
            }
        }
    }

    fn judge(
        &mut self,
        now: MonotonicTime,
        source_map: &SourceMap,
        reach: &[String],
        settings: &DetectionSettings,
    ) -> Option<(ServerAction, &'static str)> {
        if let Some(action) = self.advance(now, settings) {
            return Some((action, "trial"));
        }
        if let ServerStage::Ejected { .. } = self.stage.stage() {
            return None;
        }
        let threshold = match self.stage.is_in_trial() {
            true => settings.trial_score,
            false => settings.eject_score,
        };
        let evidence = match self.failures.score() >= self.slowness.score() {
            true => &mut self.failures,
            false => &mut self.slowness,
        };
        if !evidence.is_due(now, threshold, settings) {
            return self.suspect_by_probes();
        }
        match source_map.attribute(evidence.sources(), reach, settings) {
            Attribution::Server => {
                let reason = evidence.reason();
                let hold = self.stage.eject(now, settings);
                self.clear_evidence();
                Some((ServerAction::Eject { hold }, reason))
            }
            Attribution::Path(sources) => {
                evidence.clear();
                self.paths.add(sources, now + settings.path_hold);
                None
            }
            Attribution::Undecided { sources, .. } => {
                if evidence.span(now) >= UNDECIDED_SPAN {
                    evidence.clear();
                    self.paths.add(sources, now + settings.path_hold);
                }
                None
            }
        }
    }

    fn advance(
        &mut self,
        now: MonotonicTime,
        settings: &DetectionSettings,
    ) -> Option<ServerAction> {
        let has_evidence = self.worst_score() >= settings.trial_score / 2.0;
        let was_ejected = matches!(self.stage.stage(), ServerStage::Ejected { .. });
        let action = self.stage.advance(now, has_evidence, settings)?;
        if was_ejected {
            self.clear_evidence();
        }
        Some(action)
    }

    /// Lowers the weight of a server that does no work and fails its probes,
    /// and raises it when neither holds any more.
    fn suspect_by_probes(&mut self) -> Option<(ServerAction, &'static str)> {
        if !self.stage.is_in_use() {
            return None;
        }
        if self.probe_failures >= PROBE_FAILURES {
            return self.suspect(PROBE_WEIGHT, "probes");
        }
        let is_clear = self.worst_score() == 0.0 && self.suspicion.is_some();
        is_clear.then(|| {
            self.suspicion = None;
            (ServerAction::Readmit, "clear")
        })
    }

    fn suspect(
        &mut self,
        weight: f64,
        reason: &'static str,
    ) -> Option<(ServerAction, &'static str)> {
        if self.suspicion == Some(weight) || !self.stage.is_in_use() {
            return None;
        }
        self.suspicion = Some(weight);
        Some((ServerAction::Suspect { weight }, reason))
    }

    fn clear_evidence(&mut self) {
        self.failures.clear();
        self.slowness.clear();
        self.suspicion = None;
        self.probe_failures = 0;
    }
}

/// A score cannot grow past this multiple of the threshold.
const SCORE_CAP: f64 = 2.0;

fn latencies_of_others(own: &[Option<AnswerLatency>]) -> Vec<Option<AnswerLatency>> {
    let headers: Vec<_> = own.iter().map(|own| own.map(|own| own.header)).collect();
    let totals: Vec<_> = own.iter().map(|own| own.map(|own| own.total)).collect();
    medians_of_others(&headers)
        .into_iter()
        .zip(medians_of_others(&totals))
        .map(|(header, total)| {
            Some(AnswerLatency {
                header: header?,
                total: total?,
            })
        })
        .collect()
}
