//! The `platform` command: reads the settings file, connects the router to the adapters of the
//! users' platform and runs it on a Tokio runtime.

use std::env;
use std::path;
use std::rc;

use adapter::{cloud, protocol, settings, store};
use base::clock;
use router::{host, lifecycle};
use tokio::task;

use crate::{cli, exit_codes, logs, platform_check};

/// Runs a host on the users' platform until SIGTERM, or only checks its settings with `--check`.
pub fn run(args: &cli::Platform) -> exit_codes::ExitCode {
    let env_path = env::var_os(settings::PATH_VARIABLE).map(path::PathBuf::from);
    let Some(file) = args.settings.clone().or(env_path) else {
        eprintln!(
            "jacinthslip: no settings file. Give --settings FILE or set {}.",
            settings::PATH_VARIABLE
        );
        return exit_codes::ExitCode::Usage;
    };
    let is_misused = !args.check && (args.manifest.is_some() || args.json);
    if is_misused || args.manifest.is_none() && args.against.is_some() {
        eprintln!(
            "jacinthslip: --manifest and --json need --check, and --against needs --manifest."
        );
        return exit_codes::ExitCode::Usage;
    }
    if args.check {
        return platform_check::run(args, &file);
    }
    let mut settings = match settings::read(&file) {
        Ok(settings) => settings,
        Err(diagnostics) => {
            eprintln!("{diagnostics}");
            return exit_codes::ExitCode::Usage;
        }
    };
    match args.held_mb {
        None => {}
        Some(0) => {
            eprintln!("jacinthslip: --held-mb 0 leaves no memory for requests. Give 1 or more.");
            return exit_codes::ExitCode::Usage;
        }
        Some(mb) => settings.host.held_bytes = mb as usize * 1_000_000,
    }
    match args.max_connections {
        None => {}
        Some(0) => {
            eprintln!("jacinthslip: --max-connections 0 admits no client. Give 1 or more.");
            return exit_codes::ExitCode::Usage;
        }
        Some(count) => settings.host.max_connections = count as usize,
    }
    let _logs = logs::start();
    match serve(settings, &file) {
        Ok(()) => exit_codes::ExitCode::Success,
        Err(e) => {
            tracing::error!(event = "start_failed", error = %e, mend = "correct the settings");
            exit_codes::ExitCode::Failure
        }
    }
}

fn serve(settings: settings::Settings, file: &path::Path) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let bootstrap = settings.bootstrap;
    let host = rc::Rc::new(build(settings)?);
    let reload = || match settings::read(file) {
        Ok(_) => tracing::info!(event = "reload", outcome = "kept_until_restart"),
        Err(diagnostics) => {
            tracing::error!(event = "reload", outcome = "unreadable", findings = %diagnostics)
        }
    };
    let local = task::LocalSet::new();
    local.block_on(&runtime, lifecycle::run(host, bootstrap, reload))?;
    Ok(())
}

fn build(settings: settings::Settings) -> eyre::Result<host::Host> {
    let name = settings.host.host.clone();
    let dependencies = host::Dependencies {
        protocol: Box::new(protocol::PlatformProtocol),
        store: Box::new(store::StoreClient::new(settings.store_address)),
        orders: Box::new(cloud::CloudClient::new(
            settings.cloud_address,
            name.as_str(),
        )),
        clock: clock::Clock::System,
    };
    host::Host::new(settings.host, dependencies)
}
