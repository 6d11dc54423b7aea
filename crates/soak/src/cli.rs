//! Command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::plan::{KINDS, Kind};
use crate::{FRAMINGS, Framing, fleet, replica, soak, store};
use argh::FromArgs;

/// Plays seeded faults against daemons as processes and checks what callers see.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    Replica(Replica),
    Store(Store),
}

/// Maximum age of the manifest in runs with customers, as on the platform.
const MAX_MANIFEST_AGE_MS: u64 = 5000;

/// Plays a run.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// program of the daemons
    #[argh(option)]
    daemon: PathBuf,
    /// folder for settings, logs and records, which is emptied first
    #[argh(option)]
    keep: PathBuf,
    /// seed of faults and load (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds of faults (default: 30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// number of daemons (default: 3)
    #[argh(option, default = "3")]
    daemons: usize,
    /// number of replicas (default: 6)
    #[argh(option, default = "6")]
    replicas: usize,
    /// slots of a replica (default: 8)
    #[argh(option, default = "8")]
    slots: u32,
    /// number of clients (default: 24)
    #[argh(option, default = "24")]
    clients: usize,
    /// kind of fault; all if there is none
    #[argh(option)]
    fault: Vec<Kind>,
    /// plays no faults
    #[argh(switch)]
    calm: bool,
    /// framing of answers: length, chunks or connection; all if there is none
    #[argh(option)]
    framing: Vec<Framing>,
    /// the manifest names customers, and daemons must know it to be current
    #[argh(switch)]
    customers: bool,
}

/// Runs a replica; started by a run.
#[derive(FromArgs)]
#[argh(subcommand, name = "replica")]
struct Replica {
    /// number
    #[argh(option)]
    index: usize,
    /// id
    #[argh(option)]
    id: String,
    /// version of its software
    #[argh(option)]
    version: String,
    /// data centre
    #[argh(option)]
    zone: String,
    /// requests that run at a time
    #[argh(option)]
    slots: u32,
    /// addresses, one for each daemon
    #[argh(option, from_str_fn(addresses))]
    links: Vec<Vec<SocketAddr>>,
    /// address of the store
    #[argh(option)]
    store: SocketAddr,
    /// seed
    #[argh(option)]
    seed: u64,
    /// file for what it runs
    #[argh(option)]
    record: String,
    /// framing of answers
    #[argh(option)]
    framing: Vec<Framing>,
}

/// Runs the store; started by a run.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct Store {
    /// addresses, one for each daemon and one for the operator
    #[argh(option, from_str_fn(addresses))]
    ports: Vec<Vec<SocketAddr>>,
    /// addresses of the replicas for each of them
    #[argh(option)]
    replicas: String,
    /// file with the records
    #[argh(option)]
    file: String,
}

fn addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let all = text.split(',').map(|address| {
        address
            .parse()
            .map_err(|e| format!("address {address:?}: {e}; write IP:PORT"))
    });
    all.collect()
}

/// Runs what the arguments of this process say: a run, or a stand-in that a run starts.
#[must_use]
pub fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Run(run) => return play(run),
        Command::Replica(replica) => replica::run(replica::Options {
            index: replica.index,
            id: replica.id,
            version: replica.version,
            zone: replica.zone,
            slots: replica.slots,
            links: replica.links.concat(),
            store: replica.store,
            seed: replica.seed,
            record: replica.record,
            framings: replica.framing,
        }),
        Command::Store(args) => {
            let replicas: Result<_, _> = args.replicas.split(';').map(addresses).collect();
            replicas
                .map_err(std::io::Error::other)
                .and_then(|replicas| {
                    store::run(store::Options {
                        ports: args.ports.concat(),
                        replicas,
                        file: args.file,
                    })
                })
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cannot run: {e}");
            ExitCode::FAILURE
        }
    }
}

fn play(args: Run) -> ExitCode {
    let Ok(program) = std::env::current_exe() else {
        eprintln!("cannot run: the program's own file is not known; start it by its path");
        return ExitCode::from(2);
    };
    let kinds = match (args.calm, args.fault.is_empty()) {
        (true, _) => Vec::new(),
        (false, true) => KINDS.to_vec(),
        (false, false) => args.fault,
    };
    let framings = match args.framing.is_empty() {
        true => FRAMINGS.to_vec(),
        false => args.framing,
    };
    let options = soak::Options {
        fleet: fleet::Options {
            daemon: args.daemon,
            standin: (program, Vec::new()),
            folder: args.keep,
            daemons: args.daemons,
            replicas: args.replicas,
            slots: args.slots,
            framings,
            seed: args.seed,
            settings: match args.customers {
                true => vec![("max_manifest_age_ms".to_owned(), MAX_MANIFEST_AGE_MS)],
                false => Vec::new(),
            },
            customers: args.customers,
        },
        length: Duration::from_secs(args.seconds),
        kinds,
        clients: args.clients,
    };
    match soak::run(&options) {
        Ok(report) => {
            let line = serde_json::to_string(&report).unwrap_or_default();
            println!("{line}");
            match report.cases.is_empty() {
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            }
        }
        Err(e) => {
            eprintln!("cannot run: {e}");
            ExitCode::from(2)
        }
    }
}
