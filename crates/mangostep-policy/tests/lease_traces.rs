//! Deterministic traces for lease rules that the random model does not reach.
//!
//! Each trace ends with a takeover decision. With all rules enabled, the old
//! holder has no standing when the takeover is allowed; with the tested rule
//! disabled, it still has.

use std::time::Duration;

use mangostep_policy::{
    HostLease, LeaseRecord, LeaseRules, LeaseTimes, LeaseWatch, MemberSet, MonotonicTime, Renewal,
    Standing,
};

/// Time of the last reading of a trace.
const END_MS: u64 = 100_000;

/// Returns the time `ms` milliseconds after the last reading, before it if
/// negative.
fn at(ms: i64) -> MonotonicTime {
    let end = i64::try_from(END_MS).expect("END_MS fits an i64");
    let ms = u64::try_from(end + ms).expect("traces start after time zero");
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

/// A host's lease with its row in the table.
struct TracedHost {
    name: &'static str,
    lease: HostLease,
    row: LeaseRecord,
}

impl TracedHost {
    fn new(name: &'static str, rules: &LeaseRules) -> Self {
        TracedHost {
            name,
            lease: HostLease::with_rules(LeaseTimes::default(), rules.clone(), at(-60_000)),
            row: LeaseRecord {
                host: name.to_owned(),
                incarnation: 1,
                ..Default::default()
            },
        }
    }

    fn begin(&mut self, ms: i64) -> Renewal {
        let renewal = self.lease.begin_renewal(at(ms));
        renewal.unwrap_or_else(|| panic!("{}: no renewal is due at {ms}", self.name))
    }

    /// Writes a renewal to the host's row.
    fn write(&mut self, renewal: Renewal) {
        self.row.number = renewal.number;
        self.row.confirmed = renewal.confirmed;
    }

    /// Performs a renewal that is written and confirmed at once.
    fn renew(&mut self, ms: i64) {
        let renewal = self.begin(ms);
        self.write(renewal);
        self.lease.confirm(at(ms), renewal.number);
    }

    /// Renews every 500 ms, from `from_ms` until before `to_ms`.
    fn renew_through(&mut self, from_ms: i64, to_ms: i64) {
        let mut ms = from_ms;
        while ms < to_ms {
            self.renew(ms);
            ms += 500;
        }
    }
}

/// The lease watch of the host that takes over.
///
/// Its readings include simulated rows of the healthy hosts, which show a
/// newly confirmed renewal at every reading.
struct TracedSuccessor {
    watch: LeaseWatch,
    healthy: Vec<&'static str>,
    readings: u64,
}

impl TracedSuccessor {
    fn new(rules: &LeaseRules, healthy: &[&'static str]) -> Self {
        TracedSuccessor {
            watch: LeaseWatch::with_rules(LeaseTimes::default(), rules.clone()),
            healthy: healthy.to_vec(),
            readings: 0,
        }
    }

    fn read(&mut self, ms: i64, hosts: &[&TracedHost]) {
        self.readings += 1;
        let mut records: Vec<LeaseRecord> = hosts.iter().map(|host| host.row.clone()).collect();
        records.extend(self.healthy.iter().map(|name| LeaseRecord {
            host: (*name).to_owned(),
            incarnation: 1,
            number: self.readings * 3,
            confirmed: self.readings * 3 - 1,
            member_set: 1,
        }));
        assert!(
            self.watch.add_reading(at(ms), at(ms), &records),
            "reading at {ms}"
        );
    }

    fn allows_takeover(&self, host: &TracedHost, members: &MemberSet) -> bool {
        self.watch.has_lapsed(at(0), host.name, 1, members)
    }
}

/// Whether the holder still has standing when the takeover is allowed.
fn holders_overlap(successor: &TracedSuccessor, holder: &TracedHost, members: &MemberSet) -> bool {
    let has_standing = holder.lease.standing(at(0)) != Standing::Lapsed;
    has_standing && successor.allows_takeover(holder, members)
}

/// One step of a [`LateMember`].
#[derive(Clone, Copy, Debug)]
enum LateStep {
    /// Sends a renewal that is written and confirmed at once.
    Renew,
    /// Sends a renewal.
    Begin,
    /// Writes the latest renewal to the table.
    Write,
    /// Delivers the response to the latest renewal.
    Confirm,
}

/// A member that is paused twice while a response waits for it.
///
/// If late responses confirm renewals, every reading shows a newly confirmed
/// renewal of this member, although it is in doubt shortly before one of the
/// readings.
struct LateMember {
    host: TracedHost,
    steps: Vec<(i64, LateStep)>,
    pending: Option<Renewal>,
}

impl LateMember {
    /// Creates a member that can vouch 360 ms before the reading at `end_ms`.
    fn new(name: &'static str, rules: &LeaseRules, end_ms: i64) -> Self {
        use LateStep::{Begin, Confirm, Renew, Write};
        let regular_before = (0..12).map(|n| (-12_370 + n * 500, Renew));
        let late = [
            // Relative to `end_ms`, readings are at -5400, -3600, -1800 and 0.
            (-5_870, Begin),
            (-5_390, Write),
            (-5_380, Confirm),
            (-5_370, Renew),
            (-4_870, Begin),
            (-3_550, Write),
            (-2_010, Confirm),
            (-2_000, Begin),
            (-1_900, Write),
            // The response to this renewal is lost.
            (-1_490, Begin),
            (-1_300, Write),
            (-350, Confirm),
            (-340, Begin),
            (-330, Write),
            (-320, Confirm),
        ];
        let regular_after = (0..4).map(|n| (200 + n * 500, Renew));
        let steps = regular_before.chain(late).chain(regular_after);
        LateMember {
            host: TracedHost::new(name, rules),
            steps: steps.map(|(ms, step)| (ms + end_ms, step)).collect(),
            pending: None,
        }
    }

    /// Runs the steps before `end_ms`.
    fn run_until(&mut self, end_ms: i64) {
        while let Some((ms, step)) = self.steps.first().copied() {
            if ms >= end_ms {
                return;
            }
            self.steps.remove(0);
            match (step, self.pending) {
                (LateStep::Renew, _) => self.host.renew(ms),
                (LateStep::Begin, _) => self.pending = Some(self.host.begin(ms)),
                (LateStep::Write, Some(renewal)) => self.host.write(renewal),
                (LateStep::Confirm, Some(renewal)) => {
                    self.host.lease.confirm(at(ms), renewal.number);
                }
                (LateStep::Write | LateStep::Confirm, None) => {
                    unreachable!("write or confirm before any renewal was sent")
                }
            }
        }
    }
}

#[test]
fn late_response_does_not_confirm_renewal() {
    let run_trace = |rules: &LeaseRules| {
        let members =
            MemberSet::initial(["holder", "disconnected", "late-1", "late-2", "successor"]);
        let mut holder = TracedHost::new("holder", rules);
        let mut disconnected = TracedHost::new("disconnected", rules);
        let mut late = [
            LateMember::new("late-1", rules, -1_800),
            LateMember::new("late-2", rules, 0),
        ];
        let mut successor = TracedSuccessor::new(rules, &["successor"]);
        disconnected.renew(-20_000);
        holder.renew(-7_250);
        for reading_ms in [-7_200, -5_400, -3_600, -1_800, 0] {
            for voucher in 0..late.len() {
                let sent_ms = [-2_160, -360][voucher];
                if !(reading_ms - 1_800..reading_ms).contains(&sent_ms) {
                    continue;
                }
                // The members are in doubt one after the other, each when the
                // holder requests its vouch.
                let sent = at(sent_ms);
                late[voucher].run_until(sent_ms);
                if late[voucher].host.lease.can_vouch(sent) {
                    let name = late[voucher].host.name;
                    holder.lease.record_vouch(sent, name, sent);
                }
                assert!(disconnected.lease.can_vouch(sent));
                holder.lease.record_vouch(sent, "disconnected", sent);
                holder.lease.extend_by_vouching(sent, "holder", &members);
            }
            for member in &mut late {
                member.run_until(reading_ms);
            }
            successor.read(
                reading_ms,
                &[&holder, &disconnected, &late[0].host, &late[1].host],
            );
        }
        holders_overlap(&successor, &holder, &members)
    };
    assert!(!run_trace(&LeaseRules::default()));
    let rules = LeaseRules {
        enforce_answer_limit: false,
        ..Default::default()
    };
    assert!(
        run_trace(&rules),
        "two holders must be found with the rule disabled"
    );
}

#[test]
fn delayed_vouch_does_not_count_from_arrival() {
    let run_trace = |rules: &LeaseRules| {
        let members = MemberSet::initial(["holder", "member", "successor"]);
        let mut holder = TracedHost::new("holder", rules);
        let mut member = TracedHost::new("member", rules);
        let mut successor = TracedSuccessor::new(rules, &["successor"]);
        // The store is unavailable to both. The holder requests a vouch, and
        // the response is delayed.
        holder.renew(-16_000);
        member.renew(-16_000);
        let sent = at(-9_000);
        assert!(holder.lease.is_in_doubt(sent) && member.lease.can_vouch(sent));
        // Both renew again, then the holder permanently loses its connections.
        holder.renew(-7_250);
        for gap in 0..=4 {
            let reading_ms = (gap - 4) * 1_800;
            member.renew_through(reading_ms - 1_500, reading_ms - 400);
            if gap == 4 {
                // The delayed response arrives shortly before the lease ends.
                holder.lease.record_vouch(at(-800), "member", sent);
                holder
                    .lease
                    .extend_by_vouching(at(-800), "holder", &members);
            }
            successor.read(reading_ms, &[&holder, &member]);
        }
        assert!(
            successor.allows_takeover(&holder, &members),
            "the takeover must be allowed after the full wait"
        );
        holders_overlap(&successor, &holder, &members)
    };
    assert!(!run_trace(&LeaseRules::default()));
    let rules = LeaseRules {
        vouch_counts_from_request: false,
        ..Default::default()
    };
    assert!(
        run_trace(&rules),
        "two holders must be found with the rule disabled"
    );
}

#[test]
fn takeover_needs_majority_of_earlier_set() {
    let run_trace = |rules: &LeaseRules| {
        let earlier = MemberSet::initial(["holder", "member", "third"]);
        let joining = ["successor", "fifth", "sixth", "seventh"].map(str::to_owned);
        let members = earlier.with_changes(&joining, &[]);
        let mut holder = TracedHost::new("holder", rules);
        let mut member = TracedHost::new("member", rules);
        let mut successor =
            TracedSuccessor::new(rules, &["successor", "fifth", "sixth", "seventh"]);
        // Two members of the earlier set lose the store. The holder, one of
        // them, has not learned of the change and still uses that set.
        holder.renew(-8_000);
        member.renew(-8_000);
        for gap in 0..=4 {
            let reading_ms = (gap - 4) * 1_800;
            if reading_ms > -3_000 {
                let sent = at(reading_ms - 100);
                assert!(member.lease.can_vouch(sent));
                holder.lease.record_vouch(sent, "member", sent);
                holder.lease.extend_by_vouching(sent, "holder", &earlier);
            }
            successor.read(reading_ms, &[&holder, &member]);
        }
        assert_eq!(holder.lease.standing(at(0)), Standing::Vouched);
        holders_overlap(&successor, &holder, &members)
    };
    assert!(!run_trace(&LeaseRules::default()));
    let rules = LeaseRules {
        earlier_sets_count: false,
        ..Default::default()
    };
    assert!(
        run_trace(&rules),
        "two holders must be found with the rule disabled"
    );
}
