//! The path of a request from a caller through an entry host to a backend
//! server and back, each in its own process.

use standins::{
    StandinError,
    fleet::{FleetSettings, NORTH_KEY, ServerGroup, TestFleet},
    load::EntryAnswer,
};

#[tokio::test]
async fn request_reaches_server_without_the_key() -> Result<(), Box<dyn std::error::Error>> {
    let fleet = open_fleet().await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    let answer = caller.post("/book/7?color=red", "two stones").await?;
    assert_eq!(answer.status, 200);
    let body: serde_json::Value = serde_json::from_slice(&answer.body)?;
    assert_eq!(body["workspace"], "north");
    assert_eq!(body["target"], "/book/7?color=red");
    assert_eq!(body["body_bytes"], 10);
    let records = fleet.records().await?;
    let booked: Vec<_> = records.iter().filter(|run| run.path == "/book/7").collect();
    assert_eq!(booked.len(), 1);
    assert_eq!(booked[0].workspace, "north");
    for server in &fleet.servers {
        assert_eq!(server.summary().await?.key_headers, []);
    }
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn request_without_key_does_not_run() -> Result<(), Box<dyn std::error::Error>> {
    let fleet = open_fleet().await?;
    let caller = fleet.caller(0, "")?;
    let refused = caller.post("/book/8", "").await?;
    assert_eq!(refused.status, 401);
    assert_eq!(refused.outcome.as_deref(), Some("not-run"));
    let served = caller.get("/open/8").await?;
    assert_eq!(served.status, 200);
    let records = fleet.records().await?;
    assert!(records.iter().all(|run| run.path != "/book/8"));
    fleet.close().await;
    Ok(())
}

async fn open_fleet() -> Result<TestFleet, StandinError> {
    TestFleet::open(FleetSettings {
        zones: vec!["a".to_owned()],
        servers: vec![ServerGroup::default()],
        ..Default::default()
    })
    .await
}

#[tokio::test]
async fn lookup_lists_the_bound_address() -> Result<(), Box<dyn std::error::Error>> {
    let fleet = open_fleet().await?;
    let front = fleet.hosts[0].addresses().front;
    let answer = fleet.caller(0, "")?.get("/_mangostep/entry").await?;
    let entry: EntryAnswer = serde_json::from_slice(&answer.body)?;
    assert_eq!(entry.addresses, [front]);
    assert!(entry.keep_ms > 0);
    fleet.close().await;
    Ok(())
}
