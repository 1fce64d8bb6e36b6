//! HTTP client setup shared by the adapters.

use std::io;

use base::clock;

/// Timeout for opening a connection to the platform.
const CONNECT_TIMEOUT: clock::Millis = clock::Millis(1_000);

/// Creates an HTTP client that limits each request to `timeout`, from connecting to the end of the
/// response body.
pub fn agent(timeout: clock::Millis) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT.duration()))
        .timeout_global(Some(timeout.duration()))
        .max_redirects(0)
        .proxy(None)
        .build();
    config.new_agent()
}

/// Returns whether a failed request certainly never reached the server, so that a retry is safe.
pub fn never_sent(e: &ureq::Error) -> bool {
    match e {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(phase) => {
            matches!(phase, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
