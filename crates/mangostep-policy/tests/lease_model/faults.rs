//! What fails in a run: links, delays, pauses and lost answers.

use std::collections::HashMap;

use rand::{RngExt, rngs::StdRng};

use crate::world::{LONG_SECONDS, TICKS_PER_SECOND};

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum End {
    Host(usize),
    Store,
}

/// Links that lose everything, each direction on its own, until a tick.
#[derive(Debug, Default)]
pub(crate) struct Links {
    cut_until: HashMap<(End, End), u64>,
    /// Hosts whose written renewals are not answered, until a tick.
    answers_lost_until: HashMap<usize, u64>,
}

impl Links {
    pub(crate) fn is_up(&self, from: End, to: End, tick: u64) -> bool {
        self.cut_until
            .get(&(from, to))
            .is_none_or(|until| *until <= tick)
    }

    pub(crate) fn cut(&mut self, from: End, to: End, until: u64) {
        self.cut_until.insert((from, to), until);
    }

    pub(crate) fn loses_answer(&self, host: usize, tick: u64) -> bool {
        let until = self.answers_lost_until.get(&host);
        until.is_some_and(|until| *until > tick)
    }

    pub(crate) fn lose_answers(&mut self, host: usize, until: u64) {
        self.answers_lost_until.insert(host, until);
    }

    /// Draws new faults of links for a tick.
    pub(crate) fn draw(&mut self, rng: &mut StdRng, hosts: usize, tick: u64) {
        if rng.random_bool(0.012) {
            let (from, to) = (draw_end(rng, hosts), draw_end(rng, hosts));
            let until = tick + rng.random_range(20..400);
            self.cut(from, to, until);
        }
        if rng.random_bool(0.008) {
            self.draw_store_outage(rng, hosts, tick);
        }
        if rng.random_bool(0.004) {
            let host = rng.random_range(0..hosts);
            self.lose_answers(host, tick + rng.random_range(20..400));
        }
    }

    fn draw_store_outage(&mut self, rng: &mut StdRng, hosts: usize, tick: u64) {
        for host in 0..hosts {
            if !rng.random_bool(0.7) {
                continue;
            }
            let until = tick + rng.random_range(20..300);
            if rng.random_bool(0.6) {
                self.cut(End::Host(host), End::Store, until);
            }
            if rng.random_bool(0.6) {
                self.cut(End::Store, End::Host(host), until);
            }
        }
    }
}

fn draw_end(rng: &mut StdRng, hosts: usize) -> End {
    let index = rng.random_range(0..=hosts);
    if index == hosts {
        End::Store
    } else {
        End::Host(index)
    }
}

/// How long a message takes, in ticks; a few take seconds.
pub(crate) fn draw_delay(rng: &mut StdRng) -> u64 {
    if rng.random_bool(0.03) {
        rng.random_range(TICKS_PER_SECOND..LONG_SECONDS * TICKS_PER_SECOND)
    } else {
        rng.random_range(0..4)
    }
}
