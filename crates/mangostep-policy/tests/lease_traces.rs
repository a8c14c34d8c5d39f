//! Traces aimed at clauses of the lease that random runs do not reach.
//!
//! Each trace ends with a taker's decision. With all clauses in force no host
//! has standing when the taker may take; with the clause switched off the old
//! holder still has.

use std::time::Duration;

use mangostep_policy::{
    HostLease, LeaseRecord, LeaseRules, LeaseTimes, LeaseWatch, MemberSet, MonotonicTime, Renewal,
    Standing,
};

/// The time of a trace's last reading.
const END_MS: u64 = 100_000;

/// Milliseconds before or after the last reading.
fn at(ms: i64) -> MonotonicTime {
    let end = i64::try_from(END_MS).expect("fits");
    let ms = u64::try_from(end + ms).expect("traces start after zero");
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

/// A host with its row.
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

    /// The table writes a renewal.
    fn write(&mut self, renewal: Renewal) {
        self.row.number = renewal.number;
        self.row.confirmed = renewal.confirmed;
    }

    /// One renewal that is written and answered at once.
    fn renew(&mut self, ms: i64) {
        let renewal = self.begin(ms);
        self.write(renewal);
        self.lease.confirm(at(ms), renewal.number);
    }

    /// Renews as a well host does, from one time up to another.
    fn renew_through(&mut self, from_ms: i64, to_ms: i64) {
        let mut ms = from_ms;
        while ms < to_ms {
            self.renew(ms);
            ms += 500;
        }
    }
}

/// A taker's readings; hosts that only renew well are read as such.
struct TracedTaker {
    watch: LeaseWatch,
    well: Vec<&'static str>,
    readings: u64,
}

impl TracedTaker {
    fn new(rules: &LeaseRules, well: &[&'static str]) -> Self {
        TracedTaker {
            watch: LeaseWatch::with_rules(LeaseTimes::default(), rules.clone()),
            well: well.to_vec(),
            readings: 0,
        }
    }

    fn read(&mut self, ms: i64, hosts: &[&TracedHost]) {
        self.readings += 1;
        let mut records: Vec<LeaseRecord> = hosts.iter().map(|host| host.row.clone()).collect();
        records.extend(self.well.iter().map(|name| LeaseRecord {
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

    fn may_take(&self, host: &TracedHost, members: &MemberSet) -> bool {
        self.watch.has_lapsed(at(0), host.name, 1, members)
    }
}

/// Whether the holder still acts when the taker takes.
fn overlaps(taker: &TracedTaker, holder: &TracedHost, members: &MemberSet) -> bool {
    let acts = holder.lease.standing(at(0)) != Standing::Lapsed;
    acts && taker.may_take(holder, members)
}

/// One step of a [`LateMember`].
#[derive(Clone, Copy, Debug)]
enum LateStep {
    /// A renewal that is written and answered at once.
    Renew,
    /// A renewal is sent.
    Begin,
    /// The latest renewal is written.
    Write,
    /// The answer to the latest renewal is taken.
    Confirm,
}

/// A member of whom every reading sees a new confirmed renewal, although it
/// is in doubt shortly before one of them, if late answers count.
///
/// It is paused twice while an answer waits for it.
struct LateMember {
    host: TracedHost,
    steps: Vec<(i64, LateStep)>,
    pending: Option<Renewal>,
}

impl LateMember {
    /// The member vouches 360 ms before the reading at `end_ms`.
    fn new(name: &'static str, rules: &LeaseRules, end_ms: i64) -> Self {
        use LateStep::{Begin, Confirm, Renew, Write};
        let well_before = (0..12).map(|n| (-12_370 + n * 500, Renew));
        let late = [
            // The readings are at -5400, -3600, -1800 and 0.
            (-5_870, Begin),
            (-5_390, Write),
            (-5_380, Confirm),
            (-5_370, Renew),
            (-4_870, Begin),
            (-3_550, Write),
            (-2_010, Confirm),
            (-2_000, Begin),
            (-1_900, Write),
            // That answer is lost.
            (-1_490, Begin),
            (-1_300, Write),
            (-350, Confirm),
            (-340, Begin),
            (-330, Write),
            (-320, Confirm),
        ];
        let well_after = (0..4).map(|n| (200 + n * 500, Renew));
        let steps = well_before.chain(late).chain(well_after);
        LateMember {
            host: TracedHost::new(name, rules),
            steps: steps.map(|(ms, step)| (ms + end_ms, step)).collect(),
            pending: None,
        }
    }

    /// Runs the steps before a time.
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
                (LateStep::Write | LateStep::Confirm, None) => unreachable!("a step too early"),
            }
        }
    }
}

#[test]
fn a_late_answer_does_not_confirm_its_renewal() {
    let trace = |rules: &LeaseRules| {
        let members = MemberSet::initial(["holder", "cut-off", "late-1", "late-2", "taker"]);
        let mut holder = TracedHost::new("holder", rules);
        let mut cut_off = TracedHost::new("cut-off", rules);
        let mut late = [
            LateMember::new("late-1", rules, -1_800),
            LateMember::new("late-2", rules, 0),
        ];
        let mut taker = TracedTaker::new(rules, &["taker"]);
        cut_off.renew(-20_000);
        holder.renew(-7_250);
        for reading_ms in [-7_200, -5_400, -3_600, -1_800, 0] {
            for voucher in 0..late.len() {
                let asked_ms = [-2_160, -360][voucher];
                if !(reading_ms - 1_800..reading_ms).contains(&asked_ms) {
                    continue;
                }
                // One member after the other is in doubt when asked.
                let asked = at(asked_ms);
                late[voucher].run_until(asked_ms);
                if late[voucher].host.lease.can_vouch(asked) {
                    let name = late[voucher].host.name;
                    holder.lease.record_vouch(asked, name, asked);
                }
                assert!(cut_off.lease.can_vouch(asked));
                holder.lease.record_vouch(asked, "cut-off", asked);
                holder.lease.extend_by_vouching(asked, "holder", &members);
            }
            for member in &mut late {
                member.run_until(reading_ms);
            }
            taker.read(
                reading_ms,
                &[&holder, &cut_off, &late[0].host, &late[1].host],
            );
        }
        overlaps(&taker, &holder, &members)
    };
    assert!(!trace(&LeaseRules::default()));
    let mutant = LeaseRules {
        enforce_answer_limit: false,
        ..Default::default()
    };
    assert!(trace(&mutant), "the clause is needed");
}

#[test]
fn an_old_vouch_does_not_count_from_its_arrival() {
    let trace = |rules: &LeaseRules| {
        let members = MemberSet::initial(["holder", "member", "taker"]);
        let mut holder = TracedHost::new("holder", rules);
        let mut member = TracedHost::new("member", rules);
        let mut taker = TracedTaker::new(rules, &["taker"]);
        // The store is away for both; the holder asks, the answer is stuck.
        holder.renew(-16_000);
        member.renew(-16_000);
        let asked = at(-9_000);
        assert!(holder.lease.is_in_doubt(asked) && member.lease.can_vouch(asked));
        // Both renew again, then the holder is cut off for good.
        holder.renew(-7_250);
        for gap in 0..=4 {
            let reading_ms = (gap - 4) * 1_800;
            member.renew_through(reading_ms - 1_500, reading_ms - 400);
            if gap == 4 {
                // Shortly before the lease ends, the stuck answer arrives.
                holder.lease.record_vouch(at(-800), "member", asked);
                holder
                    .lease
                    .extend_by_vouching(at(-800), "holder", &members);
            }
            taker.read(reading_ms, &[&holder, &member]);
        }
        assert!(
            taker.may_take(&holder, &members),
            "the taker waited long enough"
        );
        overlaps(&taker, &holder, &members)
    };
    assert!(!trace(&LeaseRules::default()));
    let mutant = LeaseRules {
        vouch_counts_from_request: false,
        ..Default::default()
    };
    assert!(trace(&mutant), "the clause is needed");
}

#[test]
fn a_take_needs_a_majority_of_the_set_before() {
    let trace = |rules: &LeaseRules| {
        let before = MemberSet::initial(["holder", "member", "third"]);
        let joining = ["taker", "fifth", "sixth", "seventh"].map(str::to_owned);
        let members = before.with_changes(&joining, &[]);
        let mut holder = TracedHost::new("holder", rules);
        let mut member = TracedHost::new("member", rules);
        let mut taker = TracedTaker::new(rules, &["taker", "fifth", "sixth", "seventh"]);
        // The store goes away for both members of the set before; the holder
        // has not learnt of the change and goes by that set.
        holder.renew(-8_000);
        member.renew(-8_000);
        for gap in 0..=4 {
            let reading_ms = (gap - 4) * 1_800;
            if reading_ms > -3_000 {
                let asked = at(reading_ms - 100);
                assert!(member.lease.can_vouch(asked));
                holder.lease.record_vouch(asked, "member", asked);
                holder.lease.extend_by_vouching(asked, "holder", &before);
            }
            taker.read(reading_ms, &[&holder, &member]);
        }
        assert_eq!(holder.lease.standing(at(0)), Standing::Vouched);
        overlaps(&taker, &holder, &members)
    };
    assert!(!trace(&LeaseRules::default()));
    let mutant = LeaseRules {
        earlier_sets_count: false,
        ..Default::default()
    };
    assert!(trace(&mutant), "the clause is needed");
}
