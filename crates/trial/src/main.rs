//! `bitterncart-trial`: runs a trial of an environment document and prints the report.
//!
//! Exits with status 1 if a guarantee was violated, and 2 if the trial could not run.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use bitterncart_trial::Trial;
use bitterncart_trial::chaos::Level;

/// Run an environment document on loopback with daemons, stand-ins, load and faults.
#[derive(FromArgs)]
struct Args {
    /// environment document: JSON with comments
    #[argh(positional)]
    document: PathBuf,
    /// duration of the load, in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// seed of load and faults
    #[argh(option, default = "1")]
    seed: u64,
    /// report format: text or json
    #[argh(option, default = "Format::Text")]
    report: Format,
    /// faults to inject: none, some or all
    #[argh(option, default = "Level::None")]
    faults: Level,
    /// number of items of the larger batch jobs
    #[argh(option, default = "400")]
    items: u32,
}

/// Format of the report.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Format {
    Text,
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected text or json".to_owned()),
        }
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let text = match std::fs::read_to_string(&args.document) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{}: failed to read document: {e}", args.document.display());
            return ExitCode::from(2);
        }
    };
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::MoreSevereEqual(
        spdlog::Level::Critical,
    ));
    let trial = Trial::new(text)
        .seconds(args.seconds)
        .seed(args.seed)
        .faults(args.faults)
        .items(args.items)
        .progress(args.report == Format::Text);
    let report = match trial.run() {
        Ok(report) => report,
        Err(problems) => {
            for problem in problems.lines() {
                eprintln!("{}: {problem}", args.document.display());
            }
            return ExitCode::from(2);
        }
    };
    match args.report {
        Format::Text => println!("{}", report.text()),
        Format::Json => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
    }
    if report.is_clean() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
