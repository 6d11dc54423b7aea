//! Plays seeded faults against daemons as processes and checks what callers see.

use std::process::ExitCode;

fn main() -> ExitCode {
    bitterncart_soak::cli::main()
}
