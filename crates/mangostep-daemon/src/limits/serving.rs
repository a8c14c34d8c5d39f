use {
    mangostep_policy::{HomeKey, TokenFraction, TokenGrant, TokenRequestEntry},
    mangostep_wire::peer_capnp::{TokenMode, peer_link},
};

use crate::{
    limits::{
        LimitDuty,
        home_table::{GATHER_TIMEOUT, GatheredFractions},
        limit_name::fleet_limit,
        token_messages::{
            read_fraction, read_token_request, write_fraction, write_grant, write_token_request,
        },
    },
    prelude::*,
};

/// The role of a limit home.
impl LimitDuty {
    /// Returns the current time and the epoch in which this host may grant
    /// tokens at a home, or `None` if it may not.
    ///
    /// The process may have been paused, so the clock, the lease and the
    /// limits are read immediately before tokens are granted. `epoch` is the
    /// epoch known to the requesting host.
    fn grant_authority(&self, home: HomeKey, epoch: u64) -> Option<(MonotonicTime, u64)> {
        let now = self.context.clock.now();
        let held = self.context.held_epoch(&home.resource(), now)?;
        if epoch > held {
            return None;
        }
        self.update_snapshot(now);
        Some((now, held))
    }

    /// Takes tokens at a home on this host, and returns them with the epoch in
    /// which they were taken.
    ///
    /// Returns `None` if this host may not grant tokens at the home.
    pub(super) fn take_tokens(
        &self,
        home: HomeKey,
        epoch: u64,
        entries: &[TokenRequestEntry],
    ) -> Option<(u64, Vec<TokenGrant>)> {
        let (now, held) = self.grant_authority(home, epoch)?;
        let mut table = self.table.borrow_mut();
        let grants: Vec<TokenGrant> = entries
            .iter()
            .map(|entry| table.take(now, home, held, entry))
            .collect();
        drop(table);
        for (entry, grant) in entries.iter().zip(&grants) {
            self.record_taken(now, home, &entry.name, grant.granted);
        }
        Some((held, grants))
    }

    /// Grants tokens at a home on this host, adding the fractions of the other
    /// homes for entries that try this home last.
    pub(super) async fn grant_tokens(
        &self,
        home: HomeKey,
        epoch: u64,
        entries: &[TokenRequestEntry],
    ) -> Option<Vec<TokenGrant>> {
        let (held, mut grants) = self.take_tokens(home, epoch, entries)?;
        for (entry, grant) in entries.iter().zip(&mut grants) {
            if entry.is_last && grant.granted < entry.tokens {
                self.complete_grant(home, held, entry, grant).await;
            }
        }
        Some(grants)
    }

    /// Adds to a grant the tokens that the fractions of the other homes make
    /// up.
    async fn complete_grant(
        &self,
        home: HomeKey,
        epoch: u64,
        entry: &TokenRequestEntry,
        grant: &mut TokenGrant,
    ) {
        let context = &self.context;
        let limit = fleet_limit(&context.snapshot.load(), &entry.name);
        let others: Vec<HomeKey> = limit
            .into_iter()
            .flat_map(|limit| limit.homes(&entry.name))
            .filter(|other| *other != home)
            .collect();
        if others.is_empty() {
            return;
        }
        let requested_at = context.clock.now();
        let started = self
            .table
            .borrow_mut()
            .begin_gather(requested_at, home, epoch, &entry.name);
        if let Err(wait) = started {
            grant.retry_after = grant.retry_after.min(wait);
            return;
        }
        let calls = others
            .iter()
            .map(|other| self.request_fraction(*other, &entry.name));
        let answers = futures::future::join_all(calls).await;
        let gathered = GatheredFractions {
            is_complete: answers.iter().all(Option::is_some),
            fractions: answers.into_iter().flatten().collect(),
            requested_at,
        };
        let now = context.clock.now();
        if context.held_epoch(&home.resource(), now) != Some(epoch) {
            return;
        }
        let missing = TokenRequestEntry {
            tokens: entry.tokens - grant.granted,
            ..entry.clone()
        };
        let more = self
            .table
            .borrow_mut()
            .end_gather(now, home, epoch, &missing, &gathered);
        self.record_taken(now, home, &entry.name, more.granted);
        grant.granted += more.granted;
        grant.retry_after = more.retry_after;
    }

    /// Requests the remaining fraction of a token from another home.
    async fn request_fraction(&self, home: HomeKey, name: &str) -> Option<TokenFraction> {
        let (host, peer, epoch) = self.holder(home)?;
        if host == self.context.settings.host {
            return self.grant_fraction(home, 0, name);
        }
        let stamp = self.context.recorder.clock().tick();
        let entries = [TokenRequestEntry {
            name: name.to_owned(),
            tokens: 0,
            is_last: false,
        }];
        let call = |link: peer_link::Client| async move {
            let mut request = link.ask_tokens_request();
            let mut params = request.get();
            params.set_stamp(stamp);
            write_token_request(params, home, epoch, TokenMode::Gather, &entries);
            let response = request.send().promise.await?;
            let answer = response.get()?;
            let grants = answer.get_grants()?;
            Ok((answer.get_home() && !grants.is_empty()).then(|| read_fraction(grants.get(0))))
        };
        self.links
            .call(peer, "gather tokens", GATHER_TIMEOUT, call)
            .await
            .ok()
            .flatten()
    }

    fn grant_fraction(&self, home: HomeKey, epoch: u64, name: &str) -> Option<TokenFraction> {
        let (now, held) = self.grant_authority(home, epoch)?;
        let mut table = self.table.borrow_mut();
        Some(table.take_fraction(now, home, held, name))
    }

    /// Answers another host's request for tokens or fractions.
    pub(crate) async fn serve_token_request(
        &self,
        params: peer_link::AskTokensParams,
        mut results: peer_link::AskTokensResults,
    ) -> Result<(), capnp::Error> {
        let clock = self.context.recorder.clock();
        clock.observe(params.get()?.get_stamp());
        let request = read_token_request(params.get()?)?;
        let length = u32::try_from(request.entries.len()).unwrap_or(u32::MAX);
        if request.mode == TokenMode::Gather {
            let fractions: Option<Vec<TokenFraction>> = request
                .entries
                .iter()
                .map(|entry| self.grant_fraction(request.home, request.epoch, &entry.name))
                .collect();
            let mut answer = results.get();
            answer.set_stamp(clock.tick());
            answer.set_home(fractions.is_some());
            let mut grants = answer.init_grants(length);
            for (index, fraction) in (0..length).zip(fractions.iter().flatten()) {
                write_fraction(grants.reborrow().get(index), fraction);
            }
            return Ok(());
        }
        let granted = self
            .grant_tokens(request.home, request.epoch, &request.entries)
            .await;
        let mut answer = results.get();
        answer.set_stamp(clock.tick());
        answer.set_home(granted.is_some());
        let mut grants = answer.init_grants(length);
        for (index, grant) in (0..length).zip(granted.iter().flatten()) {
            write_grant(grants.reborrow().get(index), grant);
        }
        Ok(())
    }

    /// Records an event for taken tokens if `record_tokens` is set.
    fn record_taken(&self, now: MonotonicTime, home: HomeKey, name: &str, granted: u32) {
        if granted == 0 || !self.context.settings.record_tokens {
            return;
        }
        let fields = [
            ("name", name.to_owned()),
            ("home", home.resource()),
            ("tokens", granted.to_string()),
            ("at_us", now.as_micros().to_string()),
        ];
        let fields = fields
            .each_ref()
            .map(|(field, text)| (*field, text.as_str()));
        self.context.recorder.record("tokens-taken", &fields);
    }
}
