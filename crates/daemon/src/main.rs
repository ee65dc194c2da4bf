//! `rosemaryscaled`: the daemon of rosemaryscale.

use std::process::ExitCode;

use rosemaryscale_daemon::cli::{self, Command};
use rosemaryscale_daemon::jobs::{JobService, JobServiceConfig};
use rosemaryscale_daemon::{Config, Daemon};

const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let command = match cli::parse(std::env::args().skip(1)) {
        Ok(command) => command,
        Err(error) => return exit_with_error(USAGE_EXIT_CODE, &error),
    };
    match command {
        Command::Help(text) => println!("{text}"),
        Command::Version => println!("rosemaryscaled {}", env!("CARGO_PKG_VERSION")),
        Command::Check { config } => match Config::read(&config) {
            Ok(_) => println!("{}: valid", config.display()),
            Err(error) => return exit_with_error(USAGE_EXIT_CODE, &error),
        },
        Command::Run { config } => match Config::read(&config) {
            Ok(config) => return run(config),
            Err(error) => return exit_with_error(USAGE_EXIT_CODE, &error),
        },
        Command::CheckJobs { config } => match JobServiceConfig::read(&config) {
            Ok(_) => println!("{}: valid", config.display()),
            Err(error) => return exit_with_error(USAGE_EXIT_CODE, &error),
        },
        Command::RunJobs { config } => match JobServiceConfig::read(&config) {
            Ok(config) => return run_jobs(config),
            Err(error) => return exit_with_error(USAGE_EXIT_CODE, &error),
        },
    }
    ExitCode::SUCCESS
}

/// Runs on one thread: the job service needs less than one core, and several threads would cost more.
#[tokio::main(flavor = "current_thread")]
async fn run_jobs(config: JobServiceConfig) -> ExitCode {
    match JobService::start(config).await {
        Ok(service) => match service.run().await {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => exit_with_error(1, &error),
        },
        Err(error) => exit_with_error(1, &error),
    }
}

#[tokio::main]
async fn run(config: Config) -> ExitCode {
    match Daemon::start(config).await {
        Ok(daemon) => match daemon.run().await {
            Ok(_) => ExitCode::SUCCESS,
            Err(error) => exit_with_error(1, &error),
        },
        Err(error) => exit_with_error(1, &error),
    }
}

fn exit_with_error(code: u8, error: &dyn std::error::Error) -> ExitCode {
    eprintln!("rosemaryscaled: {error}");
    ExitCode::from(code)
}
