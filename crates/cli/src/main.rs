//! `rosemaryscale`, the command-line client for operators.

use std::process::ExitCode;

use rosemaryscale_cli::cli::{self, Command};
use rosemaryscale_cli::{Client, output, run};

fn main() -> ExitCode {
    let options = match cli::parse(std::env::args().skip(1)) {
        Ok(Command::Help(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Ok(Command::Version) => {
            println!("rosemaryscale {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Ok(Command::Run(options)) => options,
        Err(error) => {
            eprintln!("rosemaryscale: {error}");
            return cli::ExitStatus::Usage.into();
        }
    };
    run_command(options)
}

#[tokio::main(flavor = "current_thread")]
async fn run_command(options: cli::Options) -> ExitCode {
    let client = Client::new(options.daemons.clone());
    let print_progress = |line: &str| eprintln!("{line}");
    match run::run(&client, &options, print_progress).await {
        Ok(output) => {
            println!("{}", output.text);
            output.status.into()
        }
        Err(error) => {
            if options.json {
                println!("{}", output::problem_json(&error.report()));
            }
            eprintln!("rosemaryscale: {error}");
            error.exit_status().into()
        }
    }
}
