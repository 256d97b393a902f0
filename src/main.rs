//! The command line of the `umbervale` program.

use clap::{Args, Parser, Subcommand};
use std::convert::Infallible;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;
use umbervale::node::Node;
use umbervale::settings::Settings;

/// Exit code for settings that are refused.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Name of the environment variable that sets the log level.
const LOG_LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// A cluster scheduler: accepts jobs, rents machines and places tasks on them.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Run a controller node until it is killed. LOG_LEVEL: error, info (default) or debug.
    Serve(SettingsFiles),
    /// Check the settings and exit: 0 if they are valid, 2 if not.
    Check(SettingsFiles),
}

#[derive(Args)]
struct SettingsFiles {
    /// The platform's settings (TOML).
    #[arg(long)]
    config: PathBuf,
    /// The operators' own settings (S-expressions); see examples/operator.sexp.
    #[arg(long)]
    operator: Option<PathBuf>,
}

impl SettingsFiles {
    /// Reads and validates the files. On an error, prints its text and returns the exit code of the
    /// program.
    fn load(&self) -> Result<Settings, ExitCode> {
        Settings::load(&self.config, self.operator.as_deref()).map_err(|error| {
            eprintln!("umbervale: {error}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        })
    }
}

fn main() -> ExitCode {
    let result = match Cli::parse().action {
        Action::Serve(files) => files.load().map(serve),
        Action::Check(files) => files.load().map(|settings| check(&files.config, &settings)),
    };
    result.unwrap_or_else(|exit_code| exit_code)
}

/// Prints the warnings about valid settings and the name of the node.
fn check(config: &Path, settings: &Settings) -> ExitCode {
    for warning in settings.warnings() {
        eprintln!("umbervale: {}: warning: {warning}", config.display());
    }
    println!("{}: valid, node {}", config.display(), settings.node);
    ExitCode::SUCCESS
}

/// Runs a node. Returns only if the node can't be started.
fn serve(settings: Settings) -> ExitCode {
    tracing_subscriber::fmt()
        .with_max_level(log_level())
        .with_writer(io::stderr)
        .with_ansi(false)
        .init();
    for warning in settings.warnings() {
        tracing::warn!(%warning, "settings ask for more than was measured");
    }
    let Err(error) = run(settings);
    tracing::error!(%error, "node can't be started");
    ExitCode::FAILURE
}

fn run(settings: Settings) -> io::Result<Infallible> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let bound = runtime.block_on(Node::bind(settings));
    bound.map(|node| runtime.block_on(node.serve()))
}

fn log_level() -> LevelFilter {
    match std::env::var(LOG_LEVEL_VARIABLE).as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("debug") => LevelFilter::DEBUG,
        _ => LevelFilter::INFO,
    }
}
