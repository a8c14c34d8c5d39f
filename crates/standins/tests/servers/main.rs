//! Backend servers that leave, join and state their limits, in a fleet of entry
//! hosts that run as processes.

mod cold_starts;
mod removals;
mod statements;

use std::{net::SocketAddr, time::Duration};

use {
    standins::{
        CallerConnection, RequestSpec,
        entry_fleet::{
            EntryConfiguration, EntryFleet, EntryFleetSettings, EntryHost, EntryWorkspace,
        },
    },
    tokio::time::{Instant, sleep},
};

/// Time after which a statement binds the hosts that were told.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Longest time for which a server that leaves gets requests, by the operators'
/// agreement.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Window over which the requests to a server with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two requests of [`send_requests`].
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

async fn open_fleet() -> EntryFleet {
    open_fleet_with(EntryFleetSettings::default()).await
}

async fn open_fleet_with(settings: EntryFleetSettings) -> EntryFleet {
    let configuration = EntryConfiguration {
        workspaces: vec![EntryWorkspace {
            name: "north".to_owned(),
            keys: vec!["north-key".to_owned()],
            rate_per_s: 10_000.0,
            burst: 10_000.0,
        }],
        ..settings.configuration
    };
    let settings = EntryFleetSettings {
        configuration,
        ..settings
    };
    EntryFleet::open(settings).await.expect("the fleet starts")
}

/// Sends idempotent requests to all hosts in turn for `span`, and returns the
/// number that were answered with success.
async fn send_requests(fleet: &EntryFleet, label: &str, span: Duration) -> usize {
    send_requests_to(&fleet.hosts, label, span).await
}

/// Sends such requests to some of the hosts.
async fn send_requests_to(hosts: &[EntryHost], label: &str, span: Duration) -> usize {
    let fronts: Vec<SocketAddr> = hosts.iter().map(|h| h.addresses().front).collect();
    let end = Instant::now() + span;
    let mut sent = Vec::new();
    while Instant::now() < end {
        let front = fronts[sent.len() % fronts.len()];
        let id = format!("{label}-{}", sent.len());
        sent.push(tokio::spawn(async move { status(front, &id).await }));
        sleep(REQUEST_INTERVAL).await;
    }
    let mut served = 0;
    for request in sent {
        let status = request.await.expect("the request ends");
        served += usize::from(status == Some(200));
    }
    served
}

async fn status(front: SocketAddr, id: &str) -> Option<u16> {
    let request = RequestSpec {
        path: "/look-ledger/1",
        id,
        key: "north-key",
        ..Default::default()
    };
    let mut caller = CallerConnection::open(front, REQUEST_TIMEOUT).await.ok()?;
    let answer = caller.request(request, REQUEST_TIMEOUT).await.ok()?;
    Some(answer.status)
}

/// Times at which requests for a server reached it, in order.
fn arrivals_at(fleet: &EntryFleet, server: &str) -> Vec<Instant> {
    let arrivals = fleet.log.arrivals();
    let own = arrivals
        .iter()
        .filter(|arrival| arrival.server == server && !arrival.is_misdirected);
    own.map(|arrival| arrival.at).collect()
}
