//! Answers that are being written when a host stops.

use std::{
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client,
    host::{self, Host},
    instance::{self, InstanceSettings, Runs},
    store::Store,
    Folder, Record,
};

const GRACE: Duration = Duration::from_secs(6);
const DEADLINE: Duration = Duration::from_secs(8);
const CONFIG: &str = r#"{"version":"r3","routes":[{"name":"certs","host":"app.example","pathPrefix":"/certs/","routeType":"download","timeoutS":8,"targetLatencyS":6,"priority":2,"service":"docs","attempts":2,"public":false}],"services":[{"name":"docs","healthCheckPath":"/health","maxConnections":390}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":5,"idleTimeoutS":10},"tenants":[{"name":"north","apiKeys":["north-key"],"ratePerS":0,"burst":0}]}"#;
const BOUNDS: &str = r#""stop_grace_s": 6, "lookup_keep_max_s": 5, "retry_ratio": 0.2, "retry_slack": 62, "retry_window_s": 10, "limit_window_s": 5, "limit_overshoot": 0.1, "limit_slack": 20"#;

/// Receive buffer of the clients: what the kernels hold is not cut off with the
/// process, and the smaller the window, the less they hold.
const RECEIVE_BYTES: i32 = 2 << 10;

const ANSWER_BYTES: usize = 4 << 20;

/// Time from the stop signal until a client has read its answer, for each
/// client. All lie before the end of the grace period.
const READ_BY: [f64; 4] = [4.6, 5.5, 5.6, 5.7];

/// Time from the stop signal until the clients send their requests.
const SENT_AT: f64 = 0.4;

pub fn run(record: &Record, folder: &Folder, has_trouble: bool) -> io::Result<bool> {
    let store = Store::open()?;
    store.put("op", "config", CONFIG);
    let runs = Runs::default();
    for (index, zone) in ["a", "a", "b", "b"].iter().enumerate() {
        let settings = InstanceSettings {
            id: format!("i-{index}"),
            service: "docs".to_owned(),
            zone: (*zone).to_owned(),
            slots: 2,
            work: Duration::from_millis(110),
            answer_bytes: ANSWER_BYTES,
        };
        instance::open(settings, &store, &runs)?;
    }
    let plans = [
        host::plan("h0", "a", store.address, folder.path())?,
        host::plan("h1", "b", store.address, folder.path())?,
    ];
    let seeds: Vec<_> = plans.iter().map(|plan| plan.copies).collect();
    let mut hosts = Vec::new();
    for plan in &plans {
        hosts.push(Host::start(plan, &seeds, BOUNDS)?);
    }
    for host in &hosts {
        if !host.wait_ready(Duration::from_secs(15)) {
            return Err(io::Error::other("a host did not become ready"));
        }
    }
    thread::sleep(Duration::from_secs(3));
    record.line("both hosts are ready");
    let (status, body) = client::get_page(
        plans[0].lookup,
        "/resolve?name=app.example&region=home&zone=a",
    )?;
    record.line(&format!("look-up: {status} {body}"));
    if !body.contains(&plans[0].front.to_string()) {
        return Err(io::Error::other("the look-up does not name h0"));
    }
    // The clients connect before the stop, and use their open connections.
    let mut streams = Vec::new();
    for _ in READ_BY {
        streams.push(client::open(plans[0].front, RECEIVE_BYTES)?);
    }
    thread::sleep(Duration::from_millis(300));
    let stopped = Instant::now();
    if has_trouble {
        hosts[0].signal(host::SIGTERM);
        record.line("SIGTERM to h0");
    }
    let clients: Vec<_> = streams
        .into_iter()
        .zip(READ_BY)
        .enumerate()
        .map(|(index, (mut stream, read_by))| {
            let record = record.clone();
            thread::spawn(move || {
                let sent_at = stopped + Duration::from_secs_f64(SENT_AT);
                thread::sleep(sent_at.saturating_duration_since(Instant::now()));
                let id = format!("cert-{index}");
                let sent = Instant::now();
                let result = client::send(
                    &mut stream,
                    "GET",
                    &format!("/certs/{index}"),
                    &id,
                    DEADLINE,
                );
                let pace = ANSWER_BYTES as f64 / (read_by - SENT_AT - 0.15);
                record.line(&format!(
                    "{id} sent to h0 ({result:?}), read at {:.0} KB a second",
                    pace / 1_000.0
                ));
                let answer = client::read_answer(&mut stream, pace);
                (id, sent, answer)
            })
        })
        .collect();
    let mut ended = None;
    while stopped.elapsed() < GRACE + Duration::from_secs(1) {
        if ended.is_none() && hosts[0].ended().is_some() {
            ended = Some(stopped.elapsed());
            let at = stopped.elapsed().as_secs_f64();
            record.line(&format!("h0 has exited, {at:.2} s after the signal"));
        }
        if has_trouble && ended.is_none() && stopped.elapsed() >= GRACE {
            hosts[0].signal(host::SIGKILL);
        }
        thread::sleep(Duration::from_millis(10));
    }
    let body = Arc::new(instance::body_of(ANSWER_BYTES));
    let mut lost = 0;
    for client in clients {
        let Ok((id, sent, answer)) = client.join() else {
            return Err(io::Error::other("a client failed"));
        };
        let runs = runs.lock().unwrap();
        let run = runs.iter().find(|run| run.id == id);
        let answered = run.and_then(|run| run.answered);
        let is_whole = answer.status() == 200 && answer.is_complete() && answer.body == *body;
        let at = |instant: Instant| instant.saturating_duration_since(stopped).as_secs_f64();
        record.line(&format!(
            "{id}: instance began at {:?} s, had written its answer at {:?} s; client got status {}, {} of {ANSWER_BYTES} bytes, ended {:.2} s after the signal, {:.2} s after it was sent {}",
            run.map(|run| at(run.began)),
            answered.map(at),
            answer.status(),
            answer.body.len(),
            at(answer.ended),
            answer.ended.saturating_duration_since(sent).as_secs_f64(),
            answer.error,
        ));
        let in_time = answer.ended.saturating_duration_since(sent) < DEADLINE;
        // The instance was done long before the last sixth of the grace period.
        let was_done =
            answered.is_some_and(|answered| at(answered) < GRACE.as_secs_f64() * 5.0 / 6.0);
        if !is_whole && run.is_some() && was_done && in_time {
            lost += 1;
        }
    }
    record.line(&format!(
        "requests that were passed on and whose connection ended without a complete answer: {lost}"
    ));
    Ok(lost > 0)
}
