use std::time::Duration;

use crate::{
    MonotonicTime,
    dispatch::{HostTable, LedgerRequest, TokenLedger, TokenVerdict},
};

/// A request for a token, as it arrives at a limit home.
#[derive(Clone, Copy, Debug)]
pub struct HomeRequest<'a> {
    /// The request for the ledger. Its role and its share are filled in.
    pub token: LedgerRequest<'a>,
    /// Availability zone of the requesting host.
    pub zone: &'a str,
    /// Homes that rank higher and that the requesting host does not reach.
    pub skipped: &'a [&'a str],
    /// Whether another home sent the requesting host here.
    pub is_redirected: bool,
}

/// Response of a limit home to a [`HomeRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum HomeReply {
    /// The home decided.
    Decided(TokenVerdict),
    /// Another host is the limit home, which decides.
    Moved(String),
}

impl TokenLedger {
    /// Responds to a request for a token as a limit home of its bucket.
    ///
    /// A host that is not the first home of the bucket by the lists that it
    /// knows decides only in place of homes that the requesting host does not
    /// reach. Otherwise hosts with different lists would get tokens from two
    /// homes. A home that was paused leaves the decisions to the next one until
    /// no host skips it any more.
    pub fn respond(
        &mut self,
        hosts: &mut HostTable,
        request: HomeRequest<'_>,
        now: MonotonicTime,
    ) -> HomeReply {
        hosts.record_contact(request.zone, now);
        self.end_pause(now);
        let bucket = request.token.bucket;
        let first = hosts.first_home(bucket, now);
        let other = first.filter(|first| first.name != hosts.own().name);
        let successor = match other {
            Some(first) => Some(first).filter(|first| !request.skipped.contains(&&*first.name)),
            None if self.is_recovering(now) => hosts.first_other_home(bucket, now),
            None => None,
        };
        if let Some(successor) = successor.filter(|_| !request.is_redirected) {
            return HomeReply::Moved(successor.name.clone());
        }
        let is_substitute = other.is_some();
        let home_time = match first.is_some() && !is_substitute {
            true => hosts.settled_time(now),
            false => Duration::ZERO,
        };
        let since = self.substitute_since(request.token.bucket, is_substitute, now);
        let token = LedgerRequest {
            share: hosts.contact_share(since, now),
            is_substitute,
            home_time,
            ..request.token
        };
        HomeReply::Decided(self.acquire(token, now))
    }
}
