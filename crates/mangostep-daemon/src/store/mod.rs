//! The store thread, which makes all calls of the host to the platform.
//!
//! Its loops share one [`StoreDuty`]. They renew the host's row, read all host
//! rows and assign resources to holders, fetch the configuration, and read the
//! directory of backend servers.

mod configuration;
mod holders;
mod leaving;
mod reading;
mod renewal;
mod table_view;

use std::{cell::RefCell, sync::atomic::Ordering, thread::JoinHandle};

use {
    mangostep_platform::{HostDirectory, PlatformClient, PlatformError, PlatformSettings},
    tokio::{
        runtime::Builder,
        sync::{Notify, watch},
    },
};

use crate::{entry_host::StopPhase, prelude::*, store::table_view::TableView};

/// Pause between two readings of the directory.
const DIRECTORY_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a reading of the configuration head keeps keys and
/// configuration fresh.
const HEAD_FRESH_PERIOD: Duration = Duration::from_secs(5);

/// State shared by the loops of the store thread.
struct StoreDuty {
    context: Arc<HostContext>,
    client: PlatformClient,
    view: RefCell<TableView>,
    /// Wakes the loop that fetches snapshots when the head names a newer one.
    head_advanced: Notify,
    /// Last head read, with the time at which its reading was requested.
    head: RefCell<Option<(MonotonicTime, mangostep_platform::ConfigurationHead)>>,
}

/// Starts the store thread.
pub(crate) fn spawn(
    context: Arc<HostContext>,
    stopped: watch::Receiver<StopPhase>,
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
        let duty = StoreDuty {
            view: RefCell::new(TableView::new(&context.settings.lease)),
            head_advanced: Notify::new(),
            head: RefCell::new(None),
            context,
            client,
        };
        runtime.block_on(duty.run(stopped));
    };
    std::thread::Builder::new()
        .name("store".to_owned())
        .spawn(run)
        .map_err(|err| DaemonError::new("start thread", "store thread", err))
}

impl StoreDuty {
    async fn run(&self, mut stopped: watch::Receiver<StopPhase>) {
        let mut releasing = stopped.clone();
        let serve = async {
            self.wait_for_addresses().await;
            tokio::join!(
                self.renew_row(),
                self.read_rows(),
                self.fetch_snapshots(),
                self.read_directory(),
            );
        };
        let release = async {
            // An error means that the sender was dropped, which also ends the
            // thread.
            let _ = releasing
                .wait_for(|phase| *phase >= StopPhase::Releasing)
                .await;
        };
        tokio::select! {
            () = serve => {}
            () = release => {}
        }
        tokio::select! {
            () = self.leave() => {}
            _ = stopped.wait_for(|phase| *phase == StopPhase::Stopped) => {}
        }
        self.context.released.store(true, Ordering::Release);
    }

    /// Waits until all listeners are bound, since the row lists their
    /// addresses.
    async fn wait_for_addresses(&self) {
        while self.context.addresses.get().is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn read_directory(&self) {
        loop {
            if let Err(err) = self.read_servers().await {
                slog::debug!(self.context.log, "directory not read"; "cause" => err.to_string());
            }
            tokio::time::sleep(DIRECTORY_READ_INTERVAL).await;
        }
    }

    async fn read_servers(&self) -> Result<(), PlatformError> {
        let snapshot = self.context.snapshot.load_full();
        let mut servers = Vec::new();
        for service in snapshot.services() {
            servers.extend(self.client.list(&service.name).await?);
        }
        if snapshot.version() > 0 {
            self.context.servers.store(Arc::new(servers));
        }
        Ok(())
    }
}
