//! Decoding untrusted bytes yields a message or an error and never panics.

use mangostep_testing::seeded;
use {
    capnp::{
        message::{Builder, HeapAllocator, ReaderOptions},
        serialize,
    },
    mangostep_wire::peer_capnp::{hello, slot_ask, slot_release, timeline_event, token_ask},
};

fn read_as_every_type(bytes: &[u8]) -> capnp::Result<usize> {
    let message = serialize::read_message(bytes, ReaderOptions::new())?;
    let mut read_len = 0;
    if let Ok(hello) = message.get_root::<hello::Reader<'_>>() {
        read_len += hello.get_fleet()?.len() + hello.get_host()?.len() + hello.get_zone()?.len();
    }
    if let Ok(ask) = message.get_root::<slot_ask::Reader<'_>>() {
        read_len += ask.get_service()?.len() + ask.get_avoid()?.len() as usize;
        read_len += usize::from(ask.get_kind().is_ok());
    }
    if let Ok(release) = message.get_root::<slot_release::Reader<'_>>() {
        read_len += release.get_server()?.len() + usize::from(release.get_outcome().is_ok());
    }
    if let Ok(ask) = message.get_root::<token_ask::Reader<'_>>() {
        read_len += ask.get_workspace()?.len();
    }
    if let Ok(event) = message.get_root::<timeline_event::Reader<'_>>() {
        read_len += event.get_json()?.len();
    }
    Ok(read_len)
}

fn valid_message() -> Vec<u8> {
    let mut message: Builder<HeapAllocator> = Builder::new_default();
    let mut ask = message.init_root::<slot_ask::Builder<'_>>();
    ask.set_service("ledger");
    ask.set_zone("a");
    let mut avoid = ask.init_avoid(2);
    avoid.set(0, "s1");
    avoid.set(1, "s2");
    serialize::write_message_to_words(&message)
}

#[test]
fn arbitrary_bytes_never_panic() {
    bolero::check!()
        .exhaustive()
        .with_generator(seeded::<Vec<u8>>(2000))
        .for_each(|bytes: &Vec<u8>| {
            // Any result will do; the test fails only on a panic or a hang.
            let _ = read_as_every_type(bytes);
        });
}

#[test]
fn corrupted_messages_never_panic() {
    let valid = valid_message();
    assert!(read_as_every_type(&valid).is_ok());
    bolero::check!()
        .exhaustive()
        .with_generator(seeded::<Vec<(u8, u8)>>(2000))
        .for_each(|changes: &Vec<(u8, u8)>| {
            let mut bytes = valid.clone();
            for (offset, value) in changes {
                let offset = usize::from(*offset) % bytes.len();
                bytes[offset] = *value;
            }
            let _ = read_as_every_type(&bytes);
        });
}
