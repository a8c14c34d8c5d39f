//! Starts a small fleet on this machine, sends requests through it, and explains
//! the failure of one of them.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use standins::{
    AnswerMode, AnswerPlan, CallerConnection, RequestSpec, StandinError,
    entry_fleet::{
        EntryConfiguration, EntryFleet, EntryFleetSettings, EntryServerGroup, EntryWorkspace,
        look_up,
    },
};

const USAGE: &str = "\
quickstart: three entry hosts, six backend servers and a store

Usage: quickstart [--stay]

  --stay   run until Ctrl-C instead of ending after the demonstration
";

const EXIT_USAGE: u8 = 2;

/// Number of requests of each kind.
const REQUESTS_PER_KIND: usize = 60;

/// Timeout of a request, once to connect and once for the answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for the hosts to flush their logs.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(500);

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let stay = arguments.contains("--stay");
    if !arguments.finish().is_empty() {
        eprint!("{USAGE}");
        return ExitCode::from(EXIT_USAGE);
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("quickstart: {err}");
            return ExitCode::FAILURE;
        }
    };
    let ran = runtime.block_on(async {
        tokio::select! {
            ran = demonstrate(stay) => ran,
            _ = tokio::signal::ctrl_c() => Ok(()),
        }
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("quickstart: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn demonstrate(stay: bool) -> Result<(), StandinError> {
    eprintln!("building the programs and starting the fleet");
    let fleet = EntryFleet::open(settings()).await?;
    for host in &fleet.hosts {
        let front = host.addresses().front;
        println!("entry host      {front}  in {}", host.zone());
    }
    for server in &fleet.servers {
        println!(
            "backend server  {}  {} in {}",
            server.address, server.service, server.zone
        );
    }
    let lookup = fleet.hosts[0].addresses().lookup;
    let failed = |err: std::io::Error| StandinError::new("look up", lookup, err);
    let fronts = look_up(lookup, fleet.hosts[0].zone())
        .await
        .map_err(failed)?;
    println!("\nA caller in zone a connects to one of {fronts:?}.\n");
    println!("kind       sent  served  refused  failed");
    let kinds = [
        ("look-up", "GET", "/look-ledger/1042", "workshop-key"),
        ("booking", "POST", "/book-ledger/7", "workshop-key"),
        ("refund", "POST", "/book-refunds/3", "tills-key"),
        ("no key", "GET", "/look-ledger/1042", "unknown"),
    ];
    for kind in kinds {
        send_kind(&fleet, kind).await?;
    }
    explain_failure(&fleet).await?;
    if stay {
        println!(
            "\nRunning until Ctrl-C; settings and logs: {}",
            fleet.directory().display()
        );
        let front = fleet.hosts[0].addresses().front;
        println!(
            "  curl -H 'host: app.example' -H 'authorization: Bearer workshop-key' \
             http://{front}/look-ledger/1"
        );
        println!(
            "  curl http://{}/metrics",
            fleet.hosts[0].addresses().metrics
        );
        std::future::pending::<()>().await;
    }
    fleet.close();
    Ok(())
}

fn settings() -> EntryFleetSettings {
    let workspace = |name: &str, rate_per_s| EntryWorkspace {
        name: name.to_owned(),
        keys: vec![format!("{name}-key")],
        rate_per_s,
        burst: rate_per_s,
    };
    let group = |service: &str| EntryServerGroup {
        service: service.to_owned(),
        per_zone: 1,
    };
    EntryFleetSettings {
        hosts_per_zone: 1,
        servers: vec![group("ledger"), group("refunds")],
        configuration: EntryConfiguration {
            workspaces: vec![workspace("workshop", 500.0), workspace("tills", 500.0)],
            ..Default::default()
        },
        ..Default::default()
    }
}

async fn send_kind(
    fleet: &EntryFleet,
    (name, method, path, key): (&str, &str, &str, &str),
) -> Result<(), StandinError> {
    let (mut served, mut refused, mut failed) = (0, 0, 0);
    for number in 0..REQUESTS_PER_KIND {
        let host = &fleet.hosts[number % fleet.hosts.len()];
        let id = format!("{}-{number}", name.replace(' ', "-"));
        let spec = RequestSpec {
            method,
            path,
            id: &id,
            key,
            ..Default::default()
        };
        match send(host.addresses().front, spec).await? {
            200 => served += 1,
            401 | 429 | 503 => refused += 1,
            _ => failed += 1,
        }
    }
    println!("{name:<9} {REQUESTS_PER_KIND:>5} {served:>7} {refused:>8} {failed:>7}");
    Ok(())
}

async fn send(front: std::net::SocketAddr, spec: RequestSpec<'_>) -> Result<u16, StandinError> {
    let failed = |err: std::io::Error| StandinError::new("send request", front, err);
    let mut caller = CallerConnection::open(front, REQUEST_TIMEOUT)
        .await
        .map_err(failed)?;
    let answer = caller
        .request(spec, REQUEST_TIMEOUT)
        .await
        .map_err(failed)?;
    Ok(answer.status)
}

/// Makes the backend servers of `refunds` fail requests although their health
/// checks succeed, and prints the output of `mangostep explain` for a refund.
async fn explain_failure(fleet: &EntryFleet) -> Result<(), StandinError> {
    for (index, server) in fleet.servers.iter().enumerate() {
        if server.service == "refunds" {
            fleet.set_plan(
                index,
                AnswerPlan {
                    mode: AnswerMode::ResetsAfterRun,
                    ..Default::default()
                },
            );
        }
    }
    let spec = RequestSpec {
        method: "POST",
        path: "/book-refunds/3",
        id: "refund-that-fails",
        key: "tills-key",
        ..Default::default()
    };
    let status = send(fleet.hosts[1].addresses().front, spec).await?;
    tokio::time::sleep(LOG_FLUSH_TIME).await;
    println!("\nrefund-that-fails got {status}; mangostep explain reports:\n");
    let failed = |err: std::io::Error| StandinError::new("explain", spec.id, err);
    let logs: Vec<PathBuf> = std::fs::read_dir(fleet.directory())
        .map_err(failed)?
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "out"))
        .collect();
    let explanation = std::process::Command::new(fleet.program())
        .arg("explain")
        .arg(spec.id)
        .args(logs)
        .output()
        .map_err(failed)?;
    print!("{}", String::from_utf8_lossy(&explanation.stdout));
    Ok(())
}
