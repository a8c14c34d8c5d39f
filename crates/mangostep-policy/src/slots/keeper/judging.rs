use crate::{
    MonotonicTime, OutcomeKind, OutcomeSample, ServerAction, ServerDetector, ServerVerdict,
    slots::{
        ColdStart, KeeperAction, ListedServer, ProbeResult, SlotKeeper, server_state::ServerState,
    },
};

/// Weight of a server whose ejection is wanted but not granted.
const UNGRANTED_EJECTION_WEIGHT: f64 = 0.1;

impl<D: ServerDetector> SlotKeeper<D> {
    pub(super) fn update_servers(&mut self, now: MonotonicTime, listed: &[ListedServer]) {
        for server in self.servers.values_mut() {
            let is_listed = listed.iter().any(|entry| entry.name == server.name);
            if server.is_listed && !is_listed {
                server.is_listed = false;
                self.detector.forget(&server.name);
            }
        }
        let settings = self.settings.cold_start;
        for entry in listed {
            let servers = &mut self.servers;
            let key = *self
                .keys_by_name
                .entry(entry.name.clone())
                .or_insert_with(|| {
                    servers.insert(ServerState::new(&entry.name, ColdStart::cold(settings)))
                });
            self.servers[key].update_listing(now, entry.is_leaving, settings);
        }
        // An unlisted server is kept while it holds permits, since it may be
        // listed again before they end.
        let keys_by_name = &mut self.keys_by_name;
        self.servers.retain(|_, server| {
            let is_kept = server.is_listed || server.used > 0;
            if !is_kept {
                keys_by_name.remove(&server.name);
            }
            is_kept
        });
    }

    pub(super) fn record_probe(&mut self, now: MonotonicTime, probe: &ProbeResult) {
        let Some(key) = self.keys_by_name.get(&probe.server) else {
            return;
        };
        let server = &mut self.servers[*key];
        // A misleading probe must not take a server out of use, so a probe that
        // reports draining is ignored here.
        if probe.outcome == OutcomeKind::Cold {
            server.reset_cold_start(now);
        }
        self.detector.observe(
            now,
            OutcomeSample {
                server: &probe.server,
                source: "",
                outcome: probe.outcome,
                header: probe.total,
                total: probe.total,
                is_probe: true,
            },
        );
    }

    pub(super) fn apply_verdicts(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        let mut verdicts = std::mem::take(&mut self.verdicts);
        self.detector.verdicts(now, &mut verdicts);
        for verdict in &verdicts {
            self.apply_verdict(now, verdict);
        }
        self.request_ejections(now, &verdicts, actions);
        verdicts.clear();
        self.verdicts = verdicts;
    }

    pub(super) fn apply_verdict(&mut self, now: MonotonicTime, verdict: &ServerVerdict) {
        let Some(key) = self.keys_by_name.get(&verdict.server) else {
            return;
        };
        let server = &mut self.servers[*key];
        let (weight, is_ejection) = match verdict.action {
            ServerAction::Readmit => (1.0, false),
            ServerAction::Suspect { weight } => (weight.clamp(0.0, 1.0), false),
            ServerAction::Eject { .. } => (UNGRANTED_EJECTION_WEIGHT, true),
        };
        server.weight = weight;
        if !is_ejection {
            server.cancel_ejection();
        }
        if let ServerAction::Eject { hold } = verdict.action {
            server.want_ejection(now, hold);
        }
    }

    pub(super) fn request_ejections(
        &mut self,
        now: MonotonicTime,
        verdicts: &[ServerVerdict],
        actions: &mut Vec<KeeperAction>,
    ) {
        if !self.trusts_suspicions(now) {
            return;
        }
        for server in self.servers.values_mut() {
            let Some(hold) = server.due_ejection_request(now) else {
                continue;
            };
            let verdict = verdicts
                .iter()
                .find(|verdict| verdict.server == server.name);
            actions.push(KeeperAction::RequestEjection {
                server: server.name.clone(),
                hold: hold.min(self.settings.ejection_max),
                reason: verdict.map_or("asked-again", |verdict| verdict.reason),
            });
        }
    }

    pub(super) fn apply_ejection_decision(&mut self, server: &str, until: Option<MonotonicTime>) {
        let key = self.keys_by_name.get(server);
        if let (Some(key), Some(until)) = (key, until) {
            self.servers[*key].apply_ejection(until);
        }
    }
}
