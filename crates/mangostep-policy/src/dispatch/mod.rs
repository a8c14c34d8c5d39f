//! Decisions of a host that sends requests directly to backend servers.

mod candidate_report;
mod configuration_version;
mod copy_source;
mod copy_summary;
mod evidence;
mod home_request;
mod host_row;
mod host_table;
mod lapse_rule;
mod pause_detector;
mod peer_report;
mod pool_settings;
mod read_timer;
mod response_sizes;
mod retry_allowance;
mod server_backoff;
mod server_check;
mod server_choice;
mod server_entry;
mod server_pool;
mod server_signal;
mod server_statement;
mod sliding_counter;
mod store_version;
mod table_copy;
mod token_ledger;
mod token_receipts;
mod traffic_splitter;
mod zone_list;
mod zone_presence;

pub use self::{
    candidate_report::{CandidateReport, CandidateState},
    configuration_version::ConfigurationVersion,
    copy_source::CopySource,
    copy_summary::{CopyComparison, CopySummary},
    evidence::{EvidenceSettings, OutcomeChances, ServerEvidence},
    home_request::{HomeReply, HomeRequest},
    host_row::HostRow,
    host_table::{HostTable, HostTableSettings},
    lapse_rule::{LapseRule, LapseSettings},
    pause_detector::{PauseDetector, PauseSettings},
    peer_report::{PeerReport, ReceivedReport},
    pool_settings::PoolSettings,
    read_timer::{ReadState, ReadTimer},
    response_sizes::ResponseSizes,
    retry_allowance::{AllowanceSettings, RetryAllowance},
    server_check::{CheckReason, CheckReport},
    server_choice::{ChoiceRefusal, ChoiceRequest, ServerChoice},
    server_entry::ServerEntry,
    server_pool::{PeerKey, ServerKey, ServerPool, ServerStanding},
    server_signal::{ServerSignal, SignalScope, SuspicionChange},
    server_statement::{ServerStatement, StatedLimit, StatementCounts, StatementReport},
    sliding_counter::SlidingCounter,
    store_version::StoreVersion,
    table_copy::{TableCopy, TableDelta, TableRow},
    token_ledger::{LedgerRequest, LedgerSettings, TokenLedger, TokenVerdict},
    token_receipts::TokenReceipts,
    traffic_splitter::TrafficSplitter,
    zone_list::ZoneList,
    zone_presence::ZonePresence,
};
