use std::time::Duration;

use tokio::time::Instant;

use crate::{
    AnswerPlan, StandinError, StoreMode,
    entry_fleet::{EntryConfiguration, EntryFleet, EntryHost},
    fleet::ProcessSignal,
    proxy::{LinkRule, ProxyCommand},
    soak::{
        checks::STOP_GRACE,
        records::{Incident, SoakRecords},
        schedule::{SoakEvent, SoakFault},
    },
};

/// Time for which a leaving server still serves, and after which callers have
/// a new key.
const NOTICE: Duration = Duration::from_millis(2_200);

/// What a soak expects of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExpectedProcess {
    Running,
    Stopping,
    Down,
}

/// Injects faults and ends them.
pub(crate) struct FaultRunner<'f> {
    fleet: &'f mut EntryFleet,
    records: &'f SoakRecords,
    configuration: EntryConfiguration,
    expected: Vec<ExpectedProcess>,
    under_way: Vec<RunningFault>,
    started: Instant,
}

/// A fault that has not ended.
#[derive(Clone, Debug)]
struct RunningFault {
    end: Duration,
    fault: SoakFault,
    /// Starts of all hosts when it began: a host that was started since is
    /// not the one that was stopped.
    starts: Vec<u32>,
}

impl<'f> FaultRunner<'f> {
    pub(crate) fn open(
        fleet: &'f mut EntryFleet,
        records: &'f SoakRecords,
        configuration: EntryConfiguration,
    ) -> Self {
        FaultRunner {
            expected: vec![ExpectedProcess::Running; fleet.hosts.len()],
            fleet,
            records,
            configuration,
            under_way: Vec::new(),
            started: Instant::now(),
        }
    }

    /// Injects the faults at their times, and ends those that end meanwhile.
    pub(crate) async fn run(&mut self, events: &[SoakEvent]) -> Result<(), StandinError> {
        for event in events {
            while let Some(end) = self.next_end().filter(|end| *end <= event.at) {
                tokio::time::sleep_until(self.started + end).await;
                self.end_due(end).await?;
            }
            tokio::time::sleep_until(self.started + event.at).await;
            self.look_for_ends();
            self.begin(event);
        }
        Ok(())
    }

    /// Ends all faults.
    pub(crate) async fn heal(&mut self) -> Result<(), StandinError> {
        while let Some(end) = self.next_end() {
            tokio::time::sleep_until(self.started + end).await;
            self.end_due(end).await?;
        }
        self.look_for_ends();
        self.fleet.wait_ready().await
    }

    fn next_end(&self) -> Option<Duration> {
        self.under_way.iter().map(|running| running.end).min()
    }

    async fn end_due(&mut self, now: Duration) -> Result<(), StandinError> {
        self.look_for_ends();
        while let Some(at) = self.under_way.iter().position(|running| running.end <= now) {
            let running = self.under_way.remove(at);
            let note = format!("ends {:?}", running.fault);
            self.records.note(Incident::Note(note));
            self.end(running).await?;
        }
        Ok(())
    }

    /// Takes note of processes that ended though nobody told them to.
    fn look_for_ends(&mut self) {
        for (host, expected) in self.fleet.hosts.iter().zip(&mut self.expected) {
            if *expected == ExpectedProcess::Running && !host.is_running() {
                let front = host.addresses().front;
                self.records.note(Incident::EndedItself(front));
                *expected = ExpectedProcess::Down;
            }
        }
    }

    fn disturb_host(&self, host: usize) {
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
            SoakFault::StopHost(host) if self.expected[*host] == ExpectedProcess::Running => {
                self.expected[*host] = ExpectedProcess::Stopping;
                let stopped = &self.fleet.hosts[*host];
                self.records.note(Incident::Stop(stopped.addresses().front));
                stopped.signal(ProcessSignal::Terminate);
                span = STOP_GRACE;
            }
            SoakFault::StopHost(_) => return,
            SoakFault::PauseHost(host) => {
                self.disturb_host(*host);
                self.fleet.hosts[*host].signal(ProcessSignal::Stop);
            }
            SoakFault::HangUpHost(host) => {
                self.fleet.hosts[*host].signal(ProcessSignal::HangUp);
                return;
            }
            SoakFault::RefuseCalls(status) => self.set_store(StoreMode::Refuses(*status)),
            SoakFault::LoseAnswers => self.set_store(StoreMode::LosesAnswers),
            SoakFault::ForgetHistory => {
                self.records.note(Incident::Store);
                self.fleet.store.forget_all();
                return;
            }
            SoakFault::CutStore(host, rule) => self.set_store_rule(*host, *rule),
            SoakFault::SilenceStore(host) => {
                self.disturb_host(*host);
                let silence = ProxyCommand::Silence { source: None };
                self.fleet.hosts[*host].store().run(silence);
                return;
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
            SoakFault::CrashServer(server) => self.fleet.stop_server(*server),
            SoakFault::DrainServer(server) => {
                self.fleet.write_entry(*server, "draining");
                let id = self.fleet.servers[*server].id.clone();
                self.records.note(Incident::Left(id));
                span += NOTICE;
            }
            SoakFault::RevokeKey(workspace) => {
                self.revoke(*workspace);
                span = NOTICE;
            }
            SoakFault::GrowConfiguration(routes) => {
                self.configuration.extra_routes += routes;
                self.publish();
                return;
            }
        }
        let starts = self.fleet.hosts.iter().map(EntryHost::starts);
        self.under_way.push(RunningFault {
            end: event.at + span,
            fault,
            starts: starts.collect(),
        });
    }

    async fn end(&mut self, running: RunningFault) -> Result<(), StandinError> {
        let RunningFault { fault, starts, .. } = running;
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
                let is_same = stopped.starts() == starts[host];
                if self.expected[host] != ExpectedProcess::Stopping || !is_same {
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
                self.disturb_host(host);
                Ok(())
            }
            SoakFault::RefuseCalls(_) | SoakFault::LoseAnswers => {
                self.set_store(StoreMode::Healthy);
                Ok(())
            }
            SoakFault::CutStore(host, _) => {
                self.set_store_rule(host, LinkRule::default());
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
            SoakFault::CrashServer(server) | SoakFault::DrainServer(server) => {
                let id = self.fleet.servers[server].id.clone();
                self.fleet.stop_server(server);
                self.fleet.remove_entry(&id);
                self.records.note(Incident::Left(id));
                self.fleet.start_server(server).await
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
            | SoakFault::SilenceServer(_)
            | SoakFault::ResetServer(_)
            | SoakFault::GrowConfiguration(_) => Ok(()),
        }
    }

    fn kill(&mut self, host: usize) {
        self.disturb_host(host);
        self.fleet.hosts[host].signal(ProcessSignal::Kill);
        self.expected[host] = ExpectedProcess::Down;
    }

    async fn start(&mut self, host: usize) -> Result<(), StandinError> {
        if self.expected[host] == ExpectedProcess::Down {
            self.fleet.hosts[host].start().await?;
            self.expected[host] = ExpectedProcess::Running;
            self.disturb_host(host);
        }
        Ok(())
    }

    fn set_store(&self, mode: StoreMode) {
        self.records.note(Incident::Store);
        self.fleet.store.set_mode(mode);
    }

    fn set_store_rule(&self, host: usize, rule: LinkRule) {
        self.disturb_host(host);
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
