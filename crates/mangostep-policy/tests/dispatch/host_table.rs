use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use mangostep_policy::{HostRow, HostTable, HostTableSettings, PeerReport, ZoneList};

use crate::at_ms;

/// Time between two turns of reports, in milliseconds.
const TURN_MS: u64 = 500;

/// Hosts of each zone.
const HOSTS: u8 = 16;

fn row(zone: &str, index: u8) -> HostRow {
    let third = zone.as_bytes()[0];
    let address = |port| SocketAddr::from(([10, 0, third, index], port));
    HostRow {
        name: format!("{zone}{index}"),
        region: "home".to_owned(),
        zone: zone.to_owned(),
        front: address(1),
        peer: address(2),
        copies: address(3),
        link_mbps: 10,
    }
}

/// Hosts that report to each other, by their peer addresses.
struct HostFleet {
    tables: BTreeMap<SocketAddr, HostTable>,
    /// What each host says of itself, by its name.
    reports: BTreeMap<String, PeerReport>,
    /// Hosts that send nothing and hear nothing.
    dead: BTreeSet<String>,
    now_ms: u64,
    turn: usize,
}

impl HostFleet {
    fn open(zones: &[&str]) -> Self {
        let rows: Vec<HostRow> = zones
            .iter()
            .flat_map(|zone| (0..HOSTS).map(|index| row(zone, index)))
            .collect();
        let reports = rows.iter().map(|row| (row.name.clone(), ready()));
        let mut fleet = HostFleet {
            reports: reports.collect(),
            tables: BTreeMap::new(),
            dead: BTreeSet::new(),
            now_ms: 0,
            turn: 0,
        };
        for row in &rows {
            fleet.start(row, &rows);
        }
        fleet
    }

    /// Starts a host anew, which has read the rows of all.
    fn start(&mut self, row: &HostRow, rows: &[HostRow]) {
        let settings = HostTableSettings::default();
        let mut table = HostTable::open(row.clone(), settings, at_ms(self.now_ms));
        rows.iter().for_each(|other| table.put(other.clone()));
        self.tables.insert(row.peer, table);
        self.dead.remove(&row.name);
    }

    fn rows(&self) -> Vec<HostRow> {
        self.tables.values().map(|t| t.own().clone()).collect()
    }

    /// Lets every host report once.
    fn turn(&mut self) {
        let now = at_ms(self.now_ms);
        let peers: Vec<SocketAddr> = self.tables.keys().copied().collect();
        for peer in peers {
            let table = self.tables.get_mut(&peer).expect("known");
            let name = table.own().name.clone();
            if self.dead.contains(&name) {
                continue;
            }
            let report = table.begin_round(self.reports[&name].clone(), now).clone();
            let lists: Vec<ZoneList> = match report.is_watcher {
                true => table.lists(now).cloned().collect(),
                false => Vec::new(),
            };
            let mut targets = table.report_targets(now);
            targets.extend(table.cross_zone_targets(self.turn, now));
            for target in targets {
                let other = self.tables.get_mut(&target).expect("known");
                if self.dead.contains(&other.own().name) {
                    continue;
                }
                other.record_report(&name, report.clone(), now);
                for list in &lists {
                    other.record_list(&name, list.clone(), now);
                }
            }
        }
        self.now_ms += TURN_MS;
        self.turn += 1;
    }

    fn turns(&mut self, count: u64) {
        (0..count).for_each(|_| self.turn());
    }

    /// The names that each live host of `zone` gives to its callers.
    fn named(&self, zone: &str) -> BTreeSet<Vec<String>> {
        let now = at_ms(self.now_ms);
        self.live()
            .map(|table| names(&table.named_hosts(zone, now)))
            .collect()
    }

    fn live(&self) -> impl Iterator<Item = &HostTable> {
        let tables = self.tables.values();
        tables.filter(|table| !self.dead.contains(&table.own().name))
    }

    fn watchers(&self, zone: &str) -> Vec<String> {
        let own = |table: &&HostTable| table.own().zone == zone && table.own_report().is_watcher;
        self.live()
            .filter(own)
            .map(|t| t.own().name.clone())
            .collect()
    }
}

fn ready() -> PeerReport {
    PeerReport {
        is_ready: true,
        rate_per_s: 2.0,
        capacity_per_s: 60.0,
        ..Default::default()
    }
}

fn names(rows: &[&HostRow]) -> Vec<String> {
    rows.iter().map(|row| row.name.clone()).collect()
}

#[test]
fn all_hosts_lead_callers_of_a_zone_to_the_same_few() {
    let mut fleet = HostFleet::open(&["a", "b"]);
    fleet.turns(6);
    for zone in ["a", "b"] {
        let named = fleet.named(zone);
        assert_eq!(named.len(), 1, "{named:?}");
        let named = named.first().expect("one list");
        assert_eq!(named.len(), 4);
        assert!(named.iter().all(|name| name.starts_with(zone)));
    }
    // Callers of a zone without hosts are led to the own zone's.
    let table = fleet.live().next().expect("32 are alive");
    let own = names(&table.named_hosts("elsewhere", at_ms(fleet.now_ms)));
    assert!(own.iter().all(|name| name.starts_with('a')));
}

/// One turn of the whole fleet: what a host hears does not grow with it.
#[test]
fn hosts_that_are_no_watchers_hear_of_watchers_only() {
    let mut fleet = HostFleet::open(&["a"]);
    fleet.turns(6);
    assert_eq!(fleet.watchers("a").len(), 3);
    let now = at_ms(fleet.now_ms);
    for table in fleet.live().filter(|t| !t.own_report().is_watcher) {
        assert_eq!(table.report_targets(now).len(), 3);
        assert!(table.cross_zone_targets(0, now).is_empty());
    }
}

/// Machines of two sizes: what a zone's watchers send to all hosts goes over the
/// widest links.
#[test]
fn hosts_with_wide_links_watch() {
    let rows: Vec<HostRow> = (0..HOSTS)
        .map(|index| HostRow {
            link_mbps: if [5, 9, 12].contains(&index) { 200 } else { 10 },
            ..row("a", index)
        })
        .collect();
    let mut fleet = HostFleet::open(&["a"]);
    rows.iter().for_each(|row| fleet.start(row, &rows));
    fleet.turns(6);
    assert_eq!(fleet.watchers("a"), ["a5", "a9", "a12"]);
}

#[test]
fn a_silent_or_leaving_host_is_not_named() {
    let mut fleet = HostFleet::open(&["a", "b"]);
    fleet.turns(6);
    let named = fleet.named("a").pop_first().expect("one list");
    let leaving = PeerReport {
        is_ready: false,
        is_leaving: true,
        ..ready()
    };
    fleet.reports.insert(named[0].clone(), leaving);
    // Its report, the list of its zone, and that list in the other zone.
    fleet.turns(3);
    for list in fleet.named("a") {
        assert!(!list.contains(&named[0]), "{list:?}");
    }
    fleet.dead.insert(named[1].clone());
    // The silence of 1.7 s, and two turns for the lists.
    fleet.turns(6);
    for list in fleet.named("a") {
        assert!(!list.contains(&named[1]), "{list:?}");
    }
}

#[test]
fn much_load_names_more_hosts_and_less_load_keeps_them_for_a_while() {
    let mut fleet = HostFleet::open(&["a"]);
    let busy = PeerReport {
        rate_per_s: 25.0,
        ..ready()
    };
    for report in fleet.reports.values_mut() {
        *report = busy.clone();
    }
    fleet.turns(6);
    // 400 requests a second at half of 60 a host.
    let count = |fleet: &HostFleet| fleet.named("a").first().expect("a list").len();
    assert_eq!(count(&fleet), 14);
    for report in fleet.reports.values_mut() {
        *report = ready();
    }
    fleet.turns(8);
    assert_eq!(count(&fleet), 14);
    fleet.turns(20);
    assert_eq!(count(&fleet), 4);
}

/// Callers keep the answers of look-ups for seconds, so that a host still gets
/// requests after it is no longer named.
#[test]
fn hosts_that_still_have_callers_learn_what_servers_do() {
    let mut fleet = HostFleet::open(&["a", "b"]);
    fleet.turns(6);
    let named = fleet.named("a").pop_first().expect("one list");
    let spare = |name: &String| !named.contains(name);
    let busy = (0..HOSTS).map(|i| format!("a{i}")).find(spare);
    let busy = busy.expect("four of 16 are named");
    let report = PeerReport {
        rate_per_s: 5.0,
        ..ready()
    };
    fleet.reports.insert(busy.clone(), report);
    fleet.turns(3);
    assert_eq!(fleet.named("a"), BTreeSet::from([named]));
    let now = at_ms(fleet.now_ms);
    for table in fleet.live().filter(|table| table.own().name != busy) {
        let peer = table.row(&busy).expect("known").peer;
        assert!(table.observers(now).contains(&peer));
        let is_near = table.own().zone == "a";
        assert_eq!(table.zone_observers(now).contains(&peer), is_near);
    }
}

#[test]
fn the_store_is_followed_by_three_hosts_that_it_answers() {
    let mut fleet = HostFleet::open(&["a"]);
    fleet.turns(6);
    let first = fleet.watchers("a");
    assert_eq!(first.len(), 3);
    let refused = PeerReport {
        store_failed: true,
        ..ready()
    };
    for name in &first {
        fleet.reports.insert(name.clone(), refused.clone());
    }
    // The refused ones go on asking, and three others follow the store.
    fleet.turns(4);
    let after = fleet.watchers("a");
    let others = after.iter().filter(|name| !first.contains(name));
    assert_eq!(others.count(), 3, "{after:?}");
}

/// The store is down for all: few hosts ask it, so that it is not flooded when
/// it comes back, and its return is noticed.
#[test]
fn few_hosts_ask_a_store_that_answers_nobody() {
    let mut fleet = HostFleet::open(&["a"]);
    fleet.turns(6);
    let refused = PeerReport {
        store_failed: true,
        ..ready()
    };
    for _ in 0..20 {
        let watchers = fleet.watchers("a");
        assert!((3..=8).contains(&watchers.len()), "{watchers:?}");
        let now = at_ms(fleet.now_ms);
        for table in fleet.tables.values_mut() {
            if watchers.contains(&table.own().name) {
                table.record_store_call(false, now);
                fleet
                    .reports
                    .insert(table.own().name.clone(), refused.clone());
            }
        }
        fleet.turn();
    }
    // It is back: the first hosts are answered, and the others leave it.
    for table in fleet.tables.values_mut() {
        table.record_store_call(true, at_ms(fleet.now_ms));
        fleet.reports.insert(table.own().name.clone(), ready());
    }
    fleet.turns(3);
    assert_eq!(fleet.watchers("a").len(), 3);
}

/// All watchers of a zone lose power at once.
#[test]
fn others_follow_the_store_within_two_seconds_of_the_watchers_end() {
    let mut fleet = HostFleet::open(&["a"]);
    fleet.turns(6);
    let first = fleet.watchers("a");
    fleet.dead.extend(first);
    let looked_at = fleet.now_ms;
    let is_watched = |fleet: &HostFleet, at: u64| fleet.live().any(|t| t.is_watcher(at_ms(at)));
    // The last reports came a turn ago.
    let first_at = (looked_at..).step_by(50).find(|at| is_watched(&fleet, *at));
    assert!(
        first_at.is_some_and(|at| at <= looked_at + 1_000),
        "{first_at:?}"
    );
    fleet.turns(8);
    assert_eq!(fleet.watchers("a").len(), 3);
    let named = fleet.named("a");
    assert_eq!(named.len(), 1, "{named:?}");
}

/// A host whose rank makes it the best watcher starts again while callers
/// come: the list that it does not know yet is not replaced by a short one.
#[test]
fn a_watcher_that_starts_again_does_not_shorten_the_list() {
    let mut fleet = HostFleet::open(&["a"]);
    fleet.turns(6);
    for name in fleet.watchers("a") {
        let rows = fleet.rows();
        let own = rows.iter().find(|row| row.name == name).expect("known");
        fleet.start(own, &rows);
        for _ in 0..8 {
            fleet.turn();
            let now = at_ms(fleet.now_ms);
            for table in fleet.live().filter(|table| table.own().name != name) {
                let named = table.named_hosts("a", now);
                assert!(named.len() >= 3, "{:?}", names(&named));
            }
        }
    }
}

#[test]
fn every_host_finds_the_same_home_of_a_workspace() {
    let mut fleet = HostFleet::open(&["a", "b"]);
    let home = |fleet: &HostFleet| -> BTreeSet<String> {
        let now = at_ms(fleet.now_ms);
        let homes = fleet.live().map(|table| table.token_homes("north", now));
        homes.map(|homes| homes[0].name.clone()).collect()
    };
    assert_eq!(home(&fleet).len(), 1);
    fleet.turns(6);
    let first = home(&fleet);
    assert_eq!(first.len(), 1, "{first:?}");
    // It dies, and all agree on another one.
    fleet.dead.extend(first.clone());
    fleet.turns(8);
    let second = home(&fleet);
    assert_eq!(second.len(), 1, "{second:?}");
    assert_ne!(first, second);
}

#[test]
fn a_host_that_started_does_not_claim_to_see_the_others() {
    let mut fleet = HostFleet::open(&["a"]);
    fleet.turns(6);
    let named = fleet.named("a").pop_first().expect("one list");
    let rows = fleet.rows();
    let own = rows.iter().find(|row| row.name == named[0]).expect("known");
    fleet.start(own, &rows);
    let started = fleet.now_ms;
    let sees = |fleet: &HostFleet, at| fleet.tables[&own.peer].sees_peer_traffic(at_ms(at));
    fleet.turns(2);
    assert!(!sees(&fleet, started + 1_000));
    fleet.turns(4);
    assert!(sees(&fleet, started + 2_500));
}
