use std::collections::BTreeMap;

use crate::{
    StandinError,
    experiments::{Bound, Figures},
    fleet::TestFleet,
};

/// Time that requests waited for a token, summed over all hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenWaits {
    /// Sum of the waits, in seconds.
    sum_s: f64,
    /// Number of requests by the `place` label: where the limit home is that
    /// was asked first.
    places: BTreeMap<String, f64>,
    /// Number of requests that waited at most the bound, by the text of the
    /// `le` label (in seconds).
    within: BTreeMap<String, f64>,
}

impl TokenWaits {
    /// Reads the metrics pages of all hosts and adds up their counters.
    pub(crate) async fn read(fleet: &TestFleet) -> Result<Self, StandinError> {
        let mut waits = TokenWaits::default();
        for host in &fleet.hosts {
            let failed = |err| StandinError::new("read metrics", host.name(), err);
            let url = format!("http://{}/metrics", host.addresses().operator);
            let answer = reqwest::get(url).await.map_err(failed)?;
            let text = answer.text().await.map_err(failed)?;
            text.lines().for_each(|line| waits.add_line(line));
        }
        Ok(waits)
    }

    fn add_line(&mut self, line: &str) {
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

    /// Returns the waits counted since an earlier reading.
    pub(crate) fn since(&self, earlier: &TokenWaits) -> TokenWaits {
        let subtract = |now: &BTreeMap<String, f64>, before: &BTreeMap<String, f64>| {
            now.iter()
                .map(|(name, count)| (name.clone(), count - before.get(name).unwrap_or(&0.0)))
                .collect()
        };
        TokenWaits {
            sum_s: self.sum_s - earlier.sum_s,
            places: subtract(&self.places, &earlier.places),
            within: subtract(&self.within, &earlier.within),
        }
    }

    /// Adds the mean wait and the shares of requests within given waits.
    pub(crate) fn push_figures(&self, name: &str, figures: &mut Figures) {
        let total: f64 = self.places.values().sum();
        let percent = |count: Option<&f64>| 100.0 * count.unwrap_or(&0.0) / total.max(1.0);
        let mut push = |part: &str, value, unit| {
            figures.push(&format!("{name}_{part}"), value, unit, Bound::None);
        };
        push("local", percent(self.places.get("local")), "%");
        push("wait_mean", 1000.0 * self.sum_s / total.max(1.0), "ms");
        push("wait_within_0.5ms", percent(self.within.get("0.0005")), "%");
        push("wait_within_1.8ms", percent(self.within.get("0.0018")), "%");
        push("wait_within_5ms", percent(self.within.get("0.005")), "%");
    }
}
