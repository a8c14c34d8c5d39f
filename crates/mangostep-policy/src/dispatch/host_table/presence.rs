//! Which hosts of the fleet are in contact with this one.
//!
//! A limit home may grant only what no other home grants. Two homes that do not
//! hear from each other agree without a message: each grants the share of a
//! limit that belongs to the hosts in contact with it. Hosts that are in contact
//! with neither, or that have stopped without notice, hold their shares back.

use std::time::Duration;

use crate::{
    MonotonicTime,
    dispatch::{HostTable, ZonePresence},
};

/// Part of its share that a substitute grants while the home that it replaces may
/// still grant the whole limit on the other side of a network partition.
const BEGIN_SHARE: f64 = 0.5;

/// Time for which the largest count of a zone's live hosts is used. Watchers that
/// have just taken over have not heard from all hosts.
const COUNT_HOLD_TIME: Duration = Duration::from_millis(1_200);

/// The latest counts of a zone's hosts.
#[derive(Clone, Copy, Debug)]
pub(super) struct CountedZone {
    live: usize,
    stopped: usize,
    /// When this many live hosts were last counted.
    counted: MonotonicTime,
    /// When the zone was last heard from.
    heard: MonotonicTime,
    /// When both zones last heard from each other: a partition may let
    /// messages pass in one direction.
    contact: Option<MonotonicTime>,
}

impl CountedZone {
    fn of(presence: &ZonePresence, contact_ms: Option<u32>, now: MonotonicTime) -> Self {
        let before = |millis: u32| now - Duration::from_millis(millis.into());
        CountedZone {
            live: presence.live.into(),
            stopped: presence.stopped.into(),
            counted: before(presence.counted_ms),
            heard: before(presence.heard_ms),
            contact: contact_ms.map(before),
        }
    }

    fn presence(&self, zone: &str, now: MonotonicTime) -> ZonePresence {
        let count = |hosts: usize| u16::try_from(hosts).unwrap_or(u16::MAX);
        let age_ms = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        ZonePresence {
            zone: zone.to_owned(),
            live: count(self.live),
            stopped: count(self.stopped),
            counted_ms: age_ms(self.counted),
            heard_ms: age_ms(self.heard),
            contact_ms: self.contact.map(age_ms),
        }
    }

    /// Adds a later count of the zone.
    fn merge(self, later: Self) -> Self {
        let is_less = later.live < self.live && later.heard < self.counted + COUNT_HOLD_TIME;
        let counts = match is_less || later.heard < self.heard {
            true => self,
            false => later,
        };
        CountedZone {
            heard: self.heard.max(later.heard),
            contact: self.contact.max(later.contact),
            ..counts
        }
    }
}

impl HostTable {
    /// Counts of all zones that this host knows, for its reports. Empty unless
    /// it is a watcher.
    pub fn zone_presences(&self, now: MonotonicTime) -> Vec<ZonePresence> {
        if !self.own_report.is_watcher {
            return Vec::new();
        }
        let zones = self.zones.iter();
        zones
            .map(|(zone, counted)| counted.presence(zone, now))
            .collect()
    }

    /// Records the counts in a report from a host of `sender_zone`: those of
    /// all zones if it is this host's zone, otherwise the one of the sender's.
    pub fn record_presences(
        &mut self,
        sender_zone: &str,
        presences: &[ZonePresence],
        now: MonotonicTime,
    ) {
        let is_own_zone = sender_zone == self.own.zone;
        let own = presences.iter().find(|known| known.zone == self.own.zone);
        let contact_ms = own.map(|own| own.heard_ms);
        for presence in presences {
            let counted = match is_own_zone {
                true => CountedZone::of(presence, presence.contact_ms, now),
                false if presence.zone == sender_zone => CountedZone::of(presence, contact_ms, now),
                false => continue,
            };
            let known = self.zones.get(&presence.zone);
            let merged = known.map_or(counted, |known| known.merge(counted));
            self.zones.insert(presence.zone.clone(), merged);
        }
        // The sender may not have counted its zone itself.
        if let Some(known) = self.zones.get_mut(sender_zone).filter(|_| !is_own_zone) {
            let contact = contact_ms.map(|millis| now - Duration::from_millis(millis.into()));
            known.heard = now;
            known.contact = known.contact.max(contact);
        }
    }

    /// Records a request for a token from a host of a zone.
    pub fn record_contact(&mut self, zone: &str, now: MonotonicTime) {
        match self.contacts.get_mut(zone) {
            Some(contact) => *contact = now,
            None => {
                self.contacts.insert(zone.to_owned(), now);
            }
        }
    }

    /// Counts the hosts of this host's zone.
    pub(super) fn count_own_zone(&mut self, now: MonotonicTime) {
        let mut counted = CountedZone {
            live: 0,
            stopped: 0,
            counted: now,
            heard: now,
            contact: Some(now),
        };
        for row in self.rows.values().filter(|row| row.zone == self.own.zone) {
            if self.is_alive(&row.name, now) {
                counted.live += 1;
            } else if self.report(&row.name).is_some_and(|last| last.is_leaving) {
                counted.stopped += 1;
            }
        }
        let known = self.zones.get(&self.own.zone);
        let merged = known.map_or(counted, |known| known.merge(counted));
        self.zones.insert(self.own.zone.clone(), merged);
    }

    /// Whether a zone is in contact with this host: both heard from each other
    /// recently, or nothing is known of the zone yet.
    pub fn is_zone_heard(&self, zone: &str, now: MonotonicTime) -> bool {
        let contact = self.zones.get(zone).and_then(|known| known.contact);
        zone == self.own.zone || contact.is_none_or(|at| self.is_recent(at, now))
    }

    /// Whether a zone is known to be in contact with this host.
    pub(super) fn is_in_recent_contact(&self, zone: &str, now: MonotonicTime) -> bool {
        let contact = self.zones.get(zone).and_then(|known| known.contact);
        contact.is_some_and(|at| self.is_recent(at, now))
    }

    fn is_recent(&self, at: MonotonicTime, now: MonotonicTime) -> bool {
        now.since(at) < self.settings.contact_timeout
    }

    /// Share of all hosts that are in contact with this one, from 0 to 1. Hosts
    /// that announced their stop do not count.
    ///
    /// With `since`, a zone counts only if it was heard from after that time:
    /// this host then acts in place of a limit home that did not respond, which
    /// may be on the other side of a network partition.
    pub fn contact_share(&self, since: Option<MonotonicTime>, now: MonotonicTime) -> f64 {
        let (mut live, mut known) = (0, 0);
        for (zone, size) in &self.zone_sizes {
            let counted = self.zones.get(zone);
            let stopped = counted.map_or(0, |counted| counted.stopped);
            let size = size.saturating_sub(stopped);
            known += size;
            if *zone == self.own.zone || self.is_in_contact(zone, since, now) {
                live += counted.map_or(size, |counted| counted.live.min(size));
            }
        }
        let share = match known {
            0 => 1.0,
            _ => (live.max(1) as f64 / known as f64).min(1.0),
        };
        // The home on the other side has not noticed the partition yet.
        let timeout = self.settings.home_contact_timeout;
        match since.is_some_and(|since| now.since(since) < timeout) {
            true => share * BEGIN_SHARE,
            false => share,
        }
    }

    fn is_in_contact(&self, zone: &str, since: Option<MonotonicTime>, now: MonotonicTime) -> bool {
        // Requests for tokens come sooner than counts, but are also sent by
        // hosts that do not receive the responses.
        let begun = since.unwrap_or(self.opened);
        let is_begin = now.since(begun) < self.settings.contact_begin;
        let asked = self.contacts.get(zone).filter(|_| is_begin).copied();
        let counted = self.zones.get(zone);
        let heard = asked.max(counted.map(|known| known.heard));
        let contact = asked.max(counted.and_then(|known| known.contact));
        let timeout = self.settings.home_contact_timeout;
        heard.is_some_and(|at| now.since(at) < timeout)
            && contact
                .is_some_and(|at| self.is_recent(at, now) && since.is_none_or(|since| at >= since))
    }
}
