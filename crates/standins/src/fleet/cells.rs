use std::time::Duration;

use crate::{StandinError, fleet::TestFleet};

/// Longest wait for one host's events.
const EVENTS_LIMIT: Duration = Duration::from_millis(500);

impl TestFleet {
    /// The host that said last that it holds a cell, by the largest epoch.
    ///
    /// Hosts that do not answer are passed over.
    pub async fn keeper_of(&self, cell: &str) -> Option<usize> {
        let mut best = None;
        for index in 0..self.hosts.len() {
            for event in self.events(index).await.unwrap_or_default() {
                let fields = &event["fields"];
                let is_held = event["name"] == "cell-kept" && fields["right"] == "held";
                if is_held && fields["cell"] == cell {
                    let epoch = fields["epoch"].as_str().and_then(|text| text.parse().ok());
                    best = best.max(epoch.map(|epoch: u64| (epoch, index)));
                }
            }
        }
        best.map(|(_, index)| index)
    }

    /// The latest events of a host's time line.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer in time.
    pub async fn events(&self, host: usize) -> Result<Vec<serde_json::Value>, StandinError> {
        let operator = self.hosts[host].addresses().operator;
        let url = format!("http://{operator}/events?since=0&most=8192");
        let failed = |err| StandinError::new("read events", operator, err);
        let asked = self.http.get(url).timeout(EVENTS_LIMIT).send();
        let answer = asked.await.map_err(failed)?;
        let mut page: serde_json::Value = answer.json().await.map_err(failed)?;
        match page["events"].take() {
            serde_json::Value::Array(events) => Ok(events),
            _ => Ok(Vec::new()),
        }
    }
}
