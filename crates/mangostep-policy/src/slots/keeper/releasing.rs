use std::{cmp::Reverse, time::Duration};

use crate::{
    MonotonicTime, OutcomeKind, OutcomeSample, ServerDetector,
    slots::{PermitKey, SlotKeeper, SlotRelease},
};

/// Share of a new sample in the average service time.
const SERVICE_TIME_SHARE: f64 = 0.05;

impl<D: ServerDetector> SlotKeeper<D> {
    pub(super) fn release(&mut self, now: MonotonicTime, release: &SlotRelease) {
        let Some(grant) = self.permits.get_mut(release.permit) else {
            return;
        };
        let key = grant.server;
        if may_still_run(release.outcome) {
            let try_end = grant.granted + self.settings.try_timeout;
            grant.end = grant.end.min(try_end + self.settings.validity_margin);
            self.ends.push(Reverse((grant.end, release.permit)));
        } else {
            self.close_permit(now, release.permit);
        }
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        match release.outcome {
            OutcomeKind::Draining => server.drain(now),
            // A server that takes no connection has likely been restarted.
            OutcomeKind::Cold | OutcomeKind::ConnectFailed => server.turn_cold(now),
            OutcomeKind::Refused => server.pause(now),
            OutcomeKind::Answered => {
                server.note_answer(now, true);
                self.note_service_time(release.total);
            }
            OutcomeKind::CallerGone | OutcomeKind::Unused => {}
            _ => server.note_answer(now, false),
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

    pub(super) fn note_service_time(&mut self, total: Duration) {
        let average = self.service_time.unwrap_or(total);
        self.service_time =
            Some(average.mul_f64(1.0 - SERVICE_TIME_SHARE) + total.mul_f64(SERVICE_TIME_SHARE));
    }

    pub(super) fn close_permit(&mut self, now: MonotonicTime, permit: PermitKey) {
        let Some(grant) = self.permits.remove(permit) else {
            return;
        };
        self.queue.finish(&grant.workspace);
        if let Some(server) = self.servers.get_mut(grant.server) {
            server.set_used(now, server.used.saturating_sub(1));
        }
    }

    pub(super) fn end_permits(&mut self, now: MonotonicTime) {
        while let Some(Reverse((end, permit))) = self.ends.peek().copied() {
            let grant = self.permits.get(permit);
            if grant.is_some_and(|grant| grant.end == end) {
                if end > now {
                    return;
                }
                self.close_permit(now, permit);
            }
            // Else it was given back, or ends earlier by now.
            self.ends.pop();
        }
    }
}

/// Whether the server may go on with a request that ended this way, until the
/// deadline that it was told.
fn may_still_run(outcome: OutcomeKind) -> bool {
    matches!(
        outcome,
        OutcomeKind::Timeout
            | OutcomeKind::CallerGone
            | OutcomeKind::CutAnswer
            | OutcomeKind::WrongAnswer
    )
}
