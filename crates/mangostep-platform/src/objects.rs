use std::future::Future;

use crate::PlatformError;

/// The platform's object store. An object is immutable once it is stored.
pub trait ObjectStore {
    /// Stores an object under a name.
    ///
    /// # Errors
    ///
    /// After an error it is unknown whether the object was stored. Storing the
    /// same object again is safe.
    fn put(
        &self,
        name: &str,
        body: Vec<u8>,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Fetches an object; `None` if there is no object with that name.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond within the timeout or responds with
    /// an error.
    fn get(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, PlatformError>> + Send;
}
