use std::{net::SocketAddr, rc::Rc};

use mangostep_wire::peer_capnp::peer_link;

use crate::{
    prelude::*,
    slots::{SlotDuty, SlotReport, messages::CellRelease},
};

/// Longest wait for a keeper to confirm releases. A permit whose release is
/// lost expires.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

const RELEASE_BATCH_MAX: usize = 256;

impl SlotDuty {
    /// Releases the slot of a finished request, here or at the keeper's host.
    pub(crate) fn release(self: &Rc<Self>, report: SlotReport) {
        let granter = report.grant.granter;
        let release = CellRelease {
            service: report.grant.service,
            zone: report.grant.zone,
            permit: report.grant.permit,
            server: report.grant.server,
            outcome: report.outcome.kind(),
            header: report.header,
            total: report.total,
        };
        let Some(keeper) = granter else {
            let own = self.context.settings.host.clone();
            self.release_locally(&own, &release);
            return;
        };
        let mut queues = self.releases.borrow_mut();
        let is_sending = queues.contains_key(&keeper);
        queues.entry(keeper).or_default().push(release);
        if !is_sending {
            tokio::task::spawn_local(self.clone().send_releases(keeper));
        }
    }

    /// Sends the queued releases of a keeper, one message at a time. Under
    /// load, the releases that arrive while a message is in flight form the
    /// next one.
    async fn send_releases(self: Rc<Self>, keeper: SocketAddr) {
        loop {
            let batch = {
                let mut queues = self.releases.borrow_mut();
                let Some(queue) = queues.get_mut(&keeper).filter(|queue| !queue.is_empty()) else {
                    queues.remove(&keeper);
                    return;
                };
                let count = queue.len().min(RELEASE_BATCH_MAX);
                queue.drain(..count).collect::<Vec<_>>()
            };
            let counters = &self.context.counters;
            counters.count("release-message", &[]);
            counters.add("release", batch.len() as u64, &[]);
            // The permits of a lost message expire.
            let _ = self.send_batch(keeper, &batch).await;
        }
    }

    async fn send_batch(
        &self,
        keeper: SocketAddr,
        batch: &[CellRelease],
    ) -> Result<(), DaemonError> {
        let stamp = self.context.recorder.clock().tick();
        let call = |link: peer_link::Client| async move {
            let mut request = link.release_slots_request();
            request.get().set_stamp(stamp);
            let count = u32::try_from(batch.len()).unwrap_or(0);
            let mut list = request.get().init_releases(count);
            for (index, release) in (0..).zip(batch) {
                release.write(list.reborrow().get(index));
            }
            request.send().promise.await.map(|_| ())
        };
        self.links
            .call(keeper, "release slots", RELEASE_TIMEOUT, call)
            .await
    }
}
