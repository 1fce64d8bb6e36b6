//! Command-line tool for operators of jacinthslip; see `jacinthctl --help` for its commands.

mod change;
mod cli;
mod error;
mod exit_codes;
mod key;
mod review;
mod show;

use std::process;

fn main() -> process::ExitCode {
    let flags = cli::Jacinthctl::from_env_or_exit();
    let result = match &flags.subcommand {
        cli::JacinthctlCmd::Check(c) => show::check(c),
        cli::JacinthctlCmd::Diff(d) => show::diff(d),
        cli::JacinthctlCmd::Apply(a) => change::apply(a),
        cli::JacinthctlCmd::Promote(p) => change::promote(p),
        cli::JacinthctlCmd::Status(s) => show::status(s),
        cli::JacinthctlCmd::History(h) => show::history(h),
        cli::JacinthctlCmd::Issue(i) => key::issue(i),
        cli::JacinthctlCmd::Block(b) => key::block(b),
        cli::JacinthctlCmd::Withdraw(w) => key::withdraw(w),
    };
    match result {
        Ok(()) => exit_codes::ExitCode::Success.into(),
        Err(error) => {
            if !matches!(error, error::Error::Reported) {
                eprintln!("{error}");
            }
            error.exit_code().into()
        }
    }
}
