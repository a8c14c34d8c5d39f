use std::time::Duration;

use crate::MonotonicTime;

/// Settings of a [`LapseRule`].
#[derive(Clone, Debug, PartialEq)]
pub struct LapseSettings {
    /// Shortest time without contact to the store in which an entry may lapse.
    /// A server renews its entry twice in this time, and an entry lapses after
    /// three missed renewals.
    pub outage_min: Duration,
    /// Time after the return of the store for which removed entries stay in
    /// use. With the time until a host hears of the return, it is less than the
    /// 3 s after which the host must know all servers that left.
    pub return_time: Duration,
}

impl Default for LapseSettings {
    fn default() -> Self {
        LapseSettings {
            outage_min: Duration::from_millis(3_500),
            return_time: Duration::from_millis(1_800),
        }
    }
}

/// Decides whether a removed entry may have lapsed because of a store outage.
///
/// An entry lapses when its server cannot renew it. After a store outage this
/// is no evidence against the servers, which write their entries again shortly
/// afterwards. Only an outage for the whole fleet counts: while the store
/// answers any host, it also takes the renewals of servers, and a removed entry
/// means that the server left.
#[derive(Clone, Debug, Default)]
pub struct LapseRule {
    settings: LapseSettings,
    /// When the store last answered any host, as far as this host knows.
    last_contact: Option<MonotonicTime>,
    /// When the store answered again after the last outage.
    returned: Option<MonotonicTime>,
}

impl LapseRule {
    /// Creates a rule that knows of no contact to the store.
    pub fn open(settings: LapseSettings) -> Self {
        LapseRule {
            settings,
            ..Default::default()
        }
    }

    /// Records that the store answered this host or a peer at `at`.
    pub fn record_contact(&mut self, at: MonotonicTime) {
        let Some(last) = self.last_contact.filter(|last| *last < at) else {
            self.last_contact = self.last_contact.or(Some(at));
            return;
        };
        if at.since(last) >= self.settings.outage_min {
            self.returned = Some(at);
        }
        self.last_contact = Some(at);
    }

    /// Records that the store answers from an older copy of itself since `at`.
    /// Servers write their entries of the lost time again.
    pub fn record_return(&mut self, at: MonotonicTime) {
        self.returned = Some(at);
    }

    /// Time since the store last answered any host.
    pub fn contact_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.last_contact.map(|at| now.since(at))
    }

    /// Returns the time until which entries that were removed now stay in use,
    /// or `None` if they are removed at once.
    pub fn hold_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let until = self.returned? + self.settings.return_time;
        (until > now).then_some(until)
    }
}
