use {
    mangostep_policy::{
        Exposure, HostTable, RoleAction, RoleEvent, RoleView, RolloutRow, RolloutSettings,
        RolloutStep, StepChange, TableRow, VersionedRow,
    },
    slog::{info, warn},
    tokio::{task::spawn_local, time::timeout},
};

use crate::{
    clock,
    context::HostPhase,
    platform::{FleetTable, Platform, RolloutWrite, RolloutWritten, StoreError},
    prelude::*,
    rollouts::{ActiveRollout, put_order},
};

/// Interval between decisions.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval between decisions, so that many reports result in one.
const TICK_INTERVAL_MIN: Duration = Duration::from_millis(20);

/// Names of the hosts that may decide on the roll-out of a service, the first
/// in line first.
pub(super) fn decider_names<'h>(
    hosts: &'h HostTable,
    service: &str,
    now: MonotonicTime,
) -> Vec<&'h str> {
    let homes = hosts.token_homes(&format!("rollout {service}"), now);
    homes.into_iter().map(|row| row.name.as_str()).collect()
}

/// Carries out the orders until the host closes.
pub(crate) async fn run<P: Platform>(context: Rc<HostContext>, platform: Rc<P>) {
    while context.phase.get() < HostPhase::Closing {
        if context.rollouts.active.borrow().is_empty() {
            context.rollouts.wake.notified().await;
        }
        for (service, action) in tick(&context) {
            spawn_local(carry_out(
                Rc::clone(&context),
                Rc::clone(&platform),
                service,
                action,
            ));
        }
        tokio::time::sleep(TICK_INTERVAL_MIN).await;
        let _ = timeout(TICK_INTERVAL, context.rollouts.wake.notified()).await;
    }
}

/// Decides on the next calls to the store, and applies the steps in force.
fn tick(context: &HostContext) -> Vec<(String, RoleAction)> {
    let now = clock::now();
    reopen_rewritten(context);
    let mut actions = Vec::new();
    let hosts = context.hosts.borrow();
    let host_count = hosts.observers(now).len() + 1;
    let own = &context.settings.host;
    for (service, rollout) in context.rollouts.active.borrow_mut().iter_mut() {
        let names = decider_names(&hosts, service, now);
        let is_leaving = context.phase.get() > HostPhase::Serving;
        let rank = names.iter().position(|name| name == own);
        let view = RoleView {
            rank: rank.filter(|_| !is_leaving),
            hosts: host_count,
            has_target: context.pool.borrow().has_target(service, now),
        };
        if let Some(action) = rollout.role.tick(view, now) {
            actions.push((service.clone(), action));
        }
        apply_step(context, service, rollout, now);
    }
    actions
}

/// Begins anew with orders that were written again with the same content.
fn reopen_rewritten(context: &HostContext) {
    let rewritten: Vec<_> = {
        let tables = context.tables.borrow();
        let copy = &tables.of(FleetTable::Operator).copy;
        let active = context.rollouts.active.borrow();
        let rollouts = active.values();
        rollouts
            .filter_map(|rollout| {
                let version = copy.row_version(&rollout.key)?;
                let is_later = version > rollout.role.order_version();
                is_later.then(|| (rollout.key.clone(), version, rollout.role.order().clone()))
            })
            .collect()
    };
    for (key, version, order) in rewritten {
        put_order(context, &key, version, order);
    }
}

fn apply_step(
    context: &HostContext,
    service: &str,
    rollout: &mut ActiveRollout,
    now: MonotonicTime,
) {
    let step = rollout.role.applied_step(now);
    let before = std::mem::replace(&mut rollout.applied, step);
    let mut pool = context.pool.borrow_mut();
    let hold = RolloutSettings::default().completed_hold;
    if step.is_final() && rollout.ended.is_none() {
        rollout.ended = Some(now);
    }
    let is_over = rollout.ended.is_some_and(|ended| now.since(ended) >= hold);
    if step == RolloutStep::Completed && is_over {
        pool.remove_gate(service);
    } else {
        pool.set_exposure(service, Exposure::of(step));
    }
    if before == step {
        return;
    }
    drop(pool);
    let labels = [("service", service), ("step", step.as_str())];
    context.counters.count("rollout-step-applied", &labels);
    let age = rollout.role.step().map(|known| known.age(now));
    info!(context.log, "roll-out step applied"; "service" => service,
        "step" => step.as_str(), "share" => step.share(), "before" => before.as_str(),
        "age_ms" => age.map(|age| age.as_millis() as u64), "known" => rollout.age_label(),
        "decider" => rollout.role.decider());
    // Hosts learn of the step from each other.
    context.report_wake.notify_one();
}

/// Carries out a call to the store and records its outcome.
async fn carry_out<P: Platform>(
    context: Rc<HostContext>,
    platform: Rc<P>,
    service: String,
    action: RoleAction,
) {
    let started = clock::now();
    let (call, outcome) = match &action {
        RoleAction::Read => {
            let read = platform.read_rollout(&service).await;
            let event = read.map(|row| RoleEvent::Read(row.map(|row| decode_row(&context, row))));
            ("read", event)
        }
        RoleAction::Write {
            expected,
            row,
            state,
            change,
        } => {
            if let Some(change) = change {
                log_change(&context, &service, row, change);
            }
            let value = serde_json::to_vec(row).unwrap_or_default();
            let write = RolloutWrite {
                service: &service,
                target: &row.target,
                expected: *expected,
                value: &value,
                state: *state,
            };
            let written = platform.write_rollout(write).await;
            let event = written.map(|written| match written {
                RolloutWritten::Written(version) => RoleEvent::Written(version),
                RolloutWritten::Conflict(row) => {
                    RoleEvent::Conflict(row.map(|row| decode_row(&context, row)))
                }
            });
            ("write", event)
        }
    };
    let label = outcome.as_ref().map_or_else(
        |err: &StoreError| err.kind.as_str(),
        |event| match event {
            RoleEvent::Conflict(_) => "conflict",
            _ => "answered",
        },
    );
    let now = clock::now();
    let time = now.since(started);
    context
        .counters
        .record_store_call(call, "rollouts", label, time);
    if let Err(err) = &outcome {
        warn!(context.log, "roll-out call failed"; "service" => &service, "call" => call,
            "error" => err.to_string());
    }
    record_event(&context, &service, &action, outcome.ok());
    context.rollouts.wake.notify_one();
}

fn record_event(
    context: &HostContext,
    service: &str,
    action: &RoleAction,
    event: Option<RoleEvent>,
) {
    let mut active = context.rollouts.active.borrow_mut();
    let Some(rollout) = active.get_mut(service) else {
        return;
    };
    // The order may have been replaced during the call.
    if let RoleAction::Write { row, .. } = action
        && row.order != rollout.role.order_version()
    {
        return;
    }
    let was_decider = rollout.role.is_decider();
    let now = clock::now();
    rollout.role.record(event.unwrap_or(RoleEvent::Failed), now);
    let is_decider = rollout.role.is_decider();
    if was_decider != is_decider {
        let label = if is_decider { "true" } else { "false" };
        context
            .counters
            .count("rollout-decider", &[("is_decider", label)]);
        info!(context.log, "roll-out decider"; "service" => service,
            "is_decider" => is_decider, "decider" => rollout.role.decider(),
            "elapsed_ms" => rollout.role.elapsed(now).as_millis() as u64);
    }
    // All hosts hear of a step from the decider.
    if is_decider {
        context.report_wake.notify_one();
    }
}

fn log_change(context: &HostContext, service: &str, row: &RolloutRow, change: &StepChange) {
    let labels = [("service", service), ("reason", change.reason.as_str())];
    context.counters.count("rollout-step", &labels);
    let judged = &change.judged;
    info!(context.log, "roll-out step"; "service" => service, "target" => &row.target,
        "step" => change.step.as_str(), "share" => change.step.share(),
        "reason" => change.reason.as_str(), "elapsed_ms" => row.elapsed_ms,
        "suspicion" => (judged.suspicion * 100.0).round() / 100.0, "route" => &judged.route,
        "new_ended" => judged.new_ended, "new_failed" => judged.new_failed,
        "new_untried" => judged.new_untried, "new_untried_failed" => judged.new_untried_failed,
        "new_slow" => judged.new_slow,
        "old_failure_rate" => (judged.old_rate * 1000.0).round() / 1000.0,
        "heard" => change.heard);
}

fn decode_row(context: &HostContext, row: TableRow) -> VersionedRow {
    let value = row.value.as_deref().unwrap_or_default();
    let decoded = serde_json::from_slice(value);
    if let Err(err) = &decoded {
        warn!(context.log, "roll-out row refused"; "row" => &row.key,
            "error" => err.to_string());
    }
    VersionedRow {
        version: row.version,
        row: decoded.ok(),
    }
}
