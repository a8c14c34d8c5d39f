//! Requests that wait on this host until a backend server has room.

use std::cell::RefCell;

use {
    mangostep_policy::{ChoiceRefusal, ServerKey, WaitClaim, WaitKey, WaitRefusal},
    rand::RngExt,
    tokio::{sync::Notify, time::timeout},
};

use crate::{
    clock,
    forward::request::{ForwardRequest, PlannedRequest},
    prelude::*,
};

/// Longest time after which the next request looks for a server again. Reports
/// of freed slots may be lost.
const NEXT_POLL_MAX: Duration = Duration::from_millis(50);

/// Longest time after which any other request that waits is reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between two reviews of one request.
const POLL_MIN: Duration = Duration::from_millis(1);

/// Share of the target latency that is reserved at most for the server's work.
const WORK_SHARE_MAX: f64 = 0.5;

/// Labels of the ranks in metrics.
const RANK_LABELS: [&str; mangostep_policy::RANK_COUNT] = ["0", "1", "2", "3"];

/// Wakes one waiting request.
#[derive(Debug, Default)]
pub(crate) struct WaitTicket(Notify);

/// Wakes the next request that waits for the service of a server.
pub(crate) fn wake_next(context: &HostContext, key: ServerKey) {
    let pool = context.pool.borrow();
    if let Some(entry) = pool.entry(key) {
        wake_first_of(context, &entry.service);
    }
}

/// Wakes the next request that waits for a service.
pub(crate) fn wake_first_of(context: &HostContext, service: &str) {
    let admission = context.admission.borrow();
    if let Some(ticket) = admission.first(service, clock::now()) {
        ticket.0.notify_one();
    }
}

/// Admission of one request to its service: its claim, and its place among
/// the requests that wait. Without queueing it admits everything.
pub(crate) struct RequestAdmission<'a> {
    context: &'a Rc<HostContext>,
    service: &'a str,
    /// `None` if the service has no queueing.
    claim: Option<WaitClaim>,
    place: RefCell<Option<WaitPlace>>,
    is_counted: bool,
}

struct WaitPlace {
    key: WaitKey,
    ticket: Rc<WaitTicket>,
    since: MonotonicTime,
}

impl<'a> RequestAdmission<'a> {
    /// Counts a request, and checks whether it is among those that fit into
    /// the room of the fleet. Fails with its `Retry-After` if not.
    pub(crate) fn open(
        context: &'a Rc<HostContext>,
        request: &ForwardRequest,
        planned: &'a PlannedRequest<'_>,
    ) -> Result<Self, Duration> {
        let service = planned.service.name.as_str();
        let mut admission = RequestAdmission {
            context,
            service,
            claim: None,
            place: RefCell::new(None),
            is_counted: false,
        };
        if !planned.service.has_queueing() {
            return Ok(admission);
        }
        let now = clock::now();
        let mut claim = claim_of(context, request, planned, now);
        let draw = context.random.borrow_mut().random_range(0.0..1.0);
        let mut table = context.admission.borrow_mut();
        claim.is_return = table.record_offered(service, &claim, now);
        let checked = table.check_share(service, &claim, draw, now);
        drop(table);
        if let Err(after) = checked {
            record_outcome(context, service, &claim, "beyond-share");
            return Err(after);
        }
        admission.claim = Some(claim);
        Ok(admission)
    }

    /// Whether the request may look for a server now.
    pub(crate) fn may_try(&self) -> bool {
        let Some(claim) = &self.claim else {
            return true;
        };
        let key = self.place.borrow().as_ref().map(|place| place.key);
        let table = self.context.admission.borrow();
        table.may_try(self.service, claim, key, clock::now())
    }

    /// Whether a request that got no server for the given reason may wait.
    /// `after` is the time after which one may take it.
    pub(crate) fn may_wait(&self, reason: ChoiceRefusal, after: Duration) -> bool {
        let Some(claim) = &self.claim else {
            return false;
        };
        match reason {
            ChoiceRefusal::NoCapacity => true,
            ChoiceRefusal::BackingOff => clock::now() + after <= claim.admit_by,
            _ => false,
        }
    }

    /// Waits until the request may look for a server again. Fails with its
    /// `Retry-After` if it will not be admitted in time.
    pub(crate) async fn wait(&self) -> Result<(), Duration> {
        let Some(claim) = &self.claim else {
            return Err(Duration::ZERO);
        };
        let now = clock::now();
        let (key, ticket) = match self.known_place() {
            Some(place) => place,
            None => self.enter(claim, now)?,
        };
        let reviewed = {
            let mut table = self.context.admission.borrow_mut();
            table.review(self.service, claim, key, now)
        };
        if let Err(after) = reviewed {
            self.leave();
            record_outcome(self.context, self.service, claim, "not-in-time");
            return Err(after);
        }
        let poll = match self.may_try() {
            true => NEXT_POLL_MAX,
            false => REVIEW_INTERVAL,
        };
        // It leaves as soon as it can no longer be served in time.
        let left = claim.admit_by.since(clock::now());
        let poll = poll.min(left.max(POLL_MIN));
        let _ = timeout(poll, ticket.0.notified()).await;
        Ok(())
    }

    fn known_place(&self) -> Option<(WaitKey, Rc<WaitTicket>)> {
        let place = self.place.borrow();
        let place = place.as_ref()?;
        Some((place.key, Rc::clone(&place.ticket)))
    }

    /// Takes a place in the queue.
    fn enter(
        &self,
        claim: &WaitClaim,
        now: MonotonicTime,
    ) -> Result<(WaitKey, Rc<WaitTicket>), Duration> {
        let ticket = Rc::new(WaitTicket::default());
        let mut table = self.context.admission.borrow_mut();
        let entered = table.wait(self.service, claim, Rc::clone(&ticket), now);
        drop(table);
        let (key, evicted) = entered.map_err(|(refusal, after)| {
            let label = match refusal {
                WaitRefusal::TooLate => "too-late",
                WaitRefusal::Full => "queue-full",
            };
            record_outcome(self.context, self.service, claim, label);
            after
        })?;
        if let Some(evicted) = evicted {
            evicted.0.notify_one();
        }
        self.place.replace(Some(WaitPlace {
            key,
            ticket: Rc::clone(&ticket),
            since: now,
        }));
        Ok((key, ticket))
    }

    /// Leaves the queue, if the request is in it, and lets the next one look
    /// for a server.
    pub(crate) fn leave(&self) {
        let Some(place) = self.place.take() else {
            return;
        };
        self.context
            .admission
            .borrow_mut()
            .leave(self.service, place.key);
        let wait = clock::now().since(place.since);
        self.context.counters.record_room_wait(self.service, wait);
        wake_first_of(self.context, self.service);
    }

    /// Records that the request is sent to a server.
    pub(crate) fn record_sent(&mut self) {
        let Some(claim) = self.claim.as_ref().filter(|_| !self.is_counted) else {
            return;
        };
        self.is_counted = true;
        let mut table = self.context.admission.borrow_mut();
        table.record_admitted(self.service, claim, clock::now());
        drop(table);
        record_outcome(self.context, self.service, claim, "admitted");
    }

    /// `Retry-After` of a refusal; `after` without queueing.
    pub(crate) fn plan_return(&self, after: Duration) -> Duration {
        let Some(claim) = &self.claim else {
            return after;
        };
        let mut table = self.context.admission.borrow_mut();
        table.plan_return(self.service, claim, clock::now())
    }

    /// Whether the service has queueing.
    pub(crate) fn has_queueing(&self) -> bool {
        self.claim.is_some()
    }
}

impl Drop for RequestAdmission<'_> {
    fn drop(&mut self) {
        self.leave();
    }
}

fn claim_of(
    context: &HostContext,
    request: &ForwardRequest,
    planned: &PlannedRequest<'_>,
    now: MonotonicTime,
) -> WaitClaim {
    let route = planned.route;
    let target = route.target_latency.unwrap_or(route.deadline / 2);
    let work = context.pool.borrow().mean_duration(&planned.service.name);
    let work = work.min(target.mul_f64(WORK_SHARE_MAX));
    let until_deadline = planned
        .deadline
        .saturating_duration_since(tokio::time::Instant::now());
    let left = target
        .saturating_sub(request.arrived.elapsed())
        .min(until_deadline);
    WaitClaim {
        priority: planned.priority,
        route_priority: route.priority,
        workspace: planned.workspace.unwrap_or_default().to_owned(),
        is_return: false,
        admit_by: now + left.saturating_sub(work),
        bytes: request.caller_request.body.len() as u64,
    }
}

fn record_outcome(context: &HostContext, service: &str, claim: &WaitClaim, outcome: &'static str) {
    let labels = [
        ("service", service),
        ("rank", RANK_LABELS[claim.rank()]),
        ("outcome", outcome),
    ];
    context.counters.count("admission", &labels);
}
