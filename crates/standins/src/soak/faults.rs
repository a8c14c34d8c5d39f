use std::time::Duration;

use tokio::time::Instant;

use crate::{
    AnswerMode, AnswerPlan, BackendStatement, StandinError, StoreMode,
    entry_fleet::{EntryConfiguration, EntryFleet, EntryHost},
    fleet::ProcessSignal,
    proxy::{LinkRule, ProxyCommand},
    soak::{
        checks::STOP_GRACE,
        records::{Incident, SoakRecords},
        schedule::{SoakEvent, SoakFault},
        traffic::COLD_TIME,
    },
};

/// Time for which a draining server keeps serving, and time from the revocation
/// of a key until callers use the new one.
const HANDOVER_TIME: Duration = Duration::from_millis(2_200);

/// Time for which a server states a rate limit at least: until it binds, and one
/// window.
const LIMIT_TIME: Duration = Duration::from_secs(7);

/// Time from the store's return until lost rows are written again.
const REWRITE_TIME: Duration = Duration::from_secs(1);

/// Expected state of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Running,
    Stopping,
    Down,
}

/// Injects faults into a fleet and ends them when their time is over.
pub(crate) struct FaultRunner<'f> {
    fleet: &'f mut EntryFleet,
    records: &'f SoakRecords,
    configuration: EntryConfiguration,
    /// What each server states.
    statements: Vec<BackendStatement>,
    expected: Vec<ProcessState>,
    active: Vec<RunningFault>,
    started: Instant,
}

/// A fault that has begun and not ended yet.
#[derive(Clone, Debug)]
struct RunningFault {
    end: Duration,
    fault: SoakFault,
    /// Start counts of all hosts when the fault began. A higher count at its end
    /// shows that the process that was stopped has been replaced since.
    starts: Vec<u32>,
}

impl<'f> FaultRunner<'f> {
    pub(crate) fn open(
        fleet: &'f mut EntryFleet,
        records: &'f SoakRecords,
        configuration: EntryConfiguration,
    ) -> Self {
        FaultRunner {
            expected: vec![ProcessState::Running; fleet.hosts.len()],
            statements: vec![BackendStatement::default(); fleet.servers.len()],
            fleet,
            records,
            configuration,
            active: Vec::new(),
            started: Instant::now(),
        }
    }

    /// Injects the faults at their times, and ends those that are due in between.
    pub(crate) async fn run(&mut self, events: &[SoakEvent]) -> Result<(), StandinError> {
        for event in events {
            while let Some(end) = self.next_end().filter(|end| *end <= event.at) {
                tokio::time::sleep_until(self.started + end).await;
                self.end_due(end).await?;
            }
            tokio::time::sleep_until(self.started + event.at).await;
            self.record_unexpected_exits();
            self.begin(event);
        }
        Ok(())
    }

    /// Waits for the end of all active faults and for all hosts to be ready.
    pub(crate) async fn end_all(&mut self) -> Result<(), StandinError> {
        while let Some(end) = self.next_end() {
            tokio::time::sleep_until(self.started + end).await;
            self.end_due(end).await?;
        }
        self.record_unexpected_exits();
        self.fleet.wait_ready().await
    }

    fn next_end(&self) -> Option<Duration> {
        self.active.iter().map(|running| running.end).min()
    }

    async fn end_due(&mut self, now: Duration) -> Result<(), StandinError> {
        self.record_unexpected_exits();
        while let Some(at) = self.active.iter().position(|running| running.end <= now) {
            let running = self.active.remove(at);
            let note = format!("ends {:?}", running.fault);
            self.records.note(Incident::Note(note));
            self.end(running).await?;
        }
        Ok(())
    }

    /// Records processes that exited without being stopped or killed.
    fn record_unexpected_exits(&mut self) {
        for (host, expected) in self.fleet.hosts.iter().zip(&mut self.expected) {
            if *expected == ProcessState::Running && !host.is_running() {
                let front = host.addresses().front;
                self.records.note(Incident::EndedItself(front));
                *expected = ProcessState::Down;
            }
        }
    }

    fn record_host_disturbance(&self, host: usize) {
        let front = self.fleet.hosts[host].addresses().front;
        self.records.note(Incident::Host(front));
    }

    fn begin(&mut self, event: &SoakEvent) {
        let fault = event.fault.clone();
        self.records
            .note(Incident::Note(format!("begins {fault:?}")));
        let mut span = event.span;
        match &fault {
            SoakFault::KillHost(host) => self.kill(*host),
            SoakFault::KillAllHosts => (0..self.expected.len()).for_each(|host| self.kill(host)),
            SoakFault::StopHost(host) if self.expected[*host] == ProcessState::Running => {
                self.expected[*host] = ProcessState::Stopping;
                let stopped = &self.fleet.hosts[*host];
                self.records.note(Incident::Stop(stopped.addresses().front));
                stopped.signal(ProcessSignal::Terminate);
                span = STOP_GRACE;
            }
            SoakFault::StopHost(_) => return,
            SoakFault::PauseHost(host) => {
                self.record_host_disturbance(*host);
                self.fleet.hosts[*host].signal(ProcessSignal::Stop);
            }
            SoakFault::HangUpHost(host) => {
                self.fleet.hosts[*host].signal(ProcessSignal::HangUp);
                return;
            }
            SoakFault::RefuseCalls(status) => self.set_store_mode(StoreMode::Refuses(*status)),
            SoakFault::LoseAnswers => self.set_store_mode(StoreMode::LosesAnswers),
            SoakFault::RestoreStore => self.fleet.store.save_copy(),
            SoakFault::RewriteRows => {}
            SoakFault::ForgetHistory => {
                self.records.note(Incident::Store);
                self.fleet.store.discard_history();
                return;
            }
            SoakFault::CutStore(host, rule) => self.set_store_rule(*host, *rule),
            SoakFault::SilenceStore(host) => {
                self.record_host_disturbance(*host);
                let silence = ProxyCommand::Silence { source: None };
                self.fleet.hosts[*host].store().run(silence);
                return;
            }
            SoakFault::SilenceAllStores => {
                self.records.note(Incident::Store);
                for host in &self.fleet.hosts {
                    host.store().run(ProxyCommand::Silence { source: None });
                }
                return;
            }
            SoakFault::StateLimit(server, rate) => {
                self.state(*server, |statement| {
                    statement.rate_limit = Some(rate.to_string());
                });
                let id = self.fleet.servers[*server].id.clone();
                self.records.note(Incident::Limited(id, Some(*rate)));
                // The limit binds after a while, and is counted over a window.
                span += LIMIT_TIME;
            }
            SoakFault::StateLeaving(server) => {
                self.state(*server, |statement| statement.is_leaving = true);
                let id = self.fleet.servers[*server].id.clone();
                self.records.note(Incident::Leaving(id));
                span += HANDOVER_TIME;
            }
            SoakFault::StateWait(server, share, wait_ms) => {
                let wait = Duration::from_millis(*wait_ms);
                self.state(*server, |statement| {
                    statement.retry_after = Some(wait.as_secs_f64().to_string());
                });
                let plan = AnswerPlan {
                    mode: AnswerMode::Sheds,
                    share: *share,
                    next: None,
                };
                self.fleet.set_plan(*server, plan);
                let id = self.fleet.servers[*server].id.clone();
                self.records.note(Incident::Waits(id, Some(wait)));
            }
            SoakFault::SpoilServer(server, mode, share) => {
                let plan = AnswerPlan {
                    mode: *mode,
                    share: *share,
                    next: None,
                };
                self.fleet.set_plan(*server, plan);
            }
            SoakFault::CutServer(server, rule) => self.set_server_rule(*server, *rule),
            SoakFault::SilenceServer(server) => {
                let silence = ProxyCommand::Silence { source: None };
                self.fleet.servers[*server].proxy.run(silence);
                return;
            }
            SoakFault::ResetServer(server) => {
                let reset = ProxyCommand::Reset { source: None };
                self.fleet.servers[*server].proxy.run(reset);
                return;
            }
            SoakFault::CrashServer(server) | SoakFault::RestartCold(server) => {
                self.fleet.stop_server(*server);
            }
            SoakFault::TurnCold(server) => {
                self.begin_cold_start(*server);
                return;
            }
            SoakFault::DrainServer(server) => {
                self.fleet.write_entry(*server, "draining");
                let id = self.fleet.servers[*server].id.clone();
                self.records.note(Incident::Left(id));
                span += HANDOVER_TIME;
            }
            SoakFault::RemoveServers(servers) => {
                for server in servers.clone() {
                    let id = self.fleet.servers[server].id.clone();
                    self.fleet.remove_entry(&id);
                    self.records.note(Incident::Left(id));
                }
                span += HANDOVER_TIME;
            }
            SoakFault::RevokeKey(workspace) => {
                self.revoke(*workspace);
                span = HANDOVER_TIME;
            }
            SoakFault::GrowConfiguration(routes) => {
                self.configuration.extra_routes += routes;
                self.publish();
                return;
            }
        }
        let starts = self.fleet.hosts.iter().map(EntryHost::starts);
        self.active.push(RunningFault {
            end: event.at + span,
            fault,
            starts: starts.collect(),
        });
    }

    async fn end(&mut self, running: RunningFault) -> Result<(), StandinError> {
        let RunningFault { end, fault, starts } = running;
        match fault {
            SoakFault::KillHost(host) => self.start(host).await,
            SoakFault::KillAllHosts => {
                for host in 0..self.expected.len() {
                    self.start(host).await?;
                }
                Ok(())
            }
            SoakFault::StopHost(host) => {
                let stopped = &self.fleet.hosts[host];
                let is_same_process = stopped.starts() == starts[host];
                if self.expected[host] != ProcessState::Stopping || !is_same_process {
                    return Ok(());
                }
                if stopped.is_running() {
                    let front = stopped.addresses().front;
                    self.records.note(Incident::Outlived(front));
                }
                self.kill(host);
                self.start(host).await
            }
            SoakFault::PauseHost(host) => {
                self.fleet.hosts[host].signal(ProcessSignal::Continue);
                self.record_host_disturbance(host);
                Ok(())
            }
            SoakFault::RefuseCalls(_) | SoakFault::LoseAnswers => {
                self.set_store_mode(StoreMode::Healthy);
                Ok(())
            }
            SoakFault::RestoreStore => {
                self.records.note(Incident::Store);
                self.fleet.store.restore_copy();
                self.active.push(RunningFault {
                    end: end + REWRITE_TIME,
                    fault: SoakFault::RewriteRows,
                    starts,
                });
                Ok(())
            }
            SoakFault::RewriteRows => {
                self.records.note(Incident::Store);
                self.fleet.store.rewrite_lost();
                Ok(())
            }
            SoakFault::CutStore(host, _) => {
                self.set_store_rule(host, LinkRule::default());
                Ok(())
            }
            SoakFault::StateLimit(server, _) => {
                let id = self.fleet.servers[server].id.clone();
                self.records.note(Incident::Limited(id, None));
                self.state(server, |statement| statement.rate_limit = None);
                Ok(())
            }
            SoakFault::StateWait(server, ..) => {
                let id = self.fleet.servers[server].id.clone();
                self.records.note(Incident::Waits(id, None));
                self.state(server, |statement| statement.retry_after = None);
                self.fleet.set_plan(server, AnswerPlan::default());
                Ok(())
            }
            SoakFault::SpoilServer(server, ..) => {
                self.fleet.set_plan(server, AnswerPlan::default());
                Ok(())
            }
            SoakFault::CutServer(server, _) => {
                self.set_server_rule(server, LinkRule::default());
                Ok(())
            }
            SoakFault::RestartCold(server) => {
                // Another fault may have replaced the server.
                if self.fleet.servers[server].backend.is_none() {
                    self.fleet.restart_cold(server, COLD_TIME).await?;
                    let statement = self.statements[server].clone();
                    self.fleet.set_statement(server, statement);
                    self.begin_cold_start(server);
                }
                Ok(())
            }
            SoakFault::CrashServer(server)
            | SoakFault::DrainServer(server)
            | SoakFault::StateLeaving(server) => self.replace_server(server).await,
            SoakFault::RemoveServers(servers) => {
                for server in servers {
                    self.replace_server(server).await?;
                }
                Ok(())
            }
            SoakFault::RevokeKey(workspace) => {
                let workspace = &self.configuration.workspaces[workspace];
                for (name, key) in self.records.keys().iter_mut() {
                    if *name == workspace.name {
                        key.clone_from(&workspace.keys[0]);
                    }
                }
                Ok(())
            }
            SoakFault::HangUpHost(_)
            | SoakFault::ForgetHistory
            | SoakFault::SilenceStore(_)
            | SoakFault::SilenceAllStores
            | SoakFault::SilenceServer(_)
            | SoakFault::ResetServer(_)
            | SoakFault::TurnCold(_)
            | SoakFault::GrowConfiguration(_) => Ok(()),
        }
    }

    /// Begins the cold start of a running server, which writes its entry.
    fn begin_cold_start(&self, server: usize) {
        if self.fleet.servers[server].backend.is_none() {
            return;
        }
        let id = self.fleet.servers[server].id.clone();
        self.fleet.turn_cold(server, COLD_TIME);
        let is_leaving = self
            .records
            .incidents()
            .iter()
            .any(|(_, incident)| matches!(incident, Incident::Left(left) if *left == id));
        if !is_leaving {
            self.fleet.write_cold_entry(server, "ready", COLD_TIME);
        }
        self.records.note(Incident::Cold(id));
    }

    /// Changes what a server states in its next answers.
    fn state(&mut self, server: usize, change: impl FnOnce(&mut BackendStatement)) {
        let statement = &mut self.statements[server];
        change(statement);
        self.fleet.set_statement(server, statement.clone());
    }

    async fn replace_server(&mut self, server: usize) -> Result<(), StandinError> {
        let id = self.fleet.servers[server].id.clone();
        self.fleet.stop_server(server);
        self.fleet.remove_entry(&id);
        self.records.note(Incident::Left(id));
        self.statements[server] = BackendStatement::default();
        self.fleet.start_server(server).await
    }

    fn kill(&mut self, host: usize) {
        self.record_host_disturbance(host);
        self.fleet.hosts[host].signal(ProcessSignal::Kill);
        self.expected[host] = ProcessState::Down;
    }

    async fn start(&mut self, host: usize) -> Result<(), StandinError> {
        if self.expected[host] == ProcessState::Down {
            self.fleet.hosts[host].start().await?;
            self.expected[host] = ProcessState::Running;
            self.record_host_disturbance(host);
        }
        Ok(())
    }

    fn set_store_mode(&self, mode: StoreMode) {
        self.records.note(Incident::Store);
        self.fleet.store.set_mode(mode);
    }

    fn set_store_rule(&self, host: usize, rule: LinkRule) {
        self.record_host_disturbance(host);
        let rule = ProxyCommand::Rule { source: None, rule };
        self.fleet.hosts[host].store().run(rule);
    }

    fn set_server_rule(&self, server: usize, rule: LinkRule) {
        let rule = ProxyCommand::Rule { source: None, rule };
        self.fleet.servers[server].proxy.run(rule);
    }

    fn revoke(&mut self, workspace: usize) {
        let next = self.configuration.version + 1;
        let workspace = &mut self.configuration.workspaces[workspace];
        let key = format!("{}-key-{next}", workspace.name);
        let old = std::mem::replace(&mut workspace.keys, vec![key]);
        self.publish();
        for key in old {
            self.records.note(Incident::Revoked(key));
        }
    }

    fn publish(&mut self) {
        self.configuration.version += 1;
        self.fleet.publish(&self.configuration);
    }
}
