use crate::prelude::*;

/// Sixteenths of the host's memory that responses may take until callers have
/// read them. Request bodies may take half of the memory, and responses that
/// are being received a quarter.
const MEMORY_SIXTEENTHS: u64 = 3;

/// Sixteenths of the host's memory that are left to short responses, so that
/// long ones do not keep other requests out.
const SHORT_MEMORY_SIXTEENTHS: u64 = 1;

/// Size up to which a response is short, in bytes.
const SHORT_RESPONSE_BYTES: u64 = 64 << 10;

/// Memory reserved for the response to one request, from before the request is
/// sent until the response is written.
pub(crate) struct ResponseReservation {
    context: Rc<HostContext>,
    bytes: u64,
}

impl ResponseReservation {
    /// Reserves memory for a response of the expected size. `None` if the host
    /// has none left.
    pub(crate) fn open(context: &Rc<HostContext>, expected: u64) -> Option<Self> {
        let sixteenth = (context.settings.memory_mb << 20) / 16;
        let sixteenths = match expected <= SHORT_RESPONSE_BYTES {
            true => MEMORY_SIXTEENTHS + SHORT_MEMORY_SIXTEENTHS,
            false => MEMORY_SIXTEENTHS,
        };
        let reserved = context.response_bytes.get() + expected;
        if reserved > sixteenth * sixteenths {
            return None;
        }
        context.response_bytes.set(reserved);
        Some(ResponseReservation {
            context: Rc::clone(context),
            bytes: expected,
        })
    }

    /// Sets the size of the response, once it is known.
    pub(crate) fn resize(&mut self, bytes: u64) {
        let others = self.context.response_bytes.get() - self.bytes;
        self.context.response_bytes.set(others + bytes);
        self.bytes = bytes;
    }
}

impl Drop for ResponseReservation {
    fn drop(&mut self) {
        let reserved = &self.context.response_bytes;
        reserved.set(reserved.get() - self.bytes);
    }
}
