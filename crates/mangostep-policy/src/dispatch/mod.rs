//! Decisions of a host that sends requests straight to backend servers.

mod active_window;
mod copy_source;
mod evidence;
mod host_table;
mod lapse_rule;
mod pool_settings;
mod read_timer;
mod retry_allowance;
mod server_entry;
mod server_pool;
mod split_turn;
mod table_copy;
mod token_ledger;

pub use self::{
    active_window::ActiveWindow,
    copy_source::CopySource,
    evidence::{EvidenceSettings, OutcomeChances, ServerEvidence},
    host_table::{HostRow, HostTable, HostTableSettings, PeerReport, PeerSighting},
    lapse_rule::{LapseRule, LapseSettings},
    pool_settings::PoolSettings,
    read_timer::{ReadState, ReadTimer},
    retry_allowance::{AllowanceSettings, RetryAllowance},
    server_entry::ServerEntry,
    server_pool::{
        ChoiceAsk, ChoiceRefusal, PeerKey, ServerChoice, ServerKey, ServerPool, ServerSignal,
    },
    split_turn::SplitTurn,
    table_copy::{CopyDelta, CopyRow, TableCopy},
    token_ledger::{LedgerAsk, LedgerSettings, TokenLedger, TokenVerdict},
};
