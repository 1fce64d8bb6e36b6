//! Runs a small site in one process: a host with a configuration and an API key, and stand-ins for
//! the engine, the plain service, the store and the platform.
//!
//! `cargo run -p jacinthslip --example quickstart [IP:PORT]`

use std::io::{BufRead as _, IsTerminal as _};
use std::net;

use base::clock;
use config::{document, item, key, log, log_store, parse};
use eyre::WrapErr as _;
use jacinthslip::{lifecycle, settings, stop};
use ports::store;
use standin::{engine, plain, platform as standin_platform, store as standin_store};

const DEFAULT_LISTEN: &str = "127.0.0.1:8080";
const TEAM: &str = "quotes";
const KEY: &str = "jk-quickstart";

fn loopback_address() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

fn document_yaml(engine: net::SocketAddr, plain: net::SocketAddr) -> String {
    format!(
        "classes:
  - {{name: quote, tier: 0, first_ms: 670, gap_ms: 64}}
  - {{name: sheet, tier: 2, first_ms: 30000, floor: 0.05}}
teams:
  - {{name: {TEAM}, classes: [quote, sheet], weight: 2}}
services:
  - name: drafter
    kind: engine
    models: [drafter-7b]
    upstreams:
      - {{name: engine-1, dc: lalitpur, address: \"{engine}\", slots: 8}}
  - name: ledger
    kind: plain
    upstreams:
      - {{name: ledger-1, dc: lalitpur, address: \"{plain}\", slots: 8}}
"
    )
}

fn settings_yaml(listen: &str, store: net::SocketAddr, platform: net::SocketAddr) -> String {
    format!(
        "host: host-1
dc: lalitpur
region: bagmati
listen: \"{listen}\"
peer: \"127.0.0.1:0\"
store: \"{store}\"
platform: \"{platform}\"
secret: only-for-the-quickstart
times: {{linger_ms: 100}}
"
    )
}

/// Writes the configuration document and an API key to the store, like the `apply`, `promote` and
/// `issue` commands of `jacinthctl`.
fn configure(store: &dyn store::Store, document: &document::Document) -> eyre::Result<()> {
    let mut state = log::State::default();
    let mut changes = item::diff(&state.items, &item::items(document));
    let digest = key::digest(KEY);
    let issued = item::Key {
        digest,
        team: TEAM.into(),
        withdrawn: false,
    };
    changes.push(item::Change::Put(item::Item::Key(issued)));
    let written_ms = clock::Clock::System.unix_time().0;
    let stamp = log_store::Stamp {
        writer: rand::random(),
        written_ms,
    };
    Ok(log_store::append(
        store,
        "production",
        &mut state,
        changes,
        stamp,
    )?)
}

fn main() -> eyre::Result<()> {
    let listen = std::env::args()
        .nth(1)
        .unwrap_or_else(|| DEFAULT_LISTEN.to_owned());
    let store = standin_store::Store::start(loopback_address())?;
    let platform = standin_platform::Platform::start(loopback_address(), false)?;
    let engine_settings = engine::Settings {
        slots: 8,
        first_token_ms: 150,
        token_gap_ms: 40,
    };
    let engine = engine::Engine::start(loopback_address(), engine_settings)?;
    let plain = plain::PlainService::start(loopback_address())?;

    let document = parse::document(
        "site.yaml",
        &document_yaml(engine.address(), plain.address()),
    )?;
    configure(&*store.memory, &document)?;
    let settings = settings_yaml(&listen, store.address(), platform.address());
    let settings = settings::parse("host.yaml", &settings)?;
    let serving = lifecycle::Starting::new(settings)
        .start()
        .wrap_err("give another address: cargo run -p jacinthslip --example quickstart IP:PORT")?;

    let url = format!("http://{}", serving.address());
    println!(
        "A host serves a small site at {url}. Request a streamed completion in another terminal:\n"
    );
    println!("  curl -N {url}/v1/chat/completions -H 'Authorization: Bearer {KEY}' \\");
    println!(
        "    -d '{{\"model\": \"drafter-7b\", \"stream\": true, \"messages\": [{{\"role\": \"user\", \"content\": \"Draft a quote.\"}}]}}'\n"
    );
    println!("Then try:\n");
    println!("  curl {url}/v1/models -H 'Authorization: Bearer {KEY}'");
    println!(
        "  curl {url}/v1/models -H 'Authorization: Bearer unknown'      # refused: unknown key"
    );
    println!(
        "  curl {url}/s/ledger/deposits -H 'Authorization: Bearer {KEY}' -H 'Idempotency-Key: d-1' -d 'deposit 100'"
    );
    println!(
        "  curl {url}/s/ledger/deposits -H 'Authorization: Bearer {KEY}' -H 'Idempotency-Key: d-1' -d 'deposit 100'   # not run again"
    );
    println!("  curl {url}/metrics");
    println!(
        "  cargo run -p jacinthctl -- status --store {}\n",
        store.address()
    );
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGINT,
        signal_hook::consts::SIGTERM,
    ])?;
    if std::io::stdin().is_terminal() {
        println!("Press Enter or Ctrl-C to drain and stop.");
        let handle = signals.handle();
        std::thread::spawn(move || {
            // Closing the terminal ends the wait like Enter does.
            let _ = std::io::stdin().lock().read_line(&mut String::new());
            handle.close();
        });
    }
    let _ = signals.forever().next();
    serving.drain().finish(&stop::StopFlag::default());
    Ok(())
}
