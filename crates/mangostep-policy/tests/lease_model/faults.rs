//! Random faults of a run: broken links, message delays and lost responses.

use std::collections::HashMap;

use rand::{RngExt, rngs::StdRng};

use crate::world::{DELAY_MAX_SECONDS, TICKS_PER_SECOND};

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Endpoint {
    Host(usize),
    Store,
}

/// Network links, which can be down in each direction separately.
///
/// A link that is down loses all messages.
#[derive(Debug, Default)]
pub(crate) struct Links {
    /// By link, the tick until which it is down.
    down_until: HashMap<(Endpoint, Endpoint), u64>,
    /// By host, the tick until which responses to its writes are lost.
    responses_lost_until: HashMap<usize, u64>,
}

impl Links {
    pub(crate) fn is_up(&self, from: Endpoint, to: Endpoint, tick: u64) -> bool {
        self.down_until
            .get(&(from, to))
            .is_none_or(|until| *until <= tick)
    }

    pub(crate) fn take_down(&mut self, from: Endpoint, to: Endpoint, until: u64) {
        self.down_until.insert((from, to), until);
    }

    pub(crate) fn loses_response(&self, host: usize, tick: u64) -> bool {
        let until = self.responses_lost_until.get(&host);
        until.is_some_and(|until| *until > tick)
    }

    pub(crate) fn lose_responses(&mut self, host: usize, until: u64) {
        self.responses_lost_until.insert(host, until);
    }

    /// Draws the link faults that begin at a tick.
    pub(crate) fn draw(&mut self, rng: &mut StdRng, hosts: usize, tick: u64) {
        if rng.random_bool(0.012) {
            let (from, to) = (draw_endpoint(rng, hosts), draw_endpoint(rng, hosts));
            let until = tick + rng.random_range(20..400);
            self.take_down(from, to, until);
        }
        if rng.random_bool(0.008) {
            self.draw_store_outage(rng, hosts, tick);
        }
        if rng.random_bool(0.004) {
            let host = rng.random_range(0..hosts);
            self.lose_responses(host, tick + rng.random_range(20..400));
        }
    }

    fn draw_store_outage(&mut self, rng: &mut StdRng, hosts: usize, tick: u64) {
        for host in 0..hosts {
            if !rng.random_bool(0.7) {
                continue;
            }
            let until = tick + rng.random_range(20..300);
            if rng.random_bool(0.6) {
                self.take_down(Endpoint::Host(host), Endpoint::Store, until);
            }
            if rng.random_bool(0.6) {
                self.take_down(Endpoint::Store, Endpoint::Host(host), until);
            }
        }
    }
}

fn draw_endpoint(rng: &mut StdRng, hosts: usize) -> Endpoint {
    let index = rng.random_range(0..=hosts);
    if index == hosts {
        Endpoint::Store
    } else {
        Endpoint::Host(index)
    }
}

/// Draws the delay of a message in ticks; 3 % of messages take seconds.
pub(crate) fn draw_delay(rng: &mut StdRng) -> u64 {
    if rng.random_bool(0.03) {
        rng.random_range(TICKS_PER_SECOND..DELAY_MAX_SECONDS * TICKS_PER_SECOND)
    } else {
        rng.random_range(0..4)
    }
}
