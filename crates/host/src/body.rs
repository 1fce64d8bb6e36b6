//! Reads request bodies within limits of size, memory and time.

use base::{clock, refusal};
use bytes::Bytes;
use hyper::body;
use router::{bodies, connections};
use tokio::time;

use crate::context;

/// Time within which a request body must arrive completely.
const BODY_TIMEOUT: clock::Millis = clock::Millis(20_000);
/// Suggested delay before a client retries while there is no memory for its request.
const FULL_RETRY_DELAY: clock::Millis = clock::Millis(1_000);

/// Reads the body of a request within the limit of the settings. If memory is short, a connection of
/// `clients` that has stalled is closed for it.
///
/// # Errors
///
/// `TooLarge` if the body is longer than the limit, `SlowCaller` if it does not arrive in time,
/// `BadRequest` if the client closed the connection before the end of the body, `HostFull` if there is no
/// memory for it, which is held until the returned bytes are dropped.
pub async fn read(
    context: &context::Context,
    clients: &connections::Connections,
    mut body: body::Incoming,
) -> Result<Bytes, refusal::Refusal> {
    let refuse = |reason| Err(refusal::Refusal::not_run(reason));
    let max_bytes = context.settings.limits.body_bytes;
    let free_memory = async || {
        let now = context.clock.now();
        clients.free_memory(now, &context.metrics).await
    };
    let reading = bodies::read(&mut body, max_bytes, &context.memory, free_memory);
    let result = time::timeout(BODY_TIMEOUT.duration(), reading).await;
    if let Ok(Err(bodies::Error::TooLarge | bodies::Error::Exhausted)) = result {
        bodies::discard(&mut body, max_bytes, BODY_TIMEOUT).await;
    }
    match result {
        Err(_) => refuse(refusal::Reason::SlowCaller),
        Ok(Err(bodies::Error::TooLarge)) => refuse(refusal::Reason::TooLarge),
        Ok(Err(bodies::Error::Broken)) => refuse(refusal::Reason::BadRequest),
        Ok(Err(bodies::Error::Exhausted)) => {
            let full = refusal::Refusal::not_run(refusal::Reason::HostFull);
            Err(full.with_retry_after(FULL_RETRY_DELAY))
        }
        Ok(Ok(bytes)) => Ok(bytes),
    }
}
