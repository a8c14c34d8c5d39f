//! Carries out the operator's orders to move a service to another software
//! version. What is decided, and by which host, is in `mangostep_policy`.

mod active;
mod reports;
mod running;
mod sample;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
};

use {
    mangostep_policy::{DeciderRole, RolloutOrder, RolloutSettings, VersionGate},
    rand::RngExt,
    slog::info,
};

pub(crate) use self::{
    reports::{add_report_targets, own_reports, record_reports},
    running::run,
    sample::RolloutSample,
};
use crate::{clock, prelude::*, rollouts::active::ActiveRollout, settings::FleetBounds};

/// The roll-outs for which an order of the operator stands.
#[derive(Default)]
pub(crate) struct Rollouts {
    /// By service.
    active: RefCell<BTreeMap<String, ActiveRollout>>,
    /// Wakes the task that decides on the next steps.
    wake: tokio::sync::Notify,
    /// When a failure of a new version last triggered a report.
    failure_reported: Cell<MonotonicTime>,
}

/// Begins with an order that was read from the store, in place of an earlier
/// one for the service.
pub(crate) fn put_order(context: &HostContext, key: &str, version: u64, order: RolloutOrder) {
    let now = clock::now();
    info!(context.log, "roll-out ordered"; "service" => &order.service,
        "target" => &order.target, "order" => version,
        "duration_ms" => order.duration.as_millis() as u64);
    let service = order.service.clone();
    let phase = context.random.borrow_mut().random_range(0.0..1.0);
    let gate = VersionGate::open(&order.target, phase);
    context.pool.borrow_mut().put_gate(&service, gate);
    let role = DeciderRole::open(
        settings(&context.settings.bounds),
        &context.settings.host,
        context.incarnation,
        version,
        order,
        now,
    );
    let rollout = ActiveRollout::open(key, role);
    let mut active = context.rollouts.active.borrow_mut();
    active.insert(service, rollout);
    context.rollouts.wake.notify_one();
}

/// Ends the roll-out whose order was removed. A version that was rolled back
/// still gets nothing.
pub(crate) fn remove_order(context: &HostContext, key: &str) {
    let mut active = context.rollouts.active.borrow_mut();
    let found = active.iter().find(|(_, rollout)| rollout.key == key);
    let Some(service) = found.map(|(service, _)| service.clone()) else {
        return;
    };
    if let Some(rollout) = active.remove(&service) {
        info!(context.log, "roll-out order removed"; "service" => &service,
            "step" => rollout.applied.as_str());
        if rollout.applied != mangostep_policy::RolloutStep::RolledBack {
            context.pool.borrow_mut().remove_gate(&service);
        }
    }
}

fn settings(bounds: &FleetBounds) -> RolloutSettings {
    RolloutSettings {
        expose_share: bounds.expose_share,
        expose_slack: bounds.expose_slack,
        rollback: bounds.rollback_s,
        ..Default::default()
    }
}
