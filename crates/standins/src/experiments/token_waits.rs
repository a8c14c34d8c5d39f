use std::collections::BTreeMap;

use crate::{
    StandinError,
    experiments::{Bound, Figures},
    fleet::TestFleet,
};

/// How long requests waited for a token, over all hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenWaits {
    /// Sum of the waits, in seconds.
    sum_s: f64,
    /// Requests by the place of the home that was asked first.
    places: BTreeMap<String, f64>,
    /// Requests that waited no longer, by bound in seconds as it is written.
    within: BTreeMap<String, f64>,
}

impl TokenWaits {
    /// Reads the counters of all hosts.
    pub(crate) async fn read(fleet: &TestFleet) -> Result<Self, StandinError> {
        let mut waits = TokenWaits::default();
        for host in &fleet.hosts {
            let failed = |err| StandinError::new("read metrics", host.name(), err);
            let url = format!("http://{}/metrics", host.addresses().operator);
            let answer = reqwest::get(url).await.map_err(failed)?;
            let text = answer.text().await.map_err(failed)?;
            text.lines().for_each(|line| waits.take(line));
        }
        Ok(waits)
    }

    fn take(&mut self, line: &str) {
        let Some(rest) = line.strip_prefix("mangostep_token_wait_seconds_") else {
            return;
        };
        let Some((series, value)) = rest.rsplit_once(' ') else {
            return;
        };
        let value: f64 = value.parse().unwrap_or(0.0);
        let label = |name: &str| {
            let (_, from) = series.split_once(&format!("{name}=\""))?;
            from.split_once('"').map(|(text, _)| text.to_owned())
        };
        if series.starts_with("sum") {
            self.sum_s += value;
        } else if series.starts_with("count") {
            *self
                .places
                .entry(label("place").unwrap_or_default())
                .or_default() += value;
        } else if let Some(bound) = label("le") {
            *self.within.entry(bound).or_default() += value;
        }
    }

    /// What was counted after an earlier reading.
    pub(crate) fn since(&self, earlier: &TokenWaits) -> TokenWaits {
        let less = |now: &BTreeMap<String, f64>, before: &BTreeMap<String, f64>| {
            now.iter()
                .map(|(name, count)| (name.clone(), count - before.get(name).unwrap_or(&0.0)))
                .collect()
        };
        TokenWaits {
            sum_s: self.sum_s - earlier.sum_s,
            places: less(&self.places, &earlier.places),
            within: less(&self.within, &earlier.within),
        }
    }

    /// Tells the mean wait, and which part waited no longer than some bounds.
    pub(crate) fn push(&self, name: &str, figures: &mut Figures) {
        let all: f64 = self.places.values().sum();
        let percent = |count: Option<&f64>| 100.0 * count.unwrap_or(&0.0) / all.max(1.0);
        let mut told = |part: &str, value, unit| {
            figures.push(&format!("{name}_{part}"), value, unit, Bound::None);
        };
        told("local", percent(self.places.get("local")), "%");
        told("wait_mean", 1000.0 * self.sum_s / all.max(1.0), "ms");
        told("wait_within_0.5ms", percent(self.within.get("0.0005")), "%");
        told("wait_within_1.8ms", percent(self.within.get("0.0018")), "%");
        told("wait_within_5ms", percent(self.within.get("0.005")), "%");
    }
}
