//! One started process.

use super::binaries::Binary;
use super::error::LaunchError;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::de::DeserializeOwned;
use std::ffi::OsString;
use std::fs::File;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::timeout;

/// Time a process may take until it is ready; generous, for busy machines.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Names a directory that gets the logs of all processes; without it they are dropped.
pub const LOG_DIRECTORY_VARIABLE: &str = "STILEQUAY_LOG_DIRECTORY";

/// A started process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    label: String,
    child: Child,
}

impl Process {
    /// Starts `binary` and waits for its ready line, which it returns decoded.
    pub async fn start<R: DeserializeOwned>(
        binary: Binary,
        label: &str,
        arguments: &[OsString],
    ) -> Result<(Self, R), LaunchError> {
        let path = binary.locate()?;
        let not_started = |error| LaunchError::Start(label.to_owned(), error);
        let mut child = Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_output(label).map_err(not_started)?)
            .kill_on_drop(true)
            .spawn()
            .map_err(not_started)?;
        let output = child.stdout.take();
        let process = Self {
            label: label.to_owned(),
            child,
        };
        let ready = process.read_ready(output).await?;
        Ok((process, ready))
    }

    async fn read_ready<R: DeserializeOwned>(
        &self,
        output: Option<ChildStdout>,
    ) -> Result<R, LaunchError> {
        let not_ready = |reason: String| LaunchError::NotReady(self.label.clone(), reason);
        let output = output.ok_or_else(|| not_ready("no standard output".to_owned()))?;
        let mut lines = BufReader::new(output).lines();
        let first = timeout(READY_TIMEOUT, lines.next_line()).await;
        let line = first
            .map_err(|_| not_ready("no line in time".to_owned()))?
            .map_err(|error| not_ready(error.to_string()))?
            .ok_or_else(|| not_ready("it ended without a line".to_owned()))?;
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        serde_json::from_str(&line).map_err(|error| not_ready(format!("{error}: {line}")))
    }

    /// The label given at the start.
    pub fn label(&self) -> &str {
        &self.label
    }

    /// The number of the process, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Stops it where it stands, as a machine that is paused.
    pub fn freeze(&self) -> Result<(), LaunchError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets it go on after [`Process::freeze`].
    pub fn thaw(&self) -> Result<(), LaunchError> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks it to stop in good order.
    pub fn terminate(&self) -> Result<(), LaunchError> {
        self.signal(Signal::SIGTERM)
    }

    /// Kills it and waits until it is gone.
    pub async fn kill(&mut self) -> Result<(), LaunchError> {
        let killed = self.child.kill().await;
        killed.map_err(|error| LaunchError::Signal(self.label.clone(), error.to_string()))
    }

    /// Waits until it has ended by itself.
    pub async fn wait(&mut self) -> Result<ExitStatus, LaunchError> {
        let ended = self.child.wait().await;
        ended.map_err(|error| LaunchError::Signal(self.label.clone(), error.to_string()))
    }

    fn signal(&self, signal: Signal) -> Result<(), LaunchError> {
        let failed = |reason: String| LaunchError::Signal(self.label.clone(), reason);
        let id = self
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .ok_or_else(|| failed("it has ended".to_owned()))?;
        kill(Pid::from_raw(id), signal).map_err(|error| failed(error.to_string()))
    }
}

fn log_output(label: &str) -> std::io::Result<Stdio> {
    let Some(directory) = std::env::var_os(LOG_DIRECTORY_VARIABLE) else {
        return Ok(Stdio::null());
    };
    let path = Path::new(&directory).join(format!("{label}.log"));
    let file = File::options().create(true).append(true).open(path)?;
    Ok(Stdio::from(file))
}
