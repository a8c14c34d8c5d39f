use std::future::Future;

use crate::PlatformError;

/// The platform's object store; an object under a name never changes.
pub trait ObjectStore {
    /// Stores an object.
    ///
    /// # Errors
    ///
    /// An error does not tell whether the object was stored; storing the
    /// same object again is harmless.
    fn put(
        &self,
        name: &str,
        body: Vec<u8>,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Fetches an object, or nothing when there is none by that name.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached within its deadline.
    fn get(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, PlatformError>> + Send;
}
