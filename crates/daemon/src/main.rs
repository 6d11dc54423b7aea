//! `bitterncartd`: the entry daemon.
//!
//! Reads the settings, runs the daemon until an operator or a signal requests a
//! drain, and drains it. The exit code is 0 after a complete drain or a successful
//! check of the settings, 1 if the start fails or the drain is incomplete, and 2 if
//! the settings are invalid.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use async_signal::{Signal, Signals};
use bitterncart_daemon::Daemon;
use bitterncart_gateway::log;
use bitterncart_protocol::Settings;
use futures_lite::{StreamExt, future};
use spdlog::error;

/// Entry daemon for online and batch inference.
#[derive(FromArgs)]
struct Args {
    /// settings file: JSON with comments
    #[argh(positional)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match read_settings(&args.settings) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{}: valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    log::init_stdout();
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(e) => {
            error!("failed to start the daemon", kv: { why: = e });
            return ExitCode::FAILURE;
        }
    };
    smol::block_on(future::or(daemon.drain_requested(), termination_signal()));
    let clean = smol::block_on(daemon.drain());
    if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Waits for SIGTERM, which the platform sends to stop the daemon, or SIGINT.
async fn termination_signal() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => drop(signals.next().await),
        Err(_) => future::pending().await,
    }
}

/// Reads the settings; the error has one line for each problem.
fn read_settings(path: &PathBuf) -> Result<Settings, String> {
    let file = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|e| format!("{file}: cannot be read: {e}; name the settings file"))?;
    Settings::parse(&text).map_err(|problems| {
        let lines: Vec<String> = problems
            .iter()
            .map(|problem| format!("{file}: {problem}"))
            .collect();
        lines.join("\n")
    })
}
