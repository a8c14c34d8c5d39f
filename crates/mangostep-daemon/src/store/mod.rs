//! The store thread: everything that goes to the platform.

use std::{sync::atomic::Ordering, thread::JoinHandle};

use {
    mangostep_objects::{ObjectSet, Snapshot},
    mangostep_platform::{
        ConfigurationHead, HostDirectory, ObjectStore, PlatformClient, PlatformError,
        PlatformSettings, TableStore, Transaction, keys,
    },
    tokio::{runtime::Builder, sync::watch},
};

use crate::{entry_host::StopPhase, prelude::*};

/// How long a reading of the head keeps keys and configuration fresh.
const FRESH_FOR: Duration = Duration::from_secs(5);

/// Starts the store thread.
pub(crate) fn spawn(
    context: Arc<HostContext>,
    mut stopped: watch::Receiver<StopPhase>,
) -> Result<JoinHandle<()>, DaemonError> {
    let settings = PlatformSettings {
        client: context.settings.host.clone(),
        outgoing: context.settings.outgoing,
        ..context.settings.platform.clone()
    };
    let client = PlatformClient::open(settings)
        .map_err(|err| DaemonError::new("set up platform client", "store thread", err))?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| DaemonError::new("start runtime", "store thread", err))?;
    let run = move || {
        runtime.block_on(async move {
            tokio::select! {
                () = watch_platform(&context, &client) => {}
                _ = stopped.wait_for(|phase| *phase == StopPhase::Stopped) => {}
            }
        });
    };
    std::thread::Builder::new()
        .name("store".to_owned())
        .spawn(run)
        .map_err(|err| DaemonError::new("start thread", "store thread", err))
}

async fn watch_platform(context: &HostContext, client: &PlatformClient) {
    loop {
        if let Err(err) = read_head(context, client).await {
            slog::debug!(context.log, "head not read"; "cause" => err.to_string());
        }
        if let Err(err) = read_servers(context, client).await {
            slog::debug!(context.log, "directory not read"; "cause" => err.to_string());
        }
        tokio::time::sleep(context.settings.renew_every).await;
        if context.leaving.load(Ordering::Acquire) {
            tokio::time::sleep(context.settings.renew_every).await;
        }
    }
}

async fn read_head(context: &HostContext, client: &PlatformClient) -> Result<(), PlatformError> {
    let fleet = &context.settings.fleet;
    let asked = context.clock.now();
    let read = Transaction {
        reads: vec![keys::head(fleet)],
        ..Default::default()
    };
    let answer = client.transact(&read).await?;
    let Some(text) = answer.rows.first().and_then(|row| row.value.as_deref()) else {
        return Ok(());
    };
    let head = ConfigurationHead::parse(text)?;
    if head.version > context.snapshot.load().version() {
        let name = keys::snapshot(fleet, &head.digest);
        let Some(body) = client.get(&name).await? else {
            return Ok(());
        };
        let set: ObjectSet = serde_json::from_slice(&body)
            .map_err(|err| PlatformError::new("read snapshot", &name, false, err))?;
        context
            .snapshot
            .store(Arc::new(Snapshot::compile(head.version, &set)));
        context.recorder.record(
            "version-in-force",
            &[("version", &head.version.to_string())],
        );
    }
    context.standing.set_held_until(asked + FRESH_FOR);
    context.standing.set_fresh_until(asked + FRESH_FOR);
    Ok(())
}

async fn read_servers(context: &HostContext, client: &PlatformClient) -> Result<(), PlatformError> {
    let snapshot = context.snapshot.load_full();
    let mut servers = Vec::new();
    for service in snapshot.services() {
        servers.extend(client.list(&service.name).await?);
    }
    context.servers.store(Arc::new(servers));
    Ok(())
}
