//! What backend servers state about themselves in their answers.

use std::time::Duration;

use {
    standins::{
        AnswerMode, AnswerPlan, BackendStatement, entry_fleet::EntryFleetSettings,
        fleet::ProcessSignal,
    },
    tokio::time::{Instant, sleep},
};

use crate::{
    CONTACT_TIME, DRAIN_LIMIT, LIMIT_WINDOW, arrivals_at, open_fleet, open_fleet_with,
    send_requests, status,
};

/// Largest number of requests in a window that begins at `from` or later.
fn fullest_window(arrivals: &[Instant], from: Instant) -> usize {
    let starts = arrivals.iter().enumerate().filter(|(_, at)| **at >= from);
    let counts = starts.map(|(index, start)| {
        let within = arrivals[index..].iter();
        within.take_while(|at| **at - *start < LIMIT_WINDOW).count()
    });
    counts.max().unwrap_or_default()
}

/// Hosts sent a server its full share of the load although it stated that it
/// takes one request a second.
#[tokio::test(flavor = "multi_thread")]
async fn server_gets_no_more_than_the_limit_that_it_states() {
    const LIMIT_PER_S: f64 = 1.0;
    let fleet = open_fleet().await;
    let statement = BackendStatement {
        rate_limit: Some(LIMIT_PER_S.to_string()),
        ..Default::default()
    };
    fleet.set_statement(0, statement);
    let sent = Instant::now();
    let served = send_requests(&fleet, "limited", Duration::from_secs(10)).await;
    let arrivals = arrivals_at(&fleet, &fleet.servers[0].id);
    let told = arrivals.iter().find(|at| **at >= sent);
    let told = *told.expect("the server states its limit");
    let fullest = fullest_window(&arrivals, told + CONTACT_TIME);
    let allowed = (LIMIT_PER_S * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0).floor();
    assert!(
        fullest as f64 <= allowed,
        "{fullest} requests in {LIMIT_WINDOW:?}, {allowed} allowed"
    );
    let late = arrivals.iter().filter(|at| **at >= told + CONTACT_TIME);
    assert!(late.count() >= 3, "the server is used within its limit");
    assert!(served > 500, "the other servers serve: {served}");
    fleet.close();
}

/// A server that stated that it leaves kept getting requests from all hosts,
/// since its entry in the store still said that it was ready.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_states_that_it_leaves_gets_no_new_requests() {
    let fleet = open_fleet().await;
    send_requests(&fleet, "before", Duration::from_secs(1)).await;
    let statement = BackendStatement {
        is_leaving: true,
        ..Default::default()
    };
    fleet.set_statement(0, statement);
    let stated = Instant::now();
    let served = send_requests(&fleet, "after", Duration::from_secs(6)).await;
    let arrivals = arrivals_at(&fleet, &fleet.servers[0].id);
    let late = arrivals.iter().filter(|at| **at >= stated + DRAIN_LIMIT);
    assert_eq!(late.count(), 0, "requests later than {DRAIN_LIMIT:?}");
    assert!(served > 300, "the other servers serve: {served}");
    fleet.close();
}

/// A host that restarts learns from its peers which servers leave: the store
/// still lists them as ready.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_hosts_send_nothing_to_servers_that_leave() {
    let mut fleet = open_fleet().await;
    let statement = BackendStatement {
        is_leaving: true,
        ..Default::default()
    };
    fleet.set_statement(0, statement);
    send_requests(&fleet, "before", Duration::from_secs(3)).await;
    for index in [0, 3] {
        fleet.hosts[index].signal(ProcessSignal::Kill);
        fleet.hosts[index].start().await.expect("the host starts");
    }
    fleet.wait_ready().await.expect("the hosts become ready");
    sleep(DRAIN_LIMIT).await;
    let restarted = Instant::now();
    send_requests(&fleet, "after", Duration::from_secs(3)).await;
    let arrivals = arrivals_at(&fleet, &fleet.servers[0].id);
    let late = arrivals.iter().filter(|at| **at >= restarted);
    assert_eq!(late.count(), 0, "requests from restarted hosts");
    fleet.close();
}

/// The statement binds to the server, not to its address, at which the next one
/// takes requests at once.
#[tokio::test(flavor = "multi_thread")]
async fn next_server_at_the_address_of_one_that_left_gets_requests() {
    let mut fleet = open_fleet().await;
    let statement = BackendStatement {
        is_leaving: true,
        ..Default::default()
    };
    fleet.set_statement(0, statement);
    send_requests(&fleet, "before", Duration::from_secs(2)).await;
    fleet.stop_server(0);
    let left = fleet.servers[0].id.clone();
    fleet.remove_entry(&left);
    fleet.start_server(0).await.expect("the server starts");
    sleep(DRAIN_LIMIT).await;
    send_requests(&fleet, "after", Duration::from_secs(2)).await;
    let arrivals = arrivals_at(&fleet, &fleet.servers[0].id);
    assert!(arrivals.len() > 5, "{} requests", arrivals.len());
    fleet.close();
}

/// All servers of a service leave: what cannot be served is refused at once.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_when_all_servers_leave() {
    let fleet = open_fleet().await;
    for index in 0..fleet.servers.len() {
        let statement = BackendStatement {
            is_leaving: true,
            ..Default::default()
        };
        fleet.set_statement(index, statement);
    }
    send_requests(&fleet, "before", Duration::from_secs(3)).await;
    for host in &fleet.hosts {
        let started = Instant::now();
        let status = status(host.addresses().front, "refused").await;
        assert_eq!(status, Some(503));
        let elapsed = started.elapsed();
        assert!(elapsed < Duration::from_millis(300), "{elapsed:?}");
    }
    fleet.close();
}

/// A host went on sending requests to a server that had turned one away and
/// stated for how long it wants none.
#[tokio::test(flavor = "multi_thread")]
async fn host_sends_nothing_to_a_server_before_the_stated_wait_ends() {
    const WAIT_S: u64 = 2;
    let settings = EntryFleetSettings {
        zones: vec!["a".to_owned()],
        hosts_per_zone: 1,
        ..Default::default()
    };
    let fleet = open_fleet_with(settings).await;
    send_requests(&fleet, "before", Duration::from_secs(1)).await;
    let statement = BackendStatement {
        retry_after: Some(WAIT_S.to_string()),
        ..Default::default()
    };
    fleet.set_statement(0, statement);
    let plan = AnswerPlan {
        mode: AnswerMode::Sheds,
        ..Default::default()
    };
    fleet.set_plan(0, plan);
    let busy = Instant::now();
    let served = send_requests(&fleet, "busy", Duration::from_secs(4)).await;
    let arrivals = arrivals_at(&fleet, &fleet.servers[0].id);
    let first = *arrivals.iter().find(|at| **at >= busy).expect("it is used");
    let wait = first + Duration::from_millis(500)..first + Duration::from_secs(WAIT_S);
    let within = arrivals.iter().filter(|at| wait.contains(at)).count();
    // The operators accept two that crossed the answer.
    assert!(within <= 2, "{within} requests during the stated wait");
    let later = arrivals.iter().filter(|at| **at >= wait.end).count();
    assert!((1..=6).contains(&later), "{later} requests after the wait");
    assert!(served > 200, "the other server serves: {served}");
    fleet.close();
}

/// All servers want nothing for longer than the caller waits: the request is
/// refused at once, with a time after which a server takes requests again.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_while_all_servers_state_a_wait() {
    let settings = EntryFleetSettings {
        zones: vec!["a".to_owned()],
        hosts_per_zone: 1,
        ..Default::default()
    };
    let fleet = open_fleet_with(settings).await;
    for index in 0..fleet.servers.len() {
        let statement = BackendStatement {
            retry_after: Some("3.5".to_owned()),
            ..Default::default()
        };
        fleet.set_statement(index, statement);
        let plan = AnswerPlan {
            mode: AnswerMode::Sheds,
            ..Default::default()
        };
        fleet.set_plan(index, plan);
    }
    send_requests(&fleet, "busy", Duration::from_millis(500)).await;
    let reached = fleet.log.arrivals().len();
    let started = Instant::now();
    for number in 0..20 {
        let id = format!("refused-{number}");
        assert_eq!(
            status(fleet.hosts[0].addresses().front, &id).await,
            Some(503)
        );
    }
    assert!(started.elapsed() < Duration::from_secs(1));
    assert_eq!(fleet.log.arrivals().len(), reached, "no server is asked");
    fleet.close();
}
