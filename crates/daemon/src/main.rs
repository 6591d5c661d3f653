//! `stilequayd`, the daemon: reads flags and settings, starts, waits, stops.

use serde::Serialize;
use std::io::{self, Write};
use std::process::ExitCode;
use stilequay_coordination::identity::NodeId;
use stilequay_daemon::command_line::{self, Command, SettingsSource};
use stilequay_daemon::run::{self, DaemonAddresses, RunningDaemon, StartError, StopOutcome};
use stilequay_daemon::settings::{self, Settings};
use stilequay_daemon::{logging, telemetry};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code: internal error.
const INTERNAL_ERROR: u8 = 1;
/// Exit code: wrong flags or settings.
const WRONG_SETTINGS: u8 = 2;
/// Exit code: an address can't be bound.
const CANNOT_BIND: u8 = 3;
/// Exit code: planned stop, but work was cut.
const WORK_CUT: u8 = 4;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    match command_line::parse(&arguments) {
        Ok(Command::PrintHelp) => print(&command_line::help()),
        Ok(Command::PrintVersion) => print(concat!("stilequayd ", env!("CARGO_PKG_VERSION"), "\n")),
        Ok(Command::PrintDefaultConfig) => print(&settings::default_file()),
        Ok(Command::CheckConfig(source)) => match load(&source) {
            Ok(_) => print("the settings are valid\n"),
            Err(code) => code,
        },
        Ok(Command::Run(source)) => match load(&source) {
            Ok(settings) => run(settings),
            Err(code) => code,
        },
        Err(error) => {
            eprintln!("stilequayd: {error}\nTry stilequayd --help.");
            ExitCode::from(WRONG_SETTINGS)
        }
    }
}

fn print(text: &str) -> ExitCode {
    match io::stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(INTERNAL_ERROR),
    }
}

fn load(source: &SettingsSource) -> Result<Settings, ExitCode> {
    settings::load(source.file.as_deref(), &source.overrides).map_err(|error| {
        eprintln!("stilequayd: the settings are wrong:\n{error}");
        ExitCode::from(WRONG_SETTINGS)
    })
}

fn run(settings: Settings) -> ExitCode {
    if let Err(error) = logging::start(&settings.log) {
        eprintln!("stilequayd: {error}");
        return ExitCode::from(INTERNAL_ERROR);
    }
    telemetry::metrics();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("the runtime can't be started: {error}");
            return ExitCode::from(INTERNAL_ERROR);
        }
    };
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> ExitCode {
    let mut stop = match StopSignals::new() {
        Ok(stop) => stop,
        Err(error) => {
            log::error!("signals can't be received: {error}");
            return ExitCode::from(INTERNAL_ERROR);
        }
    };
    let daemon = match run::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            log::error!("{error}");
            return match error {
                StartError::Bind(..) => ExitCode::from(CANNOT_BIND),
                StartError::Platform(_) => ExitCode::from(INTERNAL_ERROR),
            };
        }
    };
    tokio::select! {
        () = announce(&daemon) => stop.received().await,
        () = stop.received() => {}
    }
    match daemon.stop().await {
        StopOutcome::Drained => ExitCode::SUCCESS,
        StopOutcome::Cut => ExitCode::from(WORK_CUT),
    }
}

/// The line on standard output that tells that the daemon serves.
#[derive(Serialize)]
struct ReadyLine<'a> {
    event: &'static str,
    node: &'a NodeId,
    #[serde(flatten)]
    addresses: DaemonAddresses,
}

async fn announce(daemon: &RunningDaemon) {
    daemon.ready().await;
    let line = ReadyLine {
        event: "ready",
        node: &daemon.node,
        addresses: daemon.addresses,
    };
    let text = serde_json::to_string(&line).unwrap_or_default();
    // Nobody may read it; that is no reason not to serve.
    let _ = writeln!(io::stdout(), "{text}");
}

/// Signals that ask for a planned stop.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
