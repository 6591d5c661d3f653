//! `stilequay-bench data-path`: what the data path costs a daemon.

use super::flags::{self, CommandError, Verdict};
use super::progress;
use crate::experiment::{data_path, mixed_load};
use crate::launch::{Deployment, Topology};
use crate::results;
use getopts::Options;

/// Daemons of a run: three homes, and three that forward.
const DAEMONS: usize = 6;

/// Runs the subcommand.
pub async fn run_command(arguments: &[String]) -> Result<Verdict, CommandError> {
    let usage = "data-path [options]";
    let Some(matches) = flags::parse(options(), usage, arguments)? else {
        return Ok(Verdict::Clean);
    };
    flags::no_arguments(&matches)?;
    let statements = flags::value(&matches, "statements", 20_000)?;
    let topology = Topology::start(Deployment::small(DAEMONS)).await?;
    mixed_load::prepare_all(&topology).await?;
    let figures = data_path::measure(&topology, statements).await?;
    progress::print(&figures);
    let path = results::write("data-path", &figures)?;
    println!("written to {}", path.display());
    Ok(Verdict::Clean)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "statements",
        "statements of each kind at each daemon",
        "N",
    );
    options
}
