//! The stored results that the page rests on.

use super::fit::Point;
use crate::fleet::FleetResult;
use serde::Deserialize;
use serde_json::Value;
use std::fs;
use std::path::Path;

/// One run of hollow daemons, and its command.
#[derive(Debug, Deserialize)]
pub struct Run {
    /// The command line.
    pub command: String,
    /// Whether the programs were built with optimisation.
    pub optimised: bool,
    /// The result.
    pub result: FleetResult,
}

/// Everything stored.
#[derive(Debug)]
pub struct Figures {
    /// Runs of hollow daemons, by size.
    pub runs: Vec<Run>,
    /// The costs of the data path, if they were measured.
    pub data_path: Option<Value>,
}

impl Figures {
    /// Reads the results in `directory`.
    pub fn read(directory: &Path) -> Result<Self, String> {
        let entries =
            fs::read_dir(directory).map_err(|error| format!("{}: {error}", directory.display()))?;
        let mut runs = Vec::new();
        for entry in entries.flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            if is_run(&name) {
                let run: Run = read(&entry.path())?;
                runs.push(run);
            }
        }
        runs.sort_by_key(|run| run.result.daemons);
        let data_path = directory.join("data-path.json");
        let data_path = data_path.exists().then(|| read(&data_path)).transpose()?;
        Ok(Self { runs, data_path })
    }

    /// The points of a cost over the number of daemons.
    pub fn points(&self, cost: impl Fn(&FleetResult) -> Option<f64>) -> Vec<Point> {
        self.runs
            .iter()
            .filter_map(|run| {
                Some(Point {
                    daemons: run.result.daemons as f64,
                    cost: cost(&run.result)?,
                })
            })
            .collect()
    }
}

/// Runs that the page rests on are called `fleet-N`.
fn is_run(name: &str) -> bool {
    name.strip_prefix("fleet-")
        .and_then(|rest| rest.strip_suffix(".json"))
        .is_some_and(|number| number.parse::<usize>().is_ok())
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
}
