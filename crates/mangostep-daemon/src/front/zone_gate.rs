use std::sync::atomic::Ordering;

use mangostep_objects::{Snapshot, ZoneState};

use crate::prelude::*;

/// Interval between checks of the zone's state in the configuration in force.
const ZONE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether the configuration takes an availability zone out of service.
///
/// A zone that the configuration does not name is in service.
pub(crate) fn is_zone_out(snapshot: &Snapshot, zone: &str) -> bool {
    snapshot
        .zone(zone)
        .is_some_and(|zone| zone.state == ZoneState::Out)
}

/// Refuses new requests once the host's own availability zone has been out of
/// service for as long as callers cache a look-up.
///
/// Until then, callers with a cached look-up still use this host, and their
/// requests run in other zones.
pub(crate) async fn watch_own_zone(context: Arc<HostContext>) {
    let mut out_since = None;
    loop {
        let now = context.clock.now();
        let snapshot = context.snapshot.load();
        if is_zone_out(&snapshot, &context.settings.zone) {
            let since = *out_since.get_or_insert(now);
            let is_closed = now.since(since) >= context.settings.lookup_keep;
            context.zone_closed.store(is_closed, Ordering::Release);
        } else {
            out_since = None;
            context.zone_closed.store(false, Ordering::Release);
        }
        drop(snapshot);
        tokio::time::sleep(ZONE_CHECK_INTERVAL).await;
    }
}
