//! HTTP clients of the adapters.

use std::io;

use base::clock;

/// Time to open a connection to the platform.
const CONNECT: clock::Millis = clock::Millis(1_000);

/// A client whose calls end within `whole`.
pub fn agent(whole: clock::Millis) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT.duration()))
        .timeout_global(Some(whole.duration()))
        .max_redirects(0)
        .proxy(None)
        .build();
    config.new_agent()
}

/// Whether a failed call certainly never reached the other side.
pub fn never_sent(e: &ureq::Error) -> bool {
    match e {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(t) => matches!(t, ureq::Timeout::Connect | ureq::Timeout::Resolve),
        ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
