use mangostep_objects::WeightedService;

/// Step between two turns; the golden ratio spreads any number of turns
/// evenly over the weights.
const STEP: f64 = 0.618_033_988_749_895;

/// Deals the requests of a route over its services by weight.
///
/// Turns are spread evenly, so that a host that serves few requests still
/// keeps the weights.
#[derive(Clone, Copy, Debug)]
pub struct TrafficSplitter(f64);

impl TrafficSplitter {
    /// Opens a sequence at a random `start` from 0 to 1.
    pub fn open(start: f64) -> Self {
        TrafficSplitter(start.fract().abs())
    }

    /// Picks the service for the next request; none without a weight.
    pub fn pick<'s>(&mut self, parts: &'s [WeightedService]) -> Option<&'s str> {
        self.0 = (self.0 + STEP).fract();
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        let mut left = self.0 * total;
        let weighted = || parts.iter().filter(|part| part.weight > 0.0);
        for part in weighted() {
            left -= part.weight;
            if left < 0.0 {
                return Some(&part.service);
            }
        }
        weighted().next_back().map(|part| part.service.as_str())
    }
}
