//! Entry point of the `jacinthslip` binary, for example `jacinthslip serve --settings host.yaml`.

use std::process;
use std::thread;

use jacinthslip::{cli, exit_codes, lifecycle, logs, platform, settings, stop};

fn main() -> process::ExitCode {
    let args = cli::Jacinthslip::from_env_or_exit();
    match args.subcommand {
        cli::JacinthslipCmd::Version(_) => {
            println!("jacinthslip {}", env!("CARGO_PKG_VERSION"));
            exit_codes::ExitCode::Success.into()
        }
        cli::JacinthslipCmd::Platform(args) => platform::run(&args).into(),
        cli::JacinthslipCmd::Check(check) => match settings::read(&check.settings) {
            Ok(_) => {
                println!("{}: no fault found", check.settings.display());
                exit_codes::ExitCode::Success.into()
            }
            Err(diagnostics) => {
                eprintln!("{diagnostics}");
                exit_codes::ExitCode::Usage.into()
            }
        },
        cli::JacinthslipCmd::Serve(serve) => match settings::read(&serve.settings) {
            Ok(settings) => run(settings).into(),
            Err(diagnostics) => {
                eprintln!("{diagnostics}");
                exit_codes::ExitCode::Usage.into()
            }
        },
    }
}

/// Size from which a buffer has memory of its own, which the system gets back with the buffer.
const OWN_MEMORY_BYTES: libc::c_int = 128 << 10;

/// Makes the memory of large buffers return to the system. By default the allocator raises the size above
/// which it does so, and each of the threads that serve requests keeps what its buffers needed at most.
fn return_large_buffers() {
    // SAFETY: `mallopt` may be called at any time, and no other thread runs yet.
    let is_set = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, OWN_MEMORY_BYTES) } == 1;
    if !is_set {
        tracing::warn!(event = "allocator_option");
    }
}

fn run(settings: settings::Settings) -> exit_codes::ExitCode {
    let _logs = logs::start();
    return_large_buffers();
    let signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(e) => return fail(&eyre::eyre!("can't install the signal handlers: {e}")),
    };
    let serving = match lifecycle::Starting::new(settings).start() {
        Ok(serving) => serving,
        Err(e) => return fail(&e),
    };
    let _ = signals.forever().next();
    let draining = serving.drain();
    let force_stop = stop::StopFlag::default();
    let interrupt = force_stop.clone();
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            interrupt.set();
        }
    });
    draining.finish(&force_stop)
}

fn fail(e: &eyre::Report) -> exit_codes::ExitCode {
    eprintln!("jacinthslip: {e:#}");
    exit_codes::ExitCode::Failure
}
