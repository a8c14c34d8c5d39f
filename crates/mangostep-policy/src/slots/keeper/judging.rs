use crate::{
    MonotonicTime, OutcomeKind, OutcomeSample, ServerAction, ServerDetector, ServerVerdict,
    slots::{
        ColdStart, KeeperAction, ListedServer, ProbeResult, SlotKeeper, server_state::ServerState,
    },
};

/// Weight of a server whose ejection is not granted.
const UNGRANTED_WEIGHT: f64 = 0.1;

impl<D: ServerDetector> SlotKeeper<D> {
    pub(super) fn list(&mut self, now: MonotonicTime, listed: &[ListedServer]) {
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
            let key = *self.names.entry(entry.name.clone()).or_insert_with(|| {
                servers.insert(ServerState::new(&entry.name, ColdStart::cold(settings)))
            });
            self.servers[key].list(now, entry.is_leaving, settings);
        }
        // A server with permits out is kept, in case that it comes back.
        let names = &mut self.names;
        self.servers.retain(|_, server| {
            let stays = server.is_listed || server.used > 0;
            if !stays {
                names.remove(&server.name);
            }
            stays
        });
    }

    pub(super) fn probe(&mut self, now: MonotonicTime, probe: &ProbeResult) {
        let Some(key) = self.names.get(&probe.server) else {
            return;
        };
        let server = &mut self.servers[*key];
        // A probe that misleads must not take a server out of use, so its word
        // that the server leaves does not count here.
        if probe.outcome == OutcomeKind::Cold {
            server.turn_cold(now);
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

    pub(super) fn take_verdicts(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        let mut verdicts = std::mem::take(&mut self.verdicts);
        self.detector.verdicts(now, &mut verdicts);
        for verdict in &verdicts {
            self.take_verdict(now, verdict);
        }
        self.ask_ejections(now, &verdicts, actions);
        verdicts.clear();
        self.verdicts = verdicts;
    }

    pub(super) fn take_verdict(&mut self, now: MonotonicTime, verdict: &ServerVerdict) {
        let Some(key) = self.names.get(&verdict.server) else {
            return;
        };
        let server = &mut self.servers[*key];
        let (weight, is_ejection) = match verdict.action {
            ServerAction::Readmit => (1.0, false),
            ServerAction::Suspect { weight } => (weight.clamp(0.0, 1.0), false),
            ServerAction::Eject { .. } => (UNGRANTED_WEIGHT, true),
        };
        server.weight = weight;
        if !is_ejection {
            server.drop_ejection();
        }
        if let ServerAction::Eject { hold } = verdict.action {
            server.want_ejection(now, hold);
        }
    }

    pub(super) fn ask_ejections(
        &mut self,
        now: MonotonicTime,
        verdicts: &[ServerVerdict],
        actions: &mut Vec<KeeperAction>,
    ) {
        if !self.heeds_suspicion(now) {
            return;
        }
        for server in self.servers.values_mut() {
            let Some(hold) = server.due_ejection(now) else {
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

    pub(super) fn take_ejection(&mut self, server: &str, until: Option<MonotonicTime>) {
        let key = self.names.get(server);
        if let (Some(key), Some(until)) = (key, until) {
            self.servers[*key].hold_ejection(until);
        }
    }
}
