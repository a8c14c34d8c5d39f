//! Runs one stand-in as a separate process.

use std::{net::SocketAddr, process::ExitCode};

use {
    serde::Serialize,
    standins::{
        backend::{BackendServer, BackendSettings},
        platform::PlatformServer,
        proxy::FaultProxy,
    },
};

const USAGE: &str = "\
standin: run a stand-in for an external system, for tests

Usage: standin platform --listen ADDRESS
       standin backend --listen ADDRESS [--settings JSON]
       standin proxy --listen ADDRESS --control ADDRESS [--target ADDRESS]

Prints one JSON line with the addresses once they are bound.
";

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(pico_args::Arguments::from_env())),
        Err(err) => Err(err.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprint!("standin: {err}\n\n{USAGE}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

async fn run(mut arguments: pico_args::Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let command = arguments.subcommand()?.unwrap_or_default();
    let listen: SocketAddr = arguments.value_from_str("--listen")?;
    match command.as_str() {
        "platform" => {
            let server = PlatformServer::bind(listen).await?;
            print_addresses(&serde_json::json!({ "address": server.address()? }))?;
            server.run().await;
        }
        "backend" => {
            let settings: Option<String> = arguments.opt_value_from_str("--settings")?;
            let settings = match settings {
                Some(text) => serde_json::from_str(&text)?,
                None => BackendSettings::default(),
            };
            let server = BackendServer::bind(listen, settings).await?;
            print_addresses(&serde_json::json!({ "address": server.address()? }))?;
            server.run().await;
        }
        "proxy" => {
            let control = arguments.value_from_str("--control")?;
            let target = arguments.opt_value_from_str("--target")?;
            let proxy = FaultProxy::bind(listen, control, target).await?;
            print_addresses(&proxy.addresses()?)?;
            proxy.run().await;
        }
        other => return Err(format!("unknown stand-in `{other}`").into()),
    }
    Ok(())
}

fn print_addresses(addresses: &impl Serialize) -> serde_json::Result<()> {
    println!("{}", serde_json::to_string(addresses)?);
    Ok(())
}
