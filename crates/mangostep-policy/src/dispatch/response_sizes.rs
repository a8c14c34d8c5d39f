use std::collections::HashMap;

/// Weight of the latest response in the mean size. A few dozen responses
/// replace an earlier mean.
const LATEST_WEIGHT: f64 = 0.05;

/// Mean sizes of the response bodies of each service.
///
/// A host reserves memory for a response before it sends the request, when the
/// size of the response is not known.
#[derive(Clone, Debug, Default)]
pub struct ResponseSizes {
    means: HashMap<String, f64>,
}

impl ResponseSizes {
    /// Records the size of a response body, in bytes.
    pub fn record(&mut self, service: &str, bytes: u64) {
        let size = bytes as f64;
        match self.means.get_mut(service) {
            Some(mean) => *mean += (size - *mean) * LATEST_WEIGHT,
            None => {
                self.means.insert(service.to_owned(), size);
            }
        }
    }

    /// Size that is expected of the next response body, in bytes; 0 before the
    /// first response.
    pub fn expected(&self, service: &str) -> u64 {
        self.means.get(service).map_or(0, |mean| *mean as u64)
    }
}
