use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    Condition, ConfigurationHead, ObjectStore, PlatformError, Row, TableStore, Transaction, Write,
    keys,
};

/// Publications whose records are kept in the table.
const RECORDS_KEPT: u64 = 1_000;

/// The record of one publication, in a row of its own for each version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationRecord {
    /// Version that it made.
    pub version: u64,
    /// Drawn by the publisher.
    pub publication: String,
    /// SHA-256 of the snapshot, in hexadecimal digits.
    pub digest: String,
    /// Who published it, as that operator wrote it.
    pub author: String,
}

/// A set of objects that is ready to be published.
#[derive(Clone, Debug)]
pub struct PublicationDraft {
    /// Names this publication; the same name never publishes twice.
    pub publication: String,
    /// The version that the operator started from.
    pub from_version: u64,
    /// Who publishes.
    pub author: String,
    /// The snapshot, as JSON.
    pub body: Vec<u8>,
    /// SHA-256 of the snapshot, in hexadecimal digits.
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

/// What became of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublicationOutcome {
    /// It is accepted under this version.
    Accepted(u64),
    /// Another publication came first; nothing was changed.
    Conflict {
        /// The version in force.
        current: u64,
        /// The publication that took the version this one was for; absent
        /// when its record is no longer kept.
        winner: Option<PublicationRecord>,
    },
}

/// How long a publisher attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublisherSettings {
    /// Tries of each step.
    pub max_attempts: u32,
    /// Pause between two attempts.
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

/// Publishes sets of objects by compare-and-set on the head row.
#[derive(Debug)]
pub struct ConfigurationPublisher<'s, S> {
    store: &'s S,
    fleet: &'s str,
    settings: PublisherSettings,
}

impl<'s, S: TableStore + ObjectStore> ConfigurationPublisher<'s, S> {
    /// Makes a publisher for a fleet.
    pub fn new(store: &'s S, fleet: &'s str, settings: PublisherSettings) -> Self {
        ConfigurationPublisher {
            store,
            fleet,
            settings,
        }
    }

    /// Reads the head row; version 0 before the first publication.
    ///
    /// # Errors
    ///
    /// Fails when the table service gives no answer.
    pub async fn head(&self) -> Result<ConfigurationHead, PlatformError> {
        let key = keys::head(self.fleet);
        let read = Transaction {
            reads: vec![key.clone()],
            ..Default::default()
        };
        let answer = self.store.transact(&read).await?;
        parse_head(answer.row(&key))
    }

    /// Publishes a draft, or finds that it was published before.
    ///
    /// Every write is conditional on the head row being as the operator saw
    /// it, so a write whose answer was lost is safely sent again: at most one
    /// of them takes effect.
    ///
    /// # Errors
    ///
    /// Fails when the platform gives no answer in all attempts. The publication
    /// may then have been accepted; publishing the same draft again settles
    /// it.
    pub async fn publish(
        &self,
        draft: &PublicationDraft,
    ) -> Result<PublicationOutcome, PlatformError> {
        self.put_snapshot(draft).await?;
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.try_publish(draft).await {
                Ok(Some(outcome)) => return Ok(outcome),
                // The head moved between the read and the write.
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

    async fn try_publish(
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
        let answer = self.store.transact(&read).await?;
        let head_row = answer.row(&head_key);
        let head = parse_head(head_row)?;
        let known = answer.row(&record_key).and_then(|row| row.value.as_deref());
        let known = known.and_then(|text| serde_json::from_str::<PublicationRecord>(text).ok());
        if known
            .as_ref()
            .is_some_and(|known| known.publication == draft.publication)
        {
            return Ok(Some(PublicationOutcome::Accepted(record.version)));
        }
        if head.version != draft.from_version {
            let outcome = PublicationOutcome::Conflict {
                current: head.version,
                winner: known,
            };
            return Ok(Some(outcome));
        }
        let version = head_row.map_or(0, |row| row.version);
        let write = self.head_move(
            draft,
            &record,
            Condition {
                key: head_key,
                version,
            },
        );
        let answer = self.store.transact(&write).await?;
        Ok(answer
            .committed
            .then_some(PublicationOutcome::Accepted(record.version)))
    }

    fn head_move(
        &self,
        draft: &PublicationDraft,
        record: &PublicationRecord,
        unchanged: Condition,
    ) -> Transaction {
        let head = ConfigurationHead {
            version: record.version,
            digest: draft.digest.clone(),
            publication: draft.publication.clone(),
        };
        let text = |value: serde_json::Result<String>| value.ok();
        let mut writes = vec![
            Write {
                key: unchanged.key.clone(),
                value: text(serde_json::to_string(&head)),
            },
            Write {
                key: keys::publication(self.fleet, record.version),
                value: text(serde_json::to_string(record)),
            },
        ];
        if let Some(old) = record.version.checked_sub(RECORDS_KEPT) {
            writes.push(Write {
                key: keys::publication(self.fleet, old),
                value: None,
            });
        }
        Transaction {
            conditions: vec![unchanged],
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
