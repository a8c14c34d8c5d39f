//! Follows the tables of the platform's store, with other hosts as a second
//! source.

mod apply;
mod hosts;
mod store;

use slog::info;

pub(crate) use self::{hosts::follow_hosts, store::follow_table};
use crate::{clock, prelude::*};

/// Time between two looks for held servers that are to be given up.
const EXPIRE_PAUSE: Duration = Duration::from_millis(250);

/// Gives up servers whose entries lapsed and did not come back.
pub(crate) async fn expire_servers(context: Rc<HostContext>) {
    loop {
        tokio::time::sleep(EXPIRE_PAUSE).await;
        let now = clock::now();
        let gone = context.pool.borrow_mut().remove_expired(now);
        for server in gone {
            info!(context.log, "server gone"; "server" => server, "reason" => "lapsed");
        }
    }
}
