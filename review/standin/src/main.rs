//! Runs one case against the project's own processes:
//! `review-standin CASE PROGRAM RECORD`, with the variable `TROUBLE`.

mod client;
mod group;
mod http;
mod json;
mod lost;
mod nodes;
mod record;
mod store;
mod world;

use lost::Second;
use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let record = match Record::create(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    let program = PathBuf::from(program);
    let run = match case.as_str() {
        "lost" => lost::run(&program, &record, &trouble, Second::Outage),
        "empty" => lost::run(&program, &record, &trouble, Second::Empty),
        other => Err(format!("there is no case {other}").into()),
    };
    match run {
        Ok(()) if record.violations() > 0 => ExitCode::from(1),
        Ok(()) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            record.say(&format!("the case couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}
