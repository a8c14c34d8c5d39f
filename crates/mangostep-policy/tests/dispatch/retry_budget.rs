use std::time::Duration;

use mangostep_policy::{AllowanceSettings, RetryAllowance};

use crate::at_ms;

const HOSTS: usize = 44;
const NAMED: usize = 12;
const SECONDS: u64 = 30;

/// Share of the slack for a host, equal to
/// [`mangostep_policy::HostTable::own_share`].
fn slack_share_of(host: usize) -> f64 {
    match host < NAMED {
        true => 0.75 / NAMED as f64,
        false => 0.25 / (HOSTS - NAMED) as f64,
    }
}

/// Every request fails, on the hosts in the look-up answers and on all others,
/// so that each host takes as many retries as it may.
#[test]
fn fleet_stays_within_the_retry_budget_while_all_requests_fail() {
    let settings = AllowanceSettings::default();
    let mut hosts = vec![RetryAllowance::open(settings.clone()); HOSTS];
    let (mut requests, mut retries) =
        (vec![0_u32; SECONDS as usize], vec![0_u32; SECONDS as usize]);
    for second in 0..SECONDS {
        for (index, allowance) in hosts.iter_mut().enumerate() {
            let rate = if index < NAMED { 6 } else { 1 };
            for request in 0..rate {
                let now = at_ms(second * 1_000 + request * 100);
                allowance.record_request("ledger", now);
                requests[second as usize] += 1;
                for _ in 0..3 {
                    if allowance.take("ledger", slack_share_of(index), 0, now) {
                        retries[second as usize] += 1;
                    }
                }
            }
        }
    }
    let window = settings.window.as_secs() as usize;
    for (asked, sent) in requests.windows(window).zip(retries.windows(window)) {
        let asked: u32 = asked.iter().sum();
        let sent: u32 = sent.iter().sum();
        let most = f64::from(asked) * settings.ratio + settings.slack;
        assert!(f64::from(sent) <= most, "{sent} retries, {most} allowed");
        assert!(f64::from(sent) > most / 3.0, "the budget is hardly used");
    }
}

#[test]
fn less_urgent_requests_leave_retries_to_urgent_ones() {
    let mut allowance = RetryAllowance::open(AllowanceSettings::default());
    (0..100).for_each(|_| allowance.record_request("ledger", at_ms(0)));
    while allowance.take("ledger", 0.0, 2, at_ms(1)) {}
    assert!(allowance.take("ledger", 0.0, 0, at_ms(1)));
    assert!(allowance.remaining_share("ledger", 0.0, at_ms(1)) > 0.2);
    let later = at_ms(0) + Duration::from_secs(30);
    assert!(allowance.remaining_share("ledger", 0.0, later) > 0.99);
}
