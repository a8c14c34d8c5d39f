//! What callers may send, and what an entry host makes of it.

use std::time::Duration;

use {
    standins::fleet::{FleetSettings, NORTH_KEY, TestFleet, wait_until},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

type TestResult = Result<(), Box<dyn std::error::Error>>;

const MIB: u64 = 1 << 20;

async fn open_fleet(host_settings: serde_json::Value) -> Result<TestFleet, standins::StandinError> {
    TestFleet::open(FleetSettings {
        zones: vec!["a".to_owned()],
        host_settings,
        ..Default::default()
    })
    .await
}

/// Sends bytes as they are, and reads the answer until the host closes.
async fn send_raw(fleet: &TestFleet, request: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(fleet.hosts[0].addresses().front).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    tokio::time::timeout(Duration::from_secs(10), read).await??;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

fn get(target: &str, headers: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{headers}\r\n")
}

#[tokio::test]
async fn disguised_paths_open_nothing() -> TestResult {
    let fleet = open_fleet(serde_json::json!({})).await?;
    for target in [
        "/open/../lookup/1",
        "/open/%2e%2e/lookup/1",
        "/open/%2E%2E/lookup/1",
        "/open/x/../../lookup/1",
        "//lookup//1",
        "/./lookup/1",
    ] {
        let answer = send_raw(&fleet, &get(target, "")).await?;
        assert!(answer.starts_with("HTTP/1.1 401"), "{target}: {answer}");
    }
    for target in [
        "/open/..%2flookup/1",
        "/open/%5c../lookup/1",
        "/open/%00",
        "/../open/1",
    ] {
        let answer = send_raw(&fleet, &get(target, "")).await?;
        assert!(answer.starts_with("HTTP/1.1 400"), "{target}: {answer}");
        assert!(
            answer.contains("mangostep-outcome: not-run"),
            "{target}: {answer}"
        );
    }
    let records = fleet.records().await?;
    assert!(
        records.iter().all(|run| run.path == "/lookup/ready"),
        "{records:?}"
    );
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn the_server_gets_the_path_that_was_matched() -> TestResult {
    let fleet = open_fleet(serde_json::json!({})).await?;
    let answer = send_raw(&fleet, &get("/lookup/../open//a%7Eb/./c?x=../y", "")).await?;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(
        answer.contains(r#""target":"/open/a~b/c?x=../y""#),
        "{answer}"
    );
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn what_is_too_large_is_refused_and_does_not_run() -> TestResult {
    let limits = serde_json::json!({
        "body_bytes": 100_000, "replay_bytes": 1_000, "header_bytes": 4_000
    });
    let fleet = open_fleet(limits).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    let refused = caller.post("/book/large", vec![0; 100_001]).await?;
    assert_eq!(
        (refused.status, refused.outcome.as_deref()),
        (413, Some("not-run"))
    );
    let served = caller.post("/book/fits", vec![0; 100_000]).await?;
    assert_eq!(served.status, 200);
    let padding = format!("x-padding: {}\r\n", "x".repeat(4_000));
    let answer = send_raw(&fleet, &get("/open/1", &padding)).await?;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    let records = fleet.records().await?;
    assert!(records.iter().all(|run| run.path != "/book/large"));
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn headers_of_the_connection_end_at_the_host() -> TestResult {
    let fleet = open_fleet(serde_json::json!({})).await?;
    let headers = "connection: x-hop\r\nx-hop: 1\r\nupgrade: websocket\r\nte: trailers\r\n\
                   x-request-id: forged\r\nx-workspace: south\r\nx-deadline-ms: 999999\r\n";
    let answer = send_raw(&fleet, &get("/open/1", headers)).await?;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(
        !answer.contains("forged") && !answer.contains("south"),
        "{answer}"
    );
    assert!(!answer.contains("999999"), "{answer}");
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn large_bodies_stream_in_bounded_memory() -> TestResult {
    let fleet = open_fleet(serde_json::json!({})).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    let path = format!("/book/large?answer_bytes={}", 64 * MIB);
    let before = peak_resident_bytes(fleet.hosts[0].pid())?;
    let answer = caller.post(&path, vec![7; 64 << 20]).await?;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body.len() as u64, 64 * MIB);
    let after = peak_resident_bytes(fleet.hosts[0].pid())?;
    let grown = after - before;
    println!("resident memory grew by {} KiB", grown / 1024);
    assert!(grown <= 8 * MIB, "grew by {grown} bytes");
    fleet.close().await;
    Ok(())
}

fn peak_resident_bytes(pid: u32) -> Result<u64, Box<dyn std::error::Error>> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kib = line
        .and_then(|line| line.split_whitespace().nth(1))
        .ok_or("no VmHWM")?;
    Ok(kib.parse::<u64>()? * 1024)
}

#[tokio::test]
async fn a_planned_stop_cuts_no_running_answer() -> TestResult {
    let settings = serde_json::json!({ "lookup_keep_ms": 300 });
    let mut fleet = open_fleet(settings).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    let slow = tokio::spawn(async move { caller.post("/book/slow?work_ms=1500", "x").await });
    let runs = || async {
        let records = fleet.records().await;
        records.is_ok_and(|records| records.iter().any(|run| run.path == "/book/slow"))
    };
    wait_until("the request runs", Duration::from_secs(10), runs).await?;
    fleet.hosts[0].signal(standins::fleet::ProcessSignal::Terminate);
    let answer = slow.await??;
    assert_eq!(answer.status, 200);
    let exit = fleet.hosts[0].wait(Duration::from_secs(20)).await?;
    assert!(exit.success());
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn lookups_leave_out_hosts_that_are_gone_or_out() -> TestResult {
    let mut fleet = TestFleet::open(FleetSettings {
        zones: vec!["a".to_owned(), "b".to_owned()],
        hosts_per_zone: 2,
        host_settings: serde_json::json!({ "lookup_keep_ms": 1000 }),
        ..Default::default()
    })
    .await?;
    let caller = fleet.caller(0, "")?;
    let names = |count: usize| {
        let caller = caller.clone();
        move || {
            let caller = caller.clone();
            async move {
                named_hosts(&caller)
                    .await
                    .is_some_and(|named| named.len() == count)
            }
        }
    };
    wait_until("all hosts are named", Duration::from_secs(20), names(4)).await?;
    fleet.hosts[1].signal(standins::fleet::ProcessSignal::Kill);
    wait_until(
        "the killed host is left out",
        Duration::from_secs(20),
        names(3),
    )
    .await?;
    let mut set = standins::fleet::basic_objects(&["a".to_owned(), "b".to_owned()]);
    set.zones[1].state = mangostep_objects::ZoneState::Out;
    fleet.publish(&set).await?;
    wait_until(
        "the zone that is out is left out",
        Duration::from_secs(20),
        names(1),
    )
    .await?;
    let late = fleet.caller(2, NORTH_KEY)?;
    let refused = || async {
        let answer = late.get("/lookup/1").await;
        answer.is_ok_and(|answer| answer.reason.as_deref() == Some("zone-out"))
    };
    wait_until("hosts of the zone refuse", Duration::from_secs(5), refused).await?;
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_key_withdrawn_while_its_body_comes_runs_nothing() -> TestResult {
    let fleet = open_fleet(serde_json::json!({})).await?;
    let mut stream = TcpStream::connect(fleet.hosts[0].addresses().front).await?;
    let head = format!(
        "POST /book/slow HTTP/1.1\r\nhost: h\r\nconnection: close\r\nmangostep-key: {NORTH_KEY}\r\n\
         content-length: 40\r\n\r\n{}",
        "a".repeat(20)
    );
    stream.write_all(head.as_bytes()).await?;
    let mut set = standins::fleet::basic_objects(&["a".to_owned()]);
    set.keys.retain(|key| key.workspace != "north");
    fleet.publish(&set).await?;
    let other = fleet.caller(0, NORTH_KEY)?;
    let withdrawn =
        || async { matches!(other.get("/lookup/1").await, Ok(got) if got.status == 401) };
    wait_until("the key is withdrawn", Duration::from_secs(5), withdrawn).await?;
    stream.write_all(&[b'b'; 20]).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    let records = fleet.records().await?;
    assert!(records.iter().all(|run| run.path != "/book/slow"));
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_form_does_not_change_its_method() -> TestResult {
    let fleet = open_fleet(serde_json::json!({})).await?;
    let caller = fleet.caller(0, NORTH_KEY)?;
    let form = "application/x-www-form-urlencoded";
    for body in ["_method=delete&stones=2", "&_method=get", "&&&_method=get"] {
        let request = caller.request(reqwest::Method::POST, "/book/1");
        let request = request.header("content-type", form).body(body);
        let answer = caller.send(request).await?;
        let told = (answer.status, answer.reason.as_deref());
        assert_eq!(told, (400, Some("method-override")), "{body}");
    }
    let request = caller.request(reqwest::Method::POST, "/book/2");
    let request = request
        .header("content-type", form)
        .body("stones=2&_method=delete");
    assert_eq!(caller.send(request).await?.status, 200);
    let records = fleet.records().await?;
    let booked: Vec<_> = records
        .iter()
        .filter(|run| run.path.starts_with("/book"))
        .collect();
    assert_eq!(booked.len(), 1, "{booked:?}");
    assert_eq!(
        (booked[0].method.as_str(), booked[0].path.as_str()),
        ("POST", "/book/2")
    );
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn a_body_that_does_not_come_holds_no_slot() -> TestResult {
    let fleet = open_fleet(serde_json::json!({})).await?;
    let request = format!(
        "POST /book/never HTTP/1.1\r\nhost: h\r\nconnection: close\r\nmangostep-key: {NORTH_KEY}\r\n\
         content-length: 40\r\n\r\n{}",
        "a".repeat(20)
    );
    let answer = send_raw(&fleet, &request).await?;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("mangostep-outcome: not-run"), "{answer}");
    let records = fleet.records().await?;
    assert!(records.iter().all(|run| run.path != "/book/never"));
    fleet.close().await;
    Ok(())
}

async fn named_hosts(caller: &standins::fleet::Caller) -> Option<Vec<String>> {
    let answer = caller.get("/_mangostep/entry").await.ok()?;
    let told: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let addresses = told["addresses"].as_array()?;
    Some(
        addresses
            .iter()
            .filter_map(|address| address.as_str().map(str::to_owned))
            .collect(),
    )
}
