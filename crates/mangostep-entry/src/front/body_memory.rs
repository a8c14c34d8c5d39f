use crate::prelude::*;

/// Divisor of the host's memory: a quarter of it may hold the bodies of requests
/// that are being received or in flight.
const MEMORY_DIVISOR: u64 = 4;

/// Divisor of the host's memory: a sixteenth of it is left to short bodies, so
/// that long ones do not keep other requests out.
const SHORT_MEMORY_DIVISOR: u64 = 16;

/// Size up to which a body is short, in bytes.
const SHORT_BODY_BYTES: u64 = 64 << 10;

/// Memory reserved for the body of one request, from its head to its end.
pub(super) struct BodyReservation {
    context: Rc<HostContext>,
    bytes: u64,
}

impl BodyReservation {
    pub(super) fn open(context: &Rc<HostContext>) -> Self {
        BodyReservation {
            context: Rc::clone(context),
            bytes: 0,
        }
    }

    /// Changes the size of the reservation. Returns whether the host's memory
    /// suffices; otherwise the reservation stays as it is.
    pub(super) fn resize(&mut self, bytes: u64) -> bool {
        let memory = self.context.settings.memory_mb << 20;
        let limit = match bytes <= SHORT_BODY_BYTES {
            true => memory / MEMORY_DIVISOR + memory / SHORT_MEMORY_DIVISOR,
            false => memory / MEMORY_DIVISOR,
        };
        let buffered = self.context.buffered_bytes.get() - self.bytes + bytes;
        if buffered > limit && bytes > self.bytes {
            return false;
        }
        self.context.buffered_bytes.set(buffered);
        self.bytes = bytes;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let buffered = self.context.buffered_bytes.get();
        self.context.buffered_bytes.set(buffered - self.bytes);
    }
}
