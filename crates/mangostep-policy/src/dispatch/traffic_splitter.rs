use mangostep_objects::WeightedService;

/// Phase increment per request. The golden ratio spreads any number of
/// requests evenly over the weights.
const PHASE_STEP: f64 = 0.618_033_988_749_895;

/// Splits the requests of a route among its services by weight.
///
/// The sequence is evenly distributed, so that the split matches the weights
/// even on a host with few requests.
#[derive(Clone, Copy, Debug)]
pub struct TrafficSplitter(f64);

impl TrafficSplitter {
    /// Creates a splitter whose sequence starts at the phase `start`, a random
    /// number from 0 to 1.
    pub fn open(start: f64) -> Self {
        TrafficSplitter(start.fract().abs())
    }

    /// Picks the service for the next request, or `None` if no service has a
    /// positive weight.
    pub fn pick<'s>(&mut self, parts: &'s [WeightedService]) -> Option<&'s str> {
        self.0 = (self.0 + PHASE_STEP).fract();
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        let mut remaining = self.0 * total;
        let weighted = || parts.iter().filter(|part| part.weight > 0.0);
        for part in weighted() {
            remaining -= part.weight;
            if remaining < 0.0 {
                return Some(&part.service);
            }
        }
        weighted().next_back().map(|part| part.service.as_str())
    }
}
