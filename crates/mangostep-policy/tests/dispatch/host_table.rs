use std::{collections::BTreeSet, net::SocketAddr};

use mangostep_policy::{HostRow, HostTable, HostTableSettings, MonotonicTime, PeerReport};

use crate::at_ms;

fn row(zone: &str, index: u8) -> HostRow {
    let address = |port| SocketAddr::from(([10, 0, 0, index], port));
    HostRow {
        name: format!("{zone}{index}"),
        region: "home".to_owned(),
        zone: zone.to_owned(),
        front: address(1),
        peer: address(2),
        copies: address(3),
    }
}

fn report() -> PeerReport {
    PeerReport {
        is_ready: true,
        rate_per_s: 2.0,
        capacity_per_s: 60.0,
        ..Default::default()
    }
}

/// The table of host `own` of zone a with 16 hosts, all of them heard.
fn table(own: u8, now: MonotonicTime) -> HostTable {
    let mut table = HostTable::open(row("a", own), HostTableSettings::default(), now);
    table.set_own_report(report());
    for index in 0..16 {
        table.put(row("a", index));
        table.put(row("b", index + 100));
        if index != own {
            table.note_report(&format!("a{index}"), report(), now);
        }
    }
    table
}

fn names(rows: &[&HostRow]) -> BTreeSet<String> {
    rows.iter().map(|row| row.name.clone()).collect()
}

#[test]
fn all_hosts_of_a_zone_lead_callers_to_the_same_few() {
    let now = at_ms(0);
    let first = names(&table(0, now).named_here(now));
    assert_eq!(first.len(), 4);
    for own in 1..16 {
        assert_eq!(names(&table(own, now).named_here(now)), first);
    }
}

#[test]
fn a_silent_or_leaving_host_is_not_named() {
    let mut table = table(0, at_ms(0));
    let named = names(&table.named_here(at_ms(0)));
    let gone = named
        .iter()
        .find(|name| *name != "a0")
        .expect("four are named");
    let leaving = PeerReport {
        is_ready: false,
        ..report()
    };
    table.note_report(gone, leaving, at_ms(100));
    assert!(!names(&table.named_here(at_ms(100))).contains(gone));
    // Nobody reported for two seconds: only the own host is left.
    assert_eq!(
        names(&table.named_here(at_ms(2_000))),
        BTreeSet::from(["a0".to_owned()])
    );
}

#[test]
fn much_load_names_more_hosts() {
    let mut table = table(0, at_ms(0));
    for index in 1..16 {
        let busy = PeerReport {
            rate_per_s: 25.0,
            ..report()
        };
        table.note_report(&format!("a{index}"), busy, at_ms(0));
    }
    // 377 requests a second at half of 60 a host.
    assert_eq!(table.named_here(at_ms(0)).len(), 13);
}

#[test]
fn the_store_is_followed_by_three_hosts_that_it_answers() {
    let now = at_ms(0);
    let watchers = |refused: &[u8]| -> Vec<u8> {
        let is_watcher = |own: &u8| {
            let mut table = table(*own, now);
            for index in refused.iter().filter(|index| *index != own) {
                let failing = PeerReport {
                    store_failed: true,
                    ..report()
                };
                table.note_report(&format!("a{index}"), failing, now);
            }
            table.is_watcher(now)
        };
        (0..16).filter(is_watcher).collect()
    };
    let first = watchers(&[]);
    assert_eq!(first.len(), 3);
    // The refused ones go on asking, and three others follow the store.
    let after: Vec<u8> = watchers(&first)
        .into_iter()
        .filter(|own| !first.contains(own))
        .collect();
    assert_eq!(after.len(), 3);
    // A host that hears nobody follows the store itself.
    assert!(table(9, now).is_watcher(at_ms(1_300)));
}

#[test]
fn every_host_finds_the_same_home_of_a_workspace() {
    let now = at_ms(0);
    let home = |own| table(own, now).token_homes("north")[0].name.clone();
    let first = home(0);
    assert!((1..16).all(|own| home(own) == first));
}

#[test]
fn a_host_that_started_does_not_claim_to_see_the_others() {
    let mut table = table(0, at_ms(0));
    let named = names(&table.named_here(at_ms(0)));
    let own: u8 = (0..16)
        .find(|own| named.contains(&format!("a{own}")))
        .expect("four are named");
    table = self::table(own, at_ms(0));
    assert!(table.is_named(at_ms(0)) && !table.sees_others(at_ms(1_000)));
    for index in (0..16).filter(|index| *index != own) {
        table.note_report(&format!("a{index}"), report(), at_ms(1_300));
    }
    assert!(table.sees_others(at_ms(1_300)));
}
