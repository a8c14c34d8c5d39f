use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

use crate::StandinError;

/// Port by which a block is taken; nothing else listens on it.
const LOCK_PORT: u16 = 7999;

/// Tries to find a free block.
const TRIES_MAX: u32 = 250;

static BLOCKS_OPENED: AtomicU32 = AtomicU32::new(0);

/// A range of loopback IP numbers, 127.x.0.0/16, that one fleet uses alone.
///
/// A listener holds the block, so that fleets of other processes on the same
/// machine take other blocks.
#[derive(Debug)]
pub(crate) struct AddressBlock {
    second: u8,
    _lock: TcpListener,
}

/// What an IP number of a block is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AddressRole {
    Platform,
    Proxy,
    Host,
    Server,
    Caller,
}

impl AddressBlock {
    pub(crate) fn open() -> Result<Self, StandinError> {
        let opened = BLOCKS_OPENED.fetch_add(1, Ordering::Relaxed);
        let start = std::process::id().wrapping_add(opened.wrapping_mul(97));
        let mut last = None;
        for attempt in 0..TRIES_MAX {
            let second = 2 + (start.wrapping_add(attempt) % 250) as u8;
            let address = SocketAddr::from((Ipv4Addr::new(127, second, 255, 254), LOCK_PORT));
            match TcpListener::bind(address) {
                Ok(lock) => {
                    return Ok(AddressBlock {
                        second,
                        _lock: lock,
                    });
                }
                Err(err) => last = Some(err),
            }
        }
        let cause = last.map_or_else(String::new, |err| err.to_string());
        Err(StandinError::new(
            "take loopback block",
            "127.0.0.0/8",
            cause,
        ))
    }

    /// The IP number of the `index`th process of a role.
    pub(crate) fn ip(&self, role: AddressRole, index: usize) -> IpAddr {
        let base = match role {
            AddressRole::Platform => 0,
            AddressRole::Proxy => 20,
            AddressRole::Caller => 40,
            AddressRole::Host => 60,
            AddressRole::Server => 120,
        };
        let (row, column) = (index / 250, index % 250);
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.second,
            base + row as u8,
            1 + column as u8,
        ))
    }
}
