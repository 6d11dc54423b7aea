//! `bitterncartd`: the entry daemon.

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
    let settings = match read(&args.settings) {
        Ok(settings) => settings,
        Err(lines) => {
            eprintln!("{lines}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{}: valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    log::to_stdout();
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(e) => {
            error!("cannot start", kv: { why: = e });
            return ExitCode::FAILURE;
        }
    };
    smol::block_on(future::or(daemon.ordered_to_drain(), terminated()));
    let clean = smol::block_on(daemon.drain());
    if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Waits for the platform's order to stop.
async fn terminated() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => drop(signals.next().await),
        Err(_) => future::pending().await,
    }
}

fn read(path: &PathBuf) -> Result<Settings, String> {
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
