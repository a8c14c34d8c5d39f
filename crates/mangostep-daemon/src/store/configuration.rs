use std::sync::atomic::Ordering;

use mangostep_platform::{ConfigurationHead, ObjectStore, PlatformError, Row, keys};

use crate::{
    prelude::*,
    published::PublishedSet,
    store::{HEAD_FRESH_PERIOD, StoreDuty},
};

/// Pause after a failed fetch of a snapshot.
const FETCH_RETRY_PAUSE: Duration = Duration::from_millis(200);

impl StoreDuty {
    /// Stores the head from its row, and wakes the fetching loop if it names a
    /// newer version.
    pub(super) fn apply_head(&self, requested_at: MonotonicTime, row: Option<&Row>) {
        let context = &self.context;
        let Some(text) = row.and_then(|row| row.value.as_deref()) else {
            return;
        };
        let Ok(head) = ConfigurationHead::parse(text) else {
            slog::error!(context.log, "head not understood"; "row" => text);
            return;
        };
        context
            .head_version
            .fetch_max(head.version, Ordering::AcqRel);
        let is_newer = head.version > context.snapshot.load().version();
        *self.head.borrow_mut() = Some((requested_at, head));
        if is_newer {
            self.head_advanced.notify_one();
        }
        self.extend_freshness();
    }

    /// Extends the freshness of the configuration in force, if the last head
    /// read names no newer version.
    fn extend_freshness(&self) {
        let head = self.head.borrow();
        let Some((requested_at, head)) = head.as_ref() else {
            return;
        };
        if self.context.snapshot.load().version() >= head.version {
            let fresh_until = *requested_at + HEAD_FRESH_PERIOD;
            self.context.standing.extend_head_fresh_until(fresh_until);
        }
    }

    /// Fetches the snapshots that the head names from the object store, until
    /// the thread ends.
    pub(super) async fn fetch_snapshots(&self) {
        loop {
            self.head_advanced.notified().await;
            while let Some(head) = self.missing_head() {
                if let Err(err) = self.fetch_snapshot(head).await {
                    slog::debug!(self.context.log, "snapshot not fetched"; "cause" => err.to_string());
                    tokio::time::sleep(FETCH_RETRY_PAUSE).await;
                }
            }
            self.extend_freshness();
        }
    }

    fn missing_head(&self) -> Option<ConfigurationHead> {
        let head = self.head.borrow();
        let (_, head) = head.as_ref()?;
        let is_missing = head.version > self.context.snapshot.load().version();
        is_missing.then(|| head.clone())
    }

    async fn fetch_snapshot(&self, head: ConfigurationHead) -> Result<(), PlatformError> {
        let context = self.context.clone();
        let name = keys::snapshot(&context.settings.fleet, &head.digest);
        let failed = |cause: String| PlatformError::new("fetch snapshot", &name, false, cause);
        let body = self.client.get(&name).await?;
        let body = body.ok_or_else(|| failed("no such object".to_owned()))?;
        let published = PublishedSet {
            head,
            body: Arc::new(body),
        };
        // Compiling a large configuration must not delay the renewals.
        let install = move || {
            context
                .published
                .install(&context, "object store", published)
        };
        let installed = tokio::task::spawn_blocking(install).await;
        let installed = installed.map_err(|err| failed(err.to_string()))?;
        installed.map_err(|err| failed(err.to_string()))
    }
}
