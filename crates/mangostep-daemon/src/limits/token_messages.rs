use {
    mangostep_policy::{HomeKey, TokenFraction, TokenGrant, TokenRequestEntry},
    mangostep_wire::peer_capnp::{TokenMode, peer_link, token_grant},
};

use crate::prelude::*;

/// Request for tokens or fractions, as received from another host.
pub(crate) struct ReceivedRequest {
    pub(crate) home: HomeKey,
    pub(crate) epoch: u64,
    pub(crate) mode: TokenMode,
    pub(crate) entries: Vec<TokenRequestEntry>,
}

pub(crate) fn write_token_request(
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
    let mut items = params.init_asks(length);
    for (index, entry) in (0..length).zip(entries) {
        let mut item = items.reborrow().get(index);
        item.set_workspace(&entry.name);
        item.set_tokens(entry.tokens);
        item.set_last(entry.is_last);
    }
}

pub(crate) fn read_token_request(
    params: peer_link::ask_tokens_params::Reader<'_>,
) -> Result<ReceivedRequest, capnp::Error> {
    let mut entries = Vec::new();
    for item in params.get_asks()? {
        entries.push(TokenRequestEntry {
            name: item.get_workspace()?.to_str()?.to_owned(),
            tokens: item.get_tokens(),
            is_last: item.get_last(),
        });
    }
    Ok(ReceivedRequest {
        home: HomeKey {
            shard: params.get_shard(),
            index: params.get_index(),
        },
        epoch: params.get_epoch(),
        mode: params.get_mode()?,
        entries,
    })
}

pub(crate) fn write_grant(mut builder: token_grant::Builder<'_>, grant: &TokenGrant) {
    builder.set_granted(grant.granted);
    builder.set_retry_after_us(as_micros_u64(grant.retry_after));
}

pub(crate) fn read_grant(reader: token_grant::Reader<'_>) -> TokenGrant {
    TokenGrant {
        granted: reader.get_granted(),
        retry_after: Duration::from_micros(reader.get_retry_after_us()),
    }
}

pub(crate) fn write_fraction(mut builder: token_grant::Builder<'_>, fraction: &TokenFraction) {
    builder.set_fraction_micro(fraction.micro);
    builder.set_fraction_keeps_us(as_micros_u64(fraction.decays_after));
    builder.set_fraction_shrinks(fraction.decay_micro_per_s);
}

pub(crate) fn read_fraction(reader: token_grant::Reader<'_>) -> TokenFraction {
    TokenFraction {
        micro: reader.get_fraction_micro(),
        decays_after: Duration::from_micros(reader.get_fraction_keeps_us()),
        decay_micro_per_s: reader.get_fraction_shrinks(),
    }
}

fn as_micros_u64(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
