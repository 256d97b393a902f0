//! The program: its command line, and nothing else.

use clap::{Args, Parser, Subcommand};
use std::convert::Infallible;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;
use umbervale::node::Node;
use umbervale::settings::Settings;

/// A cluster scheduler: accepts jobs, rents machines and places tasks on them.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Run a controller node until it is killed. LOG_LEVEL: error, info (default) or debug.
    Serve(Files),
    /// Check the settings and exit: 0 if they are valid, 2 if not.
    Check(Files),
}

#[derive(Args)]
struct Files {
    /// The platform's settings (TOML).
    #[arg(long)]
    config: PathBuf,
    /// The operators' own settings (S-expressions); see examples/operator.sexp.
    #[arg(long)]
    operator: Option<PathBuf>,
}

fn main() -> ExitCode {
    let (serve, files) = match Cli::parse().command {
        Verb::Serve(files) => (true, files),
        Verb::Check(files) => (false, files),
    };
    let settings = match Settings::load(&files.config, files.operator.as_deref()) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("umbervale: {e}");
            return ExitCode::from(2);
        }
    };
    let warnings = settings.warnings();
    if !serve {
        for warning in warnings {
            eprintln!("umbervale: {}: warning: {warning}", files.config.display());
        }
        println!("{}: valid, node {}", files.config.display(), settings.node);
        return ExitCode::SUCCESS;
    }
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("debug") => LevelFilter::DEBUG,
        _ => LevelFilter::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    for warning in warnings {
        tracing::warn!("{warning}");
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Err(e) = runtime.and_then(|runtime| -> io::Result<Infallible> {
        let node = runtime.block_on(Node::bind(settings))?;
        Ok(runtime.block_on(node.serve()))
    });
    tracing::error!("{e}");
    ExitCode::FAILURE
}
