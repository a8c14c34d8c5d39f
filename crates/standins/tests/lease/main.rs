//! The host lease between real processes: standing, takeover, members,
//! leaving, and the spread of the configuration.

mod members;
mod outage;
mod rows;
mod spread;
mod takeover;

use standins::fleet::{FleetSettings, TestFleet};

use crate::rows::{FOUNDING_LIMIT, wait_rows};

/// Three hosts, one in each availability zone, that hold everything.
async fn open_three(settings: FleetSettings) -> Result<TestFleet, Box<dyn std::error::Error>> {
    let fleet = TestFleet::open(settings).await?;
    wait_rows(&fleet, "founded", FOUNDING_LIMIT, |rows| rows.is_whole(3)).await?;
    Ok(fleet)
}
