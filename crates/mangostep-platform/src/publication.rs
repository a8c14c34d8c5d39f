use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    Condition, ConfigurationHead, ObjectStore, PlatformError, Row, TableStore, Transaction, Write,
    keys,
};

/// Number of latest publications whose records stay in the table.
const RETAINED_RECORDS: u64 = 1_000;

/// The record of a publication. Each version has its own row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationRecord {
    /// Version of the configuration that was published.
    pub version: u64,
    /// ID of the publication, as in [`PublicationDraft::publication`].
    pub publication: String,
    /// SHA-256 digest of the snapshot, in hexadecimal digits.
    pub digest: String,
    /// Name of the publisher, as given by the operator.
    pub author: String,
}

/// A configuration that is ready to be published.
#[derive(Clone, Debug)]
pub struct PublicationDraft {
    /// ID of this publication, by which a repeated call recognizes that the
    /// draft was already accepted.
    pub publication: String,
    /// Version in force on which the draft is based.
    pub from_version: u64,
    /// Name of the publisher, in free form.
    pub author: String,
    /// The object set as JSON text, which the hosts compile to a snapshot.
    pub body: Vec<u8>,
    /// SHA-256 digest of `body`, in hexadecimal digits.
    pub digest: String,
}

impl PublicationDraft {
    fn record(&self) -> PublicationRecord {
        PublicationRecord {
            version: self.from_version + 1,
            publication: self.publication.clone(),
            digest: self.digest.clone(),
            author: self.author.clone(),
        }
    }
}

/// The outcome of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublicationOutcome {
    /// The draft was published under this version.
    Accepted(u64),
    /// Another publication was accepted first, and the draft was not published.
    Conflict {
        /// Version that is now in force.
        current: u64,
        /// The publication that was accepted under the version of the draft;
        /// absent if its record was removed or cannot be parsed.
        winner: Option<PublicationRecord>,
    },
}

/// Number and delay of a publisher's retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublisherSettings {
    /// Maximum number of attempts at storing the snapshot, and of attempts at
    /// updating the head row.
    pub max_attempts: u32,
    /// Delay between a failed attempt and the next one.
    pub retry_delay: Duration,
}

impl Default for PublisherSettings {
    fn default() -> Self {
        PublisherSettings {
            max_attempts: 20,
            retry_delay: Duration::from_millis(500),
        }
    }
}

/// Publishes configurations by compare-and-set on the head row.
#[derive(Debug)]
pub struct ConfigurationPublisher<'s, S> {
    store: &'s S,
    fleet: &'s str,
    settings: PublisherSettings,
}

impl<'s, S: TableStore + ObjectStore> ConfigurationPublisher<'s, S> {
    /// Creates a publisher for a fleet.
    pub fn new(store: &'s S, fleet: &'s str, settings: PublisherSettings) -> Self {
        ConfigurationPublisher {
            store,
            fleet,
            settings,
        }
    }

    /// Reads the head row, which has version 0 before the first publication.
    ///
    /// # Errors
    ///
    /// Fails if the table service does not respond or the row is invalid.
    pub async fn head(&self) -> Result<ConfigurationHead, PlatformError> {
        let key = keys::head(self.fleet);
        let read = Transaction {
            reads: vec![key.clone()],
            ..Default::default()
        };
        let result = self.store.transact(&read).await?;
        parse_head(result.row(&key))
    }

    /// Publishes a draft, unless it was published by an earlier call.
    ///
    /// Every write is conditional on the version of the head row that was read
    /// before. A write whose response was lost can therefore be repeated: at
    /// most one of the writes takes effect.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond after all attempts. The draft may
    /// have been accepted; publishing the same draft again resolves this.
    pub async fn publish(
        &self,
        draft: &PublicationDraft,
    ) -> Result<PublicationOutcome, PlatformError> {
        self.put_snapshot(draft).await?;
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.attempt_publication(draft).await {
                Ok(Some(outcome)) => return Ok(outcome),
                // The head row changed between the read and the write.
                Ok(None) => {}
                Err(err) if attempts >= self.settings.max_attempts => return Err(err),
                Err(_) => tokio::time::sleep(self.settings.retry_delay).await,
            }
        }
    }

    async fn put_snapshot(&self, draft: &PublicationDraft) -> Result<(), PlatformError> {
        let name = keys::snapshot(self.fleet, &draft.digest);
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.store.put(&name, draft.body.clone()).await {
                Ok(()) => return Ok(()),
                Err(err) if attempts >= self.settings.max_attempts => return Err(err),
                Err(_) => tokio::time::sleep(self.settings.retry_delay).await,
            }
        }
    }

    async fn attempt_publication(
        &self,
        draft: &PublicationDraft,
    ) -> Result<Option<PublicationOutcome>, PlatformError> {
        let record = draft.record();
        let head_key = keys::head(self.fleet);
        let record_key = keys::publication(self.fleet, record.version);
        let read = Transaction {
            reads: vec![head_key.clone(), record_key.clone()],
            ..Default::default()
        };
        let result = self.store.transact(&read).await?;
        let head_row = result.row(&head_key);
        let head = parse_head(head_row)?;
        let record_text = result.row(&record_key).and_then(|row| row.value.as_deref());
        let accepted =
            record_text.and_then(|text| serde_json::from_str::<PublicationRecord>(text).ok());
        if accepted
            .as_ref()
            .is_some_and(|accepted| accepted.publication == draft.publication)
        {
            return Ok(Some(PublicationOutcome::Accepted(record.version)));
        }
        if head.version != draft.from_version {
            let outcome = PublicationOutcome::Conflict {
                current: head.version,
                winner: accepted,
            };
            return Ok(Some(outcome));
        }
        let version = head_row.map_or(0, |row| row.version);
        let write = self.head_update(
            draft,
            &record,
            Condition {
                key: head_key,
                version,
            },
        );
        let result = self.store.transact(&write).await?;
        Ok(result
            .committed
            .then_some(PublicationOutcome::Accepted(record.version)))
    }

    fn head_update(
        &self,
        draft: &PublicationDraft,
        record: &PublicationRecord,
        head_unchanged: Condition,
    ) -> Transaction {
        let head = ConfigurationHead {
            version: record.version,
            digest: draft.digest.clone(),
            publication: draft.publication.clone(),
        };
        let json_text = |result: serde_json::Result<String>| result.ok();
        let mut writes = vec![
            Write {
                key: head_unchanged.key.clone(),
                value: json_text(serde_json::to_string(&head)),
            },
            Write {
                key: keys::publication(self.fleet, record.version),
                value: json_text(serde_json::to_string(record)),
            },
        ];
        if let Some(expired) = record.version.checked_sub(RETAINED_RECORDS) {
            writes.push(Write {
                key: keys::publication(self.fleet, expired),
                value: None,
            });
        }
        Transaction {
            conditions: vec![head_unchanged],
            writes,
            ..Default::default()
        }
    }
}

fn parse_head(row: Option<&Row>) -> Result<ConfigurationHead, PlatformError> {
    match row.and_then(|row| row.value.as_deref()) {
        Some(text) => ConfigurationHead::parse(text),
        None => Ok(ConfigurationHead::default()),
    }
}
