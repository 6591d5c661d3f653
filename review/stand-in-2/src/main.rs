//! Stand-ins and checks for the cases of the second review: `review-stand-in-2 CASE ROOT RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With the
//! variable `TROUBLE=0` the disruption is left out.

mod client;
mod departed_copy;
mod group;
mod json;
mod late_order;
mod lost_set_answer;
mod node;
mod path;
mod record;
mod route_and_back;
mod store;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// What a case is run with.
pub struct Setup {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Arc<Record>,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, path] = arguments.as_slice() else {
        eprintln!("usage: review-stand-in-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("can't write {path}");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let setup = Setup {
        root: PathBuf::from(root),
        folder: folder.clone(),
        record: Arc::new(record),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match case.as_str() {
        "departed-copy" => departed_copy::run(&setup),
        "late-order" => late_order::run(&setup),
        "lost-set-answer" => lost_set_answer::run(&setup),
        "route-and-back" => route_and_back::run(&setup),
        _ => Verdict::CouldNotRun(format!("unknown case {case}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CouldNotRun(reason) => (format!("could not run: {reason}"), 2),
    };
    setup.record.say(&text);
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    ExitCode::from(code)
}
