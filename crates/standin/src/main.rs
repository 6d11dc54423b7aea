//! `bitterncart-standin`: stand-ins as processes of their own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use bitterncart_standin::engine::{Engine, Model};
use bitterncart_standin::instances::Instances;
use bitterncart_standin::log::{Limits, Log};
use bitterncart_standin::service::Service;
use bitterncart_standin::weights::Weights;
use bitterncart_standin::{Running, start};
use bitterncart_transport::Error;

/// Stand-in for one of the systems around the daemon.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Kind {
    Log(LogArgs),
    Instances(InstancesArgs),
    Engine(EngineArgs),
    Service(ServiceArgs),
    Weights(WeightsArgs),
}

/// log service
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct LogArgs {
    /// address
    #[argh(positional)]
    address: SocketAddr,
    /// appends a second
    #[argh(option, default = "300")]
    appends_per_s: u32,
    /// time that entries are kept, in seconds
    #[argh(option, default = "604800")]
    retention_s: u64,
}

/// instance list
#[derive(FromArgs)]
#[argh(subcommand, name = "instances")]
struct InstancesArgs {
    /// address
    #[argh(positional)]
    address: SocketAddr,
    /// file with the first list, JSON
    #[argh(positional)]
    list: PathBuf,
    /// time until a change shows, in milliseconds
    #[argh(option, default = "2000")]
    lag_ms: u64,
}

/// model engine
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address
    #[argh(positional)]
    address: SocketAddr,
    /// sequences at once
    #[argh(option, default = "32")]
    max_sequences: usize,
    /// take orders with an old fencing number
    #[argh(switch)]
    unchecked: bool,
}

/// plain service
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// address
    #[argh(positional)]
    address: SocketAddr,
}

/// weight store
#[derive(FromArgs)]
#[argh(subcommand, name = "weights")]
struct WeightsArgs {
    /// address
    #[argh(positional)]
    address: SocketAddr,
    /// time of one load, in milliseconds
    #[argh(option, default = "1000")]
    each_ms: u64,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args.kind) {
        Ok(running) => {
            println!("listening on {}", running.address);
            loop {
                std::thread::park();
            }
        }
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}

fn run(kind: Kind) -> Result<Running, String> {
    let text = |e: Error| e.to_string();
    match kind {
        Kind::Log(args) => {
            let limits = Limits {
                appends_per_s: args.appends_per_s,
                retention: Duration::from_secs(args.retention_s),
            };
            start(args.address, |_| Log::new(limits)).map_err(text)
        }
        Kind::Instances(args) => {
            let path = args.list.display();
            let list = std::fs::read_to_string(&args.list)
                .map_err(|e| format!("{path}: cannot be read: {e}"))?;
            let list = serde_json::from_str(&list)
                .map_err(|e| format!("{path}: is no list of instances: {e}"))?;
            let lag = Duration::from_millis(args.lag_ms);
            start(args.address, |_| Instances::new(lag, list)).map_err(text)
        }
        Kind::Engine(args) => {
            let model = Model {
                max_sequences: args.max_sequences,
                checks_fencing: !args.unchecked,
                ..Model::default()
            };
            start(args.address, |runtime| Engine::new(runtime, model)).map_err(text)
        }
        Kind::Service(args) => start(args.address, |_| Service::default()).map_err(text),
        Kind::Weights(args) => {
            let each = Duration::from_millis(args.each_ms);
            start(args.address, |_| Weights::new(each)).map_err(text)
        }
    }
}
