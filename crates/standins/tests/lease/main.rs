//! Host leases in a fleet of real processes: lapse, takeover, member set,
//! graceful shutdown, and distribution of the configuration.

mod members;
mod outage;
mod rows;
mod spread;
mod takeover;

use standins::fleet::{FleetSettings, TestFleet};

use crate::rows::{FOUNDING_LIMIT, wait_rows};

/// Opens three hosts, one in each availability zone, and waits until they hold
/// all resources.
async fn open_fleet(settings: FleetSettings) -> Result<TestFleet, Box<dyn std::error::Error>> {
    let fleet = TestFleet::open(settings).await?;
    wait_rows(
        &fleet,
        "member set exists and all resources are held",
        FOUNDING_LIMIT,
        |rows| rows.is_whole(3),
    )
    .await?;
    Ok(fleet)
}
