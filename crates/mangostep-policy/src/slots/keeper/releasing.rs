use std::{cmp::Reverse, time::Duration};

use crate::{
    MonotonicTime, OutcomeKind, OutcomeSample, ServerDetector,
    slots::{PermitKey, SlotKeeper, SlotRelease},
};

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_SAMPLE_WEIGHT: f64 = 0.05;

impl<D: ServerDetector> SlotKeeper<D> {
    pub(super) fn release(&mut self, now: MonotonicTime, release: &SlotRelease) {
        let Some(state) = self.permits.get_mut(release.permit) else {
            return;
        };
        let key = state.server;
        if may_still_run(release.outcome) {
            let attempt_end = state.granted + self.settings.try_timeout;
            state.end = state.end.min(attempt_end + self.settings.validity_margin);
            self.permit_ends.push(Reverse((state.end, release.permit)));
        } else {
            self.close_permit(now, release.permit);
        }
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        match release.outcome {
            OutcomeKind::Draining => server.start_draining(now),
            // A server that accepts no connection has likely been restarted.
            OutcomeKind::Cold | OutcomeKind::ConnectFailed => server.reset_cold_start(now),
            OutcomeKind::Refused => server.pause(now),
            OutcomeKind::Answered => {
                server.record_outcome(now, true);
                self.record_service_time(release.total);
            }
            OutcomeKind::CallerGone | OutcomeKind::Unused => {}
            _ => server.record_outcome(now, false),
        }
        let server = &self.servers[key];
        self.detector.observe(
            now,
            OutcomeSample {
                server: &server.name,
                source: &release.source,
                outcome: release.outcome,
                header: release.header,
                total: release.total,
                is_probe: false,
            },
        );
    }

    pub(super) fn record_service_time(&mut self, total: Duration) {
        let average = self.service_time.unwrap_or(total);
        self.service_time = Some(
            average.mul_f64(1.0 - SERVICE_TIME_SAMPLE_WEIGHT)
                + total.mul_f64(SERVICE_TIME_SAMPLE_WEIGHT),
        );
    }

    pub(super) fn close_permit(&mut self, now: MonotonicTime, permit: PermitKey) {
        let Some(state) = self.permits.remove(permit) else {
            return;
        };
        self.queue.finish(&state.workspace);
        if let Some(server) = self.servers.get_mut(state.server) {
            server.set_used(now, server.used.saturating_sub(1));
        }
    }

    pub(super) fn expire_permits(&mut self, now: MonotonicTime) {
        while let Some(Reverse((end, permit))) = self.permit_ends.peek().copied() {
            let state = self.permits.get(permit);
            if state.is_some_and(|state| state.end == end) {
                if end > now {
                    return;
                }
                self.close_permit(now, permit);
            }
            // Otherwise the entry is stale: the permit was released, or it now
            // ends earlier.
            self.permit_ends.pop();
        }
    }
}

/// Whether the server may still be running a request that ended this way. It
/// may do so until the deadline that the request carried.
fn may_still_run(outcome: OutcomeKind) -> bool {
    matches!(
        outcome,
        OutcomeKind::Timeout
            | OutcomeKind::CallerGone
            | OutcomeKind::CutAnswer
            | OutcomeKind::WrongAnswer
    )
}
