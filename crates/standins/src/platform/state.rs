use std::{collections::HashMap, time::Duration};

use mangostep_platform::{DirectoryEntry, Transaction, TransactionResult};

use crate::platform::{
    ClientCounts, PlatformControl, PlatformCounts, PlatformFault, PlatformService,
    directory::LaggingDirectory, table::MemoryTable,
};

/// The state of the stand-in platform.
#[derive(Debug, Default)]
pub(crate) struct PlatformState {
    table: MemoryTable,
    objects: HashMap<String, Vec<u8>>,
    directory: LaggingDirectory,
    faults: Vec<PlatformFault>,
    counts: PlatformCounts,
}

impl PlatformState {
    pub(crate) fn apply(&mut self, control: PlatformControl) {
        if let Some(faults) = control.faults {
            self.faults = faults;
        }
        if let Some(lag_ms) = control.directory_lag_ms {
            self.directory.set_lag(Duration::from_millis(lag_ms));
        }
        for change in control.directory {
            self.directory.change(change);
        }
        if control.clear_counts {
            self.counts = PlatformCounts::default();
        }
    }

    /// Returns the first matching fault, or one without effect.
    pub(crate) fn draw_fault(&mut self, client: &str, part: PlatformService) -> PlatformFault {
        let fits = |fault: &&mut PlatformFault| {
            let for_client =
                fault.clients.is_empty() || fault.clients.iter().any(|name| name == client);
            let for_part = fault.part.is_none_or(|other| other == part);
            for_client && for_part && fault.requests != Some(0)
        };
        let Some(fault) = self.faults.iter_mut().find(fits) else {
            return PlatformFault::default();
        };
        if let Some(left) = &mut fault.requests {
            *left -= 1;
        }
        fault.clone()
    }

    pub(crate) fn transact(
        &mut self,
        client: &str,
        transaction: &Transaction,
    ) -> TransactionResult {
        let answer = self.table.transact(transaction);
        let counts = self.counts_of(client);
        counts.transactions += 1;
        if answer.committed {
            counts.row_writes += transaction.writes.len() as u64;
        }
        counts.row_reads += answer.rows.len() as u64;
        counts.row_read_bytes += answer
            .rows
            .iter()
            .map(|row| row.key.len() + row.value.as_ref().map_or(0, String::len))
            .sum::<usize>() as u64;
        answer
    }

    pub(crate) fn put_object(&mut self, client: &str, name: &str, body: &[u8]) {
        self.counts_of(client).object_writes += 1;
        self.objects.insert(name.to_owned(), body.to_vec());
    }

    pub(crate) fn object(&mut self, client: &str, name: &str) -> Option<Vec<u8>> {
        self.counts_of(client).object_reads += 1;
        self.objects.get(name).cloned()
    }

    pub(crate) fn list(&mut self, client: &str, service: &str) -> Vec<DirectoryEntry> {
        self.counts_of(client).listings += 1;
        self.directory.list(service)
    }

    pub(crate) fn counts(&self) -> &PlatformCounts {
        &self.counts
    }

    fn counts_of(&mut self, client: &str) -> &mut ClientCounts {
        self.counts.clients.entry(client.to_owned()).or_default()
    }
}
