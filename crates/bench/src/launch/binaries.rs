//! Finding the programs of this workspace beside the running one.

use super::error::LaunchError;
use std::env;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;

/// Where cargo puts test executables, below the directory of the profile.
const TEST_DIRECTORY: &str = "deps";
/// The name of cargo's directory for release builds.
const RELEASE_DIRECTORY: &str = "release";

/// A program of this workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Binary {
    /// The daemon.
    Daemon,
    /// The stand-ins.
    StandIn,
}

impl Binary {
    /// The name of the executable file.
    pub fn name(self) -> &'static str {
        match self {
            Self::Daemon => "stilequayd",
            Self::StandIn => "stilequay-standin",
        }
    }

    /// The executable, built first where it is missing: a test of this package
    /// alone does not make cargo build the programs of others.
    pub fn locate(self) -> Result<PathBuf, LaunchError> {
        static BUILDING: Mutex<()> = Mutex::new(());
        let failed = |reason: String| LaunchError::Build(self.name().to_owned(), reason);
        let directory = profile_directory().map_err(|error| failed(error.to_string()))?;
        let path = directory.join(self.name());
        let _guard = BUILDING.lock();
        if !path.is_file() {
            build(&directory).map_err(failed)?;
        }
        Ok(path)
    }
}

/// The directory of the profile that the running program was built with.
fn profile_directory() -> std::io::Result<PathBuf> {
    let mut directory = env::current_exe()?;
    directory.pop();
    if directory.ends_with(TEST_DIRECTORY) {
        directory.pop();
    }
    Ok(directory)
}

/// Builds all programs with the same features as a build of the whole workspace.
fn build(profile_directory: &Path) -> Result<(), String> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--workspace", "--bins", "--locked"]);
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    if profile_directory.ends_with(RELEASE_DIRECTORY) {
        command.arg("--release");
    }
    match command.status() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("cargo build ended with {status}")),
        Err(error) => Err(error.to_string()),
    }
}
