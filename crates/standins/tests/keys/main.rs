//! Keys between real processes: who sees them, and when they stop working.

mod raw_server;

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use {
    mangostep_objects::KeyDigest,
    mangostep_platform::{DirectoryEntry, DirectoryState},
    standins::{
        fleet::{
            Caller, FleetSettings, NORTH_KEY, ProxiedLinks, SOUTH_KEY, ServerGroup, TestFleet,
            basic_objects, wait_until,
        },
        platform::DirectoryChange,
        proxy::{LinkRule, ProxyCommand},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

use crate::raw_server::RawServer;

type TestResult = Result<(), Box<dyn std::error::Error>>;

/// Longest time in which a withdrawn key may still be admitted.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);

/// Opens a host before a server that keeps every byte.
async fn open_raw() -> Result<(TestFleet, RawServer), Box<dyn std::error::Error>> {
    let fleet = TestFleet::open(FleetSettings {
        zones: vec!["a".to_owned()],
        servers: Vec::new(),
        ready: None,
        ..Default::default()
    })
    .await?;
    let server = RawServer::open().await?;
    let entry = DirectoryEntry {
        name: "raw".to_owned(),
        service: "ledger".to_owned(),
        zone: "a".to_owned(),
        address: server.address,
        state: DirectoryState::Live,
    };
    let listed = vec![DirectoryChange::Put(entry)];
    fleet.platform.change_directory(listed).await?;
    let caller = fleet.caller(0, SOUTH_KEY)?;
    wait_until("host ready", Duration::from_secs(30), || async {
        matches!(caller.get("/lookup/1").await, Ok(answer) if answer.status == 200)
    })
    .await?;
    Ok((fleet, server))
}

/// Sends requests on one connection, and returns the codes of their answers.
async fn send_raw(
    front: SocketAddr,
    requests: &[String],
) -> Result<Vec<u16>, Box<dyn std::error::Error>> {
    let mut stream = TcpStream::connect(front).await?;
    let mut codes = Vec::new();
    for request in requests {
        stream.write_all(request.as_bytes()).await?;
        let code = read_answer(&mut stream).await;
        codes.push(code.map_err(|err| format!("after {codes:?}: {err}"))?);
    }
    Ok(codes)
}

async fn read_answer(stream: &mut TcpStream) -> Result<u16, Box<dyn std::error::Error>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8(head)?.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .ok_or("no length")?;
    let mut body = vec![0; length.parse()?];
    stream.read_exact(&mut body).await?;
    assert!(!String::from_utf8_lossy(&body).contains(NORTH_KEY));
    let code = head.split(' ').nth(1).ok_or("no code")?;
    Ok(code.parse()?)
}

fn get(path: &str, headers: &[&str]) -> String {
    let headers: String = headers.iter().map(|line| format!("{line}\r\n")).collect();
    format!("GET {path} HTTP/1.1\r\nHost: shop\r\n{headers}\r\n")
}

#[tokio::test]
async fn no_header_brings_the_key_to_a_backend_server() -> TestResult {
    let (fleet, server) = open_raw().await?;
    let front = fleet.hosts[0].addresses().front;
    let spellings = [
        "mangostep-key: key-of-north",
        "MANGOSTEP-Key:    key-of-north  ",
        "AUTHORIZATION: bEARer key-of-north",
        "Authorization:  Bearer   key-of-north",
        "Proxy-Authorization: Bearer key-of-north",
        "Connection: keep-alive, X-Listed",
        "X-Listed: key-of-north",
        "X-Api-Key: key-of-north",
        "Cookie: shop=7; token=key-of-north",
        "Referer: http://shop/?key=key-of-north",
        "X-Plain: plain",
    ];
    let chunked = "POST /book/1 HTTP/1.1\r\nHost: shop\r\nMangostep-KEY: key-of-north\r\n\
                   Transfer-Encoding: chunked\r\nTrailer: mangostep-key\r\n\r\n\
                   3\r\nabc\r\n0\r\nmangostep-key: key-of-north\r\n\r\n";
    let requests = [
        get("/lookup/1", &spellings),
        get("/open/1", &spellings),
        chunked.to_owned(),
    ];
    assert_eq!(send_raw(front, &requests).await?, [200, 200, 200]);
    let seen = server.text();
    assert!(seen.contains("x-plain: plain"), "{seen}");
    assert!(!seen.contains(NORTH_KEY), "a server saw the key: {seen}");
    let other = get(
        "/open/2",
        &[
            "mangostep-key: key-of-north",
            "authorization: Bearer key-of-south",
        ],
    );
    assert_eq!(send_raw(front, &[other]).await?, [200]);
    let seen = server.text();
    assert!(!seen.contains(NORTH_KEY) && !seen.contains(SOUTH_KEY));
    assert_untold(&fleet).await?;
    fleet.close().await;
    Ok(())
}

#[tokio::test]
async fn each_request_of_a_connection_needs_its_key() -> TestResult {
    let (fleet, _server) = open_raw().await?;
    let front = fleet.hosts[0].addresses().front;
    let key = "mangostep-key: key-of-north";
    let requests = [
        get("/lookup/1", &[key]),
        get("/lookup/1", &[]),
        get("/lookup/1", &["mangostep-key: key-of-nobody"]),
        get("/lookup/1", &[key, "mangostep-key: key-of-south"]),
        get("/lookup/1", &["authorization: Basic key-of-north"]),
        get("/open/1", &[]),
        get("/lookup/1", &["Authorization: Bearer key-of-north"]),
    ];
    let codes = send_raw(front, &requests).await?;
    assert_eq!(codes, [200, 401, 401, 401, 401, 200, 200]);
    fleet.close().await;
    Ok(())
}

/// What a caller that hammers one host got.
#[derive(Debug, Default)]
struct HammerReport {
    /// Start of the last request that was served.
    last_served: Option<Instant>,
    last_reason: Option<String>,
}

async fn hammer(caller: Caller, end: Instant) -> HammerReport {
    let mut report = HammerReport::default();
    while Instant::now() < end {
        let start = Instant::now();
        match caller.get("/lookup/1").await {
            Ok(answer) if answer.status == 200 => report.last_served = Some(start),
            Ok(answer) => report.last_reason = answer.reason,
            Err(_) => {}
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    report
}

/// Cuts a host off from the platform.
async fn cut_store(fleet: &TestFleet, host: usize) -> TestResult {
    let proxy = fleet.platform.proxy().ok_or("no proxy")?;
    proxy.run(vec![cut(fleet.hosts[host].outgoing())]).await?;
    Ok(())
}

/// Cuts a host off from all other hosts.
async fn cut_peers(fleet: &TestFleet, host: usize) -> TestResult {
    for (other, handle) in fleet.hosts.iter().enumerate() {
        let proxy = handle.proxy().ok_or("no proxy")?;
        if other == host {
            let rule = LinkRule::CUT_BOTH;
            let source = None;
            proxy.run(vec![ProxyCommand::Rule { source, rule }]).await?;
        } else {
            proxy.run(vec![cut(fleet.hosts[host].outgoing())]).await?;
        }
    }
    Ok(())
}

fn cut(source: IpAddr) -> ProxyCommand {
    ProxyCommand::Rule {
        source: Some(source),
        rule: LinkRule::CUT_BOTH,
    }
}

#[tokio::test]
async fn a_withdrawn_key_stops_within_five_seconds_on_every_host() -> TestResult {
    let fleet = TestFleet::open(FleetSettings {
        servers: vec![ServerGroup {
            per_zone: 1,
            ..Default::default()
        }],
        proxied: ProxiedLinks {
            platform: true,
            peers: true,
            servers: false,
        },
        ..Default::default()
    })
    .await?;
    cut_store(&fleet, 1).await?;
    cut_store(&fleet, 2).await?;
    cut_peers(&fleet, 2).await?;
    let end = Instant::now() + Duration::from_secs(9);
    let mut hammers = Vec::new();
    for host in 0..3 {
        hammers.push(tokio::spawn(hammer(fleet.caller(host, NORTH_KEY)?, end)));
    }
    let mut set = basic_objects(&["a", "b", "c"].map(str::to_owned));
    set.keys.retain(|key| key.workspace != "north");
    fleet.publish(&set).await?;
    let accepted = Instant::now();
    for (host, hammer) in hammers.into_iter().enumerate() {
        let report = hammer.await?;
        let last = report.last_served.ok_or("never served")?;
        let after = last.saturating_duration_since(accepted);
        eprintln!(
            "host {host}: last served {after:?} after, then {:?}",
            report.last_reason
        );
        assert!(after <= WITHDRAWAL_LIMIT, "host {host}: {after:?}");
        let reason = report.last_reason.unwrap_or_default();
        // A host that only the store does not answer learns of the withdrawal
        // from its peers; one that nobody answers cannot know of it.
        let expected = match host {
            2 => "host-not-fresh",
            _ => "unknown-key",
        };
        assert_eq!(reason, expected, "host {host}");
    }
    let south = fleet.caller(0, SOUTH_KEY)?;
    assert_eq!(south.get("/lookup/1").await?.status, 200);
    assert_untold(&fleet).await?;
    fleet.close().await;
    Ok(())
}

/// Checks that no key and no digest of one is in logs, metrics, status or
/// events.
async fn assert_untold(fleet: &TestFleet) -> TestResult {
    let http = reqwest::Client::builder().no_proxy().build()?;
    let mut told = Vec::new();
    for host in &fleet.hosts {
        let operator = host.addresses().operator;
        for page in ["metrics", "status", "events"] {
            let answer = http.get(format!("http://{operator}/{page}")).send().await?;
            told.push((format!("{} {page}", host.name()), answer.text().await?));
        }
    }
    for file in std::fs::read_dir(fleet.directory())? {
        let path = file?.path();
        if path.extension().is_none_or(|extension| extension != "json") {
            let text = String::from_utf8_lossy(&std::fs::read(&path)?).into_owned();
            told.push((path.display().to_string(), text));
        }
    }
    assert!(told.iter().any(|(_, text)| text.contains("started")));
    for secret in [NORTH_KEY, SOUTH_KEY] {
        let digest = hex::encode(KeyDigest::of(secret.as_bytes()).as_bytes());
        for (place, text) in &told {
            assert!(!text.contains(secret), "{place} tells a key");
            assert!(!text.contains(&digest), "{place} tells a digest");
        }
    }
    Ok(())
}
