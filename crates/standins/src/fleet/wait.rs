use std::{
    future::Future,
    time::{Duration, Instant},
};

use crate::StandinError;

const CHECK_EVERY: Duration = Duration::from_millis(20);

/// Checks a condition until it holds.
///
/// # Errors
///
/// Fails when it does not hold within the limit; `what` is part of the
/// message.
pub async fn wait_until<F>(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> F,
) -> Result<(), StandinError>
where
    F: Future<Output = bool>,
{
    let end = Instant::now() + limit;
    loop {
        if condition().await {
            return Ok(());
        }
        if Instant::now() >= end {
            let message = format!("does not hold after {} ms", limit.as_millis());
            return Err(StandinError::new("await condition", what, message));
        }
        tokio::time::sleep(CHECK_EVERY).await;
    }
}
