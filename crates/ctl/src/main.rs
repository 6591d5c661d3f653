//! `stilequayctl`, the operator's command line.

use std::fs::File;
use std::io::{self, BufReader, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use stilequay_ctl::command_line::{self, Invocation, Request};
use stilequay_ctl::explain::Explanation;
use stilequay_ctl::{ControlError, ExitStatus, commands};

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let result = match command_line::parse(&arguments) {
        Ok(Request::Help) => print(&command_line::help()),
        Ok(Request::Version) => print(concat!("stilequayctl ", env!("CARGO_PKG_VERSION"), "\n")),
        Ok(Request::Run(invocation)) => run(*invocation),
        Ok(Request::Explain { id, logs }) => explain(&id, &logs),
        Err(error) => Err(error),
    };
    let status = result.unwrap_or_else(|error| {
        eprintln!("stilequayctl: {error}");
        error.status()
    });
    ExitCode::from(status as u8)
}

fn print(text: &str) -> Result<ExitStatus, ControlError> {
    io::stdout().write_all(text.as_bytes())?;
    Ok(ExitStatus::Done)
}

fn explain(id: &str, logs: &[PathBuf]) -> Result<ExitStatus, ControlError> {
    let mut explanation = Explanation::default();
    for path in logs {
        let unreadable = |error| ControlError::Unreadable(path.clone(), error);
        let log = File::open(path).map_err(unreadable)?;
        explanation
            .read(id, BufReader::new(log))
            .map_err(unreadable)?;
    }
    if explanation.is_empty() {
        eprint!("stilequayctl: {}", explanation.missing_text(id));
        return Ok(ExitStatus::Refused);
    }
    print(&explanation.text())
}

fn run(invocation: Invocation) -> Result<ExitStatus, ControlError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(commands::run(invocation, &mut io::stdout().lock()))
}
