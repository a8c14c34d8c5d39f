//! Servers that joined, of services without a warm-up rate.

use mangostep_objects::RequestKind;

use crate::{
    MonotonicTime,
    dispatch::{ChoiceRequest, ServerPool, server_pool::ServerRecord},
};

/// Smallest share of its slots that a joining server counts with.
const RAMP_SHARE_MIN: f64 = 0.25;

impl ServerPool {
    /// Number of slots that a server counts with: while it is cold, a share
    /// that grows to the whole over its cold start. The share makes a joining
    /// server look busier, so that it gets fewer requests, but refuses none.
    pub(super) fn ramped_slots(&self, record: &ServerRecord, now: MonotonicTime) -> f64 {
        let slots = f64::from(record.entry.slots.max(1));
        if record.cold_until <= now {
            return slots;
        }
        let ramp = record.cold_until.since(record.cold_since).as_secs_f64();
        let elapsed = now.since(record.cold_since).as_secs_f64();
        (slots * (elapsed / ramp).clamp(RAMP_SHARE_MIN, 1.0)).max(1.0)
    }

    /// Whether a server that joined has been without requests for so long that
    /// it gets one that cannot be retried although nothing is known of it. The
    /// hosts of its zone send it first.
    pub(super) fn is_first_request_due(
        &self,
        record: &ServerRecord,
        request: ChoiceRequest<'_>,
        now: MonotonicTime,
    ) -> bool {
        let settings = &self.settings;
        let interval = match record.entry.zone == request.zone {
            true => settings.joining_interval,
            false => settings.joining_interval * 2,
        };
        let is_retryable = request.kind == RequestKind::Idempotent && request.may_retry;
        !is_retryable
            && record.cold_until > now
            && record.evidence.last_outcome().is_none()
            && record.own_path.last_outcome().is_none()
            && record.in_flight(settings.peer_load_ttl, now) == 0
            && now.since(record.last_start) >= interval
    }

    /// Probability with which a host sends a request that one host of all
    /// should send, such that about one does before the others learn of it.
    ///
    /// A host looks at `drawn` of `servers` servers for each request.
    pub(super) fn sole_sender_chance(
        &self,
        request: ChoiceRequest<'_>,
        servers: usize,
        drawn: usize,
    ) -> f64 {
        let unseen = self.fleet_rate(request) * self.settings.signal_delay.as_secs_f64();
        let seen_by = unseen * drawn as f64 / servers.max(1) as f64;
        (1.0 / seen_by.max(f64::EPSILON)).min(1.0)
    }
}
