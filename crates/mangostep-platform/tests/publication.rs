//! Publications race, and answers to them are lost.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use mangostep_platform::{
    ConfigurationPublisher, ObjectStore, PlatformError, PublicationDraft, PublicationOutcome,
    PublisherSettings, Row, TableStore, Transaction, TransactionResult, Write,
};

/// A table in memory that can lose answers, before or after the effect.
#[derive(Default)]
struct LossyStore {
    rows: Mutex<HashMap<String, (u64, Option<String>)>>,
    /// What happens to the next writes.
    faults: Mutex<Vec<WriteFault>>,
}

#[derive(Clone, Copy, PartialEq)]
enum WriteFault {
    RequestLost,
    AnswerLost,
    /// The write takes effect, its answer is lost, and another operator
    /// publishes before the first reads back.
    AnswerLostThenRace,
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
            .all(|c| version(&rows, &c.key) == c.version);
        if committed {
            for write in &transaction.writes {
                let next = version(&rows, &write.key) + 1;
                rows.insert(write.key.clone(), (next, write.value.clone()));
            }
        }
        let read = transaction.reads.iter().map(|key| {
            let (version, value) = rows.get(key).cloned().unwrap_or_default();
            Row {
                key: key.clone(),
                version,
                value,
            }
        });
        TransactionResult {
            committed,
            rows: read.collect(),
        }
    }
}

fn lost() -> PlatformError {
    PlatformError::new("transact", "store", false, "answer lost")
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
            Some(WriteFault::RequestLost) => Err(lost()),
            Some(WriteFault::AnswerLost) => {
                self.apply(transaction);
                Err(lost())
            }
            Some(WriteFault::AnswerLostThenRace) => {
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
                Err(lost())
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
async fn of_two_racing_operators_one_is_told_what_it_lost_to() {
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
async fn a_lost_answer_publishes_once_and_is_told_as_accepted() {
    for faults in [
        vec![WriteFault::AnswerLost],
        vec![WriteFault::RequestLost],
        vec![WriteFault::AnswerLost, WriteFault::RequestLost],
    ] {
        let store = LossyStore::with_faults(&faults);
        let outcome = publisher(&store).publish(&draft("p1", 0)).await.unwrap();
        assert_eq!(outcome, PublicationOutcome::Accepted(1));
        assert_eq!(publisher(&store).head().await.unwrap().version, 1);
    }
}

#[tokio::test]
async fn a_lost_answer_is_settled_after_another_publication() {
    let store = LossyStore::with_faults(&[WriteFault::AnswerLostThenRace]);
    let outcome = publisher(&store).publish(&draft("p1", 0)).await.unwrap();
    assert_eq!(outcome, PublicationOutcome::Accepted(1));
    assert_eq!(publisher(&store).head().await.unwrap().version, 2);
}

#[tokio::test]
async fn a_store_that_never_answers_leaves_the_outcome_open() {
    let store = LossyStore::with_faults(&[WriteFault::RequestLost; 3]);
    assert!(publisher(&store).publish(&draft("p1", 0)).await.is_err());
    let again = publisher(&store).publish(&draft("p1", 0)).await.unwrap();
    assert_eq!(again, PublicationOutcome::Accepted(1));
}
