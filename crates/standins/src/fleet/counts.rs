use std::time::Duration;

use crate::{StandinError, fleet::TestFleet};

/// Longest wait for one host's counters.
const METRICS_LIMIT: Duration = Duration::from_secs(1);

impl TestFleet {
    /// The sum of all counters of a kind over the hosts that answer.
    ///
    /// # Errors
    ///
    /// Fails when a host does not answer in time.
    pub async fn count_of(&self, kind: &str) -> Result<f64, StandinError> {
        let label = format!("kind=\"{kind}\"");
        let mut sum = 0.0;
        for host in &self.hosts {
            let operator = host.addresses().operator;
            let failed = |err| StandinError::new("read metrics", operator, err);
            let url = format!("http://{operator}/metrics");
            let asked = self.http.get(url).timeout(METRICS_LIMIT).send();
            let text = asked.await.map_err(failed)?.text().await.map_err(failed)?;
            let lines = text.lines().filter(|line| line.contains(&label));
            let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            sum += values.sum::<f64>();
        }
        Ok(sum)
    }
}
