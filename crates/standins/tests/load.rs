//! The load caller counts what really became of each request.

use std::time::Duration;

use standins::{
    StandinError, TruncationPoint,
    backend::{GrayFault, GrayMode},
    fleet::{FleetSettings, ServerGroup, StartObjects, TestFleet},
    load::{LoadReport, LoadRequest, LoadSettings, audit_runs, run_load},
};

async fn open_server() -> Result<TestFleet, StandinError> {
    TestFleet::open(FleetSettings {
        zones: vec!["a".to_owned()],
        hosts_per_zone: 0,
        servers: vec![ServerGroup {
            per_zone: 1,
            ..Default::default()
        }],
        objects: StartObjects::Nothing,
        ready: None,
        ..Default::default()
    })
    .await
}

async fn send(fleet: &TestFleet, seed: u64) -> Result<LoadReport, StandinError> {
    run_load(LoadSettings {
        entries: vec![fleet.servers[0].address()],
        look_up: false,
        rate_per_s: 200.0,
        duration: Duration::from_millis(300),
        timeout: Duration::from_secs(2),
        requests: vec![LoadRequest::default()],
        seed,
        ..Default::default()
    })
    .await
}

#[tokio::test]
async fn every_request_is_served_and_ran_once() -> Result<(), Box<dyn std::error::Error>> {
    let fleet = open_server().await?;
    let report = send(&fleet, 1).await?;
    assert!(report.total.sent > 20);
    assert_eq!(report.total.served, report.total.sent);
    let records = fleet.records().await?;
    assert_eq!(records.len() as u64, report.total.sent);
    let audit = audit_runs(&report, &records, &["lookup"]);
    assert_eq!(audit, Default::default());
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn cut_and_crossed_answers_are_told_apart() -> Result<(), Box<dyn std::error::Error>> {
    let fleet = open_server().await?;
    let server = &fleet.servers[0];
    let cut = GrayFault::always(GrayMode::Cut(TruncationPoint::Length));
    server.set_faults(vec![cut]).await?;
    let report = send(&fleet, 1).await?;
    assert_eq!(report.total.lost, report.total.sent);
    server
        .set_faults(vec![GrayFault::always(GrayMode::WrongId)])
        .await?;
    let report = send(&fleet, 2).await?;
    assert_eq!(report.total.crossed, report.total.sent);
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn an_operation_that_ran_twice_is_doubled() -> Result<(), Box<dyn std::error::Error>> {
    let fleet = open_server().await?;
    let first = send(&fleet, 1).await?;
    // The same seed sends the same operations once more.
    let second = send(&fleet, 1).await?;
    assert_eq!(first.total.sent, second.total.sent);
    let audit = audit_runs(&second, &fleet.records().await?, &["lookup"]);
    assert_eq!(audit.doubled, second.total.sent);
    assert_eq!(audit.phantom, 0);
    let audit = audit_runs(&second, &[], &["lookup"]);
    assert_eq!(audit.phantom, second.total.sent);
    fleet.close().await;
    Ok(())
}
