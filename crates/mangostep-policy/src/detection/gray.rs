use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    MonotonicTime, OutcomeKind, OutcomeSample, ServerAction, ServerDetector, ServerVerdict,
    detection::{
        DetectionSettings,
        evidence::{FaultEvidence, FaultKind, SampleClass, failure_log_ratio, slowness_log_ratio},
        paths::{Attribution, ExcludedPaths, SourceZones},
        pending::PendingSample,
        reference::{
            AnswerLatency, FaultShares, LatencyWindow, RecentFaultShares, medians_of_others,
        },
        stage::{ServerStage, StageTracker},
    },
};

/// Bound on the samples of one server that are queued between two evaluations.
const PENDING_MAX: usize = 4096;

/// Time without samples after which a server or source is no longer present.
const PRESENCE_WINDOW: Duration = Duration::from_secs(10);

/// Consecutive failed probes, without any request in between, after which a
/// server is suspected.
const SUSPECT_PROBE_FAILURES: u32 = 3;

/// Weight of a server that is suspected only because of its failed probes.
const PROBE_SUSPECT_WEIGHT: f64 = 0.5;

/// Time after which a fault that only one source observes, while the others
/// send too few requests, is attributed to the path of that source.
const UNDECIDED_SPAN_MAX: Duration = Duration::from_secs(5);

/// Detects gray failures of the servers of one cell from the pooled outcomes
/// of all entry hosts.
///
/// Each request is scored for failure and for latency, in comparison with the
/// recent requests to the cell's other servers. A server whose score reaches
/// the threshold is ejected if several sources agree and at most half of the
/// cell's servers look failing. See docs/DESIGN.md.
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
    source_zones: SourceZones,
    last_evaluation: MonotonicTime,
}

/// Detection state of one server.
#[derive(Clone, Debug, Default)]
struct ServerRecord {
    pending: VecDeque<PendingSample>,
    latencies: LatencyWindow,
    failed: RecentFaultShares,
    slow: RecentFaultShares,
    failures: FaultEvidence,
    slowness: FaultEvidence,
    paths: ExcludedPaths,
    stage: StageTracker,
    last_work: MonotonicTime,
    probe_failures: u32,
    /// Weight that the server has while it is suspected.
    suspected_weight: Option<f64>,
}

/// Reference values from the other servers of the cell.
#[derive(Clone, Copy, Debug, Default)]
struct OthersReference {
    latency: Option<AnswerLatency>,
    failed: FaultShares,
    slow: FaultShares,
}

impl GrayDetector {
    /// Creates a detector without any server.
    pub fn new(settings: DetectionSettings) -> Self {
        GrayDetector {
            settings,
            ..Default::default()
        }
    }

    /// Sets the availability zone of an entry host.
    ///
    /// A host whose zone was never set counts as a zone of its own.
    pub fn set_source_zone(&mut self, source: &str, zone: &str) {
        self.source_zones.set(source, zone);
    }

    /// Whether the path from an entry host to a server is failing while other
    /// hosts reach that server.
    pub fn is_path_failing(&self, now: MonotonicTime, server: &str, source: &str) -> bool {
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
        let failed = FaultShares::of_others(&failed);
        let slow = FaultShares::of_others(&slow);
        for (index, record) in self.servers.values_mut().enumerate() {
            let others = OthersReference {
                latency: latencies[index],
                failed: failed[index],
                slow: slow[index],
            };
            record.score(now, others, &self.settings);
        }
    }

    /// Whether more than half of the present servers look failing, so that the
    /// fault is not that of a single server.
    fn is_fault_cell_wide(&self, now: MonotonicTime) -> bool {
        let is_present = |record: &&ServerRecord| {
            !record.stage.is_in_use() || now.since(record.last_work) <= PRESENCE_WINDOW
        };
        let present = self.servers.values().filter(is_present);
        let looks_failing = |record: &ServerRecord| {
            !record.stage.is_in_use() || record.worst_score() >= self.settings.eject_score / 2.0
        };
        let (all, failing) = present.fold((0, 0), |(all, failing), record| {
            (all + 1, failing + usize::from(looks_failing(record)))
        });
        failing * 2 > all
    }

    fn clear_evidence_of_servers_in_use(&mut self) {
        let is_in_use = |record: &&mut ServerRecord| record.stage.is_in_use();
        for record in self.servers.values_mut().filter(is_in_use) {
            record.failures.clear();
            record.slowness.clear();
        }
    }

    fn judge(&mut self, now: MonotonicTime, verdicts: &mut Vec<ServerVerdict>) {
        if self.is_fault_cell_wide(now) {
            // Evidence from a fault of the whole cell must not eject a single
            // server once the cell recovers.
            self.clear_evidence_of_servers_in_use();
        }
        let active_sources: Vec<String> = self.sources.keys().cloned().collect();
        for (server, record) in &mut self.servers {
            let verdict = record.judge(now, &self.source_zones, &active_sources, &self.settings);
            if let Some((action, reason)) = verdict {
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
        self.set_source_zone(source, zone);
    }

    fn is_path_failing(&self, now: MonotonicTime, server: &str, source: &str) -> bool {
        self.is_path_failing(now, server, source)
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
            record.record_probe(sample.outcome);
            return;
        }
        record.push_sample(now, sample);
        match self.sources.get_mut(sample.source) {
            Some(last_seen) => *last_seen = now,
            None => {
                self.sources.insert(sample.source.to_owned(), now);
            }
        }
    }

    fn verdicts(&mut self, now: MonotonicTime, verdicts: &mut Vec<ServerVerdict>) {
        if now.since(self.last_evaluation) < self.settings.tick {
            return;
        }
        self.last_evaluation = now;
        self.sources
            .retain(|_, last_seen| now.since(*last_seen) <= PRESENCE_WINDOW);
        self.score_pending(now);
        self.judge(now, verdicts);
    }

    fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }
}

impl ServerRecord {
    fn push_sample(&mut self, now: MonotonicTime, sample: OutcomeSample<'_>) {
        if self.pending.len() >= PENDING_MAX {
            self.pending.pop_front();
        }
        self.last_work = now;
        self.probe_failures = 0;
        self.pending.push_back(PendingSample {
            ended: now,
            source: sample.source.to_owned(),
            outcome: sample.outcome,
            latency: AnswerLatency {
                header: sample.header,
                total: sample.total,
            },
        });
    }

    /// Counts consecutive failed probes.
    ///
    /// A passed probe only resets this count; it is no evidence for the
    /// server, since a server with a gray failure can pass its probes.
    fn record_probe(&mut self, outcome: OutcomeKind) {
        if FaultKind::of(outcome).is_some() {
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
            self.failed.add(now, sample.failure_class());
            self.slow
                .add(now, sample.slowness_class(reference, settings));
        }
    }

    fn score(&mut self, now: MonotonicTime, others: OthersReference, settings: &DetectionSettings) {
        while let Some(sample) = self.pending.pop_front() {
            if self.paths.contains(&sample.source, now) {
                continue;
            }
            let failure = sample.failure_class();
            let slowness = sample.slowness_class(others.latency, settings);
            let cap = settings.eject_score * SCORE_CAP_FACTOR;
            let ratio = failure_log_ratio(failure, &others.failed, settings);
            self.failures.add(sample.to_scored(failure), ratio, cap);
            let ratio = slowness_log_ratio(slowness, &others.slow, settings);
            self.slowness.add(sample.to_scored(slowness), ratio, cap);
            if sample.outcome == OutcomeKind::Answered {
                self.latencies.push(sample.ended, sample.latency);
                if slowness != SampleClass::Bad(FaultKind::VerySlow) {
                    self.stage.record_good_answer();
                }
            }
        }
    }

    fn judge(
        &mut self,
        now: MonotonicTime,
        source_zones: &SourceZones,
        active_sources: &[String],
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
        if !evidence.is_conclusive(now, threshold, settings) {
            return self.suspect_by_probes();
        }
        match source_zones.attribute(evidence.sources(), active_sources, settings) {
            Attribution::Server => {
                let reason = evidence.reason();
                let hold = self.stage.eject(now, settings);
                self.clear_evidence();
                Some((ServerAction::Eject { hold }, reason))
            }
            Attribution::Path(sources) => {
                evidence.clear();
                self.paths.add(sources, now + settings.path_exclusion);
                None
            }
            Attribution::Undecided { sources, .. } => {
                if evidence.span(now) >= UNDECIDED_SPAN_MAX {
                    evidence.clear();
                    self.paths.add(sources, now + settings.path_exclusion);
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

    /// Lowers the weight of a server that gets no requests and fails its
    /// probes, and restores it once there is no evidence against the server.
    fn suspect_by_probes(&mut self) -> Option<(ServerAction, &'static str)> {
        if !self.stage.is_in_use() {
            return None;
        }
        if self.probe_failures >= SUSPECT_PROBE_FAILURES {
            return self.suspect(PROBE_SUSPECT_WEIGHT, "probes");
        }
        let is_clear = self.worst_score() == 0.0 && self.suspected_weight.is_some();
        is_clear.then(|| {
            self.suspected_weight = None;
            (ServerAction::Readmit, "clear")
        })
    }

    fn suspect(
        &mut self,
        weight: f64,
        reason: &'static str,
    ) -> Option<(ServerAction, &'static str)> {
        if self.suspected_weight == Some(weight) || !self.stage.is_in_use() {
            return None;
        }
        self.suspected_weight = Some(weight);
        Some((ServerAction::Suspect { weight }, reason))
    }

    fn clear_evidence(&mut self) {
        self.failures.clear();
        self.slowness.clear();
        self.suspected_weight = None;
        self.probe_failures = 0;
    }
}

/// Bound on a score, as a multiple of `eject_score`.
const SCORE_CAP_FACTOR: f64 = 2.0;

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
