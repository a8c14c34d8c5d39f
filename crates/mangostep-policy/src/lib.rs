//! Every decision of an entry host, as pure state machines.
//!
//! A policy type takes events and returns actions. It reads no clock, draws
//! no random number of its own, starts no thread and does no I/O: the caller
//! passes the time and the random source, and carries the actions out. So
//! each is driven by property tests and by replay of recorded traces.
//!
//! # Parts
//!
//! * [`Machine`] is the trait that every policy type implements.
//! * [`HostLease`], [`TakerWatch`] and [`MemberSet`] are the host lease.
//! * [`SlotKeeper`] grants the slots of one cell, [`EjectionFloor`] bounds its
//!   ejections, and [`CellChooser`] picks the cell for a request.
//! * [`ServerDetector`] is what a slot keeper asks about its backend servers.
//! * [`LimitHome`] enforces one share of the fleet-wide rate limits, and
//!   [`TokenRequester`] requests tokens for the requests that wait on a host.
//! * [`GrayDetector`] finds backend servers that fail grayly;
//!   [`ConsecutiveErrorDetector`] is the usual way, to compare with.
//! * [`ServerPool`] picks backend servers where hosts send to them directly,
//!   by [`ServerEvidence`] that all hosts share; [`RetryAllowance`],
//!   [`TokenLedger`] and [`SplitTurn`] bound and deal what is sent;
//!   [`TableCopy`] and [`LapseRule`] follow the store, and [`HostTable`] the
//!   other hosts.
//! * [`RetryPolicy`] decides whether a request is retried.
//! * [`replay`] runs recorded events through the policies.
//! * [`MonotonicTime`] is a reading of a host's monotonic clock.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use mangostep_policy::MonotonicTime;
//!
//! let start = MonotonicTime::from_micros(5_000_000);
//! let later = start + Duration::from_secs(2);
//! assert_eq!(later.since(start), Duration::from_secs(2));
//! ```

mod detection;
mod dispatch;
mod lease;
mod limits;
mod machine;
mod rendezvous;
pub mod replay;
mod retry;
mod slots;
mod time;

pub use crate::{
    detection::{BaselineSettings, ConsecutiveErrorDetector, DetectionSettings, GrayDetector},
    dispatch::{
        ActiveWindow, AllowanceSettings, BeliefShift, ChoiceAsk, ChoiceRefusal, CopyDelta, CopyRow,
        CopySource, EvidenceSettings, HostRow, HostTable, HostTableSettings, LapseRule,
        LapseSettings, LedgerAsk, LedgerSettings, OutcomeChances, PeerKey, PeerReport,
        PeerSighting, PoolSettings, ReadState, ReadTimer, RetryAllowance, ServerChoice,
        ServerEntry, ServerEvidence, ServerKey, ServerPool, ServerSignal, SignalReach, SplitTurn,
        TableCopy, TokenLedger, TokenVerdict, ZoneList,
    },
    lease::{
        Confirmation, HOMES, HolderPlanner, HostLease, HostStamp, LeaseRules, LeaseTimes, LiveHost,
        MemberPlanner, MemberSet, Renewal, SHARDS, Standing, TakerWatch, cell_name, shard_name,
    },
    limits::{
        BucketState, FleetLimit, HandoverState, HomeKey, HomeRoute, LimitHome, LimitShare,
        RequesterAction, RequesterEvent, RequesterSettings, TokenFraction, TokenGrant,
        TokenRefusal, TokenRequest, TokenRequestEntry, TokenRequestId, TokenRequester, WaiterId,
        WaitingRequest, shard_of,
    },
    machine::Machine,
    rendezvous::rendezvous_order,
    retry::{AttemptFailure, RetryDecision, RetryPolicy, RetrySettings, RetryState},
    slots::{
        CellChooser, ChooserSettings, ColdStart, ColdStartSettings, EjectionFloor, FloorSettings,
        KeeperAction, KeeperEvent, KeeperSettings, KeeperTerm, ListedServer, OutcomeKind,
        OutcomeSample, PermitKey, ProbeResult, QuietDetector, RetryBudget, ServerAction,
        ServerDetector, ServerVerdict, SlotAsk, SlotKeeper, SlotRefusal, SlotRelease, ZoneRamp,
    },
    time::MonotonicTime,
};
