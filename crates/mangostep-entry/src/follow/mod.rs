//! Keeps copies of the platform's tables current, from the store and from
//! peers.

mod apply;
mod hosts;
mod store;

use slog::info;

pub(crate) use self::{hosts::follow_peers, store::follow_table};
use crate::{clock, prelude::*};

/// Interval between checks for servers that were held after their entries
/// lapsed.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);

/// Removes servers whose entries lapsed and did not return within the hold
/// time.
pub(crate) async fn remove_expired_servers(context: Rc<HostContext>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        let now = clock::now();
        let removed = context.pool.borrow_mut().remove_expired(now);
        for server in removed {
            info!(context.log, "server gone"; "server" => server, "reason" => "lapsed");
        }
    }
}
