use std::time::Duration;

/// What the backend servers of a service can bear, as far as this host knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceRoom {
    /// Slots of the servers that take work: less what is down, leaving, cold
    /// or probably failing.
    pub slots: f64,
    /// Slots of all servers that are listed.
    pub listed_slots: f64,
    /// Mean duration of a request.
    pub duration: Duration,
}

impl ServiceRoom {
    /// Requests per second that the slots bear; zero if it is unknown.
    pub fn rate_per_s(&self) -> f64 {
        match self.duration.is_zero() {
            true => 0.0,
            false => self.slots / self.duration.as_secs_f64(),
        }
    }
}
