//! Starts a small fleet of `mangostep serve` on this machine and sends requests
//! through it.

use std::{path::Path, process::ExitCode, time::Duration};

use {
    mangostep_objects::ObjectSet,
    standins::{
        StandinError,
        fleet::{FleetSettings, ReadyProbe, ServerGroup, StartObjects, TestFleet},
        load::{LoadRequest, LoadSettings, run_load},
    },
};

const USAGE: &str = "\
quickstart_serve: three entry hosts, six backend servers and a platform stand-in

Usage: quickstart_serve [--stay]

  --stay   run until Ctrl-C instead of ending after the demonstration
";

const EXIT_USAGE: u8 = 2;

/// Keys of the workspaces in `examples/repairs`, as named in its comments.
const WORKSHOP_KEY: &str = "example-key-workshop";
const TILLS_KEY: &str = "example-key-tills";

/// Time for which requests are sent.
const SEND_TIME: Duration = Duration::from_secs(5);

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
            eprintln!("quickstart_serve: {err}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(stay)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("quickstart_serve: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(stay: bool) -> Result<(), StandinError> {
    eprintln!("building the programs");
    standins::fleet::build_programs().await?;
    eprintln!("starting the fleet");
    tokio::select! {
        result = demonstrate(stay) => result,
        _ = tokio::signal::ctrl_c() => {
            eprintln!("stopped");
            Ok(())
        }
    }
}

async fn demonstrate(stay: bool) -> Result<(), StandinError> {
    let objects = read_objects()?;
    let group = |service: &str| ServerGroup {
        service: service.to_owned(),
        per_zone: 1,
        ..Default::default()
    };
    let fleet = TestFleet::open(FleetSettings {
        fleet: "quickstart".to_owned(),
        zones: objects.zones.iter().map(|zone| zone.name.clone()).collect(),
        servers: objects
            .services
            .iter()
            .map(|service| group(&service.name))
            .collect(),
        objects: StartObjects::Set(objects),
        ready: Some(ReadyProbe {
            path: "/queue/1".to_owned(),
            key: WORKSHOP_KEY.to_owned(),
            ..Default::default()
        }),
        ..Default::default()
    })
    .await?;
    print_fleet(&fleet);
    send_requests(&fleet).await?;
    print_servers(&fleet).await?;
    if stay {
        println!("\nRunning until Ctrl-C.");
        std::future::pending::<()>().await;
    }
    fleet.close().await;
    Ok(())
}

fn read_objects() -> Result<ObjectSet, StandinError> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/repairs");
    let failed = |err| StandinError::new("read example", directory.display(), err);
    let mut set = ObjectSet::default();
    for entry in std::fs::read_dir(&directory).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        let text = std::fs::read_to_string(&path).map_err(failed)?;
        let file = path.display().to_string();
        let objects = ObjectSet::from_text(&file, &text)
            .map_err(|err| StandinError::new("read example", &file, err))?;
        set.merge(objects);
    }
    Ok(set)
}

fn print_fleet(fleet: &TestFleet) {
    println!("platform stand-in  http://{}", fleet.platform.address());
    for host in &fleet.hosts {
        let front = host.addresses().front;
        println!("entry host         http://{front}  in {}", host.zone());
    }
    for server in &fleet.servers {
        let address = server.address();
        println!("backend server     http://{address}  {}", server.name());
    }
}

async fn send_requests(fleet: &TestFleet) -> Result<(), StandinError> {
    let report = run_load(LoadSettings {
        entries: fleet.entries(),
        rate_per_s: 60.0,
        duration: SEND_TIME,
        requests: vec![
            LoadRequest::get("look-up", "/queue/1042", WORKSHOP_KEY).with_weight(6.0),
            LoadRequest::post("booking", "/bookings/7", WORKSHOP_KEY).with_weight(2.0),
            LoadRequest::post("refund", "/refunds/3", TILLS_KEY).with_weight(2.0),
            LoadRequest::get("no key", "/queue/1042", ""),
        ],
        ..Default::default()
    })
    .await?;
    println!("\nkind       sent  served  refused  unknown  p50 ms  p99 ms");
    for kind in &report.kinds {
        println!(
            "{:<9} {:>5} {:>7} {:>8} {:>8} {:>7.2} {:>7.2}",
            kind.name,
            kind.sent,
            kind.served,
            kind.not_run,
            kind.unknown + kind.lost,
            kind.latency_ms(0.5),
            kind.latency_ms(0.99),
        );
    }
    Ok(())
}

async fn print_servers(fleet: &TestFleet) -> Result<(), StandinError> {
    println!("\nbackend server                  ran  keys seen");
    for server in &fleet.servers {
        let summary = server.summary().await?;
        println!(
            "{:<30} {:>4} {:>10}",
            server.name(),
            summary.ran,
            summary.key_headers.len()
        );
    }
    let host = fleet.hosts[0].addresses();
    let operators: Vec<String> = fleet
        .hosts
        .iter()
        .map(|host| host.addresses().operator.to_string())
        .collect();
    println!("\nEndpoints while the fleet runs (quickstart_serve --stay):");
    println!("  curl http://{}/_mangostep/entry", host.front);
    println!(
        "  curl -H 'mangostep-key: {WORKSHOP_KEY}' http://{}/queue/1042",
        host.front
    );
    println!("  operator listeners: {}", operators.join(" "));
    println!("  settings and logs: {}", fleet.directory().display());
    Ok(())
}
