//! Bytes from outside give messages or errors, never a panic.

use mangostep_testing::seeded;
use {
    capnp::{
        message::{Builder, HeapAllocator, ReaderOptions},
        serialize,
    },
    mangostep_wire::peer_capnp::{hello, slot_ask, slot_release, timeline_event, token_ask},
};

fn read_all(bytes: &[u8]) -> capnp::Result<usize> {
    let message = serialize::read_message(bytes, ReaderOptions::new())?;
    let mut read = 0;
    if let Ok(hello) = message.get_root::<hello::Reader<'_>>() {
        read += hello.get_fleet()?.len() + hello.get_host()?.len() + hello.get_zone()?.len();
    }
    if let Ok(ask) = message.get_root::<slot_ask::Reader<'_>>() {
        read += ask.get_service()?.len() + ask.get_avoid()?.len() as usize;
        read += usize::from(ask.get_kind().is_ok());
    }
    if let Ok(release) = message.get_root::<slot_release::Reader<'_>>() {
        read += release.get_server()?.len() + usize::from(release.get_outcome().is_ok());
    }
    if let Ok(ask) = message.get_root::<token_ask::Reader<'_>>() {
        read += ask.get_workspace()?.len();
    }
    if let Ok(event) = message.get_root::<timeline_event::Reader<'_>>() {
        read += event.get_json()?.len();
    }
    Ok(read)
}

fn good_message() -> Vec<u8> {
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
fn any_bytes_are_read_or_refused() {
    bolero::check!()
        .exhaustive()
        .with_generator(seeded::<Vec<u8>>(2000))
        .for_each(|bytes: &Vec<u8>| {
            // What it is read as does not matter, only that it ends.
            let _ = read_all(bytes);
        });
}

#[test]
fn any_change_to_a_message_is_read_or_refused() {
    let good = good_message();
    assert!(read_all(&good).is_ok());
    bolero::check!()
        .exhaustive()
        .with_generator(seeded::<Vec<(u8, u8)>>(2000))
        .for_each(|changes: &Vec<(u8, u8)>| {
            let mut bytes = good.clone();
            for (place, value) in changes {
                let place = usize::from(*place) % bytes.len();
                bytes[place] = *value;
            }
            let _ = read_all(&bytes);
        });
}
