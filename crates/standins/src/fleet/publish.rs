use std::{net::SocketAddr, time::Duration};

use {
    mangostep_objects::ObjectSet,
    mangostep_platform::{
        ConfigurationPublisher, PlatformClient, PlatformError, PlatformSettings, PublicationDraft,
        PublicationOutcome, PublisherSettings,
    },
    sha2::{Digest, Sha256},
};

use crate::StandinError;

/// Puts a set into force and returns its version.
pub(crate) async fn publish(
    platform: SocketAddr,
    fleet: &str,
    set: &ObjectSet,
) -> Result<u64, StandinError> {
    let failed = |err: PlatformError| StandinError::new("publish", platform, err);
    let base = format!("http://{platform}");
    let client = PlatformClient::open(PlatformSettings {
        table: base.clone(),
        objects: base.clone(),
        directory: base,
        client: "harness".to_owned(),
        call_timeout: Duration::from_secs(5),
        ..Default::default()
    })
    .map_err(failed)?;
    let publisher = ConfigurationPublisher::new(&client, fleet, PublisherSettings::default());
    let head = publisher.head().await.map_err(failed)?;
    let body =
        serde_json::to_vec(set).map_err(|err| StandinError::new("publish", platform, err))?;
    let digest = hex::encode(Sha256::digest(&body));
    let draft = PublicationDraft {
        publication: format!("harness-{}-{digest}", head.version),
        from_version: head.version,
        author: "harness".to_owned(),
        body,
        digest,
    };
    match publisher.publish(&draft).await.map_err(failed)? {
        PublicationOutcome::Accepted(version) => Ok(version),
        PublicationOutcome::Conflict { current, .. } => {
            let message = format!("version {current} came first");
            Err(StandinError::new("publish", platform, message))
        }
    }
}
