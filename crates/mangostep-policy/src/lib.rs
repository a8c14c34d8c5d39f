//! The decision logic of an entry host, as pure state machines.
//!
//! A policy type takes events and returns actions. It reads no clock, owns no
//! random number generator, starts no thread and does no I/O: the caller passes
//! the time and the random source, and carries out the actions. This lets
//! property tests and replays of recorded traces drive every policy.
//!
//! # Overview
//!
//! * [`Machine`] is the trait that every policy type implements.
//! * [`HostLease`], [`LeaseWatch`] and [`MemberSet`] implement the lease of a
//!   host.
//! * [`SlotKeeper`] grants the slots of one cell, [`EjectionArbiter`] limits the
//!   ejections of one service, and [`CellChooser`] picks the cell for a request.
//! * [`ServerDetector`] is the interface by which a slot keeper detects failing
//!   backend servers.
//! * [`LimitHome`] holds a part of the tokens of fleet-wide rate limits, and
//!   [`TokenRequester`] obtains tokens for the requests that wait on a host.
//! * [`GrayDetector`] finds backend servers with gray failures;
//!   [`ConsecutiveErrorDetector`] is the common method, used as a baseline.
//! * [`ServerPool`] picks backend servers for hosts that send to them directly,
//!   using [`ServerEvidence`] shared by all hosts. [`RetryAllowance`],
//!   [`TokenLedger`] and [`TrafficSplitter`] limit and distribute the requests,
//!   [`TableCopy`] and [`LapseRule`] track the store, and [`HostTable`] tracks
//!   the other hosts.
//! * [`AdmissionTable`] decides which requests wait and which are refused while
//!   a service has less room than demand, and [`FleetLoad`] sums the demand of
//!   all hosts.
//! * [`ShareHome`] grants shares of workspaces' limits to hosts, and
//!   [`ShareSpender`] spends them there.
//! * [`AgedFigure`] is a value that a host acts on, with its age.
//! * [`DeciderRole`] and [`VersionJudge`] move a service to a new software
//!   version, and [`VersionGate`] limits what that version gets.
//! * [`RetryPolicy`] decides whether a request is retried.
//! * [`replay`] feeds recorded events to the policies.
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

mod admission;
mod balance;
mod detection;
mod dispatch;
mod knowledge;
mod lease;
mod limits;
mod machine;
mod rendezvous;
pub mod replay;
mod retry;
mod rollout;
mod shares;
mod slots;
mod time;

pub use crate::{
    admission::{
        AdmissionRule, AdmissionSettings, AdmissionTable, FleetDemand, FleetLoad,
        FleetLoadSettings, LoadReport, RANK_COUNT, RankRates, RankShares, RateMeter,
        ReturnSchedule, RoomStatus, ScheduleSettings, ServiceDemand, ServiceRoom, WaitClaim,
        WaitKey, WaitQueue, WaitRefusal, WaitSettings, ZoneLoad,
    },
    balance::BalanceSettings,
    detection::{
        ConsecutiveErrorDetector, ConsecutiveErrorSettings, DetectionSettings, GrayDetector,
    },
    dispatch::{
        AllowanceSettings, CandidateReport, CandidateState, CheckReason, CheckReport,
        ChoiceRefusal, ChoiceRequest, ConfigurationVersion, CopyComparison, CopySource,
        CopySummary, EvidenceSettings, HomeReply, HomeRequest, HostRow, HostTable,
        HostTableSettings, LapseRule, LapseSettings, LedgerRequest, LedgerSettings, OutcomeChances,
        PauseDetector, PauseSettings, PeerKey, PeerReport, PoolSettings, ReadState, ReadTimer,
        ReceivedReport, ResponseSizes, RetryAllowance, ServerChoice, ServerEntry, ServerEvidence,
        ServerKey, ServerPool, ServerSignal, ServerStanding, ServerStatement, SignalScope,
        SlidingCounter, StatedLimit, StatementCounts, StatementReport, StoreVersion,
        SuspicionChange, TableCopy, TableDelta, TableRow, TokenLedger, TokenReceipts, TokenVerdict,
        TrafficSplitter, ZoneList, ZonePresence,
    },
    knowledge::{AgeBounds, AgedFigure, FigureAge, FigureSource},
    lease::{
        Confirmation, HOMES_PER_SHARD, HolderPlanner, HostLease, LeaseRecord, LeaseRules,
        LeaseTimes, LeaseWatch, LiveHost, MemberPlanner, MemberSet, Renewal, SHARD_COUNT, Standing,
        cell_name, shard_name,
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
    rollout::{
        DeciderRole, DeciderView, Exposure, JudgedOutcomes, OutcomeTally, PooledReports,
        RoleAction, RoleEvent, RoleView, RolloutDecider, RolloutOrder, RolloutReport, RolloutRow,
        RolloutSettings, RolloutState, RolloutStep, RouteTally, StepChange, StepReason, StepRecord,
        VersionGate, VersionJudge, VersionSide, VersionedRow,
    },
    shares::{
        GrantVerdict, SentEntry, ShareAdmission, ShareEntry, ShareGrant, ShareHome, ShareLimit,
        ShareSettings, ShareSpender, StandbyDebt,
    },
    slots::{
        ArbiterSettings, CellChooser, ChooserSettings, ColdStart, ColdStartSettings,
        EjectionArbiter, KeeperAction, KeeperEvent, KeeperRole, KeeperSettings, ListedServer,
        NoopDetector, OutcomeKind, OutcomeSample, PermitKey, PermitRequest, ProbeResult,
        RetryBudget, ServerAction, ServerDetector, ServerVerdict, SlotKeeper, SlotRefusal,
        SlotRelease, ZoneRamp,
    },
    time::MonotonicTime,
};
