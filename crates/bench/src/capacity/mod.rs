//! `stilequay-bench capacity`: works out the tables of docs/CAPACITY.md from the
//! stored results.

mod document;
mod figures;
mod fit;
mod roles;
mod tables;

use crate::cli::flags::{self, CommandError, Verdict};
use crate::launch::LaunchError;
use crate::results::RESULTS_DIRECTORY;
use figures::Figures;
use getopts::Options;
use std::fs;
use std::path::Path;

pub use fit::{Fit, Point, Shape};

/// The page whose tables are rewritten.
const PAGE: &str = "docs/CAPACITY.md";

/// Runs the subcommand.
pub fn run_command(arguments: &[String]) -> Result<Verdict, CommandError> {
    let usage = "capacity [options]";
    let Some(matches) = flags::parse(options(), usage, arguments)? else {
        return Ok(Verdict::Clean);
    };
    flags::no_arguments(&matches)?;
    let page = flags::value(&matches, "page", PAGE.to_owned())?;
    let results = flags::value(&matches, "results", RESULTS_DIRECTORY.to_owned())?;
    let figures = Figures::read(Path::new(&results)).map_err(failed)?;
    let text = fs::read_to_string(&page).map_err(|error| failed(format!("{page}: {error}")))?;
    let sections = [
        ("commands", tables::commands(&figures)),
        ("measured", tables::measured(&figures)),
        ("kinds", tables::kinds(&figures)),
        ("growth", tables::growth(&figures)),
        ("losses", tables::losses(&figures)),
        ("roles", roles::table(&figures)),
        ("platform", tables::platform(&figures)),
        ("limits", tables::limits(&figures)),
    ];
    let text = sections
        .iter()
        .try_fold(text, |text, (name, section)| {
            document::replace(&text, name, section)
        })
        .map_err(failed)?;
    fs::write(&page, text).map_err(|error| failed(format!("{page}: {error}")))?;
    println!("written to {page}");
    Ok(Verdict::Clean)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "page",
        "the page to rewrite (default docs/CAPACITY.md)",
        "FILE",
    );
    options.optopt(
        "",
        "results",
        "directory of results (default results)",
        "DIR",
    );
    options
}

fn failed(reason: String) -> CommandError {
    CommandError::Run(LaunchError::Settings(reason))
}
