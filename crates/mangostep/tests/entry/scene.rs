//! One entry host between callers, two backend servers and a store.

use std::{net::SocketAddr, time::Duration};

use {
    mangostep_http::RequestHead,
    standins::{
        AnswerMode, AnswerPlan, CallerAnswer, CallerConnection, RequestSpec,
        entry_fleet::{
            EntryBounds, EntryConfiguration, EntryFleet, EntryFleetSettings, EntryServerGroup,
            EntryWorkspace,
        },
        fleet::ProcessSignal,
    },
    tokio::time::{Instant, sleep},
};

/// Longest time for anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// An entry host with all that it talks to.
pub struct Scene {
    fleet: EntryFleet,
}

impl Scene {
    pub async fn open() -> Self {
        Self::open_with(EntryBounds {
            stop_grace: Duration::from_secs(2),
            ..Default::default()
        })
        .await
    }

    pub async fn open_with(bounds: EntryBounds) -> Self {
        let settings = EntryFleetSettings {
            zones: vec!["a".to_owned()],
            hosts_per_zone: 1,
            servers: vec![EntryServerGroup {
                service: "ledger".to_owned(),
                per_zone: 2,
            }],
            work: Duration::ZERO,
            shares_plan: true,
            bounds,
            configuration: configuration(7, "north-key"),
            ..Default::default()
        };
        Scene {
            fleet: EntryFleet::open(settings).await.expect("the fleet starts"),
        }
    }

    /// Writes the entry of a backend server.
    pub fn write_server(&self, index: usize, state: &str) {
        self.fleet.write_entry(index, state);
    }

    /// Writes the entry of a backend server at an address.
    pub fn write_entry(&self, key: &str, address: SocketAddr) {
        let entry = serde_json::json!({
            "service": "ledger", "address": address.to_string(), "zone": "a",
            "version": "v1", "slots": 4, "state": "ready", "warmupLeftS": 0, "born": 1,
        });
        let text = entry.to_string();
        self.fleet.store.put("servers", key, Some(text.as_bytes()));
    }

    /// Writes a configuration in which `north` has one key.
    pub fn publish(&self, version: u64, key: &str) {
        self.fleet.publish(&configuration(version, key));
    }

    pub fn set_moods(&self, mood: AnswerMode) {
        self.set_moods_once(mood, None);
    }

    /// Lets the servers treat one request so, and the others in the next mood.
    pub fn set_moods_once(&self, mood: AnswerMode, next: Option<AnswerMode>) {
        let plan = AnswerPlan {
            mode: mood,
            next,
            ..Default::default()
        };
        self.fleet.set_plan(0, plan);
    }

    /// The heads of a request's arrivals, turned-away ones included.
    pub fn runs(&self, id: &str) -> Vec<RequestHead> {
        let arrivals = self.fleet.log.arrivals();
        assert!(
            arrivals.iter().all(|arrival| !arrival.is_misdirected),
            "a request for another server came"
        );
        let own = arrivals.iter().filter(|arrival| arrival.id() == id);
        own.map(|arrival| arrival.head.clone()).collect()
    }

    /// Requests that a server got.
    pub fn count(&self, index: usize) -> usize {
        let server = &self.fleet.servers[index].id;
        let arrivals = self.fleet.log.arrivals();
        arrivals.iter().filter(|a| a.server == *server).count()
    }

    /// Requests whose connection closed while they ran.
    pub fn broken_off(&self) -> usize {
        self.fleet.log.abandoned()
    }

    pub async fn connect(&self) -> CallerConnection {
        let front = self.fleet.hosts[0].addresses().front;
        let caller = CallerConnection::open(front, PATIENCE).await;
        caller.expect("the host listens")
    }

    pub async fn ask(&self, method: &str, path: &str, id: &str, key: &str) -> CallerAnswer {
        let mut caller = self.connect().await;
        ask(&mut caller, method, path, id, key).await
    }

    /// Sends lookups one behind the other and returns the ids of the answers.
    pub async fn ask_pipelined(&self, path: &str, ids: &[&str]) -> Vec<String> {
        let mut caller = self.connect().await;
        for id in ids {
            let ask = RequestSpec {
                path,
                id,
                ..Default::default()
            };
            caller.send(ask).await.expect("the host reads");
        }
        let mut answered = Vec::new();
        for _ in ids {
            let answer = caller.read(PATIENCE).await.expect("the host answers");
            answered.push(answer.id.expect("an answer names its request"));
        }
        answered
    }

    /// Sends a lookup and leaves once a server has it.
    pub async fn ask_and_leave(&self, path: &str, id: &str) {
        let mut caller = self.connect().await;
        let ask = RequestSpec {
            path,
            id,
            ..Default::default()
        };
        caller.send(ask).await.expect("the host reads");
        self.wait_until(PATIENCE, async || !self.runs(id).is_empty())
            .await;
    }

    pub async fn is_ready(&self) -> bool {
        self.fleet.hosts[0].is_ready().await
    }

    pub async fn wait_until(&self, within: Duration, mut holds: impl AsyncFnMut() -> bool) {
        let deadline = Instant::now() + within;
        while !holds().await {
            assert!(Instant::now() < deadline, "not within {within:?}");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends SIGTERM to the host.
    pub fn terminate(&self) {
        self.fleet.hosts[0].signal(ProcessSignal::Terminate);
    }

    /// Ends the host.
    pub fn close(self) {
        self.fleet.close();
    }
}

/// Asks on a connection that is open.
pub async fn ask(
    caller: &mut CallerConnection,
    method: &str,
    path: &str,
    id: &str,
    key: &str,
) -> CallerAnswer {
    let ask = RequestSpec {
        method,
        path,
        id,
        key,
        ..Default::default()
    };
    let answer = caller.request(ask, PATIENCE).await;
    answer.expect("the host answers")
}

fn configuration(version: u64, key: &str) -> EntryConfiguration {
    EntryConfiguration {
        version,
        workspaces: vec![EntryWorkspace {
            name: "north".to_owned(),
            keys: vec![key.to_owned()],
            rate_per_s: 1_000.0,
            burst: 1_000.0,
        }],
        ..Default::default()
    }
}
