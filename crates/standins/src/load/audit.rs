use std::collections::HashMap;

use crate::{
    backend::RunRecord,
    load::{LoadReport, OperationOutcome},
};

/// Discrepancies between a load's answers and the backend servers' records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunAudit {
    /// Operations of the checked kinds that ran more than once.
    pub doubled: u64,
    /// Operations of any kind that ran although the answer said
    /// that they did not.
    pub false_not_run: u64,
    /// Operations of any kind that were served and ran nowhere.
    pub phantom: u64,
}

/// Compares a load's answers with what ran at the backend servers.
///
/// `once` names the kinds of requests that may run once at most.
pub fn audit_runs(report: &LoadReport, records: &[RunRecord], once: &[&str]) -> RunAudit {
    let mut runs: HashMap<&str, u64> = HashMap::new();
    for record in records {
        *runs.entry(record.operation.as_str()).or_default() += 1;
    }
    let mut audit = RunAudit::default();
    for operation in &report.operations {
        let ran = runs.get(operation.operation.as_str()).copied().unwrap_or(0);
        let kind = &report.kinds[operation.kind].name;
        if ran > 1 && once.contains(&kind.as_str()) {
            audit.doubled += 1;
        }
        match operation.outcome {
            OperationOutcome::NotRun { .. } if ran > 0 => audit.false_not_run += 1,
            OperationOutcome::Answered { status } if status < 400 && ran == 0 => audit.phantom += 1,
            _ => {}
        }
    }
    audit
}
