use std::{net::SocketAddr, rc::Rc};

use mangostep_wire::peer_capnp::peer_link;

use crate::{
    prelude::*,
    slots::{SlotDuty, SlotReport, messages::CellRelease},
};

/// Longest wait for a keeper to confirm releases; a permit whose release is
/// lost ends by itself.
const RELEASE_LIMIT: Duration = Duration::from_millis(500);

/// Most releases in one message.
const RELEASES_MAX: usize = 256;

impl SlotDuty {
    /// Takes the report of a request that ended.
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
            self.release_here(&own, &release);
            return;
        };
        let mut batches = self.releases.borrow_mut();
        let is_sending = batches.contains_key(&keeper);
        batches.entry(keeper).or_default().push(release);
        if !is_sending {
            tokio::task::spawn_local(self.clone().send_releases(keeper));
        }
    }

    /// Sends what has gathered for a keeper, one message at a time: under
    /// load the releases that come during one message form the next.
    async fn send_releases(self: Rc<Self>, keeper: SocketAddr) {
        loop {
            let batch = {
                let mut batches = self.releases.borrow_mut();
                let Some(waiting) = batches.get_mut(&keeper).filter(|w| !w.is_empty()) else {
                    batches.remove(&keeper);
                    return;
                };
                let count = waiting.len().min(RELEASES_MAX);
                waiting.drain(..count).collect::<Vec<_>>()
            };
            let counters = &self.context.counters;
            counters.count("release-message", &[]);
            counters.add("release", batch.len() as u64, &[]);
            // The permits of a lost message end by themselves.
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
            for (at, release) in (0..).zip(batch) {
                release.write(list.reborrow().get(at));
            }
            request.send().promise.await.map(|_| ())
        };
        self.links
            .call(keeper, "release slots", RELEASE_LIMIT, call)
            .await
    }
}
