use std::collections::BTreeMap;

use {
    bolero::{TypeGenerator, check},
    mangostep_policy::{LapseRule, LapseSettings, TableCopy, TableDelta, TableRow},
    mangostep_testing::seeded,
};

use crate::at_ms;

/// Writes to a table, and in which order two hosts hear of them.
#[derive(Clone, Debug, TypeGenerator)]
struct TableHistory {
    /// Key and value of each write; an even value removes the row.
    writes: Vec<(u8, u8)>,
    /// For each step, whether the reader hears from the store or the host.
    steps: Vec<(bool, u8)>,
}

fn row(key: u8, version: u64, value: u8) -> TableRow {
    TableRow {
        key: format!("k{}", key % 8),
        version,
        value: (value % 2 == 1).then(|| vec![value]),
    }
}

fn contents(copy: &TableCopy) -> BTreeMap<String, Vec<u8>> {
    let rows = copy.rows();
    rows.map(|(key, value)| (key.to_owned(), value.to_vec()))
        .collect()
}

/// Whatever a host reads from the store and from another host, in whatever
/// order, it ends with what the store holds and never goes back.
#[test]
fn copies_never_go_back_and_agree_with_the_store() {
    check!()
        .exhaustive()
        .with_generator(seeded::<TableHistory>(5_000))
        .for_each(|history: &TableHistory| {
            let mut truth = TableCopy::default();
            let (mut near, mut far) = (TableCopy::default(), TableCopy::default());
            let mut version = 0;
            let mut writes = history.writes.iter();
            for (from_store, count) in &history.steps {
                for (key, value) in writes.by_ref().take(usize::from(count % 4)) {
                    version += 1;
                    truth.apply(TableDelta {
                        version,
                        is_whole: false,
                        rows: vec![row(*key, version, *value)],
                    });
                }
                let before = near.version();
                match from_store {
                    true => drop(near.apply(truth.delta_after(near.version()))),
                    false => {
                        drop(far.apply(truth.delta_after(far.version())));
                        drop(near.apply(far.delta_after(near.version())));
                    }
                }
                assert!(near.version() >= before);
            }
            near.apply(truth.delta_after(near.version()));
            assert_eq!(contents(&near), contents(&truth));
        });
}

#[test]
fn an_older_delta_changes_nothing() {
    let mut copy = TableCopy::default();
    let delta = |version, value| TableDelta {
        version,
        is_whole: true,
        rows: vec![row(1, version, value)],
    };
    assert_eq!(copy.apply(delta(9, 1)).len(), 1);
    assert!(copy.apply(delta(7, 3)).is_empty());
    assert_eq!(contents(&copy)["k1"], [1]);
}

#[test]
fn a_whole_table_removes_the_rows_that_it_does_not_name() {
    let mut copy = TableCopy::default();
    let rows = vec![row(1, 1, 1), row(2, 2, 1)];
    copy.apply(TableDelta {
        version: 2,
        is_whole: false,
        rows,
    });
    let changed = copy.apply(TableDelta {
        version: 5,
        is_whole: true,
        rows: vec![row(1, 1, 1)],
    });
    assert_eq!(changed, [row(2, 5, 0)]);
}

/// Hundreds of servers write heartbeats while one of them leaves: hosts that
/// read from another one need the change alone.
#[test]
fn heartbeats_are_no_part_of_a_delta() {
    // The last byte of a value counts heartbeats.
    let is_same = |known: &[u8], new: &[u8]| known[0] == new[0];
    let entry = |key: u8, version: u64, state: u8, beat: u8| TableRow {
        key: format!("k{key}"),
        version,
        value: Some(vec![state, beat]),
    };
    let mut copy = TableCopy::default();
    let delta = |version, rows| TableDelta {
        version,
        is_whole: version == 1,
        rows,
    };
    let first = (0..100).map(|key| entry(key, 1, 1, 0)).collect();
    assert_eq!(copy.apply_unless(delta(1, first), is_same).len(), 100);
    let mut second: Vec<TableRow> = (0..100).map(|key| entry(key, 2, 1, 1)).collect();
    second[7] = entry(7, 2, 9, 1);
    assert_eq!(copy.apply_unless(delta(2, second), is_same).len(), 1);
    assert_eq!(copy.delta_after(1).rows, [entry(7, 2, 9, 1)]);
    // A removed entry that comes back is a change, whatever it says.
    let removed = TableRow {
        key: "k3".to_owned(),
        version: 3,
        value: None,
    };
    assert_eq!(copy.apply_unless(delta(3, vec![removed]), is_same).len(), 1);
    let back = vec![entry(3, 4, 1, 2)];
    assert_eq!(copy.apply_unless(delta(4, back), is_same).len(), 1);
}

/// The store was away, and all entries lapsed while it was.
#[test]
fn entries_that_lapse_with_the_store_stay_for_two_seconds() {
    let mut rule = LapseRule::open(LapseSettings::default());
    assert_eq!(rule.hold_until(at_ms(0), 1, 30), None);
    rule.record_failure(at_ms(1_000));
    let until = rule.hold_until(at_ms(3_900), 1, 30).expect("in doubt");
    assert!(until >= at_ms(5_900));
    assert_eq!(rule.hold_until(at_ms(4_100), 1, 30), None);
    assert!(rule.hold_until(at_ms(60_000), 25, 30).is_some());
}
