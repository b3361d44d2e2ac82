//! The entry VM daemon `dahliastiled`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    dahliastile_daemon::cli::run(&arguments)
}
