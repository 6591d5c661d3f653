//! Results as JSON files.

use crate::launch::error::LaunchError;
use serde::Serialize;
use std::fs;
use std::path::{Path, PathBuf};

/// Directory of results, below the working directory.
pub const RESULTS_DIRECTORY: &str = "results";

/// A result and how it was made.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Recorded<'a, T> {
    /// The command line that gave the result.
    pub command: String,
    /// Processors of the machine.
    pub processors: usize,
    /// Whether the programs were built with optimisation.
    pub optimised: bool,
    /// The result.
    pub result: &'a T,
}

/// Writes `result` to `name`.json in the directory of results.
pub fn write<T: Serialize>(name: &str, result: &T) -> Result<PathBuf, LaunchError> {
    let recorded = Recorded {
        command: command_line(),
        processors: std::thread::available_parallelism().map_or(0, usize::from),
        optimised: !cfg!(debug_assertions),
        result,
    };
    let path = Path::new(RESULTS_DIRECTORY).join(format!("{name}.json"));
    let failed = |reason: String| LaunchError::Settings(format!("{}: {reason}", path.display()));
    fs::create_dir_all(RESULTS_DIRECTORY).map_err(|error| failed(error.to_string()))?;
    let mut text =
        serde_json::to_string_pretty(&recorded).map_err(|error| failed(error.to_string()))?;
    text.push('\n');
    fs::write(&path, text).map_err(|error| failed(error.to_string()))?;
    Ok(path)
}

/// The command line, without the directory of the program.
fn command_line() -> String {
    let mut words = std::env::args();
    let program = words.next().unwrap_or_default();
    let program = Path::new(&program).file_name();
    let program = program.map(|name| name.to_string_lossy().into_owned());
    let words: Vec<String> = program.into_iter().chain(words).collect();
    words.join(" ")
}
