use {mangostep_objects::WeightedService, mangostep_policy::TrafficSplitter};

/// Forty hosts each get few requests of a split route.
#[test]
fn few_requests_on_many_hosts_match_the_weights() {
    let part = |service: &str, weight| WeightedService {
        service: service.to_owned(),
        weight,
    };
    let parts = [part("old", 90.0), part("new", 10.0), part("off", 0.0)];
    let mut new = 0;
    for host in 0..40 {
        let mut splitter = TrafficSplitter::open(f64::from(host) / 40.0);
        for _ in 0..10 {
            match splitter.pick(&parts) {
                Some("new") => new += 1,
                other => assert_eq!(other, Some("old")),
            }
        }
    }
    // A tenth of 400, within the operators' bound of 0.1 on the share.
    assert!((1..=80).contains(&new), "{new} of 400");
    assert!((new - 40_i32).abs() <= 10, "{new} of 400");
}

#[test]
fn route_without_weights_has_no_service() {
    assert_eq!(TrafficSplitter::open(0.5).pick(&[]), None);
}
