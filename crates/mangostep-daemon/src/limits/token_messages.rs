use {
    mangostep_policy::{HomeKey, TokenFraction, TokenGrant, TokenRequestEntry},
    mangostep_wire::peer_capnp::{TokenMode, peer_link, token_grant},
};

use crate::prelude::*;

/// One ask of tokens, as it comes from another host.
pub(crate) struct ReceivedAsk {
    pub(crate) home: HomeKey,
    pub(crate) epoch: u64,
    pub(crate) mode: TokenMode,
    pub(crate) entries: Vec<TokenRequestEntry>,
}

/// Writes an ask.
pub(crate) fn write_ask(
    mut params: peer_link::ask_tokens_params::Builder<'_>,
    home: HomeKey,
    epoch: u64,
    mode: TokenMode,
    entries: &[TokenRequestEntry],
) {
    params.set_shard(home.shard);
    params.set_index(home.index);
    params.set_epoch(epoch);
    params.set_mode(mode);
    let length = u32::try_from(entries.len()).unwrap_or(u32::MAX);
    let mut asks = params.init_asks(length);
    for (place, entry) in (0..length).zip(entries) {
        let mut ask = asks.reborrow().get(place);
        ask.set_workspace(&entry.name);
        ask.set_tokens(entry.tokens);
        ask.set_last(entry.is_last);
    }
}

/// Reads an ask.
pub(crate) fn read_ask(
    params: peer_link::ask_tokens_params::Reader<'_>,
) -> Result<ReceivedAsk, capnp::Error> {
    let mut entries = Vec::new();
    for ask in params.get_asks()? {
        entries.push(TokenRequestEntry {
            name: ask.get_workspace()?.to_str()?.to_owned(),
            tokens: ask.get_tokens(),
            is_last: ask.get_last(),
        });
    }
    Ok(ReceivedAsk {
        home: HomeKey {
            shard: params.get_shard(),
            index: params.get_index(),
        },
        epoch: params.get_epoch(),
        mode: params.get_mode()?,
        entries,
    })
}

pub(crate) fn write_grant(mut to: token_grant::Builder<'_>, grant: &TokenGrant) {
    to.set_granted(grant.granted);
    to.set_retry_after_us(micros(grant.retry_after));
}

pub(crate) fn read_grant(from: token_grant::Reader<'_>) -> TokenGrant {
    TokenGrant {
        granted: from.get_granted(),
        retry_after: Duration::from_micros(from.get_retry_after_us()),
    }
}

pub(crate) fn write_fraction(mut to: token_grant::Builder<'_>, fraction: &TokenFraction) {
    to.set_fraction_micro(fraction.micro);
    to.set_fraction_keeps_us(micros(fraction.decays_after));
    to.set_fraction_shrinks(fraction.decay_micro_per_s);
}

pub(crate) fn read_fraction(from: token_grant::Reader<'_>) -> TokenFraction {
    TokenFraction {
        micro: from.get_fraction_micro(),
        decays_after: Duration::from_micros(from.get_fraction_keeps_us()),
        decay_micro_per_s: from.get_fraction_shrinks(),
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
