use std::sync::{Arc, Mutex, PoisonError};

use {
    mangostep_objects::{ObjectSet, Snapshot},
    mangostep_platform::ConfigurationHead,
    sha2::{Digest, Sha256},
};

use crate::{context::HostContext, error::DaemonError};

/// A configuration in its published form, which other hosts can fetch while
/// the store does not answer them.
#[derive(Clone, Debug)]
pub(crate) struct PublishedSet {
    pub(crate) head: ConfigurationHead,
    pub(crate) body: Arc<Vec<u8>>,
}

/// The configuration in force in its published form.
///
/// Only a larger version replaces it, whether it comes from the store or from
/// a peer.
#[derive(Debug, Default)]
pub(crate) struct CurrentPublication {
    current: Mutex<Option<PublishedSet>>,
}

impl CurrentPublication {
    /// The configuration in force; `None` before the first one.
    pub(crate) fn current(&self) -> Option<PublishedSet> {
        self.current
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a configuration in force if its version is larger than the current
    /// one.
    ///
    /// # Errors
    ///
    /// Returns an error if the digest of the body differs from the head's, or
    /// if the body is not a valid set of objects.
    pub(crate) fn install(
        &self,
        context: &HostContext,
        from: &str,
        published: PublishedSet,
    ) -> Result<(), DaemonError> {
        if published.head.version <= context.snapshot.load().version() {
            return Ok(());
        }
        let snapshot = compile(from, &published)?;
        let version = published.head.version;
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if version <= context.snapshot.load().version() {
            return Ok(());
        }
        context.snapshot.store(Arc::new(snapshot));
        *current = Some(published);
        drop(current);
        let fields = [("version", version.to_string()), ("from", from.to_owned())];
        let fields = fields.each_ref().map(|(name, text)| (*name, text.as_str()));
        context.recorder.record("version-in-force", &fields);
        slog::info!(context.log, "configuration in force"; "version" => version, "from" => from);
        Ok(())
    }
}

fn compile(from: &str, published: &PublishedSet) -> Result<Snapshot, DaemonError> {
    let digest = hex_digest(&published.body);
    if digest != published.head.digest {
        return Err(DaemonError::new(
            "check digest",
            from,
            "digest of the body differs from the head",
        ));
    }
    let set: ObjectSet = serde_json::from_slice(&published.body)
        .map_err(|err| DaemonError::new("read snapshot", from, err))?;
    Ok(Snapshot::compile(published.head.version, &set))
}

fn hex_digest(body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
