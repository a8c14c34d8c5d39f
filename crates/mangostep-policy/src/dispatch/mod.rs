//! Decisions of a host that sends requests straight to backend servers.

mod active_window;
mod copy_source;
mod evidence;
mod host_row;
mod host_table;
mod lapse_rule;
mod peer_report;
mod pool_settings;
mod read_timer;
mod retry_allowance;
mod server_entry;
mod server_pool;
mod split_turn;
mod table_copy;
mod token_ledger;
mod zone_list;

pub use self::{
    active_window::ActiveWindow,
    copy_source::CopySource,
    evidence::{EvidenceSettings, OutcomeChances, ServerEvidence},
    host_row::HostRow,
    host_table::{HostTable, HostTableSettings},
    lapse_rule::{LapseRule, LapseSettings},
    peer_report::{PeerReport, PeerSighting},
    pool_settings::PoolSettings,
    read_timer::{ReadState, ReadTimer},
    retry_allowance::{AllowanceSettings, RetryAllowance},
    server_entry::ServerEntry,
    server_pool::{
        BeliefShift, ChoiceAsk, ChoiceRefusal, PeerKey, ServerChoice, ServerKey, ServerPool,
        ServerSignal, SignalReach,
    },
    split_turn::SplitTurn,
    table_copy::{CopyDelta, CopyRow, TableCopy},
    token_ledger::{LedgerAsk, LedgerSettings, TokenLedger, TokenVerdict},
    zone_list::ZoneList,
};
