use std::sync::atomic::Ordering;

use mangostep_objects::{Snapshot, ZoneState};

use crate::prelude::*;

/// Time between two looks at the configuration in force.
const WATCH_EVERY: Duration = Duration::from_millis(100);

/// Whether an availability zone was taken out; one that the configuration
/// does not name was not.
pub(crate) fn is_zone_out(snapshot: &Snapshot, zone: &str) -> bool {
    snapshot
        .zone(zone)
        .is_some_and(|zone| zone.state == ZoneState::Out)
}

/// Refuses new requests once the host's own availability zone has been out
/// for as long as callers keep the answer of a look-up.
///
/// Until then callers that were told to use this host still come, and their
/// requests run in other zones.
pub(crate) async fn watch_own_zone(context: Arc<HostContext>) {
    let mut out_since = None;
    loop {
        let now = context.clock.now();
        let snapshot = context.snapshot.load();
        if is_zone_out(&snapshot, &context.settings.zone) {
            let since = *out_since.get_or_insert(now);
            let is_over = now.since(since) >= context.settings.lookup_keep;
            context.zone_closed.store(is_over, Ordering::Release);
        } else {
            out_since = None;
            context.zone_closed.store(false, Ordering::Release);
        }
        drop(snapshot);
        tokio::time::sleep(WATCH_EVERY).await;
    }
}
