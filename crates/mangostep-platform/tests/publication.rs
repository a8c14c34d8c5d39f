//! Publication with competing operators and with lost requests and responses.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use mangostep_platform::{
    ConfigurationPublisher, ObjectStore, PlatformError, PublicationDraft, PublicationOutcome,
    PublisherSettings, Row, TableStore, Transaction, TransactionResult, Write,
};

/// A stub store in memory that can lose requests and responses.
#[derive(Default)]
struct LossyStore {
    rows: Mutex<HashMap<String, (u64, Option<String>)>>,
    /// Faults of the next transactions with writes; the last one comes first.
    faults: Mutex<Vec<WriteFault>>,
}

#[derive(Clone, Copy, PartialEq)]
enum WriteFault {
    RequestLost,
    ResponseLost,
    /// The write takes effect, its response is lost, and another operator
    /// publishes before the first one reads the rows.
    ResponseLostThenRace,
}

impl LossyStore {
    fn with_faults(faults: &[WriteFault]) -> Self {
        LossyStore {
            faults: Mutex::new(faults.to_vec()),
            ..Default::default()
        }
    }

    fn apply(&self, transaction: &Transaction) -> TransactionResult {
        let mut rows = self.rows.lock().unwrap();
        let version = |rows: &HashMap<String, (u64, Option<String>)>, key: &str| {
            rows.get(key).map_or(0, |(version, _)| *version)
        };
        let committed = transaction
            .conditions
            .iter()
            .all(|condition| version(&rows, &condition.key) == condition.version);
        if committed {
            for write in &transaction.writes {
                let next = version(&rows, &write.key) + 1;
                rows.insert(write.key.clone(), (next, write.value.clone()));
            }
        }
        let read_rows = transaction.reads.iter().map(|key| {
            let (version, value) = rows.get(key).cloned().unwrap_or_default();
            Row {
                key: key.clone(),
                version,
                value,
            }
        });
        TransactionResult {
            committed,
            rows: read_rows.collect(),
        }
    }
}

fn response_lost() -> PlatformError {
    PlatformError::new("transact", "store", false, "response lost")
}

impl TableStore for LossyStore {
    async fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionResult, PlatformError> {
        if transaction.writes.is_empty() {
            return Ok(self.apply(transaction));
        }
        let fault = self.faults.lock().unwrap().pop();
        match fault {
            None => Ok(self.apply(transaction)),
            Some(WriteFault::RequestLost) => Err(response_lost()),
            Some(WriteFault::ResponseLost) => {
                self.apply(transaction);
                Err(response_lost())
            }
            Some(WriteFault::ResponseLostThenRace) => {
                self.apply(transaction);
                let head = r#"{"version":2,"digest":"d","publication":"racer"}"#;
                let write = Write {
                    key: "f/head".to_owned(),
                    value: Some(head.to_owned()),
                };
                self.apply(&Transaction {
                    writes: vec![write],
                    ..Default::default()
                });
                Err(response_lost())
            }
        }
    }
}

impl ObjectStore for LossyStore {
    async fn put(&self, _name: &str, _body: Vec<u8>) -> Result<(), PlatformError> {
        Ok(())
    }

    async fn get(&self, _name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        Ok(None)
    }
}

fn publisher(store: &LossyStore) -> ConfigurationPublisher<'_, LossyStore> {
    let settings = PublisherSettings {
        max_attempts: 3,
        retry_delay: Duration::from_millis(1),
    };
    ConfigurationPublisher::new(store, "f", settings)
}

fn draft(publication: &str, from_version: u64) -> PublicationDraft {
    PublicationDraft {
        publication: publication.to_owned(),
        from_version,
        author: format!("operator of {publication}"),
        body: b"{}".to_vec(),
        digest: "d".to_owned(),
    }
}

#[tokio::test]
async fn conflict_reports_the_publication_that_was_accepted_first() {
    let store = LossyStore::default();
    let first = publisher(&store).publish(&draft("p1", 0)).await.unwrap();
    assert_eq!(first, PublicationOutcome::Accepted(1));
    let second = publisher(&store).publish(&draft("p2", 0)).await.unwrap();
    let PublicationOutcome::Conflict {
        current: 1,
        winner: Some(winner),
    } = second
    else {
        panic!("{second:?}")
    };
    assert_eq!(
        (winner.publication.as_str(), winner.author.as_str()),
        ("p1", "operator of p1")
    );
}

#[tokio::test]
async fn draft_is_accepted_once_after_lost_requests_and_responses() {
    for faults in [
        vec![WriteFault::ResponseLost],
        vec![WriteFault::RequestLost],
        vec![WriteFault::ResponseLost, WriteFault::RequestLost],
    ] {
        let store = LossyStore::with_faults(&faults);
        let outcome = publisher(&store).publish(&draft("p1", 0)).await.unwrap();
        assert_eq!(outcome, PublicationOutcome::Accepted(1));
        assert_eq!(publisher(&store).head().await.unwrap().version, 1);
    }
}

#[tokio::test]
async fn draft_is_accepted_although_another_publication_followed_a_lost_response() {
    let store = LossyStore::with_faults(&[WriteFault::ResponseLostThenRace]);
    let outcome = publisher(&store).publish(&draft("p1", 0)).await.unwrap();
    assert_eq!(outcome, PublicationOutcome::Accepted(1));
    assert_eq!(publisher(&store).head().await.unwrap().version, 2);
}

#[tokio::test]
async fn publishing_again_resolves_an_unknown_outcome() {
    let store = LossyStore::with_faults(&[WriteFault::RequestLost; 3]);
    assert!(publisher(&store).publish(&draft("p1", 0)).await.is_err());
    let again = publisher(&store).publish(&draft("p1", 0)).await.unwrap();
    assert_eq!(again, PublicationOutcome::Accepted(1));
}
