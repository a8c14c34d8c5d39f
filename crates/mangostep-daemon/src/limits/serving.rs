use {
    mangostep_policy::{HomeKey, TokenFraction, TokenGrant, TokenRequestEntry},
    mangostep_wire::peer_capnp::{TokenMode, peer_link},
};

use crate::{
    limits::{
        LimitDuty,
        home_table::{GATHER_LIMIT, GatheredFractions},
        limit_name::fleet_limit,
        token_messages::{read_ask, read_fraction, write_ask, write_fraction, write_grant},
    },
    prelude::*,
};

/// The home's side.
impl LimitDuty {
    /// The time and the epoch under which a home may give now, if it may.
    ///
    /// The process may have been paused: so the clock is read, and standing
    /// and limits are looked at, right before tokens are given. `epoch` is
    /// the one that the asking host knows.
    fn may_give(&self, home: HomeKey, epoch: u64) -> Option<(MonotonicTime, u64)> {
        let now = self.context.clock.now();
        let held = self.context.held_epoch(&home.resource(), now)?;
        if epoch > held {
            return None;
        }
        self.follow_snapshot(now);
        Some((now, held))
    }

    /// Takes tokens at an own home; nothing when this host may not give any.
    ///
    /// Returns the epoch under which they were taken.
    pub(super) fn take(
        &self,
        home: HomeKey,
        epoch: u64,
        entries: &[TokenRequestEntry],
    ) -> Option<(u64, Vec<TokenGrant>)> {
        let (now, held) = self.may_give(home, epoch)?;
        let mut table = self.table.borrow_mut();
        let grants: Vec<TokenGrant> = entries
            .iter()
            .map(|entry| table.take(now, home, held, entry))
            .collect();
        drop(table);
        for (entry, grant) in entries.iter().zip(&grants) {
            self.note_taken(now, home, &entry.name, grant.granted);
        }
        Some((held, grants))
    }

    /// Gives tokens at an own home, with the fractions of other homes where
    /// this one is asked last.
    pub(super) async fn serve_tokens(
        &self,
        home: HomeKey,
        epoch: u64,
        entries: &[TokenRequestEntry],
    ) -> Option<Vec<TokenGrant>> {
        let (held, mut grants) = self.take(home, epoch, entries)?;
        for (entry, grant) in entries.iter().zip(&mut grants) {
            if entry.is_last && grant.granted < entry.tokens {
                self.complete(home, held, entry, grant).await;
            }
        }
        Some(grants)
    }

    /// Completes a grant with the fractions of the other homes.
    async fn complete(
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
        let asked = context.clock.now();
        let begun = self
            .table
            .borrow_mut()
            .begin_gather(asked, home, epoch, &entry.name);
        if let Err(wait) = begun {
            grant.retry_after = grant.retry_after.min(wait);
            return;
        }
        let asking = others
            .iter()
            .map(|other| self.fraction_of(*other, &entry.name));
        let answers = futures::future::join_all(asking).await;
        let gathered = GatheredFractions {
            is_complete: answers.iter().all(Option::is_some),
            fractions: answers.into_iter().flatten().collect(),
            asked,
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
        self.note_taken(now, home, &entry.name, more.granted);
        grant.granted += more.granted;
        grant.retry_after = more.retry_after;
    }

    /// Asks another home for what it has left of less than one token.
    async fn fraction_of(&self, home: HomeKey, name: &str) -> Option<TokenFraction> {
        let (host, peer, epoch) = self.holder(home)?;
        if host == self.context.settings.host {
            return self.give_fraction(home, 0, name);
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
            write_ask(params, home, epoch, TokenMode::Gather, &entries);
            let response = request.send().promise.await?;
            let answer = response.get()?;
            let grants = answer.get_grants()?;
            Ok((answer.get_home() && !grants.is_empty()).then(|| read_fraction(grants.get(0))))
        };
        self.links
            .call(peer, "gather tokens", GATHER_LIMIT, call)
            .await
            .ok()
            .flatten()
    }

    fn give_fraction(&self, home: HomeKey, epoch: u64, name: &str) -> Option<TokenFraction> {
        let (now, held) = self.may_give(home, epoch)?;
        let mut table = self.table.borrow_mut();
        Some(table.take_fraction(now, home, held, name))
    }

    /// Answers another host's ask.
    pub(crate) async fn serve_ask(
        &self,
        params: peer_link::AskTokensParams,
        mut results: peer_link::AskTokensResults,
    ) -> Result<(), capnp::Error> {
        let clock = self.context.recorder.clock();
        clock.observe(params.get()?.get_stamp());
        let ask = read_ask(params.get()?)?;
        let length = u32::try_from(ask.entries.len()).unwrap_or(u32::MAX);
        if ask.mode == TokenMode::Gather {
            let fractions: Option<Vec<TokenFraction>> = ask
                .entries
                .iter()
                .map(|entry| self.give_fraction(ask.home, ask.epoch, &entry.name))
                .collect();
            let mut answer = results.get();
            answer.set_stamp(clock.tick());
            answer.set_home(fractions.is_some());
            let mut grants = answer.init_grants(length);
            for (place, fraction) in (0..length).zip(fractions.iter().flatten()) {
                write_fraction(grants.reborrow().get(place), fraction);
            }
            return Ok(());
        }
        let given = self.serve_tokens(ask.home, ask.epoch, &ask.entries).await;
        let mut answer = results.get();
        answer.set_stamp(clock.tick());
        answer.set_home(given.is_some());
        let mut grants = answer.init_grants(length);
        for (place, grant) in (0..length).zip(given.iter().flatten()) {
            write_grant(grants.reborrow().get(place), grant);
        }
        Ok(())
    }

    /// Records tokens where they are taken, when the settings ask for it.
    fn note_taken(&self, now: MonotonicTime, home: HomeKey, name: &str, granted: u32) {
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
