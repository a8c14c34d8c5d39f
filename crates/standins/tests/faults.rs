//! The stand-ins fail in the ways that they are told to.

use std::time::Duration;

use {
    mangostep_platform::{
        Condition, PlatformClient, PlatformSettings, TableStore, Transaction, Write,
    },
    standins::{
        StandinError, TruncationPoint,
        backend::{BackendControl, BackendSettings, GrayFault, GrayMode},
        fleet::{Caller, FleetSettings, ProxiedLinks, ServerGroup, StartObjects, TestFleet},
        platform::{OutageMode, PlatformFault, PlatformService},
        proxy::{LinkRule, ProxyCommand},
    },
};

type TestResult = Result<(), Box<dyn std::error::Error>>;

const PATIENCE: Duration = Duration::from_millis(300);

/// Stand-ins without any entry host.
async fn open_standins(backend: BackendSettings) -> Result<TestFleet, StandinError> {
    TestFleet::open(FleetSettings {
        zones: vec!["a".to_owned()],
        hosts_per_zone: 0,
        servers: vec![ServerGroup {
            per_zone: 1,
            backend,
            ..Default::default()
        }],
        objects: StartObjects::Nothing,
        proxied: ProxiedLinks {
            servers: true,
            ..Default::default()
        },
        ready: None,
        ..Default::default()
    })
    .await
}

fn platform_client(fleet: &TestFleet, name: &str) -> Result<PlatformClient, StandinError> {
    let base = format!("http://{}", fleet.platform.address());
    let settings = PlatformSettings {
        table: base.clone(),
        objects: base.clone(),
        directory: base,
        client: name.to_owned(),
        ..Default::default()
    };
    PlatformClient::open(settings).map_err(|err| StandinError::new("open client", name, err))
}

fn write_row(value: Option<&str>, version: u64) -> Transaction {
    Transaction {
        conditions: vec![Condition {
            key: "row".to_owned(),
            version,
        }],
        writes: vec![Write {
            key: "row".to_owned(),
            value: value.map(str::to_owned),
        }],
        reads: vec!["row".to_owned()],
        ..Default::default()
    }
}

#[tokio::test]
async fn a_lost_answer_leaves_the_write_in_effect() -> TestResult {
    let fleet = open_standins(BackendSettings::default()).await?;
    let (first, second) = (
        platform_client(&fleet, "first")?,
        platform_client(&fleet, "second")?,
    );
    let lose = PlatformFault {
        clients: vec!["first".to_owned()],
        part: Some(PlatformService::Table),
        lose_answer: true,
        ..Default::default()
    };
    fleet.platform.set_faults(vec![lose]).await?;
    assert!(first.transact(&write_row(Some("1"), 0)).await.is_err());
    let answer = second.transact(&write_row(Some("2"), 0)).await?;
    assert!(!answer.committed);
    assert_eq!(answer.rows[0].value.as_deref(), Some("1"));
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_version_never_comes_back() -> TestResult {
    let fleet = open_standins(BackendSettings::default()).await?;
    let client = platform_client(&fleet, "first")?;
    let old = client.transact(&write_row(Some("1"), 0)).await?.rows[0].version;
    assert!(client.transact(&write_row(None, old)).await?.committed);
    let new = client.transact(&write_row(Some("1"), 0)).await?.rows[0].version;
    assert!(new > old);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn an_outage_concerns_the_chosen_client_only() -> TestResult {
    let fleet = open_standins(BackendSettings::default()).await?;
    let away = PlatformFault {
        clients: vec!["first".to_owned()],
        outage: Some(OutageMode::Hang),
        ..Default::default()
    };
    fleet.platform.set_faults(vec![away]).await?;
    let first = platform_client(&fleet, "first")?;
    let second = platform_client(&fleet, "second")?;
    assert!(first.transact(&Transaction::default()).await.is_err());
    assert!(second.transact(&Transaction::default()).await.is_ok());
    fleet.platform.set_faults(Vec::new()).await?;
    assert!(first.transact(&Transaction::default()).await.is_ok());
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn answers_are_cut_at_each_place() -> TestResult {
    let fleet = open_standins(BackendSettings::default()).await?;
    let server = &fleet.servers[0];
    let caller = Caller::open(server.address(), None, None)?;
    for place in [
        TruncationPoint::Header,
        TruncationPoint::Length,
        TruncationPoint::Chunked,
    ] {
        let cut = GrayFault::always(GrayMode::Cut(place));
        server.set_faults(vec![cut]).await?;
        assert!(caller.get("/work").await.is_err(), "{place:?}");
    }
    server.set_faults(Vec::new()).await?;
    assert_eq!(caller.get("/work").await?.status, 200);
    assert_eq!(server.summary().await?.ran, 4);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_cold_server_falls_over_above_what_it_bears() -> TestResult {
    let fleet = open_standins(BackendSettings {
        slots: 8,
        cold_slots: 2,
        cold: true,
        work_ms: 100,
        ..Default::default()
    })
    .await?;
    let server = &fleet.servers[0];
    let caller = Caller::open(server.address(), None, None)?;
    let (first, second) = tokio::join!(caller.get("/work"), caller.get("/work"));
    assert_eq!((first?.status, second?.status), (200, 200));
    assert_eq!(server.summary().await?.falls, 0);
    let (first, second, third) = tokio::join!(
        caller.get("/work"),
        caller.get("/work"),
        caller.get("/work")
    );
    let statuses = [first?.status, second?.status, third?.status];
    assert!(statuses.contains(&503), "{statuses:?}");
    assert_eq!(server.summary().await?.falls, 1);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_draining_server_refuses_as_not_run() -> TestResult {
    let fleet = open_standins(BackendSettings::default()).await?;
    let server = &fleet.servers[0];
    let drain = BackendControl {
        draining: Some(true),
        ..Default::default()
    };
    server.control(&drain).await?;
    let caller = Caller::open(server.address(), None, None)?;
    let request = caller.request(reqwest::Method::GET, "/work");
    let answer = request.send().await?;
    assert_eq!(answer.status().as_u16(), 503);
    assert!(answer.headers().contains_key("x-not-run"));
    assert!(answer.headers().contains_key("x-draining"));
    assert_eq!(server.summary().await?.ran, 0);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_cut_swallows_one_direction() -> TestResult {
    let fleet = open_standins(BackendSettings::default()).await?;
    let server = &fleet.servers[0];
    let proxy = server.proxy().expect("the links are proxied");
    let open = || Caller::open(proxy.address(), None, None);
    let cut_answers = ProxyCommand::Rule {
        source: None,
        rule: LinkRule::CUT_TO_SOURCE,
    };
    proxy.run(vec![cut_answers]).await?;
    let caller = open()?;
    let cut = tokio::time::timeout(PATIENCE, caller.get("/work")).await;
    assert!(cut.is_err());
    assert_eq!(server.summary().await?.ran, 1);
    let cut_requests = ProxyCommand::Rule {
        source: None,
        rule: LinkRule::CUT_TO_TARGET,
    };
    proxy.run(vec![cut_requests]).await?;
    let cut = tokio::time::timeout(PATIENCE, open()?.get("/work")).await;
    assert!(cut.is_err());
    assert_eq!(server.summary().await?.ran, 1);
    proxy.run(vec![ProxyCommand::Clear]).await?;
    assert_eq!(open()?.get("/work").await?.status, 200);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn silence_concerns_open_connections_only() -> TestResult {
    let fleet = open_standins(BackendSettings::default()).await?;
    let server = &fleet.servers[0];
    let proxy = server.proxy().expect("the links are proxied");
    let old = Caller::open(proxy.address(), None, None)?;
    assert_eq!(old.get("/work").await?.status, 200);
    proxy
        .run(vec![ProxyCommand::Silence { source: None }])
        .await?;
    let silent = tokio::time::timeout(PATIENCE, old.get("/work")).await;
    assert!(silent.is_err());
    let new = Caller::open(proxy.address(), None, None)?;
    assert_eq!(new.get("/work").await?.status, 200);
    proxy
        .run(vec![ProxyCommand::Reset { source: None }])
        .await?;
    assert_eq!(server.summary().await?.ran, 2);
    fleet.close().await;
    Ok(())
}
